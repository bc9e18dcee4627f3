package policy

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/admit"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/retry"
	"azuredoor.example/entry/route"
)

// defaultSlots is the number of slots assumed for an upstream that announces none.
const defaultSlots = 64

// minStartWindow is the minimum time that a request gets to start when its latest start for the first-token target has
// passed but its queue timeout has not.
const minStartWindow = 50 * time.Millisecond

// poolState holds the admission queue, routing, retry budget and prefill limit of one configured pool under one lock.
type poolState struct {
	policy *Policy
	name   string
	// upstreams and spec are the arguments of the last call of configure, which Policy.setUpstreamsMu serializes.
	upstreams map[string]*fleetpb.Upstream
	spec      *config.Pool

	mu       sync.Mutex
	queue    *admit.Queue
	route    *route.Pool
	budget   *retry.Budget
	prefills prefillLimiter
	session  uint64
	// prefillTime is the moving average of the duration of a prefill, firstTokenTime of the time to the first token of
	// a decode, and serviceTime of the duration of a call to a plain service.
	prefillTime, firstTokenTime, serviceTime time.Duration
}

func (p *Policy) newPool(name string) *poolState {
	s := &poolState{
		policy: p, name: name, budget: retry.New(),
		route: route.NewPool(p.config.Seed^xxhash.Sum64String(name), p.config.FailureDomain),
		queue: admit.New(admit.Options{Weight: p.customerWeight}),
	}
	s.prefills.init()
	return s
}

// configure sets the pool's upstreams, specification and objective. An unchanged upstream or specification keeps its
// pointer, so comparing pointers finds changes.
func (s *poolState) configure(
	now time.Time, upstreams map[string]*fleetpb.Upstream, spec *config.Pool, objective config.Objective,
) {
	changed := s.spec != spec || !maps.Equal(s.upstreams, upstreams)
	s.spec, s.upstreams = spec, upstreams
	list := make([]*fleetpb.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if u.Slots == 0 {
			u = &fleetpb.Upstream{
				Id: u.Id, Incarnation: u.Incarnation, Address: u.Address, Kind: u.Kind, Role: u.Role,
				Pool: u.Pool, Models: u.Models, FailureDomain: u.FailureDomain, Slots: defaultSlots, State: u.State, Desired: u.Desired,
			}
		}
		list = append(list, u)
	}
	linkRate := int64(0)
	if spec != nil {
		linkRate = spec.LinkBytesPerSecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if changed {
		s.route.Set(list, linkRate)
		s.queue.SetSlots(s.route.AllSlots())
	}
	s.queue.SetObjective(objective)
	s.queue.ReloadWeights()
	s.dispatch(now)
}

func (s *poolState) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.CountRequest(now)
}

// expectedFirstToken returns the expected time from the start of a request to its first token or response.
func (s *poolState) expectedFirstToken() time.Duration {
	return s.prefillTime + s.firstTokenTime + s.serviceTime
}

// awaitSlot queues a request and waits until it is started or refused, or until the context ends.
func (s *poolState) awaitSlot(ctx context.Context, r *relay.Request) (*admit.Item, error) {
	now := s.policy.config.Now()
	item := &admit.Item{
		Customer: r.Customer, Work: max(1, r.Charge, int64(r.PromptTokens+r.MaxTokens)), Arrived: r.Arrived,
		Ready: make(chan bool, 1),
	}
	s.mu.Lock()
	item.LatestStart = now.Add(time.Minute)
	if r.Profile != nil {
		item.Class = min(max(r.Profile.Priority, 0), admit.Classes-1)
		item.LatestStart = s.latestStart(now, r)
	}
	if refusal := s.queue.Offer(now, item); refusal != nil {
		s.mu.Unlock()
		return nil, overloaded(refusal.RetryAfter)
	}
	s.prefills.add(r, item)
	s.dispatch(now)
	s.mu.Unlock()
	select {
	case started := <-item.Ready:
		if !started {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.prefills.remove(r, item)
			return nil, overloaded(time.Second)
		}
		return item, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.prefills.remove(r, item)
		if !s.queue.Cancel(item) {
			s.queue.Done(s.policy.config.Now(), item, false)
		}
		s.dispatch(s.policy.config.Now())
		return nil, ctx.Err()
	}
}

