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
	// worthReleasing and worthTaking are by how much the generations in a second must grow for prefill engines to become
	// decode engines, or the other way round. An engine that changes is out of service for seconds; a decode engine also
	// has answers to end first.
	worthReleasing = 1.1
	worthTaking    = 1.15
	// prefillLoad is the part of their time that the remaining prefill engines read at most when others are released. Beyond
	// it prompts wait in line, and decode engines read them between the tokens of the answers that they make.
	prefillLoad = 0.85
	// settleFor is how long the engines must have stayed the same before a change: an engine that starts again is back
	// by then.
	settleFor = 1500 * time.Millisecond
	// atOnce is one part of a service's engines that may change their role at the same time; small services change one.
	atOnce = 12
	// switchTimeout is how long an engine may take to announce its new role.
	switchTimeout = 20 * time.Second
)

// Stages plans the roles of engines by demand. It answers a service that lost engines, or whose prompts and answers
// changed, so that one stage limits what the other could serve. It changes few engines at a time.
type Stages struct {
	// Demand returns what an average generation of a service asks for, and false while that is not known.
	Demand func(service string) (Demand, bool)

	pending map[string]pending
	counts  map[string][2]int
	since   map[string]time.Time
	// goals is the number of prefill engines that a service is on its way to.
	goals map[string]int
}

// Plan implements Plans.
func (p *Stages) Plan(now time.Time, view *control.View) []Order {
	if p.pending == nil {
		p.pending, p.counts, p.since = map[string]pending{}, map[string][2]int{}, map[string]time.Time{}
		p.goals = map[string]int{}
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
		for _, o := range p.planService(now, service, engines) {
			p.pending[o.Upstream] = pending{order: o, until: now.Add(switchTimeout)}
			orders = append(orders, o)
		}
	}
	return orders
}

// Pending says whether an engine has an order that it has not announced yet.
func (p *Stages) Pending() bool { return len(p.pending) > 0 }

func (p *Stages) planService(now time.Time, service string, engines []*fleetpb.Upstream) []Order {
	// Engines that change count under the role that they get.
	var counts [2]int
	free := max(1, len(engines)/atOnce)
	for _, u := range engines {
		role := u.Role
		if changing, busy := p.pending[u.Id]; busy {
			role = changing.order.Role
			free--
		}
		switch role {
		case rolePrefill:
			counts[0]++
		case roleDecode:
			counts[1]++
		}
	}
	if p.counts[service] != counts {
		p.counts[service], p.since[service] = counts, now
		delete(p.goals, service)
	}
	demand, ok := p.Demand(service)
	if !ok || now.Sub(p.since[service]) < settleFor {
		return nil
	}
	goal, changing := p.goals[service]
	if changing && goal != counts[0] {
		// What was worth beginning goes on as long as each further engine is of use.
		goal = between(counts[0], goal, bestPrefill(counts[0], counts[1], demand, 1, 1))
	}
	if !changing || goal == counts[0] {
		goal = bestPrefill(counts[0], counts[1], demand, worthTaking, worthReleasing)
	}
	p.goals[service] = goal
	from, to, missing := rolePrefill, roleDecode, counts[0]-goal
	if missing < 0 {
		from, to, missing = roleDecode, rolePrefill, -missing
	}
	var orders []Order
	for _, u := range engines {
		if _, busy := p.pending[u.Id]; u.Role == from && !busy && len(orders) < min(free, missing) {
			orders = append(orders, Order{Kind: SetRole, Role: to, Upstream: u.Id, Address: u.Address})
		}
	}
	if len(orders) > 0 {
		// What the orders change does not count as a change from outside.
		moved := len(orders)
		if from == roleDecode {
			moved = -moved
		}
		p.counts[service] = [2]int{counts[0] - moved, counts[1] + moved}
	}
	return orders
}

// rate is how many generations in a second the engines can serve when prefill engines read for a part of their time.
func rate(prefill, decode int, d Demand, load float64) float64 {
	return min(load*float64(prefill)/d.Read.Seconds(), float64(decode)/d.Hold.Seconds())
}

// between returns the number on the way from one number to a goal that is nearest to a wish.
func between(from, goal, wish int) int { return max(min(from, goal), min(wish, max(from, goal))) }

// bestPrefill returns how many of the engines should be prefill engines: the number that serves the most generations if
// those are enough times more than now, and the present number otherwise.
func bestPrefill(prefill, decode int, d Demand, taking, releasing float64) int {
	// A service whose engines all have one stage was set up without the other one.
	if d.Read <= 0 || d.Hold <= 0 || prefill == 0 || decode == 0 {
		return prefill
	}
	if n := best(prefill, decode, prefill+1, prefill+decode-1, d, 1, taking); n != prefill {
		return n
	}
	return best(prefill, decode, 1, prefill-1, d, prefillLoad, releasing)
}

// best returns the number of prefill engines, from one up to another, at which all engines serve the most generations, or the
// present number unless that is worth the change.
func best(prefill, decode, from, to int, d Demand, load, worth float64) int {
	engines, found := prefill+decode, prefill
	for n := from; n <= to; n++ {
		if rate(n, engines-n, d, load) > rate(found, engines-found, d, load) {
			found = n
		}
	}
	if rate(found, engines-found, d, load) > rate(prefill, decode, d, load)*worth {
		return found
	}
	return prefill
}

// Failed implements Plans. The engine may still carry the order out, so that it gets no other one for a while.
func (p *Stages) Failed(now time.Time, o Order) {
	p.pending[o.Upstream] = pending{order: o, until: now.Add(retryAfter)}
}
