package place

import "time"

const (
	// returnsWindow is the time over which the rate of ends is measured.
	returnsWindow = 4 * time.Second
	// shortestReturn and longestReturn bound the time of return: sooner, nothing has changed; later, callers no longer
	// wait.
	shortestReturn = 300 * time.Millisecond
	longestReturn  = 4500 * time.Millisecond
	// patienceShare is the part of its time that a caller waits at most before it returns.
	patienceShare = 0.32
	// hopeShare is the part of the target by which a caller must be back to be answered in time.
	hopeShare = 0.5
)

// Returns tells callers that were refused for want of room when to return. It answers a burst: callers that return one
// after the other, at the rate at which room becomes free, find room; callers that all return at once do not. A caller that
// cannot be answered in time any more returns as late as it can wait: during the burst it would take the room of one that
// can, or be refused again.
type Returns struct {
	// rate is the number of requests that end in a second.
	rate  float64
	ended time.Time
	// waiting is the number of refused callers that have not returned yet.
	waiting float64
	at      time.Time
}

// Ended notes that a request ended and room became free.
func (r *Returns) Ended(now time.Time) {
	if !r.ended.IsZero() {
		gap := max(now.Sub(r.ended).Seconds(), 1e-3)
		weight := min(1, gap/returnsWindow.Seconds())
		r.rate += weight * (1/gap - r.rate)
	}
	r.ended = now
}

// Refused returns when a caller that is refused now should return. Its answer is in time within the target, and it waits
// for the patience.
func (r *Returns) Refused(now time.Time, target, patience time.Duration) time.Duration {
	rate := max(r.rate, 1)
	r.waiting = max(0, r.waiting-now.Sub(r.at).Seconds()*rate)
	r.at = now
	r.waiting++
	longest := min(longestReturn, time.Duration(patienceShare*float64(patience)))
	wait := max(time.Duration(r.waiting/rate*float64(time.Second)), min(shortestReturn, longest))
	if wait > time.Duration(hopeShare*float64(target)) {
		return longest
	}
	return min(wait, longest)
}
