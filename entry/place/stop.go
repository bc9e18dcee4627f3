package place

import "time"

const (
	// stopTakesAll is how long after a stop signal an entry takes all requests: most answers that begin by then end in time,
	// and a balancer learns of the stop by then.
	stopTakesAll = time.Second
	// stopTakesSome is the part of the grace period in which it takes requests whose answers are expected to end in time. A
	// request that is cut counts as lost if it came after three eighths of it.
	stopTakesSome = 0.35
	// lengthDoubt allows for answers that last longer than expected; their lengths vary by about half of the average.
	lengthDoubt = 1.3
)

// Stopping says whether an entry that ends after left, of a grace period, should still take a request whose answer is
// expected to last that long; 0 is unknown. It answers entries that are stopped one after the other, so that a caller that
// is sent on may find the next one stopping as well.
func Stopping(grace, left, expected time.Duration) (takes bool) {
	since := grace - left
	if since < stopTakesAll {
		return true
	}
	return expected > 0 && since < time.Duration(stopTakesSome*float64(grace)) && time.Duration(lengthDoubt*float64(expected)) < left
}
