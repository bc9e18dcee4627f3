package place

import "time"

const (
	// stopTakesAll is how long after a stop signal an entry takes all requests: most answers that begin by then end in time,
	// and a balancer learns of the stop by then.
	stopTakesAll = time.Second
	// stopTakesSome is the part of the grace period in which it takes requests whose answers are expected to end in time.
	// An answer that lasts longer than expected still ends in most cases.
	stopTakesSome = 0.35
	// lengthDoubt is by how much answers last longer than expected, in three of four cases.
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
