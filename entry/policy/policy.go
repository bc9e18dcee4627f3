// Package policy implements relay.Policy: it combines token limits, admission, routing and the retry budget.
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
	// tickInterval is the interval of the loops that borrow tokens, expire requests and dispatch queues.
	tickInterval = 10 * time.Millisecond
	// exchangeInterval is the interval at which entries exchange their demand.
	exchangeInterval = 200 * time.Millisecond
	// maxTokenWait bounds the wait for tokens while the owner responds. Other entries need up to 1.6 s to return
	// the tokens that they hold, according to the simulations of package limit.
	maxTokenWait = 2 * time.Second
	// maxPeerCalls bounds the concurrent calls to peers.
	maxPeerCalls = 64
)

// Peers calls other entries.
type Peers interface {
	// Owner returns the session that owns a bucket, or 0 if there is none.
	Owner(bucket string) uint64
	// Borrow sends a request to the owner's session. It does not block if this entry is the owner.
	Borrow(ctx context.Context, session uint64, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error)
	// ExchangeDemand sends the demand of this entry to another session and returns the demand of that session.
	ExchangeDemand(ctx context.Context, session uint64, d *fleetpb.Demand) (*fleetpb.Demand, error)
}

// Config configures a Policy.
type Config struct {
	// Session returns the ID of this entry's session, or 0 while there is none.
	Session func() uint64
	// LeaseValid reports whether the session of this entry is valid by the local clock. Borrowed tokens are spent only
	// while the session is valid, because a new owner assumes that an ended session spends no more tokens.
	LeaseValid func() bool
	// View returns the newest view. It never returns nil.
	View func() *control.View
	// FailureDomain is the failure domain of this VM. Among equally loaded services, one in this domain is preferred.
	FailureDomain string
	// Now defaults to time.Now.
	Now    func() time.Time
	Peers  Peers
	Events *event.Logger
	// Seed makes entries choose different upstreams when they have the same information.
	Seed uint64
}

// Policy implements relay.Policy.
type Policy struct {
	config  Config
	limiter tokenLimiter

	// configSet is the configuration in force.
	configSet atomic.Pointer[config.Set]

	// setUpstreamsMu serializes calls of SetUpstreams.
	setUpstreamsMu sync.Mutex

	mu    sync.RWMutex
	pools map[string]*poolState

	demandMu sync.Mutex
	// demandSequence numbers the demand messages of this entry.
	demandSequence uint64
	// peerSequences is the latest sequence number received from each session.
	peerSequences map[uint64]uint64
	// wasIdle is true if the previous exchange found no local demand.
	wasIdle bool
}

var _ relay.Policy = (*Policy)(nil)

// New returns a policy without upstreams. Requests make progress only while Run is active. Requests that are waiting
// when Run returns wait until their contexts end.
func New(c Config) *Policy {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	p := &Policy{config: c, pools: map[string]*poolState{}, peerSequences: map[uint64]uint64{}}
	p.configSet.Store(config.NewSet())
	p.limiter.init(c)
	return p
}

// Run borrows tokens, exchanges demand and refuses requests that waited too long, until the context ends.
func (p *Policy) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.limiter.run(ctx) })
	group.Go(func() error { return runEvery(ctx, tickInterval, p.dispatchPools) })
	group.Go(func() error { return p.exchangeDemand(ctx) })
	return group.Wait()
}

// runEvery calls f once per interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) error {
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

func (p *Policy) pool(name string) *poolState {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[name]
}

func (p *Policy) allPools() []*poolState {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]*poolState, 0, len(p.pools))
	for _, pool := range p.pools {
		all = append(all, pool)
	}
	return all
}

// SetUpstreams implements relay.Policy.
func (p *Policy) SetUpstreams(upstreams map[string]*fleetpb.Upstream, set *config.Set) {
	p.configSet.Store(set)
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
	p.setUpstreamsMu.Lock()
	defer p.setUpstreamsMu.Unlock()
	for name, pool := range pools {
		pool.configure(p.config.Now(), byPool[name], set.Pools[name], set.Fleet.Objective)
	}
}

// Admit implements relay.Policy. It waits for tokens and then for a slot, without holding a lock.
func (p *Policy) Admit(ctx context.Context, r *relay.Request) (relay.Admission, error) {
	pool := p.pool(r.Pool)
	if pool == nil {
		return nil, &relay.Rejection{
			Status: 503, Code: "pool_unavailable", Text: "the pool " + r.Pool + " does not exist", RetryAfter: time.Second,
		}
	}
	charged := r.Customer != "" && r.Bucket != "" && r.Limit.BurstTokens > 0 && r.Charge > 0
	var mark limit.ChargeMark
	if charged {
		var err error
		if mark, err = p.limiter.charge(ctx, r); err != nil {
			return nil, err
		}
	}
	item, err := pool.awaitSlot(ctx, r)
	if err != nil {
		if charged {
			p.limiter.refund(r.Bucket, r.Limit, mark, r.Charge)
		}
		return nil, err
	}
	pool.countRequest(p.config.Now())
	return &admission{policy: p, pool: pool, item: item, request: r, charged: charged, mark: mark}, nil
}

