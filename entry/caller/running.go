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
	// queuedStaleGrace is how long requests may stay queued while the entry is not fresh. Together with the freshness
	// bound of 3 s, requests of a withdrawn key end within the required 4 s. The grace also covers the moment after a
	// process pause in which the entry is not yet fresh again.
	queuedStaleGrace = 500 * time.Millisecond
)

// cancelStale checks until ctx ends whether the entry is fresh. If it has not been fresh for queuedStaleGrace, the queued
// requests with a key are cancelled; after the grace time, all requests with a key. Each time, onCancelled gets the
// number of cancelled requests.
func (a *activeRequests) cancelStale(ctx context.Context, c Control, grace time.Duration, onCancelled func(n int)) {
	ticker := time.NewTicker(freshCheckInterval)
	defer ticker.Stop()
	lastFresh := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		staleFor := time.Since(lastFresh)
		switch {
		case c.Fresh():
			lastFresh = time.Now()
			continue
		case staleFor <= min(queuedStaleGrace, grace):
			continue
		}
		if n := a.cancelMatching(relay.ErrControlUnreachable, func(r *activeRequest) bool { return staleFor > grace || !r.admitted.Load() }); n > 0 {
			onCancelled(n)
		}
	}
}
