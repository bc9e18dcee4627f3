package order

import (
	"context"
	"fmt"
	"sync"
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
	// AcquireOrderLease acquires or renews the order lease.
	AcquireOrderLease(ctx context.Context) (lease control.OrderLease, err error)
}

// Sender sends an order. It calls guard right before the order is written to the network and sends nothing if guard
// returns false.
type Sender interface {
	Send(ctx context.Context, o Order, guard func() bool) error
}

// Plans decides which orders to send.
type Plans interface {
	// Plan returns the orders to send now, at most one per engine.
	Plan(now time.Time, view *control.View) []Order
	// Failed records that an engine did not acknowledge an order.
	Failed(now time.Time, o Order)
}

// Config configures a Controller.
type Config struct {
	// Plan creates the Plans of a new lease holder; the default creates a Planner.
	Plan func(now time.Time, view *control.View) Plans
	// Wanted, if set, reports whether any order may be needed. While it returns false, the controller does not request
	// the lease.
	Wanted func(now time.Time, view *control.View) bool
	// Pause is how long a new lease holder waits before its first order; the default is maxDeliveryDelay.
	Pause  time.Duration
	Fleet  Fleet
	Sender Sender
	Events *event.Logger
	// Interval is the time between lease renewals; the default is 1 s.
	Interval time.Duration
}

const (
	defaultInterval = time.Second
	// sendTimeout bounds one order. An order is sent only when the lease lasts longer than sendTimeout, so that no
	// order is in flight after the lease has ended.
	sendTimeout = time.Second
	// maxDeliveryDelay is how long the network may delay an order from the previous lease holder. A new holder waits
	// this long after it acquired the lease, because some engines do not check the fencing token.
	maxDeliveryDelay = 2 * time.Second
	// maxParallelOrders bounds the number of orders sent concurrently.
	maxParallelOrders = 64
)

// Controller acquires the order lease when the lease is available and sends orders while it holds the lease.
type Controller struct {
	config  Config
	fence   uint64
	planner Plans
	// firstOrderAt is when a new lease holder may send its first order.
	firstOrderAt time.Time
	sent         uint64

	mu sync.Mutex
	// changing holds, by engine, the changes of roles that were ordered.
	changing map[string]change
}

// change is a change of role that an engine has been ordered to make.
type change struct {
	incarnation uint64
	role        string
	until       time.Time
}

// Changing returns the engines, with their incarnations, that this entry has ordered to change their role and that have
// not announced the new role yet.
func (c *Controller) Changing(now time.Time, view *control.View) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := map[string]uint64{}
	for id, change := range c.changing {
		u := view.Upstreams[id]
		if u == nil || u.Incarnation != change.incarnation || u.Role == change.role || now.After(change.until) {
			delete(c.changing, id)
			continue
		}
		engines[id] = change.incarnation
	}
	return engines
}

// setChanging records an order before it is sent, because the engine may carry out an order without a response.
func (c *Controller) setChanging(now time.Time, o Order) {
	u := c.config.Fleet.View().Upstreams[o.Upstream]
	if o.Kind != SetRole || u == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changing[o.Upstream] = change{incarnation: u.Incarnation, role: o.Role, until: now.Add(switchTimeout)}
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
		c.Pause = maxDeliveryDelay
	}
	return &Controller{config: c, changing: map[string]change{}}
}

// Run renews the lease and sends orders until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.config.Interval):
		}
		if c.config.Fleet.SessionValid() && c.config.Fleet.Fresh() {
			c.renewAndSend(ctx)
		}
	}
}

func (c *Controller) renewAndSend(ctx context.Context) {
	if c.config.Wanted != nil && !c.config.Wanted(time.Now(), c.config.Fleet.View()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	lease, err := c.config.Fleet.AcquireOrderLease(ctx)
	if err != nil {
		// The planner keeps the orders that engines have not carried out yet. If the next lease has the same fence, no other entry
		// held the lease in between.
		return
	}
	if !lease.Held {
		c.planner = nil
		return
	}
	now := time.Now()
	if c.planner == nil || c.fence != lease.Fence {
		c.fence = lease.Fence
		c.planner = c.config.Plan(now, c.config.Fleet.View())
		c.firstOrderAt = now.Add(c.config.Pause)
		c.config.Events.Write(event.OrderLeaseHeld, func(e *log.Entry) { e.Uint64("fence", lease.Fence) })
	}
	if now.Before(c.firstOrderAt) {
		return
	}
	orders := c.planner.Plan(now, c.config.Fleet.View())
	sendErrs := make([]error, len(orders))
	// Orders are sent concurrently, so that an engine that does not respond does not delay the orders of other engines.
	var group errgroup.Group
	group.SetLimit(maxParallelOrders)
	for i, o := range orders {
		c.sent++
		o.Fence = lease.Fence
		o.ID = fmt.Sprintf("%d-%d", lease.Fence, c.sent)
		c.setChanging(now, o)
		group.Go(func() error {
			sendErrs[i] = c.send(ctx, lease, o)
			return nil
		})
	}
	_ = group.Wait()
	now = time.Now()
	for i, o := range orders {
		if sendErrs[i] != nil {
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
