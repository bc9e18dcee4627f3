package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"azuredoor.example/entry/control"
	"azuredoor.example/entry/relay"
)

// activeRequest is a request between its dispatch and the end of its response.
type activeRequest struct {
	keyHash, customer string
	cancel            context.CancelCauseFunc
	// admitted is set when an upstream is assigned to the request.
	admitted atomic.Bool
}

// activeRequests is the set of active requests.
type activeRequests struct {
	mu       sync.Mutex
	requests map[*activeRequest]bool
}

func newActiveRequests() *activeRequests { return &activeRequests{requests: map[*activeRequest]bool{}} }

func (a *activeRequests) add(r *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[r] = true
}

func (a *activeRequests) remove(r *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, r)
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// cancelMatching cancels the requests with a key for which match returns true, and returns their number.
func (a *activeRequests) cancelMatching(cause error, match func(r *activeRequest) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for r := range a.requests {
		if r.keyHash != "" && match(r) {
			r.cancel(cause)
			n++
		}
	}
	return n
}

// keyValid reports whether the request's key still belongs to the request's customer.
func (r *activeRequest) keyValid(view *control.View) bool {
	customer, ok := customerByKeyHash(view, r.keyHash)
	return ok && customer == r.customer
}

// cancelWithdrawn cancels the requests whose key is no longer valid and returns their number.
func (a *activeRequests) cancelWithdrawn(view *control.View) int {
	return a.cancelMatching(relay.ErrKeyWithdrawn, func(r *activeRequest) bool { return !r.keyValid(view) })
}

const (
	// freshCheckInterval is the interval of the freshness check for active requests.
	freshCheckInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two checks from which on the process counts as paused in between.
	pauseThreshold = 2 * freshCheckInterval
	// queuedStaleGrace is how long requests may stay queued while the entry is not fresh. Together with the freshness
	// bound of 3 s, requests of a withdrawn key end within the required 4 s. After a pause of the process it is the time in
	// which the entry can become fresh again.
	queuedStaleGrace = 500 * time.Millisecond
)

// staleness decides when requests end because the entry is not fresh.
type staleness struct {
	// grace is how long admitted requests continue while the entry is not fresh.
	grace time.Duration
	// freshAt is when the entry was last seen to be fresh, checkedAt when it was last checked, and resumedAt when the process
	// last continued after a pause.
	freshAt, checkedAt, resumedAt time.Time
}

// check records whether the entry is fresh and reports whether queued requests, and admitted ones, must end.
func (s *staleness) check(now time.Time, fresh bool) (endQueued, endAdmitted bool) {
	if !s.checkedAt.IsZero() && now.Sub(s.checkedAt) > pauseThreshold {
		s.resumedAt = now
	}
	s.checkedAt = now
	if fresh || s.freshAt.IsZero() {
		s.freshAt = now
	}
	staleFor := now.Sub(s.freshAt)
	if staleFor <= min(queuedStaleGrace, s.grace) || now.Sub(s.resumedAt) <= min(queuedStaleGrace, s.grace) {
		return false, false
	}
	return true, staleFor > s.grace
}

// cancelStale checks until ctx ends whether the entry is fresh. If it has not been fresh for queuedStaleGrace, the queued
// requests with a key are cancelled; after the grace time, all requests with a key. Each time, onCancelled gets the
// number of cancelled requests.
func (a *activeRequests) cancelStale(ctx context.Context, c Control, grace time.Duration, onCancelled func(n int)) {
	ticker := time.NewTicker(freshCheckInterval)
	defer ticker.Stop()
	s := staleness{grace: grace}
	s.check(time.Now(), true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		endQueued, endAdmitted := s.check(time.Now(), c.Fresh())
		if !endQueued {
			continue
		}
		if n := a.cancelMatching(relay.ErrControlUnreachable, func(r *activeRequest) bool { return endAdmitted || !r.admitted.Load() }); n > 0 {
			onCancelled(n)
		}
	}
}
