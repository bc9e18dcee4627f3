// Package naive implements relay.Policy as a baseline for comparisons: round robin over live upstreams, limits split
// evenly among the entries, first-come first-served admission, and a fixed number of retries per request.
package naive

import (
	"context"
	"slices"
	"sync"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/relay"
)

// maxRetries bounds the retries of one request.
const maxRetries = 2

// Policy implements relay.Policy.
type Policy struct {
	// entries returns the number of live entries.
	entries func() int

	mu      sync.Mutex
	pools   map[string]*poolState
	buckets map[string]*bucket
	retries map[*relay.Request]int
}

// New returns a policy. The entries function returns the number of live entries, which share limits and slots.
func New(entries func() int) *Policy {
	return &Policy{entries: entries, pools: map[string]*poolState{}, buckets: map[string]*bucket{}, retries: map[*relay.Request]int{}}
}

type poolState struct {
	upstreams []*fleetpb.Upstream
	nextIndex map[string]int
	slots     int
	running   int
	// waiting holds a channel for each waiting request, in order of arrival. Closing the channel admits the request.
	waiting []chan struct{}
}

type bucket struct {
	level      float64
	refilledAt time.Time
}

// admission implements relay.Admission.
type admission struct {
	policy  *Policy
	request *relay.Request
}

