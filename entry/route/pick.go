package route

import (
	"time"

	"azuredoor.example/entry/relay"
)

const (
	// randomCandidates is the number of candidates drawn at random.
	randomCandidates = 2
	// maxDraws bounds the random draws for one candidate before the list is scanned. At most half of a list is
	// ejected, so 16 draws fail once in 65,536 times.
	maxDraws = 16
	// remotePenalty is the factor on the cost of a service in another failure domain. A service in this entry's failure
	// domain is preferred when the loads are about equal.
	remotePenalty = 1.05
)

// draw appends up to count distinct usable upstreams of a list, selected at random.
func (p *Pool) draw(now time.Time, l []*node, exclude []string, count int, out []*node) []*node {
	have := len(out)
	fits := func(n *node) bool {
		if !n.health.usable(now) || excluded(exclude, n) {
			return false
		}
		for _, other := range out {
			if other == n {
				return false
			}
		}
		return true
	}
	for range min(maxDraws, 2*len(l)) {
		if len(out)-have == count {
			return out
		}
		if n := l[p.random.IntN(len(l))]; fits(n) {
			out = append(out, n)
		}
	}
	if len(out) > have || len(l) == 0 {
		return out
	}
	for i, from := 0, p.random.IntN(len(l)); i < len(l) && len(out)-have < count; i++ {
		if n := l[(from+i)%len(l)]; fits(n) {
			out = append(out, n)
		}
	}
	return out
}

// lastResort returns the upstream whose ejection ends first, for requests without a usable upstream.
func lastResort(l []*node, exclude []string) *node {
	var best *node
	for _, n := range l {
		if !excluded(exclude, n) && (best == nil || n.health.ejectedUntil.Before(best.health.ejectedUntil)) {
			best = n
		}
	}
	return best
}

// lowestCost returns the candidate with the lowest cost. Among equal costs it returns the first candidate, which was
// drawn at random.
func lowestCost(candidates []*node, cost func(n *node) float64) *node {
	var best *node
	lowest := 0.0
	for _, n := range candidates {
		if c := cost(n); best == nil || c < lowest {
			best, lowest = n, c
		}
	}
	return best
}

// relativeCost returns the node's cost of a stage relative to the average of its group: about 1, and between 0.25 and
// 4. An unknown cost counts as 1.
func (p *Pool) relativeCost(n *node, stage relay.Stage) float64 {
	g := p.groups[n.kind+"/"+n.role]
	if g == nil || g.cost[stage] == 0 || n.health.samples[stage] == 0 {
		return 1
	}
	return min(4, max(0.25, n.health.cost[stage]/g.cost[stage]))
}

// PickEngines selects a prefill and a decode engine for a request, or returns relay.ErrNoUpstream.
func (p *Pool) PickEngines(now time.Time, r *relay.Request, exclude []string) (prefill, decode relay.Upstream, err error) {
	l := p.lists[listKey{rolePrefill, r.Model}]
	if l == nil {
		return prefill, decode, relay.ErrNoUpstream
	}
	var space [randomCandidates + maxHolders]*node
	candidates := p.draw(now, l.all, exclude, randomCandidates, space[:0])
	drawn := len(candidates)
	blocks := p.prefix.longestPrefix(now, r.PrefixHashes, func(n *node) {
		if n.health.usable(now) && !excluded(exclude, n) && supports(n, r.Model) {
			candidates = append(candidates, n)
		}
	})
	cached := float64(min(blocks*blockTokens, r.PromptTokens))
	best := lowestCost(candidates, func(n *node) float64 {
		work := float64(r.PromptTokens)
		for _, holder := range candidates[drawn:] {
			if holder == n {
				work -= cached * n.hintAccuracy
				break
			}
		}
		wait := 0.0
		if p.linkRate > 0 && p.averagePromptTokens > 0 {
			wait = p.backlogTokens(now, n)
		}
		return (float64(n.load.running(now))*p.averagePromptTokens+work)*p.relativeCost(n, relay.StagePrefill) + wait
	})
	if best == nil {
		if best = lastResort(l.all, exclude); best == nil {
			return prefill, decode, relay.ErrNoUpstream
		}
	}
	decode, err = p.PickDecode(now, r, best.Upstream, exclude)
	return best.Upstream, decode, err
}

