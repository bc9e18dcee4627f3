package place

import "time"

const (
	// demandWeight is the weight of one generation in the moving averages, small enough that single generations do not
	// dominate.
	demandWeight = 0.02
	// minGenerations is the number of generations after which the averages count as known.
	minGenerations = 40
	// bestTimeGrowth raises the best time per token with each generation, so that engines that have become slower
	// permanently are noticed.
	bestTimeGrowth = 1.01
)

// Demand averages the engine resources used by generations of this entry and by those that other entries report.
type Demand struct {
	// Prompt is the average number of prompt tokens.
	Prompt float64
	// Output is the average number of output tokens.
	Output float64
	// MemoryTime is the average KV-cache memory use of a generation: the number of tokens held in memory multiplied by the
	// time they are held, in token-nanoseconds.
	MemoryTime float64
	// timePerToken is the average time per output token of this entry's generations, in nanoseconds, or 0 before the
	// first generation. bestTimePerToken is the shortest recent time per output token, in nanoseconds.
	timePerToken, bestTimePerToken float64
	count                          int

	localTotal DemandTotal
	peerTotals map[uint64]DemandTotal
}

// DemandTotal is the sum over the generations of one entry since it started.
type DemandTotal struct {
	Generations, PromptTokens, OutputTokens uint64
	// MemoryMillis is the KV-cache memory use in token-milliseconds.
	MemoryMillis uint64
}

// Add records a complete generation of this entry that held prompt and output tokens for the given time. The memory
// use is computed at the best time per token: an engine slowed down by prefills or by preempting generations
// needs fewer requests, not more engines of its role.
func (d *Demand) Add(prompt, output int, held time.Duration) {
	timePerToken := float64(held) / float64(max(1, output))
	if d.timePerToken == 0 {
		d.timePerToken, d.bestTimePerToken = timePerToken, timePerToken
	}
	d.timePerToken += demandWeight * (timePerToken - d.timePerToken)
	d.bestTimePerToken = min(timePerToken, d.bestTimePerToken*bestTimeGrowth)
	// The output grows during the generation, so half of it is held on average.
	memoryTime := (float64(prompt) + float64(output)/2) * d.bestTimePerToken * float64(max(1, output))
	d.localTotal.Generations++
	d.localTotal.PromptTokens += uint64(max(0, prompt))
	d.localTotal.OutputTokens += uint64(max(0, output))
	d.localTotal.MemoryMillis += uint64(max(0, memoryTime) / float64(time.Millisecond))
	d.addSamples(1, float64(prompt), float64(output), memoryTime)
}

// ExpectedDuration returns the expected duration of a response of the given number of output tokens, or 0 before the
// first generation.
func (d *Demand) ExpectedDuration(output int) time.Duration {
	return time.Duration(d.timePerToken * float64(output))
}

// LocalTotal returns the totals of this entry, to be reported to other entries.
func (d *Demand) LocalTotal() DemandTotal { return d.localTotal }

// Observe records the totals reported by another entry.
func (d *Demand) Observe(session uint64, total DemandTotal) {
	if d.peerTotals == nil {
		d.peerTotals = map[uint64]DemandTotal{}
	}
	last := d.peerTotals[session]
	d.peerTotals[session] = total
	if total.Generations <= last.Generations {
		return
	}
	n := total.Generations - last.Generations
	prompt := float64(total.PromptTokens-last.PromptTokens) / float64(n)
	memoryTime := float64(total.MemoryMillis-last.MemoryMillis) / float64(n) * float64(time.Millisecond)
	output := float64(total.OutputTokens-last.OutputTokens) / float64(n)
	d.addSamples(int(n), prompt, output, memoryTime)
}

// RetainSessions drops the totals of all other entries except those given.
func (d *Demand) RetainSessions(sessions map[uint64]bool) {
	for session := range d.peerTotals {
		if !sessions[session] {
			delete(d.peerTotals, session)
		}
	}
}

// addSamples adds generations with the given average prompt tokens, output tokens and memory use to the moving averages.
func (d *Demand) addSamples(generations int, prompt, output, memoryTime float64) {
	for range min(generations, minGenerations) {
		weight := max(demandWeight, 1/float64(d.count+1))
		d.count++
		d.Prompt += weight * (prompt - d.Prompt)
		d.Output += weight * (output - d.Output)
		d.MemoryTime += weight * (memoryTime - d.MemoryTime)
	}
}

// Known reports whether enough generations have been observed.
func (d *Demand) Known() bool { return d.count >= minGenerations }

// PrefillTime returns the expected time that a prefill engine takes for a prompt of the given number of tokens.
func (t *Table) PrefillTime(tokens float64) time.Duration {
	return prefillTime(int(tokens), t.prefillRate)
}
