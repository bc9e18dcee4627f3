package peer

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/limit"
)

const (
	tickInterval = 20 * time.Millisecond
	// sweepInterval is the interval at which full buckets are removed and idle connections closed.
	sweepInterval = 10 * time.Second
	// maxHandoverBuckets bounds a handover message to about 200 KB.
	maxHandoverBuckets = 1000
	// joinMarker and leaveMarker are the names of the bucket states that end a handover; no bucket has these names.
	// A marker describes all buckets that the sender owns without a state. Its level is the age, in milliseconds, of
	// the last possible use of these buckets. Its only loan carries the time until unknown loans have ended and, as
	// its sequence, the index of the sender's view.
	joinMarker  = ""
	leaveMarker = "/"
	// neverUsed is the level of a marker for buckets that were never used.
	neverUsed = math.MaxInt64
)

// Config configures a Node.
type Config struct {
	// Session returns the ID of this entry's session, or 0 if there is none.
	Session func() uint64
	// LeaseValid reports whether the lease of this entry's session is valid by the clock of this VM.
	LeaseValid func() bool
	// View returns the newest view; it is never nil. An entry must call Leave before it closes its session.
	View func() *control.View
	// FirstSession reports whether no session existed before this entry's session, so that no bucket was ever used. If
	// FirstSession is nil, buckets start empty when the fleet has no older sessions.
	FirstSession func() bool
	// Demand receives the demand of another entry and returns the demand of this entry. It may be nil.
	Demand func(*fleetpb.Demand) *fleetpb.Demand
	// Dialer connects to other entries.
	Dialer fleetrpc.Dialer
	// Now defaults to time.Now.
	Now    func() time.Time
	Events *event.Logger
}

// Node owns the buckets of this entry's session and calls the other entries. It is safe for concurrent use.
type Node struct {
	config      Config
	connections connections

	mu        sync.Mutex
	ownership *ownership
	view      *control.View
	ring      Ring
	// pending holds, for each session, the buckets to be handed over to that session.
	pending map[uint64][]limit.State
	// markerSent holds the newer sessions that have confirmed the join marker.
	markerSent map[uint64]bool
	leaving    bool
	lastSweep  time.Time
}

// New returns a node. The caller registers the node's Server on a fleetrpc server.
func New(c Config) *Node {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	return &Node{config: c, connections: connections{dialer: c.Dialer, bySession: map[uint64]*connection{}}}
}

// refresh applies the newest view. The caller holds n.mu.
func (n *Node) refresh(now time.Time) {
	view, self := n.config.View(), n.config.Session()
	if view != n.view {
		if ring := RingOf(view.Sessions); !ring.Equal(n.ring) {
			n.ring = ring
		}
	}
	viewChanged := view != n.view
	n.view = view
	if n.ownership != nil && n.ownership.self != self {
		n.ownership = nil
	}
	if n.ownership == nil {
		if self == 0 || !n.ring.Has(self) {
			return
		}
		n.ownership = newOwnership(self, n.limit)
		n.pending, n.markerSent, n.leaving = map[uint64][]limit.State{}, map[uint64]bool{}, false
		n.ownership.join(now, n.ring, view.Index, n.config.FirstSession != nil && n.config.FirstSession())
		return
	}
	if !viewChanged || n.leaving {
		return
	}
	n.enqueue(n.ownership.update(now, n.ring, view.Index))
}

// enqueue stores buckets until they are handed over. The caller holds n.mu.
func (n *Node) enqueue(transfers []transfer) {
	for _, t := range transfers {
		n.pending[t.to] = append(n.pending[t.to], t.state)
	}
}

// limit returns the limit of a bucket in the newest view.
func (n *Node) limit(bucket string) (config.Limit, bool) {
	return n.view.Limit(bucket)
}

// Owner returns the session that owns a bucket, or 0 if there is no session.
func (n *Node) Owner(bucket string) uint64 {
	n.mu.Lock()
	n.refresh(n.config.Now())
	ring := n.ring
	n.mu.Unlock()
	return ring.Owner(bucket)
}

// Borrow sends a request to a session, or handles the request locally if the session is this entry's.
func (n *Node) Borrow(ctx context.Context, session uint64, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	if session == n.config.Session() {
		return n.borrow(r), nil
	}
	return call(ctx, n, session, func(ctx context.Context, c fleetpb.PeerClient) (*fleetpb.BorrowResponse, error) {
		return c.Borrow(ctx, r)
	})
}

