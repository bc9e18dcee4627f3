// Package policy assembles the decisions into the policy that the relay follows.
package policy

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/admit"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/limit"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/retry"
)

const (
	// tick paces the loops that borrow, expire and take turns.
	tick = 10 * time.Millisecond
	// exchangeEvery is how often entries tell each other their demand.
	exchangeEvery = 200 * time.Millisecond
	// patience is how long a request waits for tokens from an owner that answers: the time that other entries
	// need to give back what they hold, 1.6 s at most in the simulations of package limit.
	patience = 2 * time.Second
	// maxCalls bounds the concurrent calls to peers.
	maxCalls = 64
)

// Peers reaches the other entries.
type Peers interface {
	// Owner returns the session that owns a bucket, or 0.
	Owner(bucket string) uint64
	// Borrow sends a request to a session; it does not wait when that is the own one.
	Borrow(ctx context.Context, session uint64, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error)
	// ExchangeDemand sends the own demand to a session and returns its demand.
	ExchangeDemand(ctx context.Context, session uint64, d *fleetpb.Demand) (*fleetpb.Demand, error)
}

// Config configures a Policy.
type Config struct {
	// Session returns the own session ID, 0 while there is none.
	Session func() uint64
	// LeaseValid says whether the own session is valid by the own clock. Borrowed tokens are only spent while
	// it is, because the owner's successor counts on it.
	LeaseValid func() bool
	// View returns the newest view, never nil.
	View func() *control.View
	// FailureDomain is that of this VM; of equally loaded services the near one is chosen.
	FailureDomain string
	// Now defaults to time.Now.
	Now    func() time.Time
	Peers  Peers
	Events *event.Logger
	// Seed makes entries choose differently from the same information.
	Seed uint64
}

// Policy implements relay.Policy.
type Policy struct {
	config Config
	tokens tokens

	// set is the configuration in force.
	set atomic.Pointer[config.Set]

	// setMu orders calls of SetUpstreams.
	setMu sync.Mutex

	mu    sync.RWMutex
	pools map[string]*pool

	demandMu  sync.Mutex
	sequence  uint64
	sequences map[uint64]uint64
	idle      bool
}

var _ relay.Policy = (*Policy)(nil)

// New returns a policy without upstreams. Run must be called for it to make progress; requests that wait when
// Run ends stay until their contexts end.
func New(c Config) *Policy {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	p := &Policy{config: c, pools: map[string]*pool{}, sequences: map[uint64]uint64{}}
	p.set.Store(config.NewSet())
	p.tokens.init(c)
	return p
}

// Run borrows tokens, exchanges demand and ends requests that waited too long, until the context ends.
func (p *Policy) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.tokens.run(ctx) })
	group.Go(func() error { return every(ctx, tick, p.tickPools) })
	group.Go(func() error { return p.exchange(ctx) })
	return group.Wait()
}

// every calls f at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}

func (p *Policy) pool(name string) *pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[name]
}

func (p *Policy) all() []*pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]*pool, 0, len(p.pools))
	for _, one := range p.pools {
		all = append(all, one)
	}
	return all
}

// SetUpstreams implements relay.Policy.
func (p *Policy) SetUpstreams(upstreams map[string]*fleetpb.Upstream, set *config.Set) {
	p.set.Store(set)
	byPool := map[string]map[string]*fleetpb.Upstream{}
	for id, u := range upstreams {
		if byPool[u.Pool] == nil {
			byPool[u.Pool] = map[string]*fleetpb.Upstream{}
		}
		byPool[u.Pool][id] = u
	}
	p.mu.Lock()
	for name := range set.Pools {
		if p.pools[name] == nil {
			p.pools[name] = p.newPool(name)
		}
	}
	pools := maps.Clone(p.pools)
	p.mu.Unlock()
	p.setMu.Lock()
	defer p.setMu.Unlock()
	for name, one := range pools {
		one.set(p.config.Now(), byPool[name], set.Pools[name], set.Fleet.Objective)
	}
}

// Admit implements relay.Policy. It waits for tokens first and then for a slot, and holds no lock meanwhile.
func (p *Policy) Admit(ctx context.Context, r *relay.Request) (relay.Admission, error) {
	one := p.pool(r.Pool)
	if one == nil {
		return nil, &relay.Rejection{Status: 503, Code: "pool_unavailable", Text: "the pool " + r.Pool + " does not exist", RetryAfter: time.Second}
	}
	charged := r.Customer != "" && r.Bucket != "" && r.Limit.BurstTokens > 0 && r.Charge > 0
	var mark limit.Mark
	if charged {
		var err error
		if mark, err = p.tokens.take(ctx, r); err != nil {
			return nil, err
		}
	}
	item, err := one.wait(ctx, r)
	if err != nil {
		if charged {
			p.tokens.refund(r.Bucket, r.Limit, mark, r.Charge)
		}
		return nil, err
	}
	one.count(p.config.Now())
	return &admission{policy: p, pool: one, item: item, request: r, charged: charged, mark: mark}, nil
}

