package order

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/entry/control"
)

// Fleet is the entry's connection to the control group.
type Fleet interface {
	View() *control.View
	Fresh() bool
	SessionValid() bool
	// AcquireOrderLease asks for the lease or renews it.
	AcquireOrderLease(ctx context.Context) (lease control.OrderLease, err error)
}

// Sender sends an order. It calls guard right before the order leaves and sends nothing when guard returns
// false.
type Sender interface {
	Send(ctx context.Context, o Order, guard func() bool) error
}

// Plans decides on orders.
type Plans interface {
	// Plan returns the orders to send now, at most one for each engine.
	Plan(now time.Time, view *control.View) []Order
	// Failed tells that an engine did not acknowledge an order.
	Failed(now time.Time, o Order)
}

// Config configures a Controller.
type Config struct {
	// Plan makes the plans of a new holder of the lease; it defaults to a Planner.
	Plan func(now time.Time, view *control.View) Plans
	// Wanted, if set, says whether there is anything to order. The controller asks for no lease while there is not.
	Wanted func(now time.Time, view *control.View) bool
	// Pause is how long a new holder waits before its first order; it defaults to deliveryBound.
	Pause  time.Duration
	Fleet  Fleet
	Sender Sender
	Events *event.Logger
	// Interval is the time between lease renewals; it defaults to 1 s.
	Interval time.Duration
}

const (
	defaultInterval = time.Second
	// sendTimeout bounds one order. An order is sent only when the lease lasts longer than that, so that none
	// is in flight after the lease has ended.
	sendTimeout = time.Second
	// deliveryBound is how long the network may hold an order that the predecessor sent. A new holder waits
	// for it after the predecessor's lease, because some engines do not check the fencing number.
	deliveryBound = 2 * time.Second
	// maxParallel bounds the orders that are sent at once.
	maxParallel = 64
)

// Controller holds the order lease when it can get it, and then sends orders.
type Controller struct {
	config  Config
	fence   uint64
	planner Plans
	// quietUntil is when a new holder may send its first order.
	quietUntil time.Time
	sent       uint64
}

// New returns a controller.
func New(c Config) *Controller {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Plan == nil {
		c.Plan = func(now time.Time, view *control.View) Plans { return NewPlanner(now, view.Config) }
	}
	if c.Pause == 0 {
		c.Pause = deliveryBound
	}
	return &Controller{config: c}
}

// Run works until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.config.Interval):
		}
		if c.config.Fleet.SessionValid() && c.config.Fleet.Fresh() {
			c.round(ctx)
		}
	}
}

func (c *Controller) round(ctx context.Context) {
	if c.config.Wanted != nil && !c.config.Wanted(time.Now(), c.config.Fleet.View()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	lease, err := c.config.Fleet.AcquireOrderLease(ctx)
	if err != nil || !lease.Held {
		c.planner = nil
		return
	}
	now := time.Now()
	if c.planner == nil || c.fence != lease.Fence {
		c.fence = lease.Fence
		c.planner = c.config.Plan(now, c.config.Fleet.View())
		c.quietUntil = now.Add(c.config.Pause)
		c.config.Events.Write(event.OrderLeaseHeld, func(e *log.Entry) { e.Uint64("fence", lease.Fence) })
	}
	if now.Before(c.quietUntil) {
		return
	}
	orders := c.planner.Plan(now, c.config.Fleet.View())
	failed := make([]error, len(orders))
	// Orders go out together, so that an engine that does not answer uses up no other engine's time.
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, o := range orders {
		c.sent++
		o.Fence = lease.Fence
		o.ID = fmt.Sprintf("%d-%d", lease.Fence, c.sent)
		group.Go(func() error {
			failed[i] = c.send(ctx, lease, o)
			return nil
		})
	}
	_ = group.Wait()
	now = time.Now()
	for i, o := range orders {
		if failed[i] != nil {
			c.planner.Failed(now, o)
		}
	}
}

func (c *Controller) send(ctx context.Context, lease control.OrderLease, o Order) error {
	err := c.config.Sender.Send(ctx, o, func() bool { return lease.Remaining() > sendTimeout })
	c.config.Events.Write(event.OrderSent, func(e *log.Entry) {
		e.Str("upstream", o.Upstream).Str("kind", o.Kind).Str("model", o.Model).Str("role", o.Role).
			Uint64("fence", o.Fence).Err(err)
	})
	return err
}
