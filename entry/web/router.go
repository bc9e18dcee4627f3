package web

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/coordinator"
	"azuredoor.example/entry/hedge"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/order"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/quarantine"
	"azuredoor.example/entry/retry"
	"azuredoor.example/entry/usage"
)

// Limiter charges customers' token buckets.
type Limiter interface {
	// Take takes tokens from a bucket. If the bucket lacks tokens, Take returns false and the time after which to retry.
	Take(bucket string, limit config.Limit, tokens int64) (ok bool, retryAfter time.Duration)
	// Refund gives back the tokens of a request that has not run.
	Refund(bucket string, limit config.Limit, tokens int64)
}

// Control provides the state of the control group.
type Control interface {
	// View returns the current view. It is never nil.
	View() *control.View
	// Age returns the time since the view was last confirmed to be current.
	Age() time.Duration
}

// Placer chooses the engines of generations for all entries.
type Placer interface {
	// Place returns the engines, or one of the errors that usage.Client documents.
	Place(ctx context.Context, need usage.PlaceNeed) (usage.PlaceResult, error)
	// Changed is called when a generation has ended.
	Changed()
}

// Origins keeps outside this process where the responses to callers began.
type Origins interface {
	// RecordOrigin stores where the response to a request began. It calls stored once that outlives this process, and returns when
	// all copies are stored or have failed.
	RecordOrigin(ctx context.Context, o control.Origin, stored func())
	// FindOrigin returns where the response to a request began. It returns control.ErrNoOrigin if that is not recorded, and another
	// error if some records could not be asked.
	FindOrigin(ctx context.Context, customer, request string) (control.Origin, error)
	// ConfirmView waits until the view holds all that the control group knew at the call.
	ConfirmView(ctx context.Context) error
}

// Config configures a Router.
type Config struct {
	Codec   Codec
	Control Control
	Limiter Limiter
	// Placer is nil if the entry chooses engines itself.
	Placer Placer
	// Origins is nil if all upstreams of a service can take over each other's streams.
	Origins Origins
	Pool    *conn.Pool
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// FreshFor is the maximum age of the view at which access keys are accepted.
	FreshFor time.Duration
	// CurrentFor is the maximum age of the view at which it is taken to hold every route and key that callers were told of. It
	// must be below the time within which changes take effect.
	CurrentFor time.Duration
	// Grace is the time between a stop signal and the exit of the process.
	Grace time.Duration
	// RetryPercent is the retry budget of a service, in percent of its requests.
	RetryPercent float64
	// RetryFloor is the number of further retries that the whole fleet may make in retry.Window.
	RetryFloor int
	// HedgePercent is the share of a plain service's repeatable requests that may be sent to a second upstream before the
	// first has responded, in percent; 0 for none. These count as retries as well.
	HedgePercent float64
	// Hedged, if set, is called for each request that was sent to a second upstream, with whether that one's response counted.
	Hedged  func(won bool)
	Metrics *metric.Requests
	// Guard holds the quarantined prompt parts. The default is an empty guard.
	Guard  *quarantine.Guard
	Events *event.Logger
	// Background runs work that outlives its request.
	Background *errgroup.Group
}

// Router routes callers' requests to upstreams. It is safe for concurrent use.
type Router struct {
	config Config

	mu      sync.Mutex
	table   *place.Table
	budgets map[string]*retry.Budget
	// hedges decides, by service, when a request is sent to a second upstream.
	hedges map[string]*hedge.Policy
	// demands is the resource demand of an average generation, by service.
	demands map[string]*place.Demand
	// retryEstimators holds, by service, the estimator of when callers that were refused for lack of capacity retry.
	retryEstimators map[string]*place.RetryEstimator
	// longestPatience is the longest time that a caller of each route was ready to wait.
	longestPatience map[string]time.Duration
	// generations holds the generations of this entry on decode engines.
	generations *generations
	// reservations holds the IDs of the latest memory reservations.
	reservations *reservationIDs
	// changed is closed and replaced when an attempt ends or the upstreams or their loads change.
	changed chan struct{}
	// entryCount is the number of entries in the view, at least 1.
	entryCount int
	// silentEntries is the number of entries whose use the coordinator does not know.
	silentEntries int
	// othersReport is set once the coordinator has reported the retries of the other entries.
	othersReport bool
	// started is when the process started.
	started time.Time
	// awake tells whether this process was stopped.
	awake control.PauseDetector

	// lastView is the view of the previous call of OnChange. It needs no lock, because OnChange has one caller.
	lastView *control.View
}

