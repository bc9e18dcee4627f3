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
	tick = 20 * time.Millisecond
	// sweepEvery is how often full buckets and idle connections are forgotten.
	sweepEvery = 10 * time.Second
	// handoverBatch bounds the buckets of one message to about 200 KB.
	handoverBatch = 1000
	// joinMark and leaveMark are the names of the states that end a handover. No bucket has these names. Their
	// level is the age of the last possible use of the sender's other buckets in milliseconds, their only loan the
	// time until its unknown loans have ended, with the sender's view index as its sequence.
	joinMark  = ""
	leaveMark = "/"
	// neverUsed is the level of a mark for buckets that nobody ever used.
	neverUsed = math.MaxInt64
)

// Config configures a Node.
type Config struct {
	// Session returns the own session ID, 0 while there is none.
	Session func() uint64
	// LeaseValid says whether the own session is valid by the own clock.
	LeaseValid func() bool
	// View returns the newest view, never nil. An entry that ends its session itself calls Leave before.
	View func() *control.View
	// Fresh says that no session existed before the own one, so that nobody used a bucket. Nil means that this is
	// unknown; the buckets of a fleet without older sessions then start empty.
	Fresh func() bool
	// Demand takes another entry's demand and returns the own.
	Demand func(*fleetpb.Demand) *fleetpb.Demand
	// Dialer makes connections to other entries.
	Dialer fleetrpc.Dialer
	// Now defaults to time.Now.
	Now    func() time.Time
	Events *event.Logger
}

// Node owns the buckets of this entry's session and reaches the other entries. It is safe for concurrent use.
type Node struct {
	config      Config
	connections connections

	mu    sync.Mutex
	book  *book
	view  *control.View
	ring  Ring
	moves map[uint64][]limit.State
	// marked are the sessions that were told of the own buckets when they joined.
	marked map[uint64]bool
	left   bool
	swept  time.Time
}

// New returns a node. Its Server is to be registered on a fleetrpc server.
func New(c Config) *Node {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	return &Node{config: c, connections: connections{dialer: c.Dialer, open: map[uint64]*connection{}}}
}

// refresh brings the newest view into the book. The caller holds the lock.
func (n *Node) refresh(now time.Time) {
	view, self := n.config.View(), n.config.Session()
	if view != n.view {
		if ring := RingOf(view.Sessions); !ring.Equal(n.ring) {
			n.ring = ring
		}
	}
	fresh := view != n.view
	n.view = view
	if n.book != nil && n.book.self != self {
		n.book = nil
	}
	if n.book == nil {
		if self == 0 || !n.ring.Has(self) {
			return
		}
		n.book = newBook(self, n.limit)
		n.moves, n.marked, n.left = map[uint64][]limit.State{}, map[uint64]bool{}, false
		n.book.begin(now, n.ring, view.Index, n.config.Fresh != nil && n.config.Fresh())
		return
	}
	if !fresh || n.left {
		return
	}
	n.queue(n.book.change(now, n.ring, view.Index))
}

// queue keeps buckets until they are handed over. The caller holds the lock.
func (n *Node) queue(moves []move) {
	for _, m := range moves {
		n.moves[m.to] = append(n.moves[m.to], m.state)
	}
}

// limit returns the limit of a bucket in the newest view.
func (n *Node) limit(bucket string) (config.Limit, bool) {
	return n.view.Limit(bucket)
}

// Owner returns the session that owns a bucket, or 0.
func (n *Node) Owner(bucket string) uint64 {
	n.mu.Lock()
	n.refresh(n.config.Now())
	ring := n.ring
	n.mu.Unlock()
	return ring.Owner(bucket)
}

// Borrow sends a request to a session, or settles it here when the session is the own one.
func (n *Node) Borrow(ctx context.Context, session uint64, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	if session == n.config.Session() {
		return n.borrow(r), nil
	}
	return call(ctx, n, session, func(ctx context.Context, c fleetpb.PeerClient) (*fleetpb.BorrowResponse, error) {
		return c.Borrow(ctx, r)
	})
}

