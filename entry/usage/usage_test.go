package usage

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/coordinator"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

// fakeControl provides a view that tests replace.
type fakeControl struct {
	mu   sync.Mutex
	view *control.View
	id   uint64
}

func (f *fakeControl) View() *control.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeControl) SessionID() (uint64, bool) { return f.id, true }

// fakeLoads has one load, and totals that grow with each report.
type fakeLoads struct {
	mu          sync.Mutex
	work        int
	reports     uint64
	generations []place.Generation
	peerLoads   map[uint64][]place.Load
	peerRetries map[uint64][]retry.Total
	peerDemands map[uint64]map[string]place.DemandTotal
	// coldWanted is reported; coldGranted and coldUntil are the last grants.
	coldWanted, coldGranted []place.ColdUse
	coldUntil               time.Time
}

func newFakeLoads(work int) *fakeLoads {
	return &fakeLoads{
		work: work, peerLoads: map[uint64][]place.Load{}, peerRetries: map[uint64][]retry.Total{},
		peerDemands: map[uint64]map[string]place.DemandTotal{},
	}
}

func (f *fakeLoads) Loads() []place.Load {
	return []place.Load{{ID: "u", Incarnation: 1, Work: f.work, Requests: 1}}
}

func (f *fakeLoads) Retries() []retry.Total {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	return []retry.Total{{Service: "s", Requests: 5 * f.reports, Retries: 2 * f.reports}}
}

func (f *fakeLoads) Demands() map[string]place.DemandTotal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return map[string]place.DemandTotal{"s": {Generations: 3 * f.reports, PromptTokens: 30 * f.reports, MemoryMillis: 300 * f.reports}}
}

func (f *fakeLoads) Generations() []place.Generation        { return f.generations }
func (f *fakeLoads) PrefillSpeed() (float64, time.Duration) { return 0, 0 }
func (f *fakeLoads) ColdWanted() []place.ColdUse            { return f.coldWanted }

func (f *fakeLoads) GrantCold(until time.Time, uses []place.ColdUse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldGranted, f.coldUntil = uses, until
}

func (f *fakeLoads) Observe(session uint64, loads []place.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerLoads[session] = loads
}

func (f *fakeLoads) ObserveRetries(session uint64, totals []retry.Total) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerRetries[session] = totals
}

func (f *fakeLoads) ObserveDemands(session uint64, totals map[string]place.DemandTotal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerDemands[session] = totals
}

func (f *fakeLoads) ObserveSilent(int) {}

// peerWork returns the work of all other entries, and of how many coordinators the entry counts loads.
func (f *fakeLoads) peerWork() (work, coordinators int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, loads := range f.peerLoads {
		for _, l := range loads {
			work += l.Work
		}
		coordinators += min(1, len(loads))
	}
	return work, coordinators
}

var testLimit = config.Limit{TokensPerSecond: 1, BurstTokens: 1000}

type testEntry struct {
	control  *fakeControl
	loads    *fakeLoads
	limiter  *Client
	server   *grpc.Server
	listener net.Listener
}

// startFleet starts n entries with the sessions 1 to n. Entry i has the work i on the upstream "u". Two decode engines and a
// prefill engine exist.
func startFleet(t *testing.T, n int) []*testEntry {
	t.Helper()
	view := &control.View{
		Sessions: map[uint64]*fleetpb.Session{}, Upstreams: map[string]*fleetpb.Upstream{},
		Document: &document.Document{
			Version: 1, Customers: map[string]*document.Customer{"c": {Name: "c", Limit: testLimit}},
			Services: map[string]*document.Service{"s": {Name: "s", Engine: &document.Engine{Slots: 12, CacheTokens: 70_000, EventTokens: 1}}},
		},
	}
	for id, role := range map[string]string{"d1": "decode", "d2": "decode", "p1": "prefill"} {
		view.Upstreams[id] = &fleetpb.Upstream{
			Id: id, Incarnation: 1, Address: id + ":1", Kind: "engine", Role: role, Pool: "s", FailureDomain: "d",
			State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE, Slots: 12,
		}
	}
	var entries []*testEntry
	for id := uint64(1); id <= uint64(n); id++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		view.Sessions[id] = &fleetpb.Session{Id: id, PeerAddress: ln.Addr().String()}
		e := &testEntry{control: &fakeControl{view: view, id: id}, loads: newFakeLoads(int(id)), listener: ln}
		c := coordinator.New(e.control)
		e.limiter = New(Config{Control: e.control, Dialer: fleetrpc.Dialer{Secret: "x"}, Coordinator: c, Events: event.Discard()})
		e.limiter.SetLoads(e.loads)
		e.server = fleetrpc.NewServer("x", event.Discard())
		fleetpb.RegisterPeerServer(e.server, c)
		entries = append(entries, e)
	}
	var group errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	for _, e := range entries {
		group.Go(func() error { return e.server.Serve(e.listener) })
		group.Go(func() error { return e.limiter.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, e := range entries {
			e.server.Stop()
		}
		_ = group.Wait()
	})
	return entries
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not seen within 10s", what)
		}
	}
}

