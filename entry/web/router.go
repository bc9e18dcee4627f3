package web

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/order"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

// Limiter charges customers' token buckets.
type Limiter interface {
	// Take admits a request, or tells when to return.
	Take(bucket string, within config.Limit, tokens int64) (ok bool, retryAfter time.Duration)
	// Refund gives back the tokens of a request that has not run.
	Refund(bucket string, within config.Limit, tokens int64)
}

// Control is what the router knows of the control group.
type Control interface {
	// View is never nil.
	View() *control.View
	// Age is how old the proof is that the view was current.
	Age() time.Duration
}

// Config configures a Router.
type Config struct {
	Codec   Codec
	Control Control
	Limiter Limiter
	Pool    *conn.Pool
	// FailureDomain is that of this VM.
	FailureDomain string
	// FreshFor is the largest age of the view at which a key is accepted.
	FreshFor time.Duration
	// Grace is the time between a stop signal and the end of the process.
	Grace time.Duration
	// RetryPercent is the share of a service's requests that may be sent again; RetryFloor is how many more the whole
	// fleet may send again in retry.Window.
	RetryPercent float64
	RetryFloor   int
	Metrics      *metric.Requests
	Events       *event.Logger
	// Background runs work that outlives its request.
	Background *errgroup.Group
}

// Router serves callers. It is safe for concurrent use.
type Router struct {
	config Config

	mu      sync.Mutex
	table   *place.Table
	budgets map[string]*retry.Budget
	// lengths is the average output of the generations of each route, in tokens.
	lengths map[string]float64
	// demands is what an average generation of each service asks of its engines.
	demands map[string]*place.Demand
	// returns is the work that was refused for want of room and is expected to return, by service.
	returns map[string]*place.Returns
	// freed is closed and replaced when an attempt ends or the upstreams change.
	freed chan struct{}
	// entries is the number of entries in the view.
	entries int
	// started is when the process started.
	started time.Time

	// seen is the view of the last call of OnChange, which has one caller.
	seen *control.View
}

// New returns a router without upstreams.
func New(c Config) *Router {
	return &Router{
		config: c, table: place.NewTable(rand.IntN(1 << 16)), budgets: map[string]*retry.Budget{},
		lengths: map[string]float64{}, returns: map[string]*place.Returns{}, demands: map[string]*place.Demand{}, freed: make(chan struct{}), entries: 1, started: time.Now(),
	}
}

// OnChange follows the view.
func (r *Router) OnChange(view *control.View) {
	upstreams := make([]place.Upstream, 0, len(view.Upstreams))
	for _, u := range view.Upstreams {
		if u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN && gone(view, u) {
			continue
		}
		one := place.Upstream{
			ID: u.Id, Address: u.Address, FailureDomain: u.FailureDomain, Service: u.Pool, Role: u.Role, Incarnation: u.Incarnation,
			Accepts: u.State != fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING, Heard: u.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
			Capacity: int(u.Slots) * plainQueue,
		}
		if view.Document != nil {
			if s := view.Document.Services[u.Pool]; s != nil && s.Engine != nil {
				one.Capacity = int(float64(s.Engine.CacheTokens) * roomShareFor(len(view.Sessions)))
				one.Slots = s.Engine.Slots
				if one.Role == place.RolePrefill {
					one.Capacity, one.Slots = 0, 0
				}
			}
		}
		upstreams = append(upstreams, one)
	}
	r.logChanges(view)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = max(1, len(view.Sessions))
	r.table.Set(upstreams, r.entries)
	sessions := make(map[uint64]bool, len(view.Sessions))
	for id := range view.Sessions {
		sessions[id] = true
	}
	r.table.Keep(sessions)
	for _, d := range r.demands {
		d.Keep(sessions)
	}
	r.wake()
}

const (
	// plainQueue is how many requests for each slot of a plain upstream run before others wait: upstreams queue a few more
	// than they run.
	plainQueue = 3
	// engineShare is the part of an engine's memory that requests are placed in. The rest is room for answers that grow
	// longer than expected; an engine without room stops a request and reads it again.
	engineShare = 0.93
	// entryShare is the part of an engine's memory that is left for each entry beyond the first, for what it places there
	// until the others hear of it.
	entryShare = 0.0075
	// leastShare is what remains in large fleets.
	leastShare = 0.7
)

// roomShareFor returns the part of an engine's memory that a number of entries fill.
func roomShareFor(entries int) float64 {
	return max(leastShare, engineShare-entryShare*float64(max(0, entries-1)))
}

// gone says whether an upstream that fell silent has ended for good: another one has its address, or it said so.
func gone(view *control.View, u *fleetpb.Upstream) bool {
	if u.Sequence == withdrawn {
		return true
	}
	for _, other := range view.Upstreams {
		if other.Id != u.Id && other.Address == u.Address && other.State != fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			return true
		}
	}
	return false
}

