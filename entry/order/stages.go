package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// Demand is what an average generation asks of the engines of a service.
type Demand struct {
	// Read is how long one prefill engine reads its prompt. Hold is how long it takes all the room of one decode engine:
	// the time of its answer times the part of the room that it takes.
	Read, Hold time.Duration
}

const (
	// worthSwitching is by how much the generations in a second must grow for an engine to change its role, which takes
	// it out of service for seconds.
	worthSwitching = 1.15
	// settleFor is how long the engines must have stayed the same before a change: an engine that starts again is back
	// by then.
	settleFor = 1500 * time.Millisecond
	// switchTimeout is how long an engine may take to announce its new role.
	switchTimeout = 20 * time.Second
)

// Stages plans the roles of engines by demand. It answers a service that lost engines, or whose prompts and answers
// changed, so that one stage limits what the other could serve. It changes one engine at a time.
type Stages struct {
	// Demand returns what an average generation of a service asks for, and false while that is not known.
	Demand func(service string) (Demand, bool)

	pending map[string]pending
	counts  map[string][2]int
	since   map[string]time.Time
}

// Plan implements Plans.
func (p *Stages) Plan(now time.Time, view *control.View) []Order {
	if p.pending == nil {
		p.pending, p.counts, p.since = map[string]pending{}, map[string][2]int{}, map[string]time.Time{}
	}
	for id, waiting := range p.pending {
		u := view.Upstreams[id]
		if u == nil || !control.Accepts(u) || now.After(waiting.until) || u.Role == waiting.order.Role {
			delete(p.pending, id)
		}
	}
	byService := map[string][]*fleetpb.Upstream{}
	for _, u := range view.Upstreams {
		if u.Kind == "engine" && control.Accepts(u) {
			byService[u.Pool] = append(byService[u.Pool], u)
		}
	}
	var orders []Order
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		engines := byService[service]
		slices.SortFunc(engines, func(a, b *fleetpb.Upstream) int { return cmp.Compare(a.Id, b.Id) })
		if o, ok := p.planService(now, service, engines); ok {
			p.pending[o.Upstream] = pending{order: o, until: now.Add(switchTimeout)}
			orders = append(orders, o)
		}
	}
	return orders
}

// Pending says whether an engine has an order that it has not announced yet.
func (p *Stages) Pending() bool { return len(p.pending) > 0 }

func (p *Stages) planService(now time.Time, service string, engines []*fleetpb.Upstream) (Order, bool) {
	var counts [2]int
	for _, u := range engines {
		if _, busy := p.pending[u.Id]; busy {
			return Order{}, false
		}
		switch u.Role {
		case rolePrefill:
			counts[0]++
		case roleDecode:
			counts[1]++
		}
	}
	if p.counts[service] != counts {
		p.counts[service], p.since[service] = counts, now
	}
	demand, ok := p.Demand(service)
	if !ok || now.Sub(p.since[service]) < settleFor {
		return Order{}, false
	}
	from, to := rolePrefill, roleDecode
	switch step := step(counts[0], counts[1], demand); step {
	case 0:
		return Order{}, false
	case 1:
		from, to = roleDecode, rolePrefill
	}
	for _, u := range engines {
		if u.Role == from {
			return Order{Kind: SetRole, Role: to, Upstream: u.Id, Address: u.Address}, true
		}
	}
	return Order{}, false
}

// rate is how many generations in a second the engines can serve.
func rate(prefill, decode int, d Demand) float64 {
	return min(float64(prefill)/d.Read.Seconds(), float64(decode)/d.Hold.Seconds())
}

// step returns 1 when one more prefill engine serves enough more generations, -1 when one fewer does, and 0 otherwise.
func step(prefill, decode int, d Demand) int {
	// A service whose engines all have one stage was set up without the other one.
	if d.Read <= 0 || d.Hold <= 0 || prefill == 0 || decode == 0 {
		return 0
	}
	now := rate(prefill, decode, d)
	switch {
	case decode > 1 && rate(prefill+1, decode-1, d) > now*worthSwitching:
		return 1
	case prefill > 1 && rate(prefill-1, decode+1, d) > now*worthSwitching:
		return -1
	}
	return 0
}

// Failed implements Plans. The engine may still carry the order out, so that it gets no other one for a while.
func (p *Stages) Failed(now time.Time, o Order) {
	p.pending[o.Upstream] = pending{order: o, until: now.Add(retryAfter)}
}