type admission struct {
	policy  *Policy
	pool    *poolState
	item    *admit.Item
	request *relay.Request
	charged bool
	// mark identifies when the tokens were charged.
	mark limit.ChargeMark
	once sync.Once
}

// Release implements relay.Admission.
func (a *admission) Release(used int64) {
	a.once.Do(func() {
		a.pool.release(a.request, a.item, used > 0 || a.request.Charge == 0)
		if a.charged && used < a.request.Charge {
			a.policy.limiter.refund(a.request.Bucket, a.request.Limit, a.mark, a.request.Charge-max(0, used))
		}
	})
}

// PickEngines implements relay.Policy.
func (p *Policy) PickEngines(r *relay.Request, exclude []string) (prefill, decode relay.Upstream, err error) {
	pool := p.pool(r.Pool)
	if pool == nil {
		return prefill, decode, relay.ErrNoUpstream
	}
	now := p.config.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.route.PickEngines(now, r, exclude)
}

// PickDecode implements relay.Policy.
func (p *Policy) PickDecode(r *relay.Request, prefill relay.Upstream, exclude []string) (relay.Upstream, error) {
	pool := p.pool(r.Pool)
	if pool == nil {
		return relay.Upstream{}, relay.ErrNoUpstream
	}
	now := p.config.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.route.PickDecode(now, r, prefill, exclude)
}

// PickService implements relay.Policy.
func (p *Policy) PickService(r *relay.Request, exclude []string) (relay.Upstream, error) {
	pool := p.pool(r.Pool)
	if pool == nil {
		return relay.Upstream{}, relay.ErrNoUpstream
	}
	now := p.config.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.route.PickService(now, exclude)
}

// Started implements relay.Policy.
func (p *Policy) Started(r *relay.Request, upstream relay.Upstream, stage relay.Stage) {
	if pool := p.pool(r.Pool); pool != nil {
		now := p.config.Now()
		pool.mu.Lock()
		defer pool.mu.Unlock()
		pool.route.Started(now, r, upstream.ID, stage)
	}
}

// Observe implements relay.Policy.
func (p *Policy) Observe(o relay.Outcome) {
	if o.Request == nil {
		return
	}
	if pool := p.pool(o.Request.Pool); pool != nil {
		pool.observe(p.config.Now(), o)
	}
}

// AllowRetry implements relay.Policy. A retry is allowed if the retry budget permits and the first token is expected
// before the request's deadline.
func (p *Policy) AllowRetry(r *relay.Request) bool {
	pool := p.pool(r.Pool)
	if pool == nil {
		return false
	}
	now := p.config.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if r.Profile != nil &&
		!retry.InTime(now, r.Arrived.Add(time.Duration(r.Profile.RequestTimeout)), pool.expectedFirstToken()) {
		return false
	}
	return pool.budget.Allow(now, p.configSet.Load().Fleet.RetryPercent)
}

// ObserveLoad implements relay.Policy.
func (p *Policy) ObserveLoad(upstreamID string, load relay.Load) {
	now := p.config.Now()
	for _, pool := range p.allPools() {
		pool.mu.Lock()
		pool.route.ObserveLoad(now, upstreamID, load)
		pool.mu.Unlock()
	}
}

// ObserveCache implements relay.Policy.
func (p *Policy) ObserveCache(upstreamID string, incarnation uint64, e relay.CacheEvent) {
	now := p.config.Now()
	for _, pool := range p.allPools() {
		pool.mu.Lock()
		pool.route.ObserveCache(now, upstreamID, incarnation, e)
		pool.mu.Unlock()
	}
}

func (p *Policy) dispatchPools() {
	now := p.config.Now()
	for _, pool := range p.allPools() {
		pool.dispatchWaiting(now)
	}
}

// customerWeight returns the weight of a customer in the configuration in force, or 1 for an unknown customer.
func (p *Policy) customerWeight(customer string) int {
	if c := p.configSet.Load().Customers[customer]; c != nil {
		return c.Weight
	}
	return 1
}

// toBorrowRequest converts a request of package limit to its wire message.
func toBorrowRequest(r limit.Request) *fleetpb.BorrowRequest {
	return &fleetpb.BorrowRequest{
		SessionId: r.Session, Sequence: r.Sequence, Customer: r.Bucket, Unspent: r.Unspent, Want: r.Want,
		Returned: r.Returned, Refund: r.Refund, ChargedSequence: r.Charged,
	}
}

// fromBorrowResponse converts a wire message to a response of package limit.
func fromBorrowResponse(r *fleetpb.BorrowResponse) limit.Response {
	return limit.Response{
		Sequence: r.Sequence, Held: r.Held, RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
	}
}