// ExchangeDemand sends the own demand to a session and returns its demand.
func (n *Node) ExchangeDemand(ctx context.Context, session uint64, d *fleetpb.Demand) (*fleetpb.Demand, error) {
	return call(ctx, n, session, func(ctx context.Context, c fleetpb.PeerClient) (*fleetpb.Demand, error) {
		return c.ExchangeDemand(ctx, d)
	})
}

// server answers the calls of other entries; Node itself has the client's methods.
type server struct {
	fleetpb.UnimplementedPeerServer
	node *Node
}

// Server returns the gRPC service of the node.
func (n *Node) Server() fleetpb.PeerServer { return &server{node: n} }

// Borrow implements fleetpb.PeerServer. A request without a customer reports that the session has reported all
// its loans of the receiver's buckets, under the view whose index is the sequence.
func (s *server) Borrow(_ context.Context, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	return s.node.borrow(r), nil
}

func (n *Node) borrow(r *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	notOwner := &fleetpb.BorrowResponse{NotOwner: true, Sequence: r.Sequence}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Now()
	n.refresh(now)
	b := n.book
	if b == nil || n.left || !n.ring.Has(r.SessionId) || !n.config.LeaseValid() {
		return notOwner
	}
	if r.Customer == "" {
		b.report(now, r.SessionId, r.Sequence)
		return &fleetpb.BorrowResponse{Sequence: r.Sequence}
	}
	l, ok := n.limit(r.Customer)
	if !ok || n.ring.Owner(r.Customer) != b.self || !b.open(now, r.Customer, l) {
		return notOwner
	}
	if r.Want > 0 && b.owner.Unknown(now, r.Customer) {
		return notOwner
	}
	response := b.owner.Borrow(now, l, limit.Request{
		Session: r.SessionId, Sequence: r.Sequence, Bucket: r.Customer, Unspent: r.Unspent, Want: r.Want,
		Returned: r.Returned, Refund: r.Refund, Charged: r.ChargedSequence,
	})
	// Rounded up, because 0 means granted.
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

// Handover implements fleetpb.PeerServer. It answers FAILED_PRECONDITION when the receiver knows a newer view
// than a joining mark was made under, so that the sender tries again with its next view.
func (s *server) Handover(_ context.Context, r *fleetpb.HandoverRequest) (*fleetpb.HandoverResponse, error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Now()
	n.refresh(now)
	b := n.book
	if b == nil {
		return nil, status.Error(codes.Unavailable, "the receiver has no session yet")
	}
	leaving := slices.ContainsFunc(r.Buckets, func(s *fleetpb.BucketState) bool { return s.Customer == leaveMark })
	for _, s := range r.Buckets {
		if s.Customer == joinMark || s.Customer == leaveMark {
			continue
		}
		state := limit.State{Bucket: s.Customer, Level: float64(max(0, s.Level))}
		for _, loan := range s.Loans {
			state.Loans = append(state.Loans, limit.Loan{
				Session: loan.SessionId, Sequence: loan.Sequence, Tokens: max(0, loan.Tokens), Expires: now.Add(remaining(loan.RemainingMillis)),
			})
		}
		if leaving {
			b.acceptEarly(now, r.SessionId, state)
		} else {
			b.accept(now, r.SessionId, state)
		}
	}
	// A bucket may have gone on to a session that joined since the sender's view; it must leave before the mark
	// that says what this entry knows.
	n.queue(b.moves(now))
	for _, s := range r.Buckets {
		if err := b.mark(now, r.SessionId, s); err != nil {
			return nil, err
		}
	}
	return &fleetpb.HandoverResponse{}, nil
}

// remaining lengthens a duration of another entry's clock by both clocks' drift.
func remaining(millis uint32) time.Duration {
	return time.Duration(float64(millis)*(1+2*limit.Drift)+1) * time.Millisecond
}

func (b *book) mark(now time.Time, from uint64, s *fleetpb.BucketState) error {
	if s.Customer != joinMark && s.Customer != leaveMark || len(s.Loans) != 1 {
		return nil
	}
	k := knowledge{}
	if s.Level != neverUsed {
		// The sender's clock may run slow or fast; the younger age is the safe one.
		age := time.Duration(min(float64(s.Level)/(1+2*limit.Drift), math.MaxInt32*1000)) * time.Millisecond
		k.emptyAt = now.Add(-age)
	}
	if s.Loans[0].RemainingMillis > 0 {
		k.unknownUntil = now.Add(remaining(s.Loans[0].RemainingMillis))
	}
	if s.Customer == leaveMark {
		if _, done := b.left[from]; !done {
			b.left[from] = k
		}
		return nil
	}
	if s.Loans[0].Sequence < b.join.index {
		return status.Error(codes.FailedPrecondition, "the sender's view is older than the receiver's first one")
	}
	if _, done := b.handed[from]; !done {
		b.handed[from] = k
	}
	return nil
}

// markState describes all buckets without a state. It returns nil while that is not known.
func (b *book) markState(now time.Time, name string) *fleetpb.BucketState {
	k, ok := b.summary(now)
	if !ok {
		return nil
	}
	loan := &fleetpb.Loan{Sequence: b.index}
	if left := k.unknownUntil.Sub(now); !k.unknownUntil.IsZero() && left > 0 {
		loan.RemainingMillis = uint32(left.Milliseconds() + 1)
	}
	state := &fleetpb.BucketState{Customer: name, Level: neverUsed, Loans: []*fleetpb.Loan{loan}}
	if !k.emptyAt.IsZero() {
		state.Level = max(0, now.Sub(k.emptyAt).Milliseconds())
	}
	return state
}

func bucketState(now time.Time, s limit.State) *fleetpb.BucketState {
	state := &fleetpb.BucketState{Customer: s.Bucket, Level: int64(s.Level)}
	for _, loan := range s.Loans {
		left := max(0, loan.Expires.Sub(now))
		if loan.Tokens > 0 && left == 0 {
			continue
		}
		state.Loans = append(state.Loans, &fleetpb.Loan{
			SessionId: loan.Session, Sequence: loan.Sequence, Tokens: loan.Tokens, RemainingMillis: uint32(left.Milliseconds() + 1),
		})
	}
	return state
}

// Leave stops owning buckets and hands them over, before the own session is closed. It returns when all
// receivers have confirmed or the context ends; what was not confirmed starts empty at its next owner.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	now := n.config.Now()
	n.refresh(now)
	if n.book == nil || n.left {
		n.mu.Unlock()
		return nil
	}
	n.left = true
	ring := n.ring.without(n.book.self)
	requests := map[uint64]*fleetpb.HandoverRequest{}
	mark := n.book.markState(now, leaveMark)
	for _, session := range ring.sessions {
		requests[session] = &fleetpb.HandoverRequest{SessionId: n.book.self}
	}
	var names []string
	n.book.owner.Names(func(name string) { names = append(names, name) })
	for _, name := range names {
		if state, ok := n.book.owner.Export(now, name); ok && len(ring.sessions) > 0 {
			r := requests[ring.Owner(name)]
			r.Buckets = append(r.Buckets, bucketState(now, state))
		}
	}
	for session, states := range n.moves {
		for _, state := range states {
			if r := requests[session]; r != nil {
				r.Buckets = append(r.Buckets, bucketState(now, state))
			}
		}
	}
	n.mu.Unlock()
	if mark == nil {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(16)
	for session, r := range requests {
		r.Buckets = append(r.Buckets, mark)
		group.Go(func() error {
			for ctx.Err() == nil {
				if err := n.hand(ctx, session, r); err == nil {
					return nil
				}
				select {
				case <-ctx.Done():
				case <-time.After(tick):
				}
			}
			return ctx.Err()
		})
	}
	return group.Wait()
}
