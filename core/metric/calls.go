package metric

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Calls counts and times the calls that a process handles, by name and outcome.
type Calls struct {
	scope tally.Scope

	mu sync.Mutex
	// series holds the metrics of each name and outcome.
	series map[[2]string]callSeries
}

type callSeries struct {
	count    tally.Counter
	duration tally.Histogram
}

// NewCalls returns call metrics that report to a scope.
func NewCalls(scope tally.Scope) *Calls {
	return &Calls{scope: scope, series: map[[2]string]callSeries{}}
}

// Observe records a completed call. The outcome is "ok", "refused" or "unclear".
func (c *Calls) Observe(call, outcome string, duration time.Duration) {
	key := [2]string{call, outcome}
	c.mu.Lock()
	s, ok := c.series[key]
	if !ok {
		scope := c.scope.Tagged(map[string]string{"call": call, "outcome": outcome})
		s = callSeries{count: scope.Counter("calls_total"), duration: scope.Histogram("call_seconds", LatencyBuckets)}
		c.series[key] = s
	}
	c.mu.Unlock()
	s.count.Inc(1)
	s.duration.RecordDuration(duration)
}
