package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// Demand is the engine time that an average generation of a service needs.
type Demand struct {
	// PrefillTime is how long one prefill engine processes the prompt. DecodeTime is how long the generation would
	// occupy a whole decode engine: the duration of the generation multiplied by the fraction of the engine's KV-cache
	// memory that the generation uses.
	PrefillTime, DecodeTime time.Duration
}

const (
	// minGainToDecode is the factor by which the generations per second must grow before prefill engines become decode
	// engines. An engine that changes its role is out of service for seconds.
	minGainToDecode = 1.1
	// minGainToPrefill is the factor by which the generations per second must grow before decode engines become prefill
	// engines. A decode engine must also finish its generations before it changes its role.
	minGainToPrefill = 1.15
	// maxPrefillUtilization is the highest utilization of the remaining prefill engines when others become decode
	// engines. Above it prompts queue, and decode engines process them between the output tokens of their generations.
	maxPrefillUtilization = 0.85
	// stablePeriod is how long the set of engines must be unchanged before a role change. An engine that restarts is
	// back within this time.
	stablePeriod = 1500 * time.Millisecond
	// enginesPerChange is the number of engines of a service for each concurrent role change: one in 12 engines may
	// change its role at a time, and at least one.
	enginesPerChange = 12
	// switchTimeout is how long an engine may take to announce its new role.
	switchTimeout = 20 * time.Second
)

// RolePlanner plans the roles of engines by demand. It rebalances a service that lost engines, or whose prompt and
// response lengths changed, so that neither prefill nor decode limits the throughput of the other. It changes few
// engines at a time.
type RolePlanner struct {
	// Demand returns the demand of an average generation of a service, and false while it is unknown.
	Demand func(service string) (Demand, bool)

	pending     map[string]pendingOrder
	counts      map[string][2]int
	stableSince map[string]time.Time
	// targets is the number of prefill engines that each service is changing to.
	targets map[string]int
}

// Plan implements Plans.
func (p *RolePlanner) Plan(now time.Time, view *control.View) []Order {
	if p.pending == nil {
		p.pending, p.counts, p.stableSince = map[string]pendingOrder{}, map[string][2]int{}, map[string]time.Time{}
		p.targets = map[string]int{}
	}
	for id, pending := range p.pending {
		u := view.Upstreams[id]
		if u == nil || !control.AcceptsRequests(u) || now.After(pending.until) || u.Role == pending.order.Role {
			delete(p.pending, id)
		}
	}
	byService := map[string][]*fleetpb.Upstream{}
	for _, u := range view.Upstreams {
		if u.Kind == "engine" && control.AcceptsRequests(u) {
			byService[u.Pool] = append(byService[u.Pool], u)
		}
	}
	var orders []Order
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		engines := byService[service]
		slices.SortFunc(engines, func(a, b *fleetpb.Upstream) int { return cmp.Compare(a.Id, b.Id) })
		for _, o := range p.planService(now, service, engines) {
			p.pending[o.Upstream] = pendingOrder{order: o, until: now.Add(switchTimeout)}
			orders = append(orders, o)
		}
	}
	return orders
}

// Pending reports whether any engine has not yet announced the result of an order.
func (p *RolePlanner) Pending() bool { return len(p.pending) > 0 }

func (p *RolePlanner) planService(now time.Time, service string, engines []*fleetpb.Upstream) []Order {
	// An engine that is changing its role is counted under the new role.
	var counts [2]int
	free := max(1, len(engines)/enginesPerChange)
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
		p.counts[service], p.stableSince[service] = counts, now
		delete(p.targets, service)
	}
	demand, ok := p.Demand(service)
	if !ok || now.Sub(p.stableSince[service]) < stablePeriod {
		return nil
	}
	goal, changing := p.targets[service]
	if changing && goal != counts[0] {
		// A change in progress continues as long as each further engine increases the throughput.
		goal = clampBetween(counts[0], goal, bestPrefillCount(counts[0], counts[1], demand, 1, 1))
	}
	if !changing || goal == counts[0] {
		goal = bestPrefillCount(counts[0], counts[1], demand, minGainToPrefill, minGainToDecode)
	}
	p.targets[service] = goal
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
		// Changes made by the orders do not restart the stable period.
		changed := len(orders)
		if from == roleDecode {
			changed = -changed
		}
		p.counts[service] = [2]int{counts[0] - changed, counts[1] + changed}
	}
	return orders
}

// maxThroughput returns how many generations per second the engines can serve at the given utilization of the prefill
// engines.
func maxThroughput(prefill, decode int, d Demand, utilization float64) float64 {
	return min(utilization*float64(prefill)/d.PrefillTime.Seconds(), float64(decode)/d.DecodeTime.Seconds())
}

// clampBetween returns the number between from and goal, inclusive, that is nearest to wanted.
func clampBetween(from, goal, wanted int) int {
	return max(min(from, goal), min(wanted, max(from, goal)))
}

// bestPrefillCount returns how many of the engines should be prefill engines: the number with the highest throughput if
// the throughput grows by more than gainToPrefill or gainToDecode, and the present number otherwise.
func bestPrefillCount(prefill, decode int, d Demand, gainToPrefill, gainToDecode float64) int {
	// A service whose engines all have the same role was configured without the other stage.
	if d.PrefillTime <= 0 || d.DecodeTime <= 0 || prefill == 0 || decode == 0 {
		return prefill
	}
	if n := bestSplit(prefill, decode, prefill+1, prefill+decode-1, d, 1, gainToPrefill); n != prefill {
		return n
	}
	return bestSplit(prefill, decode, 1, prefill-1, d, maxPrefillUtilization, gainToDecode)
}

// bestSplit returns the number of prefill engines, between from and to, with the highest throughput, or the present
// number if the throughput does not grow by more than the factor minGain.
func bestSplit(prefill, decode, from, to int, d Demand, utilization, minGain float64) int {
	engines, found := prefill+decode, prefill
	for n := from; n <= to; n++ {
		if maxThroughput(n, engines-n, d, utilization) > maxThroughput(found, engines-found, d, utilization) {
			found = n
		}
	}
	if maxThroughput(found, engines-found, d, utilization) > maxThroughput(prefill, decode, d, utilization)*minGain {
		return found
	}
	return prefill
}

// Failed implements Plans. The engine may still carry out the order, so it gets no other order for retryDelay.
func (p *RolePlanner) Failed(now time.Time, o Order) {
	p.pending[o.Upstream] = pendingOrder{order: o, until: now.Add(retryDelay)}
}