// New returns a router without upstreams.
func New(c Config) *Router {
	if c.Guard == nil {
		c.Guard = quarantine.NewGuard()
	}
	return &Router{
		config: c, table: place.NewTable(rand.IntN(1 << 16)), budgets: map[string]*retry.Budget{}, hedges: map[string]*hedge.Policy{},
		retryEstimators: map[string]*place.RetryEstimator{}, demands: map[string]*place.Demand{},
		longestPatience: map[string]time.Duration{}, generations: newGenerations(), reservations: newReservationIDs(), changed: make(chan struct{}), entryCount: 1, started: time.Now(),
	}
}

// OnChange updates the upstreams from a new view.
func (r *Router) OnChange(view *control.View) {
	upstreams := coordinator.Upstreams(view)
	for i, u := range upstreams {
		if u.Role == place.RoleDecode {
			upstreams[i].Capacity = int(float64(u.Capacity) * memoryShareFor(len(view.Sessions)))
		}
	}
	r.logChanges(view)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryCount = max(1, len(view.Sessions))
	r.table.Set(upstreams, r.entryCount)
	sessions := make(map[uint64]bool, len(view.Sessions))
	for id := range view.Sessions {
		sessions[id] = true
	}
	r.table.RetainSessions(sessions)
	for _, d := range r.demands {
		d.RetainSessions(sessions)
	}
	r.notifyWaiters()
}

const (
	// engineMemoryShare is the share of an engine's KV-cache memory in which requests are placed. The rest is headroom
	// for generations that grow longer than expected: an engine out of memory preempts a request and recomputes it.
	engineMemoryShare = 0.93
	// entryHeadroomShare is the share of an engine's memory that stays free for each entry beyond the first. It covers
	// requests that an entry has placed there and that the other entries do not know of yet.
	entryHeadroomShare = 0.0075
	// minMemoryShare is the lower limit of the share in large fleets.
	minMemoryShare = 0.7
)

// memoryShareFor returns the share of an engine's memory that the given number of entries may fill with requests.
func memoryShareFor(entries int) float64 {
	return max(minMemoryShare, engineMemoryShare-entryHeadroomShare*float64(max(0, entries-1)))
}

// notifyWaiters wakes the requests that wait for an upstream. The caller must hold r.mu.
func (r *Router) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Ready reports whether the router has a current configuration.
func (r *Router) Ready() bool {
	return r.config.Control.View().Document != nil && r.config.Control.Age() < r.config.FreshFor
}

// allowRetry takes one retry from the retry budget of a service and reports whether the budget allows it.
func (r *Router) allowRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).AllowShared(time.Now(), r.config.RetryPercent, r.budgetEntries(), r.knownPart())
}

// knownPart returns the part of the entries whose use the coordinator knows, counting this one. The caller must hold r.mu.
func (r *Router) knownPart() float64 {
	return float64(max(1, r.entryCount-r.silentEntries)) / float64(r.entryCount)
}

// budgetEntries returns the number of entries that the retry budget counts. The other entries report as one. The caller
// must hold r.mu.
func (r *Router) budgetEntries() int {
	if r.othersReport {
		return min(r.entryCount, 2)
	}
	return r.entryCount
}

func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).CountRequest(time.Now())
}

func (r *Router) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.WithFloor(r.config.RetryFloor)
		r.budgets[service] = b
	}
	return b
}

// connections returns this entry's share of the limit on connections to one upstream, or 0 if there is no limit.
func (r *Router) connections(s *document.Service) int {
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, s.MaxConnections/r.entryCount)
}