// latestStart returns the latest time at which a request may start so that its first token is expected within the
// target, but no earlier than a quarter of the target after the arrival of the request. A request that reaches the
// admission queue after this time, because it waited for a change of the bucket owner, gets minStartWindow. The queue
// timeout bounds the result.
func (s *poolState) latestStart(now time.Time, r *relay.Request) time.Time {
	target := time.Duration(r.Profile.FirstTokenTarget)
	start := r.Arrived.Add(max(target-s.expectedFirstToken(), target/4))
	if soon := now.Add(minStartWindow); start.Before(soon) {
		start = soon
	}
	if end := r.Arrived.Add(time.Duration(r.Profile.QueueTimeout)); end.Before(start) {
		start = end
	}
	return start
}

func overloaded(retryAfter time.Duration) *relay.Rejection {
	return &relay.Rejection{
		Status: 503, Code: "overloaded", Text: "the request cannot start in time for its target",
		RetryAfter: max(retryAfter, 100*time.Millisecond),
	}
}

// dispatch starts waiting requests as slots and the prefill limit permit, and refuses those that cannot start in time.
// The caller holds s.mu.
func (s *poolState) dispatch(now time.Time) {
	if session := s.policy.config.Session(); session != s.session {
		s.session = session
		s.queue.SetSession(session)
	}
	for item := s.queue.Expire(now); item != nil; item = s.queue.Expire(now) {
		item.Ready <- false
	}
	engines, entries := s.route.PrefillEngines(), s.queue.Entries()
	for !s.prefills.full(engines, entries) {
		item := s.queue.Next(now)
		if item == nil {
			return
		}
		if engines > 0 {
			s.prefills.prefilling[item] = struct{}{}
		}
		item.Ready <- true
	}
}

func (s *poolState) dispatchWaiting(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Waiting() > 0 {
		s.dispatch(now)
	}
}

func (s *poolState) release(r *relay.Request, item *admit.Item, ran bool) {
	now := s.policy.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefills.remove(r, item)
	s.queue.Done(now, item, ran)
	s.dispatch(now)
}

func (s *poolState) observe(now time.Time, o relay.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route.Observe(now, o)
	if o.Kind != relay.Succeeded {
		return
	}
	switch o.Stage {
	case relay.StagePrefill:
		s.prefillTime += (o.Elapsed - s.prefillTime) / 16
		s.prefills.prefillEnded(o.Request, o.Elapsed, o.Tokens-o.CachedTokens)
		s.dispatch(now)
	case relay.StageDecode:
		s.firstTokenTime += (o.FirstToken - s.firstTokenTime) / 16
	case relay.StageService:
		s.serviceTime += (o.Elapsed - s.serviceTime) / 16
	}
}

// appendDemand appends the demand of the pool to a message for other entries. It reports whether any request of the
// pool is waiting or running.
func (s *poolState) appendDemand(d *fleetpb.Demand) (busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	poolDemand := &fleetpb.PoolDemand{Pool: s.name}
	poolDemand.Requests, poolDemand.Retries = s.budget.Totals()
	s.queue.Demand(func(customer string, c admit.Demand) {
		poolDemand.Customers = append(poolDemand.Customers, &fleetpb.CustomerDemand{
			Customer: customer, Waiting: uint32(c.Waiting), Running: uint32(c.Running),
		})
	})
	d.Pools = append(d.Pools, poolDemand)
	return len(poolDemand.Customers) > 0
}

// setPeerDemand replaces the demand of another entry and adds that entry's requests and retries to the retry budget.
func (s *poolState) setPeerDemand(now time.Time, session uint64, poolDemand *fleetpb.PoolDemand) {
	demand := make(map[string]admit.Demand, len(poolDemand.Customers))
	for _, c := range poolDemand.Customers {
		demand[c.Customer] = admit.Demand{Waiting: int(c.Waiting), Running: int(c.Running)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(now, session, demand)
	s.budget.AddPeerTotals(now, session, poolDemand.Requests, poolDemand.Retries)
	s.dispatch(now)
}
