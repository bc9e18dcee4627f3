package limit

// headroom tracks how far a bucket was below its burst, so that a refund credits only the tokens that the bucket would
// have kept if they had never been charged. Otherwise, a bucket that filled up after a charge would grant the refunded
// tokens in addition to a whole burst.
//
// The type is a sliding-window minimum over the steps of the bucket, one step for each settled request: minima holds
// the steps whose headroom was lower than that of any later step.
type headroom struct {
	step   uint64
	minima []headroomSample
	// credited is the sum of all refunds. Recorded values include the sum at the time of recording, so the current
	// headroom of a step is its recorded value less credited.
	credited float64
}

// headroomSample is the recorded headroom of a bucket at one step.
type headroomSample struct {
	step   uint64
	tokens float64
}

// maxSamples and maxChargeSteps limit the memory of a bucket and of a session's loan to about 1 KB each.
const (
	maxSamples     = 64
	maxChargeSteps = 64
)

// record appends a step with its headroom in tokens.
func (h *headroom) record(tokens float64) {
	h.step++
	tokens += h.credited
	for len(h.minima) > 0 && h.minima[len(h.minima)-1].tokens >= tokens {
		h.minima = h.minima[:len(h.minima)-1]
	}
	if len(h.minima) == maxSamples {
		// A merged pair keeps its later step and its lower headroom, so that minimumAfter may only return too little.
		h.minima = mergeOlderPairs(h.minima, func(first, second headroomSample) headroomSample {
			return headroomSample{second.step, first.tokens}
		})
	}
	h.minima = append(h.minima, headroomSample{h.step, tokens})
}

// minimumAfter returns the lowest headroom at any step after the given one, in tokens.
func (h *headroom) minimumAfter(after uint64) float64 {
	for _, sample := range h.minima {
		if sample.step > after {
			return max(0, sample.tokens-h.credited)
		}
	}
	return 0
}

// credit records a refund, which reduces the headroom of all recorded steps.
func (h *headroom) credit(tokens float64) { h.credited += tokens }

// chargeStep maps the sequence of a request to the step of the bucket at which the request was settled.
type chargeStep struct{ sequence, step uint64 }

// chargeSteps holds the steps of one session's requests in ascending order of sequence.
type chargeSteps []chargeStep

func (s *chargeSteps) add(sequence, step uint64) {
	if len(*s) == maxChargeSteps {
		// A merged pair keeps its earlier request, so that charges count as older than they are.
		*s = mergeOlderPairs(*s, func(first, _ chargeStep) chargeStep { return first })
	}
	*s = append(*s, chargeStep{sequence, step})
}

// find returns the step of the last request whose sequence is at most the given one. It returns false if there is none.
func (s chargeSteps) find(sequence uint64) (uint64, bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].sequence <= sequence {
			return s[i].step, true
		}
	}
	return 0, false
}

// mergeOlderPairs merges adjacent pairs in the first half of a list.
func mergeOlderPairs[T any](list []T, merge func(first, second T) T) []T {
	half := len(list) / 4 * 2
	kept := list[:0]
	for i := 0; i < half; i += 2 {
		kept = append(kept, merge(list[i], list[i+1]))
	}
	return append(kept, list[half:]...)
}
