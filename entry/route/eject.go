package route

import (
	"time"

	"azuredoor.example/entry/relay"
)

const (
	initialEjection = 500 * time.Millisecond
	maxEjection     = 30 * time.Second
	// slowFactor is the multiple of the group's average cost above which an upstream is ejected as slow.
	slowFactor = 4.0
	// minSamples is the number of outcomes of a stage before an upstream can be ejected as slow.
	minSamples = 8
)

// health records the failures, ejections and costs of work on an upstream.
type health struct {
	// failures is the count of failures that determines the duration of the next ejection.
	failures int
	// ejectedUntil is the end of the ejection. Then a single request probes the upstream.
	ejectedAt, ejectedUntil time.Time
	// onProbation is set from an ejection until a probe succeeds, probing while the probe runs.
	onProbation bool
	probing     bool
	// cost is the average time of each stage, in seconds per unit of work.
	cost    [4]float64
	samples [4]int
}

func (o *health) start() {
	if o.onProbation {
		o.probing = true
	}
}

// usable reports whether the upstream may be selected.
func (o *health) usable(now time.Time) bool {
	return !now.Before(o.ejectedUntil) && !o.probing
}

// group bounds the ejections and averages the costs of upstreams of the same kind and role.
type group struct {
	size    int
	ejected []*node
	cost    [4]float64
}

// unitCost returns the time that a stage took per unit of work, in seconds; 0 means unknown.
func unitCost(o relay.Outcome) float64 {
	switch o.Stage {
	case relay.StagePrefill:
		return o.Elapsed.Seconds() / float64(max(0, o.Tokens-o.CachedTokens)+blockTokens/4)
	case relay.StageDecode:
		if o.Tokens > 1 && o.FirstToken > 0 {
			return (o.Elapsed - o.FirstToken).Seconds() / float64(o.Tokens-1)
		}
		return 0
	default:
		return o.Elapsed.Seconds()
	}
}

// updateHealth records an outcome. It ejects the upstream when the stage failed or the upstream is much slower than
// its group.
func (p *Pool) updateHealth(now time.Time, n *node, o relay.Outcome) {
	out := &n.health
	probe := out.probing
	out.probing = false
	switch o.Kind {
	case relay.Cancelled, relay.Full:
		return
	case relay.Failed:
		p.eject(now, n)
		return
	}
	g := p.group(n)
	if cost := unitCost(o); cost > 0 {
		p.updateCost(out, g, o.Stage, cost)
		if out.samples[o.Stage] >= minSamples && out.cost[o.Stage] > slowFactor*g.cost[o.Stage] {
			p.eject(now, n)
			// The measurement restarts after the ejection.
			out.samples[o.Stage], out.cost[o.Stage] = 0, 0
			return
		}
	}
	if probe || !out.onProbation {
		out.onProbation = false
		// A success halves the count of failures instead of clearing it, so that a flapping upstream stays ejected for
		// longer.
		out.failures /= 2
	}
}

func (p *Pool) updateCost(out *health, g *group, stage relay.Stage, cost float64) {
	if g.cost[stage] == 0 {
		g.cost[stage] = cost
	}
	// A slow upstream changes the average of its group only a little.
	g.cost[stage] += (min(cost, 3*g.cost[stage]) - g.cost[stage]) / 256
	out.samples[stage]++
	out.cost[stage] += (cost - out.cost[stage]) / float64(min(out.samples[stage], 8))
}

// eject excludes an upstream from selection, for a period that doubles with each recent failure, unless more than half
// of its group would be ejected.
func (p *Pool) eject(now time.Time, n *node) {
	out := &n.health
	if now.Before(out.ejectedUntil) {
		return
	}
	g := p.group(n)
	kept := g.ejected[:0]
	for _, other := range g.ejected {
		if now.Before(other.health.ejectedUntil) && p.nodes[other.ID] == other && other.accepts && other != n {
			kept = append(kept, other)
		}
	}
	clear(g.ejected[len(kept):])
	g.ejected = kept
	if 2*(len(kept)+1) > g.size {
		return
	}
	period := maxEjection
	if out.failures < 6 {
		period = initialEjection << out.failures
	}
	out.failures++
	out.ejectedAt, out.ejectedUntil, out.onProbation, out.probing = now, now.Add(period), true, false
	g.ejected = append(g.ejected, n)
}