// withdrawn is the sequence of an upstream that left for good.
const withdrawn = ^uint64(0)

// wake tells waiting requests that something changed. The caller holds the lock.
func (r *Router) wake() {
	close(r.freed)
	r.freed = make(chan struct{})
}

// Ready says whether the router can serve callers.
func (r *Router) Ready() bool {
	return r.config.Control.View().Document != nil && r.config.Control.Age() < r.config.FreshFor
}

// allowRepeat takes one repeated send from the budget of a service.
func (r *Router) allowRepeat(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).AllowShared(time.Now(), r.config.RetryPercent, r.entries)
}

func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(time.Now())
}

func (r *Router) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.WithFloor(r.config.RetryFloor)
		r.budgets[service] = b
	}
	return b
}

// connections returns this entry's part of the bound on connections to one upstream.
func (r *Router) connections(s *document.Service) int {
	if s == nil || s.Connections == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, s.Connections/r.entries)
}

// pick chooses an upstream. While all are busy it waits until the time given.
func (r *Router) pick(ctx context.Context, need place.Need, until time.Time) (place.Upstream, error) {
	for {
		r.mu.Lock()
		u, err := r.table.Pick(time.Now(), need)
		freed := r.freed
		r.mu.Unlock()
		left := time.Until(until)
		if !errors.Is(err, place.ErrBusy) || left <= 0 {
			return u, err
		}
		// An upstream that had no room is asked again without any other change.
		timer := time.NewTimer(min(left, place.FullFor))
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return u, eris.Wrap(context.Cause(ctx), "wait for an upstream")
		}
		timer.Stop()
	}
}

// Loads implements usage.Loads.
func (r *Router) Loads() []place.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Loads(time.Now())
}

// Observe implements usage.Loads.
func (r *Router) Observe(session uint64, loads []place.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Observe(time.Now(), session, loads)
	r.wake()
}

// Demand returns what an average generation of a service asks of its engines, and false while that is not known.
func (r *Router) Demand(service string) (order.Demand, bool) {
	view := r.config.Control.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.demands[service]
	if d == nil || !d.Known() || view.Document == nil {
		return order.Demand{}, false
	}
	s := view.Document.Services[service]
	if s == nil || s.Engine == nil || s.Engine.CacheTokens == 0 {
		return order.Demand{}, false
	}
	return order.Demand{Read: r.table.Reading(d.Prompt), Hold: time.Duration(float64(d.Room) / (float64(s.Engine.CacheTokens) * engineShare))}, true
}

// Demands implements usage.Loads.
func (r *Router) Demands() map[string]place.DemandTotal {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := make(map[string]place.DemandTotal, len(r.demands))
	for service, d := range r.demands {
		totals[service] = d.Own()
	}
	return totals
}

// ObserveDemands implements usage.Loads.
func (r *Router) ObserveDemands(session uint64, totals map[string]place.DemandTotal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, total := range totals {
		r.demand(service).Observe(session, total)
	}
}

// demand returns what is known of a service's generations. The caller holds the lock.
func (r *Router) demand(service string) *place.Demand {
	d := r.demands[service]
	if d == nil {
		d = &place.Demand{}
		r.demands[service] = d
	}
	return d
}

// Retries implements usage.Loads.
func (r *Router) Retries() []retry.Total {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := make([]retry.Total, 0, len(r.budgets))
	for service, b := range r.budgets {
		requests, retries := b.Totals()
		totals = append(totals, retry.Total{Service: service, Requests: requests, Retries: retries})
	}
	return totals
}

// ObserveRetries implements usage.Loads.
func (r *Router) ObserveRetries(session uint64, totals []retry.Total) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range totals {
		r.budget(t.Service).Peer(now, session, t.Requests, t.Retries)
	}
}

// end counts the end of an attempt.
func (r *Router) end(u place.Upstream, need place.Need, outcome place.Outcome) {
	r.mu.Lock()
	now := time.Now()
	ejected := r.table.End(now, u, need, outcome)
	if need.Role != place.RolePrefill {
		r.returnsOf(need.Service).Ended(now)
	}
	r.wake()
	r.mu.Unlock()
	if ejected > 0 {
		r.logEjected(u, outcome, ejected)
	}
}

// Serve implements http1.Handler.
func (r *Router) Serve(x *http1.Exchange) {
	q := &request{router: r, x: x, call: r.config.Codec.ReadCall(&x.Request.Header)}
	defer q.finish()
	for _, filter := range []func() *refusal{q.findDocument, q.findRoute, q.findCustomer, q.bound, q.charge} {
		if refused := filter(); refused != nil {
			q.refuse(refused)
			return
		}
	}
	r.countRequest(q.service)
	if q.route.Stream {
		q.stream()
	} else {
		q.plain()
	}
}
