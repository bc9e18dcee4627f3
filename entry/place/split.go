package place

import (
	"math/bits"
	"time"
)

const (
	// initialPrefillRate is the assumed rate of a prefill engine before the first observation, in tokens per
	// millisecond. An engine with four accelerators processes about 55.
	initialPrefillRate = 50.0
	// decodePrefillFraction is the fraction of the prefill rate at which a decode engine processes prompts between the
	// output tokens of other requests.
	decodePrefillFraction = 0.5
	// minPrefillSamples is the number of prefills after which their observed speed counts.
	minPrefillSamples = 8
	// prefillWeight is the weight of one prefill in the moving averages.
	prefillWeight = 0.05
	// minTokenDeviation is the standard deviation of prompt lengths, as a share of their mean, from which on the delay can be
	// told from the rate.
	minTokenDeviation = 0.1
	// prefillRateDecay lowers the observed rate with each prompt, so that a slower engine is noticed.
	prefillRateDecay = 0.98
	// maxPrefillRateGrowth bounds how much one prompt raises the observed rate, because a prompt that is mostly in the
	// prefix cache appears to take no time.
	maxPrefillRateGrowth = 1.05
	// minPrefillTimeShare is the least time of a prefill that is observed, as a share of the expected time, for the same reason.
	minPrefillTimeShare = 0.7
	// maxPrefillTimeShare is the longest time of a prefill that is observed, as a share of the expected time, because faults
	// delay some prompts without any change of the speed. slowPrefillTimeShare is that share once minSlowPrefills of the last
	// 16 prompts took longer, so that slower engines are noticed soon.
	maxPrefillTimeShare  = 1.1
	slowPrefillTimeShare = 1.25
	minSlowPrefills      = 13
	// maxPrefillRateFactor bounds how far the observed rate may be from the initial one.
	maxPrefillRateFactor = 10
	// TransferOverhead is the time added by moving a prefill result to a decode engine.
	TransferOverhead = 10 * time.Millisecond
)

func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// prefillSpeed estimates the time of a prefill as a delay plus the number of tokens divided by a rate. Time in the queue of
// an engine and a fixed delay are part of the delay, so they do not make the engines appear to have a lower throughput.
type prefillSpeed struct {
	samples int
	// slow has a bit for each of the last 16 prompts, set if it took longer than maxPrefillTimeShare of the expected time.
	slow uint16
	// meanTokens and meanMillis are moving averages, variance and covariance those of the products of the deviations.
	meanTokens, meanMillis, variance, covariance float64
}

func (p *prefillSpeed) observe(tokens int, took time.Duration) {
	p.samples++
	weight := max(prefillWeight, 1/float64(p.samples))
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	dx := x - p.meanTokens
	p.meanTokens += weight * dx
	p.meanMillis += weight * (y - p.meanMillis)
	p.variance = (1 - weight) * (p.variance + weight*dx*dx)
	p.covariance += weight * (dx*(y-p.meanMillis) - p.covariance)
}

// longestShare records whether a prefill was slow, and returns the longest time that is observed of it, as a share of the expected
// time.
func (p *prefillSpeed) longestShare(took, expected time.Duration) float64 {
	p.slow <<= 1
	if float64(took) > maxPrefillTimeShare*float64(expected) {
		p.slow |= 1
	}
	if bits.OnesCount16(p.slow) >= minSlowPrefills {
		return slowPrefillTimeShare
	}
	return maxPrefillTimeShare
}

// estimate returns the rate in tokens per millisecond and the delay, and false while they are unknown.
func (p *prefillSpeed) estimate() (rate float64, delay time.Duration, ok bool) {
	deviation := minTokenDeviation * p.meanTokens
	if p.samples < minPrefillSamples || p.covariance <= 0 || p.variance < deviation*deviation {
		return 0, 0, false
	}
	rate = min(max(p.variance/p.covariance, initialPrefillRate/maxPrefillRateFactor), initialPrefillRate*maxPrefillRateFactor)
	return rate, time.Duration(max(0, p.meanMillis-p.meanTokens/rate) * float64(time.Millisecond)), true
}

// ObservePrefill records how long a prefill engine took for a prompt, including the time queued behind other prompts.
func (t *Table) ObservePrefill(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	expected := t.PrefillTime(float64(tokens)) + t.prefillDelay
	shortest, longest := minPrefillTimeShare*float64(expected), t.prefills.longestShare(took, expected)*float64(expected)
	t.prefills.observe(tokens, time.Duration(min(max(float64(took), shortest), longest)))
	if rate, delay, ok := t.prefills.estimate(); ok {
		t.prefillRate, t.prefillDelay = rate, delay
		return
	}
	// Prompts of one length do not tell the delay from the rate.
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	t.prefillRate = min(max(rate, t.prefillRate*prefillRateDecay), t.prefillRate*maxPrefillRateGrowth)
	t.prefillDelay = 0
}

// PrefillSpeed returns the observed rate of prefill engines in tokens per millisecond, or 0 before enough observations, and
// the time that a prefill takes beyond that.
func (t *Table) PrefillSpeed() (rate float64, delay time.Duration) {
	rate, delay, _ = t.prefills.estimate()
	return rate, delay
}

// Forecast is the expected time to first token of a request that was assigned to a decode engine.
type Forecast struct {
	// Direct is the expected time if the decode engine also does the prefill, Split the expected time if a prefill
	// engine does the prefill.
	Direct, Split time.Duration
	// HasSplit reports whether a prefill engine can take the request.
	HasSplit bool
	// DecodeIdle reports whether the decode engine is assumed to run no other request. With more than manyEntries
	// entries it is always false, because their load is known only with a delay.
	DecodeIdle bool
}

// Forecast estimates the time to first token of a prompt for which the decode engine was picked. The load of the
// decode engine must already include the request.
func (t *Table) Forecast(now time.Time, decode Upstream, need Need, prompt int) Forecast {
	f := Forecast{Direct: prefillTime(prompt, t.prefillRate*decodePrefillFraction), DecodeIdle: true}
	if s := t.states[decode.ID]; s != nil {
		_, requests := s.totalLoad()
		f.DecodeIdle = requests <= 1 && t.entries <= manyEntries
	}
	need.Role, need.Work, need.Exclude, need.SameSoftware = RolePrefill, prompt, nil, false
	if prefill, err := t.best(now, need); err == nil {
		f.HasSplit = true
		work, _ := prefill.totalLoad()
		f.Split = prefillTime(work+prompt, t.prefillRate) + t.prefillDelay + TransferOverhead
	}
	return f
}

// UsePrefill reports whether a prefill engine should process the prompt. A decode engine that processes a prompt delays
// all its streams, which then hold memory for longer. The decode engine therefore does the prefill only when no other
// request runs there or when the queues of all prefill engines are longer.
func (f Forecast) UsePrefill(target time.Duration) bool {
	if !f.HasSplit || f.DecodeIdle && f.Direct < target/2 {
		return false
	}
	return f.Split < max(f.Direct, target*3/4)
}

// Best returns the expected time to first token on the chosen path.
func (f Forecast) Best(target time.Duration) time.Duration {
	if f.UsePrefill(target) {
		return f.Split
	}
	return f.Direct
}