func awaitCoordinator(t *testing.T, entries []*testEntry, want uint64) {
	t.Helper()
	for _, e := range entries {
		await(t, "the coordinator", func() bool {
			e.limiter.mu.Lock()
			defer e.limiter.mu.Unlock()
			return e.limiter.current == want
		})
	}
}

// TestReports guards against entries that do not learn, over real connections, what other entries admitted and run.
func TestReports(t *testing.T) {
	entries := startFleet(t, 3)
	first := entries[0].loads
	await(t, "loads of both other entries", func() bool {
		work, coordinators := first.peerWork()
		return work == 2+3 && coordinators == 1
	})
	await(t, "retries and demand of the other entries", func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		retries, demand := first.peerRetries[1], first.peerDemands[1]["s"]
		return len(retries) == 1 && retries[0].Retries >= 4 && retries[0].Requests*2 == retries[0].Retries*5 &&
			demand.Generations > 0 && demand.PromptTokens == 10*demand.Generations && demand.MemoryMillis == 100*demand.Generations
	})
	if ok, _ := entries[0].limiter.Take("c", testLimit, 5000); !ok {
		t.Fatal("the first request was refused, want it admitted")
	}
	for _, e := range entries[1:] {
		await(t, "what the first entry admitted", func() bool {
			ok, _ := e.limiter.Take("c", testLimit, 0)
			return !ok
		})
	}
}

// TestCoordinatorStops guards against a fleet that forgets used limits, counts loads twice, places nothing or sends no orders
// after its coordinator has failed, and against callers that wait for a coordinator that no longer responds.
func TestCoordinatorStops(t *testing.T) {
	for name, stop := range map[string]func(e *testEntry){
		"killed": func(e *testEntry) { e.server.Stop() },
		"resigned": func(e *testEntry) {
			if c, ok := e.limiter.config.Coordinator.(*coordinator.Coordinator); ok {
				c.Resign()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			entries := startFleet(t, 4)
			awaitCoordinator(t, entries, 1)
			if ok, _ := entries[1].limiter.Take("c", testLimit, 5000); !ok {
				t.Fatal("the first request was refused, want it admitted")
			}
			await(t, "what the second entry admitted", func() bool {
				ok, _ := entries[3].limiter.Take("c", testLimit, 0)
				return !ok
			})
			stop(entries[0])
			others := entries[1:]
			awaitCoordinator(t, others, 2)
			for i, e := range others {
				if got, want := e.limiter.ActsForFleet(), i == 0; got != want {
					t.Errorf("entry %d: acting for the fleet got %v, want %v", i+2, got, want)
				}
			}
			for i, e := range others {
				await(t, "loads from the new coordinator alone", func() bool {
					work, coordinators := e.loads.peerWork()
					return coordinators == 1 && work >= 2+3+4-(i+2)
				})
				if ok, _ := e.limiter.Take("c", testLimit, 0); ok {
					t.Errorf("entry %d: got the request of a customer admitted that has used up its limit", i+2)
				}
			}
			got, err := others[2].limiter.Place(t.Context(), testNeed(1))
			if err != nil || got.Decode == "" {
				t.Errorf("got %v, %v, want a placement by the new coordinator", got, err)
			}
		})
	}
}

// TestEntryWithoutCoordinator guards against orders that nobody sends while no entry reaches another.
func TestEntryWithoutCoordinator(t *testing.T) {
	entries := startFleet(t, 2)
	awaitCoordinator(t, entries, 1)
	if got := entries[1].limiter.ActsForFleet(); got {
		t.Errorf("acting for the fleet with a coordinator got %v, want false", got)
	}
	entries[0].server.Stop()
	if c, ok := entries[1].limiter.config.Coordinator.(*coordinator.Coordinator); ok {
		c.Resign()
	}
	await(t, "an entry without a coordinator that acts for the fleet", entries[1].limiter.ActsForFleet)
}

func testNeed(id uint64) PlaceNeed {
	return PlaceNeed{
		Service: "s", Generation: place.Generation{ID: id, Prompt: 5000, Expected: 5000}, FailureDomain: "d", Wait: 300 * time.Millisecond,
		Target: 900 * time.Millisecond, Patience: 10 * time.Second,
	}
}