type admission struct {
	policy  *Policy
	pool    *pool
	item    *admit.Item
	request *relay.Request
	charged bool
	// mark is that of the charge.
	mark limit.Mark
	once sync.Once
}

// Release implements relay.Admission.
func (a *admission) Release(used int64) {
	a.once.Do(func() {
		a.pool.done(a.request, a.item, used > 0 || a.request.Charge == 0)
		if a.charged && used < a.request.Charge {
			a.policy.tokens.refund(a.request.Bucket, a.request.Limit, a.mark, a.request.Charge-max(0, used))
		}
	})
}

// PickEngines implements relay.Policy.
func (p *Policy) PickEngines(r *relay.Request, exclude []string) (prefill, decode relay.Upstream, err error) {
	one := p.pool(r.Pool)
	if one == nil {
		return prefill, decode, relay.ErrNoUpstream
	}
	now := p.config.Now()
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.route.PickEngines(now, r, exclude)
}

// PickDecode implements relay.Policy.
func (p *Policy) PickDecode(r *relay.Request, prefill relay.Upstream, exclude []string) (relay.Upstream, error) {
	one := p.pool(r.Pool)
	if one == nil {
		return relay.Upstream{}, relay.ErrNoUpstream
	}
	now := p.config.Now()
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.route.PickDecode(now, r, prefill, exclude)
}

// PickService implements relay.Policy.
func (p *Policy) PickService(r *relay.Request, exclude []string) (relay.Upstream, error) {
	one := p.pool(r.Pool)
	if one == nil {
		return relay.Upstream{}, relay.ErrNoUpstream
	}
	now := p.config.Now()
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.route.PickService(now, exclude)
}

// Started implements relay.Policy.
func (p *Policy) Started(r *relay.Request, upstream relay.Upstream, stage relay.Stage) {
	if one := p.pool(r.Pool); one != nil {
		now := p.config.Now()
		one.mu.Lock()
		defer one.mu.Unlock()
		one.route.Started(now, r, upstream.ID, stage)
	}
}

// Observe implements relay.Policy.
func (p *Policy) Observe(o relay.Outcome) {
	if o.Request == nil {
		return
	}
	if one := p.pool(o.Request.Pool); one != nil {
		one.observe(p.config.Now(), o)
	}
}

// AllowRetry implements relay.Policy. A retry needs room in the budget, and time for a first token before the
// request's deadline.
func (p *Policy) AllowRetry(r *relay.Request) bool {
	one := p.pool(r.Pool)
	if one == nil {
		return false
	}
	now := p.config.Now()
	one.mu.Lock()
	defer one.mu.Unlock()
	if r.Profile != nil && !retry.InTime(now, r.Arrived.Add(time.Duration(r.Profile.RequestTimeout)), one.firstToken()) {
		return false
	}
	return one.budget.Allow(now, p.set.Load().Fleet.RetryPercent)
}

// ObserveLoad implements relay.Policy.
func (p *Policy) ObserveLoad(upstreamID string, load relay.Load) {
	now := p.config.Now()
	for _, one := range p.all() {
		one.mu.Lock()
		one.route.ObserveLoad(now, upstreamID, load)
		one.mu.Unlock()
	}
}

// ObserveCache implements relay.Policy.
func (p *Policy) ObserveCache(upstreamID string, incarnation uint64, e relay.CacheEvent) {
	now := p.config.Now()
	for _, one := range p.all() {
		one.mu.Lock()
		one.route.ObserveCache(now, upstreamID, incarnation, e)
		one.mu.Unlock()
	}
}

func (p *Policy) tickPools() {
	now := p.config.Now()
	for _, one := range p.all() {
		one.tick(now)
	}
}

// weight is a customer's weight in the configuration in force.
func (p *Policy) weight(customer string) int {
	if c := p.set.Load().Customers[customer]; c != nil {
		return c.Weight
	}
	return 1
}

// borrowRequest and fromResponse convert between package limit and the messages.
func borrowRequest(r limit.Request) *fleetpb.BorrowRequest {
	return &fleetpb.BorrowRequest{
		SessionId: r.Session, Sequence: r.Sequence, Customer: r.Bucket, Unspent: r.Unspent, Want: r.Want,
		Returned: r.Returned, Refund: r.Refund, ChargedSequence: r.Charged,
	}
}

func fromResponse(r *fleetpb.BorrowResponse) limit.Response {
	return limit.Response{Sequence: r.Sequence, Held: r.Held, RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond}
}