// ExchangeDemand sends this entry's demand to a session and returns the demand of the session.
func (n *Node) ExchangeDemand(ctx context.Context, session uint64, d *fleetpb.Demand) (*fleetpb.Demand, error) {
	return call(ctx, n, session, func(ctx context.Context, c fleetpb.PeerClient) (*fleetpb.Demand, error) {
		return c.ExchangeDemand(ctx, d)
	})
}

// server handles the calls of other entries. It is a separate type because Node has client methods of the same names.
type server struct {
	fleetpb.UnimplementedPeerServer
	node *Node
}

// Server returns the gRPC service of the node.
func (n *Node) Server() fleetpb.PeerServer { return &server{node: n} }

// Borrow implements fleetpb.PeerServer. A request without a customer states that the sender has reported all its loans
// of the receiver's buckets, under the view whose index is the request's sequence.
func (s *server) Borrow(_ context.Context, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	return s.node.borrow(r), nil
}

func (n *Node) borrow(r *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	notOwner := &fleetpb.BorrowResponse{NotOwner: true, Sequence: r.Sequence}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Now()
	n.refresh(now)
	o := n.ownership
	if o == nil || n.leaving || !n.ring.Has(r.SessionId) || !n.config.LeaseValid() {
		return notOwner
	}
	if r.Customer == "" {
		o.recordReport(now, r.SessionId, r.Sequence)
		return &fleetpb.BorrowResponse{Sequence: r.Sequence}
	}
	l, ok := n.limit(r.Customer)
	if !ok || n.ring.Owner(r.Customer) != o.self || !o.open(now, r.Customer, l) {
		return notOwner
	}
	if r.Want > 0 && o.owner.HasUnknownLoans(now, r.Customer) {
		return notOwner
	}
	response := o.owner.Borrow(now, l, limit.Request{
		Session: r.SessionId, Sequence: r.Sequence, Bucket: r.Customer, Unspent: r.Unspent, Want: r.Want,
		Returned: r.Returned, Refund: r.Refund, Charged: r.ChargedSequence,
	})
	// The wait is rounded up, because 0 means that the tokens were granted.
	wait := (response.RetryAfter + time.Millisecond - 1).Milliseconds()
	return &fleetpb.BorrowResponse{Sequence: response.Sequence, Held: response.Held, RetryAfterMillis: uint32(min(wait, math.MaxUint32))}
}

// ExchangeDemand implements fleetpb.PeerServer.
func (s *server) ExchangeDemand(_ context.Context, d *fleetpb.Demand) (*fleetpb.Demand, error) {
	if s.node.config.Demand == nil {
		return &fleetpb.Demand{}, nil
	}
	return s.node.config.Demand(d), nil
}

// Handover implements fleetpb.PeerServer. It returns FAILED_PRECONDITION if a join marker was created under an older
// view than the receiver's first one, so that the sender retries with its next view.
func (s *server) Handover(_ context.Context, r *fleetpb.HandoverRequest) (*fleetpb.HandoverResponse, error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Now()
	n.refresh(now)
	o := n.ownership
	if o == nil {
		return nil, status.Error(codes.Unavailable, "the receiver has no session yet")
	}
	leaving := slices.ContainsFunc(r.Buckets, func(s *fleetpb.BucketState) bool { return s.Customer == leaveMarker })
	for _, s := range r.Buckets {
		if s.Customer == joinMarker || s.Customer == leaveMarker {
			continue
		}
		state := limit.State{Bucket: s.Customer, Level: float64(max(0, s.Level))}
		for _, loan := range s.Loans {
			state.Loans = append(state.Loans, limit.Loan{
				Session: loan.SessionId, Sequence: loan.Sequence, Tokens: max(0, loan.Tokens), Expires: now.Add(lengthenByDrift(loan.RemainingMillis)),
			})
		}
		if leaving {
			o.acceptEarlyState(now, r.SessionId, state)
		} else {
			o.acceptState(now, r.SessionId, state)
		}
	}
	// A received bucket may belong to a session that has joined since the sender's view. It must be queued before
	// this entry's marker for that session.
	n.enqueue(o.exportMoved(now))
	for _, s := range r.Buckets {
		if err := o.applyMarker(now, r.SessionId, s); err != nil {
			return nil, err
		}
	}
	return &fleetpb.HandoverResponse{}, nil
}

