package control

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

// largeState is a member that sends its whole state to each watcher that lacks it, and heartbeats.
type largeState struct {
	fakeMember
	state *fleetpb.WatchEvent
}

// Watch implements fleetpb.FleetServer.
func (m *largeState) Watch(request *fleetpb.WatchRequest, stream fleetpb.Fleet_WatchServer) error {
	e := &fleetpb.WatchEvent{Index: m.state.Index}
	if request.AfterIndex < m.state.Index {
		e = m.state
	}
	for {
		if err := stream.Send(e); err != nil {
			return err
		}
		e = &fleetpb.WatchEvent{Index: m.state.Index}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// serveMember serves a member and returns its address.
func serveMember(t *testing.T, member fleetpb.FleetServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
	return listener.Addr().String()
}

// startSlowLink forwards connections to target, with a bound on the bytes per second towards the client, and returns its address.
func startSlowLink(t *testing.T, target string, bytesPerSecond int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			client, err := listener.Accept()
			if err != nil {
				return nil
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				client.Close()
				continue
			}
			group.Go(func() error {
				defer server.Close()
				_, _ = io.Copy(server, client)
				return nil
			})
			group.Go(func() error {
				defer client.Close()
				const pieces = 20
				for {
					if _, err := io.CopyN(client, server, int64(bytesPerSecond/pieces)); err != nil {
						return nil
					}
					time.Sleep(time.Second / pieces)
				}
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

// TestLargeChangeArrivesOverSlowLink guards against a watch stream that is ended, and begun again, while a change is arriving.
func TestLargeChangeArrivesOverSlowLink(t *testing.T) {
	const size, speed = 600 << 10, 200 << 10
	member := &largeState{state: &fleetpb.WatchEvent{
		Reset_: true, Index: 7, Sessions: []*fleetpb.Session{{Id: 1, Name: strings.Repeat("x", size)}},
	}}
	client := startClient(t, startSlowLink(t, serveMember(t, member), speed))
	began := time.Now()
	for client.View().Index != 7 {
		if time.Since(began) > 3*time.Second*size/speed {
			t.Fatalf("after %v: got a view at index %d, want 7 within three times the duration of the transfer", time.Since(began), client.View().Index)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// silentWatchers leaves the watch streams of the first members that are asked without any event.
type silentWatchers struct {
	fakeMember
	left *atomic.Int32
}

// Watch implements fleetpb.FleetServer.
func (m *silentWatchers) Watch(_ *fleetpb.WatchRequest, stream fleetpb.Fleet_WatchServer) error {
	if m.left.Add(-1) >= 0 {
		<-stream.Context().Done()
		return nil
	}
	for {
		if err := stream.Send(&fleetpb.WatchEvent{Reset_: true, Index: 3}); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// TestSilentMembersInARow guards against a view that is late by more than a change may take (4 s) because of two silent members.
func TestSilentMembersInARow(t *testing.T) {
	var left atomic.Int32
	left.Store(2)
	var addresses []string
	for range 5 {
		addresses = append(addresses, serveMember(t, &silentWatchers{left: &left}))
	}
	client := startClient(t, addresses...)
	began := time.Now()
	for client.View().Index != 3 {
		if time.Since(began) > 4*time.Second {
			t.Fatalf("got no view after %v, want one within 4 s", time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// changingState is a member that leads, whose state changes all the time, and that sends each watcher one large event after the other.
type changingState struct {
	fakeMember
	began   time.Time
	watches atomic.Int32
}

func (m *changingState) index() uint64 { return 1 + uint64(time.Since(m.began)/(100*time.Millisecond)) }

// Keepalive implements fleetpb.FleetServer.
func (m *changingState) Keepalive(context.Context, *fleetpb.KeepaliveRequest) (*fleetpb.KeepaliveResponse, error) {
	return &fleetpb.KeepaliveResponse{StateIndex: m.index()}, nil
}

// Watch implements fleetpb.FleetServer.
func (m *changingState) Watch(_ *fleetpb.WatchRequest, stream fleetpb.Fleet_WatchServer) error {
	m.watches.Add(1)
	const size = 250 << 10
	for {
		if err := stream.Send(&fleetpb.WatchEvent{Index: m.index(), Sessions: []*fleetpb.Session{{Id: 1, Name: strings.Repeat("x", size)}}}); err != nil {
			return err
		}
	}
}

// TestSlowLinkIsNoLag guards against a watch stream that is left for that of another member, which sends the same once more, because large
// changes take long to arrive.
func TestSlowLinkIsNoLag(t *testing.T) {
	const speed = 200 << 10
	member := &changingState{began: time.Now()}
	client := startClientWith(t, 3*time.Second, startSlowLink(t, serveMember(t, member), speed))
	time.Sleep(6 * time.Second)
	if got := member.watches.Load(); got != 1 {
		t.Errorf("got %d watch streams, want 1", got)
	}
	if client.View().Index == 0 {
		t.Error("got no view")
	}
}
