package limit

// headroom tracks how far a bucket was below its burst, so that a refund credits only the tokens that the bucket would
// have kept if they had never been charged. Otherwise, a bucket that filled up after a charge would grant the refunded
// tokens in addition to a whole burst.
//
// It is a sliding-window minimum over the steps of the bucket, one step for each settled request: minima holds the
// steps whose room was lower than that of any later step.
type headroom struct {
	step   uint64
	minima []room
	// credited is the sum of all refunds. Recorded values include the sum at the time of recording, so the current room
	// of a step is its recorded value less credited.
	credited float64
}

type room struct {
	step   uint64
	tokens float64
}

// maxRooms and maxMarks limit the memory of a bucket and of a session's loan to about 1 KB each.
const (
	maxRooms = 64
	maxMarks = 64
)

// record appends a step with its room in tokens.
func (h *headroom) record(tokens float64) {
	h.step++
	tokens += h.credited
	for len(h.minima) > 0 && h.minima[len(h.minima)-1].tokens >= tokens {
		h.minima = h.minima[:len(h.minima)-1]
	}
	if len(h.minima) == maxRooms {
		// A merged pair keeps its later step and its lower room, so that minimumAfter may only return too little.
		h.minima = mergeOlderPairs(h.minima, func(first, second room) room { return room{second.step, first.tokens} })
	}
	h.minima = append(h.minima, room{h.step, tokens})
}

// minimumAfter returns the lowest room at any step after the given one, in tokens.
func (h *headroom) minimumAfter(after uint64) float64 {
	for _, r := range h.minima {
		if r.step > after {
			return max(0, r.tokens-h.credited)
		}
	}
	return 0
}

// credit records a refund, which reduces the room of all recorded steps.
func (h *headroom) credit(tokens float64) { h.credited += tokens }

// mark records the step of the bucket at which the request with a sequence was settled.
type mark struct{ sequence, step uint64 }

// marks holds the marks of one session in ascending order of sequence.
type marks []mark

func (m *marks) add(sequence, step uint64) {
	if len(*m) == maxMarks {
		// A merged pair keeps its earlier mark, so that charges count as older than they are.
		*m = mergeOlderPairs(*m, func(first, _ mark) mark { return first })
	}
	*m = append(*m, mark{sequence, step})
}

// find returns the step of the last request whose sequence is at most the given one. It returns false if there is none.
func (m marks) find(sequence uint64) (uint64, bool) {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].sequence <= sequence {
			return m[i].step, true
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