// lengthenByDrift converts a duration by another entry's clock, lengthened by the drift of both clocks.
func lengthenByDrift(millis uint32) time.Duration {
	return time.Duration(float64(millis)*(1+2*limit.MaxClockDrift)+1) * time.Millisecond
}

func (o *ownership) applyMarker(now time.Time, from uint64, s *fleetpb.BucketState) error {
	if s.Customer != joinMarker && s.Customer != leaveMarker || len(s.Loans) != 1 {
		return nil
	}
	bound := levelBound{}
	if s.Level != neverUsed {
		// The sender's clock may run slow or fast. The lower age is safe, because it gives the lower level.
		age := time.Duration(min(float64(s.Level)/(1+2*limit.MaxClockDrift), math.MaxInt32*1000)) * time.Millisecond
		bound.emptyAt = now.Add(-age)
	}
	if s.Loans[0].RemainingMillis > 0 {
		bound.unknownUntil = now.Add(lengthenByDrift(s.Loans[0].RemainingMillis))
	}
	if s.Customer == leaveMarker {
		if _, done := o.leaveBounds[from]; !done {
			o.leaveBounds[from] = bound
		}
		return nil
	}
	if s.Loans[0].Sequence < o.joinLoans.viewIndex {
		return status.Error(codes.FailedPrecondition, "the sender's view is older than the receiver's first one")
	}
	if _, done := o.joinBounds[from]; !done {
		o.joinBounds[from] = bound
	}
	return nil
}

// newMarker returns the marker for all buckets without a state, or nil while a former owner may still hand over.
func (o *ownership) newMarker(now time.Time, name string) *fleetpb.BucketState {
	bound, ok := o.overallBound(now)
	if !ok {
		return nil
	}
	loan := &fleetpb.Loan{Sequence: o.viewIndex}
	if remaining := bound.unknownUntil.Sub(now); !bound.unknownUntil.IsZero() && remaining > 0 {
		loan.RemainingMillis = uint32(remaining.Milliseconds() + 1)
	}
	state := &fleetpb.BucketState{Customer: name, Level: neverUsed, Loans: []*fleetpb.Loan{loan}}
	if !bound.emptyAt.IsZero() {
		state.Level = max(0, now.Sub(bound.emptyAt).Milliseconds())
	}
	return state
}

func bucketState(now time.Time, s limit.State) *fleetpb.BucketState {
	state := &fleetpb.BucketState{Customer: s.Bucket, Level: int64(s.Level)}
	for _, loan := range s.Loans {
		remaining := max(0, loan.Expires.Sub(now))
		if loan.Tokens > 0 && remaining == 0 {
			continue
		}
		state.Loans = append(state.Loans, &fleetpb.Loan{
			SessionId: loan.Session, Sequence: loan.Sequence, Tokens: loan.Tokens, RemainingMillis: uint32(remaining.Milliseconds() + 1),
		})
	}
	return state
}

// Leave gives up all buckets and hands them over; the caller closes the session afterwards. Leave returns when all
// receivers have confirmed or the context ends. A bucket that was not confirmed starts empty at its next owner.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	now := n.config.Now()
	n.refresh(now)
	if n.ownership == nil || n.leaving {
		n.mu.Unlock()
		return nil
	}
	n.leaving = true
	ring := n.ring.without(n.ownership.self)
	requests := map[uint64]*fleetpb.HandoverRequest{}
	marker := n.ownership.newMarker(now, leaveMarker)
	for _, session := range ring.sessions {
		requests[session] = &fleetpb.HandoverRequest{SessionId: n.ownership.self}
	}
	var names []string
	n.ownership.owner.Names(func(name string) { names = append(names, name) })
	for _, name := range names {
		if state, ok := n.ownership.owner.Export(now, name); ok && len(ring.sessions) > 0 {
			r := requests[ring.Owner(name)]
			r.Buckets = append(r.Buckets, bucketState(now, state))
		}
	}
	for session, states := range n.pending {
		for _, state := range states {
			if r := requests[session]; r != nil {
				r.Buckets = append(r.Buckets, bucketState(now, state))
			}
		}
	}
	n.mu.Unlock()
	if marker == nil {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(16)
	for session, r := range requests {
		r.Buckets = append(r.Buckets, marker)
		group.Go(func() error {
			for ctx.Err() == nil {
				if err := n.sendHandover(ctx, session, r); err == nil {
					return nil
				}
				select {
				case <-ctx.Done():
				case <-time.After(tickInterval):
				}
			}
			return ctx.Err()
		})
	}
	return group.Wait()
}
