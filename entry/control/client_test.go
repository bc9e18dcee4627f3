package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

const testSecret = "secret-of-the-test-fleet"

// fakeMember is a control member whose responses are set by the test.
type fakeMember struct {
	fleetpb.UnimplementedFleetServer
	address string
	events  chan *fleetpb.WatchEvent

	mu             sync.Mutex
	leader         string
	stateIndex     uint64
	delay          time.Duration
	sessionsOpened int
}

func (m *fakeMember) configure(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *fakeMember) settings() (leader string, stateIndex uint64, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, m.stateIndex, m.delay
}

func (m *fakeMember) redirect() error {
	leader, _, delay := m.settings()
	time.Sleep(delay)
	if leader == "" {
		return nil
	}
	detailed, err := status.New(codes.FailedPrecondition, "not the leader").WithDetails(&fleetpb.NotLeader{Address: leader})
	if err != nil {
		return err
	}
	return detailed.Err()
}

func (m *fakeMember) OpenSession(context.Context, *fleetpb.OpenSessionRequest) (*fleetpb.OpenSessionResponse, error) {
	if err := m.redirect(); err != nil {
		return nil, err
	}
	m.configure(func() { m.sessionsOpened++ })
	_, index, _ := m.settings()
	return &fleetpb.OpenSessionResponse{SessionId: 5, TtlMillis: 3000, StateIndex: index}, nil
}

func (m *fakeMember) Keepalive(context.Context, *fleetpb.KeepaliveRequest) (*fleetpb.KeepaliveResponse, error) {
	if err := m.redirect(); err != nil {
		return nil, err
	}
	_, index, _ := m.settings()
	return &fleetpb.KeepaliveResponse{StateIndex: index}, nil
}

func (m *fakeMember) Watch(_ *fleetpb.WatchRequest, stream fleetpb.Fleet_WatchServer) error {
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case e := <-m.events:
			if err := stream.Send(e); err != nil {
				return err
			}
		}
	}
}

func startMember(t *testing.T) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	member := &fakeMember{address: listener.Addr().String(), events: make(chan *fleetpb.WatchEvent, 16)}
	server := fleetrpc.NewServer(testSecret, event.Discard())
	fleetpb.RegisterFleetServer(server, member)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return member
}

func startClient(t *testing.T, members ...string) *Client {
	t.Helper()
	return startClientWith(t, 400*time.Millisecond, members...)
}

func startClientWith(t *testing.T, freshnessBound time.Duration, members ...string) *Client {
	t.Helper()
	client := New(Config{
		Name: "e1", Members: members, Dialer: fleetrpc.Dialer{Secret: testSecret}, Events: event.Discard(),
		KeepaliveInterval: 20 * time.Millisecond, FreshnessBound: freshnessBound,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return client
}

func waitFor(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out after 5 s: waiting for %s", condition)
}

// TestFreshOnlyWithConfirmedState guards against a view that counts as fresh before it has reached the state index of
// the leader.
func TestFreshOnlyWithConfirmedState(t *testing.T) {
	member := startMember(t)
	member.configure(func() { member.stateIndex = 10 })
	client := startClient(t, member.address)
	waitFor(t, "a valid session", client.SessionValid)
	time.Sleep(100 * time.Millisecond)
	if client.Fresh() {
		t.Fatal("the view is fresh before any watch event arrived")
	}
	member.events <- &fleetpb.WatchEvent{Reset_: true, Index: 10}
	waitFor(t, "a fresh view", client.Fresh)
	member.configure(func() { member.stateIndex = 11 })
	waitFor(t, "a stale view while a change is missing", func() bool { return !client.Fresh() })
	member.events <- &fleetpb.WatchEvent{Index: 11}
	waitFor(t, "a fresh view after the change", client.Fresh)
}

// TestLateResponseDoesNotExtendFreshness guards against freshness that is counted from the arrival of a response
// instead of the send time of its keepalive.
func TestLateResponseDoesNotExtendFreshness(t *testing.T) {
	member := startMember(t)
	client := startClient(t, member.address)
	member.events <- &fleetpb.WatchEvent{Reset_: true, Index: 1}
	waitFor(t, "a fresh view", client.Fresh)
	member.configure(func() { member.delay = 500 * time.Millisecond })
	waitFor(t, "a stale view while responses arrive after the freshness bound", func() bool { return !client.Fresh() })
	for range 60 {
		time.Sleep(10 * time.Millisecond)
		if client.Fresh() {
			t.Fatal("the view is fresh after a response that arrived after the freshness bound")
		}
	}
}

// TestViewNeverGoesBack guards against a lagging member that replaces a newer configuration with an older one.
func TestViewNeverGoesBack(t *testing.T) {
	member := startMember(t)
	client := startClient(t, member.address)
	customer := func(weight string) []*fleetpb.Object {
		return []*fleetpb.Object{{Kind: "customer", Name: "c", Spec: []byte(`{"weight":` + weight + `}`)}}
	}
	member.events <- &fleetpb.WatchEvent{Reset_: true, Index: 20, Revision: 2, Objects: customer("2")}
	waitFor(t, "revision 2", func() bool { return client.View().Revision == 2 })
	member.events <- &fleetpb.WatchEvent{Reset_: true, Index: 10, Revision: 1, Objects: customer("1")}
	waitFor(t, "revision 3", func() bool {
		// The event may be lost with the broken stream, so it is sent until the view has the new revision.
		member.events <- &fleetpb.WatchEvent{Index: 21, Revision: 3, Objects: customer("3")}
		return client.View().Revision == 3
	})
	if got := client.View().Config.Customers["c"].Weight; got != 3 {
		t.Errorf("got weight %d, want 3", got)
	}
}

// TestFindsLeader guards against an entry that keeps calling a follower.
func TestFindsLeader(t *testing.T) {
	follower, leader := startMember(t), startMember(t)
	follower.configure(func() { follower.leader = leader.address })
	client := startClient(t, follower.address, leader.address)
	waitFor(t, "a session from the leader", client.SessionValid)
	if follower.sessionsOpened != 0 {
		t.Error("the follower opened a session, want only the leader to open sessions")
	}
}
