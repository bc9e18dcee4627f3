package capacity

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

const (
	keepaliveInterval = 500 * time.Millisecond
	// keepalivesPerLeaseRequest is the number of keepalives per request for the order lease. Entries request the lease
	// once a second.
	keepalivesPerLeaseRequest = 2
	openParallel              = 32
	callTimeout               = 10 * time.Second
	// maxRoundTrips limits the number of round-trip times that are stored for percentiles.
	maxRoundTrips = 1 << 20
)

// sessions is a set of simulated entries. Like a real entry, each simulated entry opens a session, sends keepalives to
// the leader, requests the order lease and reads a watch stream.
type sessions struct {
	testbed *testbed
	dialer  fleetrpc.Dialer
	leader  string
	members []string
	// sent and received are the numbers of bytes on all connections, without TCP and IP headers.
	sent, received atomic.Int64
	stop           context.CancelFunc
	runContext     context.Context
	group          *errgroup.Group
	// index is the state index after which new watch streams begin.
	index atomic.Uint64

	mu         sync.Mutex
	list       []*session
	err        error
	roundTrips []time.Duration
}

// session is the session of one simulated entry.
type session struct {
	id       uint64
	call     fleetpb.FleetClient
	watch    fleetpb.FleetClient
	phase    time.Duration
	conns    []*grpc.ClientConn
	sessions *sessions

	mu sync.Mutex
	// alive lists the upstreams that send their announcements to this entry.
	alive []*fleetpb.UpstreamRef
	// arrivals lists the received configuration revisions, in increasing order.
	arrivals []arrival
}

// arrival is the time at which a configuration revision arrived.
type arrival struct {
	revision uint64
	at       time.Time
}

func (b *testbed) newSessions(ctx context.Context, secret string) (*sessions, error) {
	leader, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	s := &sessions{testbed: b, leader: b.fleet.ControlAddress(leader)}
	for i := range controlMembers {
		s.members = append(s.members, b.fleet.ControlAddress(i))
	}
	s.dialer = fleetrpc.Dialer{Secret: secret, Wrap: func(conn net.Conn) net.Conn { return &countingConn{Conn: conn, sessions: s} }}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	s.group, s.runContext = errgroup.WithContext(running)
	return s, nil
}

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	sessions *sessions
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sessions.received.Add(int64(n))
	return n, err //nolint:wrapcheck // callers compare the errors of a connection
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sessions.sent.Add(int64(n))
	return n, err //nolint:wrapcheck // callers compare the errors of a connection
}