// Admit implements relay.Policy.
func (p *Policy) Admit(ctx context.Context, r *relay.Request) (relay.Admission, error) {
	p.mu.Lock()
	if wait, ok := p.charge(r); !ok {
		p.mu.Unlock()
		return nil, &relay.Rejection{Status: 429, Code: "rate_limit_exceeded", Text: "The customer's rate limit is exceeded.", RetryAfter: wait}
	}
	pool := p.pool(r.Pool)
	if len(pool.waiting) == 0 && pool.running < p.slotShare(pool) {
		pool.running++
		p.mu.Unlock()
		return &admission{p, r}, nil
	}
	admitted := make(chan struct{})
	pool.waiting = append(pool.waiting, admitted)
	p.mu.Unlock()
	select {
	case <-admitted:
		return &admission{p, r}, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(pool.waiting, admitted)
	if i < 0 { // the request was admitted while its context ended
		return &admission{p, r}, nil
	}
	pool.waiting = slices.Delete(pool.waiting, i, i+1)
	p.refund(r, r.Charge)
	return nil, ctx.Err()
}

// Release implements relay.Admission.
func (a *admission) Release(used int64) {
	p := a.policy
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refund(a.request, a.request.Charge-used)
	delete(p.retries, a.request)
	pool := p.pool(a.request.Pool)
	pool.running--
	p.admitWaiting(pool)
}

func (p *Policy) pool(name string) *poolState {
	pool := p.pools[name]
	if pool == nil {
		pool = &poolState{nextIndex: map[string]int{}}
		p.pools[name] = pool
	}
	return pool
}

// slotShare returns this entry's part of the pool's slots, at least 1. The pool is unbounded if its upstreams announce no
// slots.
func (p *Policy) slotShare(pool *poolState) int {
	if pool.slots == 0 {
		return 1 << 30
	}
	return max(1, pool.slots/max(1, p.entries()))
}

func (p *Policy) admitWaiting(pool *poolState) {
	for len(pool.waiting) > 0 && pool.running < p.slotShare(pool) {
		close(pool.waiting[0])
		pool.waiting = pool.waiting[1:]
		pool.running++
	}
}

// charge charges the request's tokens if the bucket holds enough. Otherwise, charge returns false and the time until the
// bucket holds enough.
func (p *Policy) charge(r *relay.Request) (time.Duration, bool) {
	if r.Limit.TokensPerSecond == 0 {
		return 0, true
	}
	entries := float64(max(1, p.entries()))
	rate, burst := float64(r.Limit.TokensPerSecond)/entries, float64(r.Limit.BurstTokens)/entries
	now := time.Now()
	b := p.buckets[r.Bucket]
	if b == nil {
		b = &bucket{level: burst, refilledAt: now}
		p.buckets[r.Bucket] = b
	}
	b.level = min(burst, b.level+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.level < float64(r.Charge) {
		return time.Duration((float64(r.Charge) - b.level) / rate * float64(time.Second)), false
	}
	b.level -= float64(r.Charge)
	return 0, true
}

func (p *Policy) refund(r *relay.Request, tokens int64) {
	if b := p.buckets[r.Bucket]; b != nil && tokens > 0 {
		burst := float64(r.Limit.BurstTokens) / float64(max(1, p.entries()))
		b.level = min(burst, b.level+float64(tokens))
	}
}

// pickNext returns the next upstream in round-robin order that is not excluded and for which accepts returns true. Each
// role has its own position in the order.
func (p *Policy) pickNext(name, role string, exclude []string, accepts func(u *fleetpb.Upstream) bool) (relay.Upstream, error) {
	pool := p.pool(name)
	for i := range pool.upstreams {
		u := pool.upstreams[(pool.nextIndex[role]+i)%len(pool.upstreams)]
		if slices.Contains(exclude, u.Id) || !accepts(u) {
			continue
		}
		pool.nextIndex[role] = (pool.nextIndex[role] + i + 1) % len(pool.upstreams)
		return relay.Upstream{ID: u.Id, Incarnation: u.Incarnation, Address: u.Address, FailureDomain: u.FailureDomain}, nil
	}
	return relay.Upstream{}, relay.ErrNoUpstream
}

func servesModel(role, model string) func(u *fleetpb.Upstream) bool {
	return func(u *fleetpb.Upstream) bool {
		return (u.Role == role || u.Role == "both") && slices.Contains(u.Models, model)
	}
}

// PickEngines implements relay.Policy.
func (p *Policy) PickEngines(r *relay.Request, exclude []string) (prefill, decode relay.Upstream, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prefill, err = p.pickNext(r.Pool, "prefill", exclude, servesModel("prefill", r.Model)); err != nil {
		return prefill, decode, err
	}
	decode, err = p.pickNext(r.Pool, "decode", exclude, servesModel("decode", r.Model))
	return prefill, decode, err
}

// PickDecode implements relay.Policy.
func (p *Policy) PickDecode(r *relay.Request, _ relay.Upstream, exclude []string) (relay.Upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickNext(r.Pool, "decode", exclude, servesModel("decode", r.Model))
}

// PickService implements relay.Policy.
func (p *Policy) PickService(r *relay.Request, exclude []string) (relay.Upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickNext(r.Pool, "", exclude, func(*fleetpb.Upstream) bool { return true })
}

// Started implements relay.Policy.
func (p *Policy) Started(*relay.Request, relay.Upstream, relay.Stage) {}

// Observe implements relay.Policy.
func (p *Policy) Observe(relay.Outcome) {}

// AllowRetry implements relay.Policy.
func (p *Policy) AllowRetry(r *relay.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retries[r] >= maxRetries {
		return false
	}
	p.retries[r]++
	return true
}

// SetUpstreams implements relay.Policy.
func (p *Policy) SetUpstreams(upstreams map[string]*fleetpb.Upstream, _ *config.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.upstreams, pool.slots = nil, 0
	}
	for _, u := range upstreams {
		if !control.AcceptsRequests(u) {
			continue
		}
		pool := p.pool(u.Pool)
		pool.upstreams = append(pool.upstreams, u)
		if u.Role != "prefill" {
			pool.slots += int(u.Slots)
		}
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool.upstreams, func(a, b *fleetpb.Upstream) int {
			if a.Id < b.Id {
				return -1
			}
			return 1
		})
		p.admitWaiting(pool)
	}
}

// ObserveLoad implements relay.Policy.
func (p *Policy) ObserveLoad(string, relay.Load) {}

// ObserveCache implements relay.Policy.
func (p *Policy) ObserveCache(string, uint64, relay.CacheEvent) {}
