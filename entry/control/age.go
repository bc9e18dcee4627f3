package control

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"azuredoor.example/core/event"
)

// ageCheckInterval is the time between two checks of the view's age.
const ageCheckInterval = 250 * time.Millisecond

// reportAge writes an event when the view has not been confirmed for Config.ReportAge, and another one once it is confirmed
// again. The fields tell whether the leader does not answer or the watch stream is behind, and whether bytes arrive.
func (c *Client) reportAge(ctx context.Context) error {
	ticker := time.NewTicker(ageCheckInterval)
	defer ticker.Stop()
	var since time.Duration
	var received int64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		age, late := c.Age(), since > 0
		switch {
		case c.freshAt.Load() < 0:
			// No view was ever confirmed.
		case !late && age > c.config.ReportAge:
			since, received = sinceBoot()-age, c.members.received.Load()
			c.config.Events.Write(event.ViewUnconfirmed, func(e *log.Entry) { c.describeAge(e).Int64("viewAgeMs", age.Milliseconds()) })
		case late && age < c.config.ReportAge:
			outage := sinceBoot() - since
			arrived := c.members.received.Load() - received
			since = 0
			c.config.Events.Write(event.ViewConfirmed, func(e *log.Entry) {
				c.describeAge(e).Int64("ms", outage.Milliseconds()).Int64("receivedBytes", arrived)
			})
		}
	}
}

// describeAge adds what confirms the view: the last answered keepalive, the index that the leader named then, and the view's.
func (c *Client) describeAge(e *log.Entry) *log.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := uint64(0)
	if n := len(c.pendingProofs); n > 0 {
		pending = c.pendingProofs[n-1].stateIndex
	}
	return e.Int64("keepaliveAgeMs", (sinceBoot()-c.answeredAt).Milliseconds()).Uint64("viewIndex", c.View().Index).Uint64("missingIndex", pending)
}