// grow opens sessions until n sessions are open.
func (s *sessions) grow(ctx context.Context, n int) error {
	if err := s.loadIndex(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	previous := len(s.list)
	s.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(openParallel)
	for i := previous; i < n; i++ {
		phase := time.Duration(s.testbed.random.Int64N(int64(keepaliveInterval)))
		group.Go(func() error { return s.open(ctx, i, phase) })
	}
	return group.Wait()
}

// loadIndex reads the state once and stores its index, after which the watch streams of the simulated entries start. Each
// watch stream would otherwise receive the complete state.
func (s *sessions) loadIndex(ctx context.Context) error {
	event, _, err := s.snapshot(ctx)
	if err != nil {
		return err
	}
	s.index.Store(event.Index)
	return nil
}

// snapshot returns the first event of a new watch stream and the number of bytes received for that event.
func (s *sessions) snapshot(ctx context.Context) (*fleetpb.WatchEvent, int64, error) {
	var counter sessions
	dialer := fleetrpc.Dialer{Secret: s.dialer.Secret, Wrap: func(conn net.Conn) net.Conn { return &countingConn{Conn: conn, sessions: &counter} }}
	conn, err := dialer.Dial(s.leader)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream, err := fleetpb.NewFleetClient(conn).Watch(ctx, &fleetpb.WatchRequest{})
	if err != nil {
		return nil, 0, eris.Wrap(err, "open a watch stream")
	}
	event, err := stream.Recv()
	return event, counter.received.Load(), eris.Wrap(err, "read the state")
}

// open opens the session of a simulated entry and starts its keepalives and its watch stream.
func (s *sessions) open(ctx context.Context, number int, phase time.Duration) error {
	entry := &session{phase: phase, sessions: s}
	for _, connection := range []struct {
		address string
		client  *fleetpb.FleetClient
	}{{s.leader, &entry.call}, {s.members[number%len(s.members)], &entry.watch}} {
		if connection.client == &entry.watch && connection.address == s.leader {
			// An entry uses one connection per control member.
			entry.watch = entry.call
			continue
		}
		conn, err := s.dialer.Dial(connection.address)
		if err != nil {
			return err
		}
		entry.conns = append(entry.conns, conn)
		*connection.client = fleetpb.NewFleetClient(conn)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := entry.call.OpenSession(ctx, &fleetpb.OpenSessionRequest{
		Name: fmt.Sprintf("simulated-%d", number), PeerAddress: s.testbed.peers.address,
		FailureDomain: "a", Region: "capacity", Incarnation: uint64(number + 1),
	})
	if err != nil {
		return eris.Wrap(err, "open a session")
	}
	entry.id = response.SessionId
	s.mu.Lock()
	s.list = append(s.list, entry)
	s.mu.Unlock()
	s.group.Go(func() error { return s.recordError(entry.keepAlive(s.runContext)) })
	s.group.Go(func() error { return s.recordError(entry.follow(s.runContext)) })
	return nil
}

// recordError stores the first error that is not caused by the end of the run.
func (s *sessions) recordError(err error) error {
	if err == nil || s.runContext.Err() != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	return nil
}

// firstError returns the error that recordError has stored, if any.
func (s *sessions) firstError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *session) keepAlive(ctx context.Context) error {
	if pause(ctx, s.phase) != nil {
		return nil
	}
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		if err := s.keepAliveOnce(ctx); err != nil {
			return err
		}
		if count%keepalivesPerLeaseRequest == 0 {
			if err := s.requestLease(ctx); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// keepaliveTimeout is the longest round trip of a keepalive after which the session of an entry is still valid.
const keepaliveTimeout = 3 * time.Second

func (s *session) keepAliveOnce(ctx context.Context) error {
	s.mu.Lock()
	request := &fleetpb.KeepaliveRequest{SessionId: s.id, Alive: s.alive}
	if len(s.arrivals) > 0 {
		request.ConfigRevision = s.arrivals[len(s.arrivals)-1].revision
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keepaliveTimeout)
	defer cancel()
	began := time.Now()
	response, err := s.call.Keepalive(ctx, request)
	if err != nil {
		return eris.Wrap(err, "send a keepalive")
	}
	if response.SessionEnded {
		return eris.Errorf("session %d was ended by the leader", s.id)
	}
	s.sessions.mu.Lock()
	if len(s.sessions.roundTrips) < maxRoundTrips {
		s.sessions.roundTrips = append(s.sessions.roundTrips, time.Since(began))
	}
	s.sessions.mu.Unlock()
	return nil
}

// requestLease requests the order lease, as each entry does. The lease is thus held by some entry at any time.
func (s *session) requestLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepaliveTimeout)
	defer cancel()
	_, err := s.call.AcquireOrderLease(ctx, &fleetpb.AcquireOrderLeaseRequest{SessionId: s.id})
	return eris.Wrap(err, "request the order lease")
}

// follow reads the watch stream and records the arrival of each new revision.
func (s *session) follow(ctx context.Context) error {
	stream, err := s.watch.Watch(ctx, &fleetpb.WatchRequest{AfterIndex: s.sessions.index.Load()})
	if err != nil {
		return eris.Wrap(err, "open a watch stream")
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return eris.Wrap(err, "read a watch stream")
		}
		s.mu.Lock()
		if last := len(s.arrivals) - 1; last < 0 || event.Revision > s.arrivals[last].revision {
			s.arrivals = append(s.arrivals, arrival{event.Revision, time.Now()})
		}
		s.mu.Unlock()
	}
}

// arrivalAtAll returns the time at which a revision had arrived at all sessions. ok is false while any session has not
// received the revision.
func (s *sessions) arrivalAtAll(revision uint64) (last time.Time, ok bool) {
	s.mu.Lock()
	list := slices.Clone(s.list)
	s.mu.Unlock()
	for _, entry := range list {
		entry.mu.Lock()
		i, _ := slices.BinarySearchFunc(entry.arrivals, revision, func(a arrival, r uint64) int {
			switch {
			case a.revision < r:
				return -1
			case a.revision > r:
				return 1
			}
			return 0
		})
		found := i < len(entry.arrivals)
		if found && entry.arrivals[i].at.After(last) {
			last = entry.arrivals[i].at
		}
		entry.mu.Unlock()
		if !found {
			return time.Time{}, false
		}
	}
	return last, true
}

// takeRoundTrips returns the 99th percentile and the maximum of the round-trip times of keepalives since the last call.
func (s *sessions) takeRoundTrips() (p99, maximum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.roundTrips)
	if n := len(s.roundTrips); n > 0 {
		p99, maximum = s.roundTrips[(n-1)*99/100], s.roundTrips[n-1]
	}
	s.roundTrips = nil
	return p99, maximum
}

// close stops all simulated entries without closing their sessions at the leader.
func (s *sessions) close() error {
	s.stop()
	err := s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.list {
		for _, conn := range entry.conns {
			_ = conn.Close()
		}
	}
	if err == nil {
		err = s.err
	}
	return err
}
