package metric

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Calls measures the calls that a process answers, by their names.
type Calls struct {
	scope tally.Scope

	mu     sync.Mutex
	series map[[2]string]callSeries
}

type callSeries struct {
	count tally.Counter
	took  tally.Histogram
}

// NewCalls returns the call metrics of a scope.
func NewCalls(scope tally.Scope) *Calls {
	return &Calls{scope: scope, series: map[[2]string]callSeries{}}
}

// Observe counts a call that ended; the outcome is "ok", "refused" or "unclear".
func (c *Calls) Observe(call, outcome string, took time.Duration) {
	key := [2]string{call, outcome}
	c.mu.Lock()
	s, ok := c.series[key]
	if !ok {
		scope := c.scope.Tagged(map[string]string{"call": call, "outcome": outcome})
		s = callSeries{count: scope.Counter("calls_total"), took: scope.Histogram("call_seconds", LatencyBuckets)}
		c.series[key] = s
	}
	c.mu.Unlock()
	s.count.Inc(1)
	s.took.RecordDuration(took)
}
