package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

const (
	// initialHandoverBackoff is the backoff after the first handover that a session did not confirm. It doubles with
	// each further failure up to maxHandoverBackoff. Without a backoff, ten unreachable sessions took 27% of a core.
	initialHandoverBackoff = 50 * time.Millisecond
	maxHandoverBackoff     = time.Second
)

// handoverState is the state of the handover to one session.
type handoverState struct {
	running     bool
	backoff     time.Duration
	nextAttempt time.Time
}

// handoverResult is the result of one handover request.
type handoverResult struct {
	session   uint64
	confirmed bool
}

// Run hands buckets over to their new owners until the context ends.
func (n *Node) Run(ctx context.Context) error {
	defer n.connections.close()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(16)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	handovers := map[uint64]*handoverState{}
	done := make(chan handoverResult, 64)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case result := <-done:
			handovers[result.session].finish(result.confirmed)
			continue
		case <-ticker.C:
		}
		due := n.dueSessions()
		for session, handover := range handovers {
			if !handover.running && !slices.Contains(due, session) {
				delete(handovers, session)
			}
		}
		for _, session := range due {
			handover := handovers[session]
			if handover == nil {
				handover = &handoverState{}
				handovers[session] = handover
			}
			if handover.running || time.Now().Before(handover.nextAttempt) {
				continue
			}
			if !group.TryGo(func() error {
				select {
				case done <- handoverResult{session, n.handOver(ctx, session)}:
				case <-ctx.Done():
				}
				return nil
			}) {
				break
			}
			handover.running = true
		}
	}
}

// finish records the end of a handover request and sets the backoff after a failed one.
func (h *handoverState) finish(confirmed bool) {
	h.running = false
	if confirmed {
		h.backoff, h.nextAttempt = 0, time.Time{}
		return
	}
	h.backoff = min(max(2*h.backoff, initialHandoverBackoff), maxHandoverBackoff)
	h.nextAttempt = time.Now().Add(h.backoff)
}

// dueSessions returns the sessions that must receive buckets or the join marker. It also removes idle buckets and
// closes unused connections.
func (n *Node) dueSessions() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Now()
	n.refresh(now)
	if now.Sub(n.lastSweep) > sweepInterval {
		n.lastSweep = now
		n.connections.closeUnused(now, n.ring)
		if n.ownership != nil {
			n.ownership.removeIdle(now)
		}
	}
	if n.ownership == nil || n.leaving {
		return nil
	}
	n.ownership.resolveLoans(now)
	var sessions []uint64
	for _, session := range n.ring.sessions {
		if len(n.pending[session]) > 0 || session > n.ownership.self && !n.markerSent[session] {
			sessions = append(sessions, session)
		}
	}
	for session := range n.pending {
		if !n.ring.Has(session) {
			delete(n.pending, session)
		}
	}
	return sessions
}

// handOver sends a session the buckets that it now owns and, after the last of them, the join marker once. Buckets
// stay queued until the receiver has confirmed them; the receiver ignores duplicates. handOver reports whether the
// session confirmed.
func (n *Node) handOver(ctx context.Context, session uint64) bool {
	n.mu.Lock()
	now := n.config.Now()
	if n.ownership == nil {
		n.mu.Unlock()
		return true
	}
	batch := n.pending[session]
	if len(batch) > maxHandoverBuckets {
		batch = batch[:maxHandoverBuckets]
	}
	request := &fleetpb.HandoverRequest{SessionId: n.ownership.self}
	for _, state := range batch {
		request.Buckets = append(request.Buckets, bucketState(now, state))
	}
	withMarker := false
	if len(batch) == len(n.pending[session]) && session > n.ownership.self && !n.markerSent[session] {
		if marker := n.ownership.newMarker(now, joinMarker); marker != nil {
			request.Buckets = append(request.Buckets, marker)
			withMarker = true
		}
	}
	current := n.ownership
	n.mu.Unlock()
	if len(request.Buckets) == 0 {
		return true
	}
	if n.sendHandover(ctx, session, request) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownership != current {
		return true
	}
	n.pending[session] = n.pending[session][len(batch):]
	if withMarker {
		n.markerSent[session] = true
	}
	return true
}

func (n *Node) sendHandover(ctx context.Context, session uint64, r *fleetpb.HandoverRequest) error {
	_, err := call(ctx, n, session, func(ctx context.Context, c fleetpb.PeerClient) (*fleetpb.HandoverResponse, error) {
		return c.Handover(ctx, r)
	})
	return err
}
