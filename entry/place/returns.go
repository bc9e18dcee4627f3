package place

import "time"

const (
	// returnsWindow is the time over which the rate of ends is measured.
	returnsWindow = 4 * time.Second
	// shortestReturn and longestReturn bound the time of return: sooner, nothing has changed; later, callers no longer
	// wait.
	shortestReturn = 300 * time.Millisecond
	longestReturn  = 4500 * time.Millisecond
)

// Returns tells callers that were refused for want of room when to return. It answers a burst: callers that return one
// after the other, at the rate at which room becomes free, find room; callers that all return at once do not.
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

// Refused returns when a caller that is refused now should return.
func (r *Returns) Refused(now time.Time) time.Duration {
	rate := max(r.rate, 1)
	r.waiting = max(0, r.waiting-now.Sub(r.at).Seconds()*rate)
	r.at = now
	r.waiting++
	return min(max(time.Duration(r.waiting/rate*float64(time.Second)), shortestReturn), longestReturn)
}
