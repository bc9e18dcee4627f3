package place

import "time"

const (
	// completionWindow is the time over which the completion rate is measured.
	completionWindow = 4 * time.Second
	// minRetryAfter is the shortest retry delay; an earlier retry would find the load unchanged.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest retry delay; after a longer delay callers would have given up.
	maxRetryAfter = 4500 * time.Millisecond
	// patienceFraction is the largest fraction of a caller's patience that is spent on the delay before a retry.
	patienceFraction = 0.32
	// targetFraction is the fraction of the target within which a caller must retry to get a response in time.
	targetFraction = 0.5
)

// RetryEstimator computes when callers that were refused for lack of capacity should retry. In a burst, callers that
// retry one after the other, at the rate at which capacity becomes free, are served; of callers that all retry at once,
// most are refused again. A caller that can no longer get a response in time retries as late as its patience allows: an
// earlier retry during the burst would be refused again or take the capacity from a caller that can still be served in
// time.
type RetryEstimator struct {
	// completionRate is the number of requests that end per second.
	completionRate float64
	lastCompletion time.Time
	// waiting is the estimated number of refused callers that had not retried yet at updatedAt.
	waiting   float64
	updatedAt time.Time
}

// RecordCompletion records that a request ended and its capacity became free.
func (r *RetryEstimator) RecordCompletion(now time.Time) {
	if !r.lastCompletion.IsZero() {
		gap := max(now.Sub(r.lastCompletion).Seconds(), 1e-3)
		weight := min(1, gap/completionWindow.Seconds())
		r.completionRate += weight * (1/gap - r.completionRate)
	}
	r.lastCompletion = now
}

// longestDelay returns the longest delay after which a caller with the given patience should retry.
func longestDelay(patience time.Duration) time.Duration {
	return min(maxRetryAfter, time.Duration(patienceFraction*float64(patience)))
}

// ResumeRetryDelay returns the delay after which a caller should retry that is refused because all upstreams of the service pause
// for the given time. An earlier retry would be refused again.
func ResumeRetryDelay(pause, patience time.Duration) time.Duration {
	return min(pause, longestDelay(patience))
}

// RefusedCaller describes a caller that is refused.
type RefusedCaller struct {
	// Target is the time from the caller's request within which a response is in time. It is 0 if the target has passed.
	Target time.Duration
	// Waited is how long the caller has waited since its request.
	Waited time.Duration
	// Patience is the longest time that the caller still waits.
	Patience time.Duration
	// Ahead is the number of requests that wait now. They are served before the caller can return.
	Ahead int
}

// RetryDelay returns the delay after which a caller refused now should retry.
func (r *RetryEstimator) RetryDelay(now time.Time, c RefusedCaller) time.Duration {
	rate := max(r.completionRate, 1)
	r.waiting = max(0, r.waiting-now.Sub(r.updatedAt).Seconds()*rate)
	r.updatedAt = now
	r.waiting++
	longest := longestDelay(c.Patience)
	wait := max(time.Duration((r.waiting+float64(c.Ahead))/rate*float64(time.Second)), min(minRetryAfter, longest))
	if c.Waited+wait > time.Duration(targetFraction*float64(c.Target)) {
		return longest
	}
	return min(wait, longest)
}
