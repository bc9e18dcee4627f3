package place

import "time"

const (
	// acceptAllPeriod is how long after a stop signal an entry accepts all requests. Most responses that start in this
	// period end in time, and a load balancer notices the stop within it.
	acceptAllPeriod = time.Second
	// acceptFraction is the fraction of the grace period in which the entry accepts requests whose responses are
	// expected to end in time. A request that is cut off counts as lost if it arrived after three eighths of the grace
	// period.
	acceptFraction = 0.35
	// durationMargin allows for responses that take longer than expected; response lengths vary by about half of the
	// average.
	durationMargin = 1.3
)

// AcceptWhileStopping reports whether an entry with the given time left of its grace period should still accept a
// request whose response is expected to take the given time; 0 means unknown. A stopping entry accepts requests at all
// because in a rolling restart a caller redirected to the next entry may find that entry stopping as well.
func AcceptWhileStopping(grace, left, expected time.Duration) (accept bool) {
	since := grace - left
	if since < acceptAllPeriod {
		return true
	}
	return expected > 0 && since < time.Duration(acceptFraction*float64(grace)) &&
		time.Duration(durationMargin*float64(expected)) < left
}