// TestSilentCoordinator guards against a generation that waits its whole time for a coordinator that is frozen or cut
// off.
func TestSilentCoordinator(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	entries := startFleet(t, 2)
	awaitCoordinator(t, entries, 1)
	for _, e := range entries {
		view := *e.control.View()
		view.Sessions = maps.Clone(view.Sessions)
		view.Sessions[1] = &fleetpb.Session{Id: 1, PeerAddress: silent.Addr().String()}
		e.control.mu.Lock()
		e.control.view = &view
		e.control.mu.Unlock()
	}
	second := entries[1].limiter
	second.mu.Lock()
	for id, conn := range second.conns {
		_ = conn.Close()
		delete(second.conns, id)
	}
	second.current = 1
	second.mu.Unlock()
	start := time.Now()
	need := testNeed(1)
	need.Wait = 5 * time.Second
	if _, err := second.Place(t.Context(), need); !errors.Is(err, ErrNoCoordinator) {
		t.Errorf("got %v, want %v", err, ErrNoCoordinator)
	}
	if took := time.Since(start); took > 4*placeTimeout {
		t.Errorf("got an answer after %v, want it within %v", took, 4*placeTimeout)
	}
	awaitCoordinator(t, entries[1:], 2)
}

// TestPlacements guards against placements that exceed the memory of engines because entries place at the same time, and
// against waiting generations that are not told when memory becomes free.
func TestPlacements(t *testing.T) {
	entries := startFleet(t, 3)
	awaitCoordinator(t, entries, 1)
	var mu sync.Mutex
	got := map[string]int{}
	var group errgroup.Group
	for i, e := range entries {
		for n := range 10 {
			group.Go(func() error {
				need := testNeed(uint64(n + 1))
				need.Wait = 0
				r, err := e.limiter.Place(t.Context(), need)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case errors.Is(err, place.ErrBusy):
					got["busy"]++
				case err != nil:
					t.Errorf("entry %d: got %v", i+1, err)
				default:
					got[r.Decode]++
				}
				return nil
			})
		}
	}
	_ = group.Wait()
	// Each generation grows to 10,000 tokens, so that at most seven fit into the 70,000 tokens of an engine.
	if got["d1"] == 0 || got["d2"] == 0 || got["d1"] > 7 || got["d2"] > 7 || got["busy"] == 0 {
		t.Errorf("got %v, want one to seven on each engine and the others refused", got)
	}
	// The entries report no generations, so that the placements are forgotten and a waiting one gets its turn.
	need := testNeed(99)
	need.Wait = 5 * time.Second
	if r, err := entries[2].limiter.Place(t.Context(), need); err != nil || r.Decode == "" {
		t.Errorf("waiting: got %v, %v, want a placement once memory is free", r, err)
	}
}

// TestRestartedPeer guards against loads that count twice for good because a restarted coordinator responds at the
// address of its former session, and against late reports of ended sessions.
func TestRestartedPeer(t *testing.T) {
	entries := startFleet(t, 2)
	awaitCoordinator(t, entries, 1)
	// The first entry restarts: its address belongs to session 3 now, which the second entry does not know yet.
	entries[0].control.mu.Lock()
	entries[0].control.id = 3
	next := *entries[0].control.view
	next.Sessions = map[uint64]*fleetpb.Session{2: next.Sessions[2], 3: {Id: 3, PeerAddress: next.Sessions[1].PeerAddress}}
	entries[0].control.view = &next
	entries[0].control.mu.Unlock()
	awaitCoordinator(t, entries[1:], 2)
	await(t, "no load under the former session", func() bool {
		entries[1].loads.mu.Lock()
		defer entries[1].loads.mu.Unlock()
		return len(entries[1].loads.peerLoads[1]) == 0 && len(entries[1].loads.peerLoads[3]) == 0
	})
	c := coordinator.New(entries[0].control)
	if _, err := c.Report(t.Context(), &fleetpb.UseReport{SessionId: 1}); err == nil {
		t.Error("report of an ended session: got no error, want one")
	}
}

// TestCutOffCoordinator guards against a coordinator that others no longer reach and that, like its successor, admits the whole burst of
// a customer, so that the fleet admits it twice.
func TestCutOffCoordinator(t *testing.T) {
	entries := startFleet(t, 4)
	awaitCoordinator(t, entries, 1)
	entries[0].server.Stop()
	awaitCoordinator(t, entries[1:], 2)
	awaitCoordinator(t, entries[:1], 1)
	time.Sleep(2 * time.Second)
	admitted := map[bool]int{}
	const rounds, pause, tokens = 500, 5 * time.Millisecond, 2
	for range rounds {
		for i, e := range entries {
			if ok, _ := e.limiter.Take("c", testLimit, tokens); ok {
				admitted[i == 0] += tokens
			}
		}
		time.Sleep(pause)
	}
	// Beyond the burst: what the entries offer within one report interval.
	most := int(testLimit.BurstTokens) + len(entries)*tokens*int(coordinator.ReportInterval(len(entries))/pause)
	if got := admitted[true] + admitted[false]; got > most || admitted[false] < int(testLimit.BurstTokens)/2 {
		t.Errorf("got %d tokens admitted by the coordinator that is cut off and %d by the others, want at most %d together", admitted[true], admitted[false], most)
	}
}
