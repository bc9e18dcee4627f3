package place

import "time"

const (
	// acceptAllPeriod is how long after a stop signal an entry accepts all requests. Most answers that start in this
	// period end in time, and a load balancer notices the stop within it.
	acceptAllPeriod = time.Second
	// acceptFraction is the fraction of the grace period in which the entry accepts requests whose answers are
	// expected to end in time. A request that is cut off counts as lost if it arrived after three eighths of the grace
	// period.
	acceptFraction = 0.35
	// durationMargin allows for answers that last longer than expected; answer lengths vary by about half of the
	// average.
	durationMargin = 1.3
)

// AcceptWhileStopping reports whether an entry with the time left of a grace period should still accept a request whose answer is
// expected to last the given time, where 0 means unknown. It covers rolling restarts, in which a caller redirected to
// the next entry may find that entry stopping as well.
func AcceptWhileStopping(grace, left, expected time.Duration) (takes bool) {
	since := grace - left
	if since < acceptAllPeriod {
		return true
	}
	return expected > 0 && since < time.Duration(acceptFraction*float64(grace)) && time.Duration(durationMargin*float64(expected)) < left
}