func supports(n *node, model string) bool {
	for _, m := range n.models {
		if m == model {
			return true
		}
	}
	return false
}

// backlogTokens converts the wait for a node's transfer link to the number of prompt tokens that a prefill computes in
// the same time.
func (p *Pool) backlogTokens(now time.Time, n *node) float64 {
	backlog := n.linkFreeAt.Sub(now).Seconds()
	g := p.groups[n.kind+"/"+n.role]
	if backlog <= 0 || g == nil || g.cost[relay.StagePrefill] == 0 {
		return 0
	}
	return backlog / g.cost[relay.StagePrefill]
}

// PickDecode selects a decode engine for a prefill result: an engine with a free slot in the same failure domain if
// there is one, otherwise an engine with a free slot elsewhere, otherwise the candidate with the lowest cost.
func (p *Pool) PickDecode(
	now time.Time, r *relay.Request, prefill relay.Upstream, exclude []string,
) (relay.Upstream, error) {
	l := p.lists[listKey{roleDecode, r.Model}]
	if l == nil {
		return relay.Upstream{}, relay.ErrNoUpstream
	}
	var space [2 * randomCandidates]*node
	cost := func(n *node) float64 {
		used := float64(n.load.running(now)) / float64(max(1, n.slots))
		return used*p.relativeCost(n, relay.StageDecode) + max(0, n.linkFreeAt.Sub(now).Seconds())*10
	}
	candidates := p.draw(now, l.byDomain[prefill.FailureDomain], exclude, randomCandidates, space[:0])
	var free [2 * randomCandidates]*node
	if best := lowestCost(withFreeSlots(now, candidates, free[:0]), cost); best != nil {
		return best.Upstream, nil
	}
	candidates = p.draw(now, l.all, exclude, randomCandidates, candidates)
	if best := lowestCost(withFreeSlots(now, candidates, free[:0]), cost); best != nil {
		return best.Upstream, nil
	}
	if best := p.scanFree(now, l.all, exclude); best != nil {
		return best.Upstream, nil
	}
	best := lowestCost(candidates, cost)
	if best == nil {
		if best = lastResort(l.all, exclude); best == nil {
			return relay.Upstream{}, relay.ErrNoUpstream
		}
	}
	return best.Upstream, nil
}

func withFreeSlots(now time.Time, candidates, out []*node) []*node {
	for _, n := range candidates {
		if n.load.freeSlots(now, n.slots) > 0 {
			out = append(out, n)
		}
	}
	return out
}

// maxScan bounds the number of engines that the search for a free slot in a nearly full pool visits.
const maxScan = 64

func (p *Pool) scanFree(now time.Time, l []*node, exclude []string) *node {
	if len(l) == 0 {
		return nil
	}
	from := p.random.IntN(len(l))
	for i := range min(maxScan, len(l)) {
		n := l[(from+i)%len(l)]
		if n.health.usable(now) && !excluded(exclude, n) && n.load.freeSlots(now, n.slots) > 0 {
			return n
		}
	}
	return nil
}

// PickService selects an upstream of a plain service pool, or returns relay.ErrNoUpstream.
func (p *Pool) PickService(now time.Time, exclude []string) (relay.Upstream, error) {
	l := p.lists[listKey{roleService, ""}]
	if l == nil {
		return relay.Upstream{}, relay.ErrNoUpstream
	}
	var space [randomCandidates]*node
	best := lowestCost(p.draw(now, l.all, exclude, randomCandidates, space[:0]), func(n *node) float64 {
		cost := float64(n.load.running(now)+1) / float64(max(1, n.slots)) * p.relativeCost(n, relay.StageService)
		if n.FailureDomain != p.domain {
			cost *= remotePenalty
		}
		return cost
	})
	if best == nil {
		if best = lastResort(l.all, exclude); best == nil {
			return relay.Upstream{}, relay.ErrNoUpstream
		}
	}
	return best.Upstream, nil
}
