package usage

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

type fakeControl struct {
	view *control.View
	id   uint64
}

func (f *fakeControl) View() *control.View       { return f.view }
func (f *fakeControl) SessionID() (uint64, bool) { return f.id, true }

type fakeLoads struct {
	mu          sync.Mutex
	loads       []place.Load
	peerLoads   map[uint64][]place.Load
	peerRetries map[uint64][]retry.Total
	peerDemands map[uint64]map[string]place.DemandTotal
}

func (f *fakeLoads) Demands() map[string]place.DemandTotal {
	return map[string]place.DemandTotal{"s": {Generations: 3, PromptTokens: 30, MemoryMillis: 300}}
}

func (f *fakeLoads) ObserveDemands(session uint64, totals map[string]place.DemandTotal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerDemands[session] = totals
}

func (f *fakeLoads) Loads() []place.Load { return f.loads }
func (f *fakeLoads) Observe(session uint64, loads []place.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerLoads[session] = loads
}
func (f *fakeLoads) Retries() []retry.Total {
	return []retry.Total{{Service: "s", Requests: 5, Retries: 2}}
}
func (f *fakeLoads) ObserveRetries(session uint64, totals []retry.Total) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerRetries[session] = totals
}

// TestExchange guards against entries that do not learn, over real connections, what other entries admitted and run.
func TestExchange(t *testing.T) {
	bucketLimit := config.Limit{TokensPerSecond: 1, BurstTokens: 1000}
	view := &control.View{
		Sessions: map[uint64]*fleetpb.Session{},
		Document: &document.Document{Version: 1, Customers: map[string]*document.Customer{"c": {Name: "c", Limit: bucketLimit}}},
	}
	var limiters []*Limiter
	var loads []*fakeLoads
	var group errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	for id := uint64(1); id <= 3; id++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		view.Sessions[id] = &fleetpb.Session{Id: id, PeerAddress: ln.Addr().String()}
		l := New(&fakeControl{view, id}, fleetrpc.Dialer{Secret: "x"})
		fake := &fakeLoads{loads: []place.Load{{ID: "u", Incarnation: 1, Work: int(id), Requests: 1}}, peerLoads: map[uint64][]place.Load{}, peerRetries: map[uint64][]retry.Total{}, peerDemands: map[uint64]map[string]place.DemandTotal{}}
		l.SetLoads(fake)
		limiters, loads = append(limiters, l), append(loads, fake)
		server := fleetrpc.NewServer("x", event.Discard())
		fleetpb.RegisterPeerServer(server, l)
		group.Go(func() error { return server.Serve(ln) })
		t.Cleanup(server.Stop)
	}
	for _, l := range limiters {
		group.Go(func() error { return l.Run(ctx) })
	}
	defer cancel()
	await := func(what string, done func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not seen within 10s", what)
			}
		}
	}
	await("loads of both other entries", func() bool {
		loads[0].mu.Lock()
		defer loads[0].mu.Unlock()
		return len(loads[0].peerLoads[2]) == 1 && loads[0].peerLoads[2][0].Work == 2 && len(loads[0].peerLoads[3]) == 1 && len(loads[0].peerRetries[3]) == 1
	})
	await("demand of another entry", func() bool {
		loads[0].mu.Lock()
		defer loads[0].mu.Unlock()
		return loads[0].peerDemands[2]["s"] == place.DemandTotal{Generations: 3, PromptTokens: 30, MemoryMillis: 300}
	})
	if ok, _ := limiters[0].Take("c", bucketLimit, 5000); !ok {
		t.Fatal("the first request was refused, want it admitted")
	}
	for _, l := range limiters[1:] {
		await("what the first entry admitted", func() bool {
			ok, _ := l.Take("c", bucketLimit, 0)
			return !ok
		})
	}
}

// TestRestartedPeer guards against loads that count twice permanently because a restarted peer responds at the address of
// its former session, and against late reports of ended sessions.
func TestRestartedPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	former := &fleetpb.Session{Id: 2, PeerAddress: ln.Addr().String()}
	view := &control.View{Sessions: map[uint64]*fleetpb.Session{1: {Id: 1}, 2: former}}
	newLoads := func() *fakeLoads {
		return &fakeLoads{
			loads: []place.Load{{ID: "u", Incarnation: 1, Work: 5, Requests: 5}}, peerLoads: map[uint64][]place.Load{},
			peerRetries: map[uint64][]retry.Total{}, peerDemands: map[uint64]map[string]place.DemandTotal{},
		}
	}
	restarted := New(&fakeControl{view, 3}, fleetrpc.Dialer{Secret: "x"})
	restarted.SetLoads(newLoads())
	server := fleetrpc.NewServer("x", event.Discard())
	fleetpb.RegisterPeerServer(server, restarted)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ln) })
	t.Cleanup(func() {
		server.Stop()
		_ = group.Wait()
	})
	limiter, loads := New(&fakeControl{view, 1}, fleetrpc.Dialer{Secret: "x"}), newLoads()
	limiter.SetLoads(loads)
	defer limiter.close()
	limiter.exchangeReports(t.Context(), former)
	if got := loads.peerLoads[2]; len(got) != 0 {
		t.Errorf("got loads %v under the former session of a peer, want none", got)
	}
	if _, err := limiter.ExchangeUse(t.Context(), &fleetpb.UseReport{SessionId: 9, Upstreams: []*fleetpb.UpstreamUse{{Id: "u", Work: 5, Requests: 5}}}); err != nil {
		t.Fatal(err)
	}
	if got := loads.peerLoads[9]; len(got) != 0 {
		t.Errorf("got loads %v of an ended session, want none", got)
	}
}