// pick chooses an upstream. If all are busy or pause, pick waits for a free upstream until the given time, unless all pause for
// longer.
func (r *Router) pick(ctx context.Context, need place.Need, until time.Time) (place.Upstream, error) {
	for {
		r.mu.Lock()
		u, err := r.table.Pick(time.Now(), need)
		changed := r.changed
		r.mu.Unlock()
		left := time.Until(until)
		if !place.MayWait(err, left) {
			return u, err
		}
		// The timer lets the request retry upstreams that reported to be full, even if nothing else changes.
		timer := time.NewTimer(min(left, place.FullBackoff))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return u, eris.Wrap(context.Cause(ctx), "wait for an upstream")
		}
		timer.Stop()
	}
}

// Loads implements usage.Loads. It leaves out engines, unless this entry has ejected them, because the coordinator knows
// their generations.
func (r *Router) Loads() []place.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(r.table.Loads(time.Now()), func(l place.Load) bool { return l.Engine && !l.Ejected })
}

// PrefillSpeed implements usage.Loads.
func (r *Router) PrefillSpeed() (rate float64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.PrefillSpeed()
}

// Generations implements usage.Loads.
func (r *Router) Generations() []place.Generation { return r.generations.list() }

// Observe implements usage.Loads.
func (r *Router) Observe(session uint64, loads []place.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Observe(time.Now(), session, loads)
	r.notifyWaiters()
}

// Demand returns the resource demand of an average generation of a service, and false while the demand is unknown.
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
	return order.Demand{PrefillTime: r.table.PrefillTime(d.Prompt), DecodeTime: time.Duration(float64(d.MemoryTime) / (float64(s.Engine.CacheTokens) * engineMemoryShare))}, true
}

// Demands implements usage.Loads.
func (r *Router) Demands() map[string]place.DemandTotal {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := make(map[string]place.DemandTotal, len(r.demands))
	for service, d := range r.demands {
		totals[service] = d.LocalTotal()
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

// demand returns the demand record of a service. The caller must hold r.mu.
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
	r.othersReport = true
	for _, t := range totals {
		r.budget(t.Service).AddSummedTotals(now, session, r.entryCount-1, t.Requests, t.Retries)
	}
}

// ObserveSilent implements usage.Loads.
func (r *Router) ObserveSilent(entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentEntries = entries
}

// endAttempt records the outcome of an attempt.
func (r *Router) endAttempt(u place.Upstream, need place.Need, outcome place.Outcome) {
	r.mu.Lock()
	now := time.Now()
	ejected := r.table.End(now, u, need, outcome)
	if need.Role != place.RolePrefill {
		r.retryEstimator(need.Service).RecordCompletion(now)
	}
	r.notifyWaiters()
	r.mu.Unlock()
	if ejected > 0 {
		r.logEjected(u, outcome, ejected)
	}
}

// Check decides from the header of a request, before its body is read, whether any request like it may be served. Otherwise it writes a
// refusal.
func (r *Router) Check(x *http1.Exchange) bool {
	q := &request{router: r, x: x, call: r.config.Codec.ReadCall(&x.Request.Header)}
	for _, filter := range []func() *refusal{q.findDocument, q.findRoute, q.findCustomer} {
		if refused := filter(); refused != nil {
			q.refuse(refused)
			q.finish()
			return false
		}
	}
	return true
}

// Serve implements http1.Handler.
func (r *Router) Serve(x *http1.Exchange) {
	q := &request{router: r, x: x, call: r.config.Codec.ReadCall(&x.Request.Header)}
	defer q.finish()
	for _, filter := range []func() *refusal{q.findDocument, q.findRoute, q.findCustomer, q.chooseService, q.checkPrompt, q.charge} {
		if refused := filter(); refused != nil {
			q.refuse(refused)
			return
		}
	}
	r.countRequest(q.service)
	if q.route.Stream {
		q.serveStream()
	} else {
		q.servePlain()
	}
}
