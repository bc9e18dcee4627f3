// Package order sends orders to engines: which models to load and which role to take.
package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// Kinds of orders.
const (
	Load    = "load"
	Unload  = "unload"
	SetRole = "setRole"
)

// Engine roles.
const (
	rolePrefill = "prefill"
	roleDecode  = "decode"
)

// Order instructs one engine to change its models or its role.
type Order struct {
	// ID identifies the order. It stays the same when the order is sent again.
	ID string `json:"orderId"`
	// Fence is the fencing token; it increases with each holder of the order lease.
	Fence uint64 `json:"fence"`
	// Kind is Load, Unload or SetRole.
	Kind  string `json:"kind"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`

	// Upstream and Address identify the engine that receives the order.
	Upstream string `json:"-"`
	Address  string `json:"-"`
	// Bytes is the size of a load's download from the weight store; 0 means unknown.
	Bytes int64 `json:"-"`
}

// Planner plans orders from the configuration. Each engine gets one order at a time; the next one waits until the
// engine announces the result or the order times out.
type Planner struct {
	// pending holds the order of each engine that has not announced the result, and the deadline of the order. An empty
	// order marks an engine that did not accept its last order.
	pending map[string]pendingOrder
	// nextLoad is when the weight store has capacity for another load.
	nextLoad time.Time
}

type pendingOrder struct {
	order Order
	until time.Time
}

const (
	// orderTimeout is how long an engine may take to announce the result of an order.
	orderTimeout = 2 * time.Minute
	// retryDelay is how long an engine that did not accept an order gets no other order.
	retryDelay = 10 * time.Second
)

// NewPlanner returns a planner for a new holder of the order lease. The first load is delayed until a load that the
// previous holder may have just started no longer uses the weight store's rate. The delay is the load time of the
// largest model.
func NewPlanner(now time.Time, set *config.Set) *Planner {
	var largest int64
	for _, pool := range set.Pools {
		largest = max(largest, pool.ModelBytes)
	}
	return &Planner{pending: map[string]pendingOrder{}, nextLoad: now.Add(loadTime(set, largest))}
}

func loadTime(set *config.Set, bytes int64) time.Duration {
	rate := set.Fleet.WeightStoreBytesPerSecond
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// Plan returns the orders to send now, at most one per engine.
func (p *Planner) Plan(now time.Time, view *control.View) []Order {
	p.removeFinished(now, view)
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(view.Config.Pools)) {
		pool := view.Config.Pools[name]
		if pool.Kind != config.PoolEngine {
			continue
		}
		engines := enginesOf(view, name)
		orders = append(orders, p.planRoles(now, pool, engines)...)
		orders = append(orders, p.planModels(now, view.Config, pool, engines)...)
	}
	return orders
}

// removeFinished removes orders that were carried out, that timed out or whose engine no longer accepts work.
func (p *Planner) removeFinished(now time.Time, view *control.View) {
	for id, pending := range p.pending {
		u := view.Upstreams[id]
		if u == nil || !control.AcceptsRequests(u) || now.After(pending.until) || done(u, pending.order) {
			delete(p.pending, id)
		}
	}
}

func done(u *fleetpb.Upstream, o Order) bool {
	switch o.Kind {
	case Load:
		return slices.Contains(u.Models, o.Model)
	case Unload:
		return !slices.Contains(u.Models, o.Model)
	case SetRole:
		return u.Role == o.Role
	default:
		return false
	}
}

func enginesOf(view *control.View, pool string) []*fleetpb.Upstream {
	var engines []*fleetpb.Upstream
	for _, u := range view.Upstreams {
		if u.Pool == pool && u.Kind == "engine" && control.AcceptsRequests(u) {
			engines = append(engines, u)
		}
	}
	slices.SortFunc(engines, func(a, b *fleetpb.Upstream) int { return cmp.Compare(a.Id, b.Id) })
	return engines
}

// planRoles changes one role at a time, so that the effect of each change is visible before the next one.
func (p *Planner) planRoles(now time.Time, pool *config.Pool, engines []*fleetpb.Upstream) []Order {
	if pool.PrefillEngines == 0 {
		return nil
	}
	prefill := 0
	for _, u := range engines {
		if pending, ok := p.pending[u.Id]; ok && pending.order.Kind == SetRole {
			return nil
		}
		if u.Role == rolePrefill {
			prefill++
		}
	}
	from, to := roleDecode, rolePrefill
	if prefill > pool.PrefillEngines {
		from, to = rolePrefill, roleDecode
	}
	if prefill == pool.PrefillEngines {
		return nil
	}
	for _, u := range engines {
		if _, busy := p.pending[u.Id]; !busy && u.Role == from {
			return []Order{p.addPending(now, Order{Kind: SetRole, Role: to, Upstream: u.Id, Address: u.Address})}
		}
	}
	return nil
}

// planModels loads missing models in the order in which the pool lists them. An engine unloads models that the
// pool does not list only when it misses none of the pool's models.
func (p *Planner) planModels(now time.Time, set *config.Set, pool *config.Pool, engines []*fleetpb.Upstream) []Order {
	var orders []Order
	for _, u := range engines {
		if _, busy := p.pending[u.Id]; busy {
			continue
		}
		if model := firstMissing(pool.Models, u.Models); model != "" {
			if now.Before(p.nextLoad) {
				continue
			}
			p.nextLoad = now.Add(loadTime(set, pool.ModelBytes))
			orders = append(orders, p.addPending(now, Order{
				Kind: Load, Model: model, Upstream: u.Id, Address: u.Address, Bytes: pool.ModelBytes,
			}))
			continue
		}
		if model := firstMissing(u.Models, pool.Models); model != "" {
			orders = append(orders, p.addPending(now, Order{Kind: Unload, Model: model, Upstream: u.Id, Address: u.Address}))
		}
	}
	return orders
}

// firstMissing returns the first element of want that have does not contain, or "".
func firstMissing(want, have []string) string {
	for _, name := range want {
		if !slices.Contains(have, name) {
			return name
		}
	}
	return ""
}

func (p *Planner) addPending(now time.Time, o Order) Order {
	p.pending[o.Upstream] = pendingOrder{order: o, until: now.Add(orderTimeout)}
	return o
}

// Failed drops an order that the engine did not accept. The engine gets no other order for retryDelay, so that it does
// not take every load turn at the weight store.
func (p *Planner) Failed(now time.Time, o Order) {
	p.pending[o.Upstream] = pendingOrder{until: now.Add(retryDelay)}
}
