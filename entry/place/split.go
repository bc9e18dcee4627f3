package place

import "time"

const (
	// initialPrefillRate is the assumed rate of a prefill engine before the first observation, in tokens per
	// millisecond. An engine with four accelerators processes about 55.
	initialPrefillRate = 50.0
	// decodePrefillFraction is the fraction of the prefill rate at which a decode engine processes prompts between the
	// output tokens of other requests.
	decodePrefillFraction = 0.5
	// prefillRateDecay lowers the observed rate with each prompt, so that a slower engine is noticed.
	prefillRateDecay = 0.98
	// maxPrefillRateGrowth bounds how much one prompt raises the observed rate, because a prompt that is mostly in the
	// prefix cache appears to take no time.
	maxPrefillRateGrowth = 1.05
	// TransferOverhead is the time added by moving a prefill result to a decode engine.
	TransferOverhead = 10 * time.Millisecond
)

func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// ObservePrefill records how long a prefill engine took for a prompt, including the time queued behind other prompts.
func (t *Table) ObservePrefill(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	t.prefillRate = min(max(rate, t.prefillRate*prefillRateDecay), t.prefillRate*maxPrefillRateGrowth)
}

// PrefillRate returns the observed rate of prefill engines in tokens per millisecond, or 0 before the first observation.
func (t *Table) PrefillRate() float64 {
	if t.prefillRate == initialPrefillRate {
		return 0
	}
	return t.prefillRate
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
	need.Role, need.Work, need.Exclude = RolePrefill, prompt, nil
	if prefill, err := t.best(now, need); err == nil {
		f.HasSplit = true
		work, _ := prefill.totalLoad()
		f.Split = prefillTime(work+prompt, t.prefillRate) + TransferOverhead
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
