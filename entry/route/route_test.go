package route

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/relay"
)

const testModel = "reader"

var testTime = time.Unix(1000, 0)

func engines(n int, role string) []*fleetpb.Upstream {
	var all []*fleetpb.Upstream
	for i := range n {
		all = append(all, &fleetpb.Upstream{
			Id: fmt.Sprintf("%s-%d", role, i), Incarnation: 1, Kind: "engine", Role: role, Models: []string{testModel}, Slots: 20,
			FailureDomain: fmt.Sprintf("domain-%d", i%3), State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
		})
	}
	return all
}

func services(n int) []*fleetpb.Upstream {
	all := engines(n, "service")
	for _, u := range all {
		u.Kind, u.Role, u.Models = "service", "", nil
	}
	return all
}

func mixed(n int) []*fleetpb.Upstream {
	return append(engines(n/3, "prefill"), engines(n-n/3, "decode")...)
}

func newTestPool(seed uint64, upstreams []*fleetpb.Upstream) *Pool {
	p := NewPool(seed, "domain-0")
	p.Set(upstreams, 1<<30)
	return p
}

func request(blocks int) *relay.Request {
	r := &relay.Request{ID: "1-1", Model: testModel, PromptTokens: blocks*blockTokens + 100, MaxTokens: 200}
	for i := range blocks {
		r.PrefixHashes = append(r.PrefixHashes, uint64(i+1))
	}
	return r
}

// TestEqualReportsDoNotCauseHerding guards against entries that all send their requests to the one upstream that looks
// idle.
func TestEqualReportsDoNotCauseHerding(t *testing.T) {
	got := map[string]int{}
	const picks = 4000
	for entry := range uint64(4) {
		p := newTestPool(entry+1, mixed(27))
		for _, u := range mixed(27) {
			running := 10
			if u.Id == "decode-4" || u.Id == "prefill-4" {
				running = 0
			}
			p.ObserveLoad(testTime, u.Id, relay.Load{Running: running, FreeSlots: 20 - running})
		}
		for range picks / 4 {
			prefill, decode, err := p.PickEngines(testTime, request(0), nil)
			if err != nil {
				t.Fatal(err)
			}
			got[prefill.ID]++
			got[decode.ID]++
		}
	}
	// An upstream is one of two random candidates in 2/9 of the selections among 9 prefill engines, and in 2/6 of the
	// selections among the 6 decode engines of a failure domain.
	if got["prefill-4"] > picks*30/100 || got["decode-4"] > picks*20/100 {
		t.Errorf("the idle engines got %d and %d of %d requests, want at most 30%% and 20%%", got["prefill-4"], got["decode-4"], picks)
	}
	if len(got) != 27 {
		t.Errorf("%d of 27 engines were chosen, want all", len(got))
	}
}

// TestOwnWorkCorrectsLateReports guards against overfilling an engine whose delayed report still shows it as idle.
func TestOwnWorkCorrectsLateReports(t *testing.T) {
	upstreams := engines(1, "decode")
	p := newTestPool(1, append(upstreams, engines(1, "prefill")...))
	r := request(1)
	for i := range 10 {
		r := *r
		r.ID = fmt.Sprint(i)
		p.Started(testTime.Add(time.Duration(i)*10*time.Millisecond), &r, "decode-0", relay.StageReserve)
	}
	n := p.nodes["decode-0"]
	now := testTime.Add(100 * time.Millisecond)
	p.ObserveLoad(now, "decode-0", relay.Load{Running: 5, FreeSlots: 15, Lag: 55 * time.Millisecond})
	// Five requests started after the report was made, 55 ms before now.
	if got := n.load.freeSlots(now, 20); got != 10 {
		t.Errorf("got %d free slots, want 10", got)
	}
	if got := n.load.running(now); got != 10 {
		t.Errorf("got %d running, want 10", got)
	}
	// A reservation without a following decode expires.
	p.expireReservations(now.Add(reservationLifetime + time.Second))
	if n.load.own != 0 {
		t.Errorf("got %d slots in use after the reservations expired, want 0", n.load.own)
	}
}

// TestPrefixHints guards against ignoring cached prefixes and against relying on hints that proved wrong.
func TestPrefixHints(t *testing.T) {
	p := newTestPool(1, mixed(27))
	r := request(8)
	p.ObserveCache(testTime, "prefill-3", 1, relay.CacheEvent{Sequence: 1, Added: true, Hashes: r.PrefixHashes[:6]})
	p.ObserveCache(testTime, "prefill-5", 2, relay.CacheEvent{Sequence: 1, Added: true, Hashes: r.PrefixHashes})
	share := func(now time.Time) int {
		hits := 0
		for range 100 {
			prefill, _, err := p.PickEngines(now, r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if prefill.ID == "prefill-3" {
				hits++
			}
		}
		return hits
	}
	if got := share(testTime); got != 100 {
		t.Errorf("the engine with the cached prefix got %d of 100 requests, want 100", got)
	}
	if got := share(testTime.Add(hintLifetime + time.Second)); got > 50 {
		t.Errorf("an engine with an expired hint got %d of 100 requests, want at most 50", got)
	}
	for range 12 {
		p.Observe(testTime, relay.Outcome{Request: r, Upstream: p.nodes["prefill-3"].Upstream, Stage: relay.StagePrefill, Tokens: r.PromptTokens, Elapsed: time.Second})
	}
	if accuracy := p.nodes["prefill-3"].hintAccuracy; accuracy > 0.1 {
		t.Errorf("hint accuracy %v after 12 prefills without cached tokens, want at most 0.1", accuracy)
	}
	p.ObserveCache(testTime, "prefill-3", 1, relay.CacheEvent{Sequence: 2, Hashes: r.PrefixHashes})
	if blocks := p.prefix.cachedBlocks(testTime, r.PrefixHashes, p.nodes["prefill-3"]); blocks != 0 {
		t.Errorf("%d blocks known after their eviction, want 0", blocks)
	}
	before := p.nodes["prefill-4"].hintAccuracy
	p.ObserveCache(testTime, "prefill-4", 1, relay.CacheEvent{Sequence: 1, Added: true, Hashes: []uint64{77}})
	p.ObserveCache(testTime, "prefill-4", 1, relay.CacheEvent{Sequence: 9, Added: true, Hashes: []uint64{78}})
	if got := p.nodes["prefill-4"].hintAccuracy; got >= before {
		t.Errorf("hint accuracy %v after lost events, want less than %v", got, before)
	}
}

// TestDecodeStaysInTheFailureDomain guards against transfers between failure domains while slots are free in the same
// one.
func TestDecodeStaysInTheFailureDomain(t *testing.T) {
	p := newTestPool(1, mixed(27))
	prefill := p.nodes["prefill-1"].Upstream
	for range 100 {
		decode, err := p.PickDecode(testTime, request(1), prefill, nil)
		if err != nil || decode.FailureDomain != prefill.FailureDomain {
			t.Fatalf("got %+v, %v, want domain %s", decode, err, prefill.FailureDomain)
		}
	}
	for _, n := range p.nodes {
		if n.FailureDomain == prefill.FailureDomain {
			p.ObserveLoad(testTime, n.ID, relay.Load{Running: 20})
		}
	}
	for range 100 {
		decode, err := p.PickDecode(testTime, request(1), prefill, nil)
		if err != nil || decode.FailureDomain == prefill.FailureDomain {
			t.Fatalf("got %+v, %v, want a free slot elsewhere", decode, err)
		}
	}
}

// TestOnlyAcceptingUpstreams guards against new work for upstreams that are leaving, draining, stopped or down, and
// for models that are not loaded.
func TestOnlyAcceptingUpstreams(t *testing.T) {
	upstreams := services(5)
	upstreams[0].State = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
	upstreams[1].State = fleetpb.UpstreamState_UPSTREAM_STATE_DOWN
	upstreams[2].Desired = fleetpb.DesiredState_DESIRED_STATE_DRAINING
	upstreams[3].Desired = fleetpb.DesiredState_DESIRED_STATE_STOPPED
	p := newTestPool(1, upstreams)
	for range 100 {
		if got, err := p.PickService(testTime, nil); err != nil || got.ID != "service-4" {
			t.Fatalf("got %+v, %v, want service-4", got, err)
		}
	}
	if got, err := p.PickService(testTime, []string{"service-4"}); !errors.Is(err, relay.ErrNoUpstream) {
		t.Errorf("got %+v, %v, want ErrNoUpstream", got, err)
	}
	r := request(1)
	r.Model = "other"
	if _, _, err := newTestPool(1, mixed(9)).PickEngines(testTime, r, nil); !errors.Is(err, relay.ErrNoUpstream) {
		t.Errorf("a model that is not loaded got error %v, want ErrNoUpstream", err)
	}
}

func outcomeOf(p *Pool, id string, kind relay.OutcomeKind, elapsed time.Duration) relay.Outcome {
	return relay.Outcome{Upstream: p.nodes[id].Upstream, Stage: relay.StageService, Kind: kind, Elapsed: elapsed}
}

// TestEjection guards against sending work to failing and slow upstreams, against ejecting more than half of a pool,
// and against upstreams that stay ejected forever.
func TestEjection(t *testing.T) {
	p := newTestPool(1, services(9))
	chosen := func(now time.Time) []string {
		var ids []string
		for range 300 {
			u, err := p.PickService(now, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(ids, u.ID) {
				ids = append(ids, u.ID)
			}
		}
		return ids
	}
	p.Observe(testTime, outcomeOf(p, "service-0", relay.Failed, 0))
	if got := chosen(testTime); slices.Contains(got, "service-0") || len(got) != 8 {
		t.Errorf("got %v, want all but service-0", got)
	}
	// After the ejection one request probes the upstream; a failure doubles the ejection period.
	now := testTime.Add(initialEjection)
	if got := chosen(now); !slices.Contains(got, "service-0") {
		t.Errorf("got %v, want service-0 probed", got)
	}
	r := &relay.Request{ID: "1-1"}
	p.Started(now, r, "service-0", relay.StageService)
	if got := chosen(now); slices.Contains(got, "service-0") {
		t.Error("a second request was sent during the probe")
	}
	p.Observe(now, outcomeOf(p, "service-0", relay.Failed, 0))
	if got := p.nodes["service-0"].health.ejectedUntil.Sub(now); got != 2*initialEjection {
		t.Errorf("got a second ejection of %v, want %v", got, 2*initialEjection)
	}
	now = now.Add(2 * initialEjection)
	p.Started(now, r, "service-0", relay.StageService)
	p.Observe(now, outcomeOf(p, "service-0", relay.Succeeded, time.Millisecond))
	if got := chosen(now); len(got) != 9 {
		t.Errorf("got %v, want all upstreams after a successful probe", got)
	}
	for i := range 9 {
		p.Observe(now, outcomeOf(p, fmt.Sprintf("service-%d", i), relay.Failed, 0))
	}
	if got := chosen(now); len(got) != 5 {
		t.Errorf("got %d upstreams after all failed, want 5 of 9 left", len(got))
	}
}

// TestSlowUpstreamIsEjected guards against requests sent to an upstream that responds 20 times slower than the rest of
// its pool.
func TestSlowUpstreamIsEjected(t *testing.T) {
	p := newTestPool(1, services(9))
	for i := range 400 {
		id := fmt.Sprintf("service-%d", i%9)
		elapsed := 10 * time.Millisecond
		if id == "service-2" {
			elapsed = 200 * time.Millisecond
		}
		p.Observe(testTime, outcomeOf(p, id, relay.Succeeded, elapsed))
	}
	for id, n := range p.nodes {
		if got, want := testTime.Before(n.health.ejectedUntil), id == "service-2"; got != want {
			t.Errorf("%s ejected: %v, want %v", id, got, want)
		}
	}
}

// TestLeastLoadedOfTwo guards against long queues. With two random choices, the longest queue after n requests to n
// engines grows as log log n.
func TestLeastLoadedOfTwo(t *testing.T) {
	p := newTestPool(1, services(1200))
	most := 0
	for i := range 1200 {
		u, err := p.PickService(testTime, nil)
		if err != nil {
			t.Fatal(err)
		}
		p.Started(testTime, &relay.Request{ID: fmt.Sprint(i)}, u.ID, relay.StageService)
		most = max(most, p.nodes[u.ID].load.own)
	}
	if most > 5 {
		t.Errorf("got a longest queue of %d requests, want at most 5", most)
	}
}

// benchmark runs the function that prepare returns for several numbers of upstreams.
func benchmark(b *testing.B, prepare func(n int) func() error) {
	for _, n := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			pick := prepare(n)
			b.ReportAllocs()
			for b.Loop() {
				if err := pick(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPickEngines(b *testing.B) {
	benchmark(b, func(n int) func() error {
		p, r := newTestPool(1, mixed(n)), request(20)
		for id, node := range p.nodes {
			p.ObserveLoad(testTime, id, relay.Load{Running: 10, FreeSlots: 10})
			if node.role == "prefill" {
				p.prefix.add(testTime, node, r.PrefixHashes[:5])
			}
		}
		return func() error {
			_, _, err := p.PickEngines(testTime, r, nil)
			return err
		}
	})
}

// BenchmarkPickFull measures the selection while no engine has a free slot and half of the pool is ejected.
func BenchmarkPickFull(b *testing.B) {
	benchmark(b, func(n int) func() error {
		p, r := newTestPool(1, mixed(n)), request(0)
		for id, node := range p.nodes {
			p.ObserveLoad(testTime, id, relay.Load{Running: 20})
			p.eject(testTime, node)
		}
		return func() error {
			_, _, err := p.PickEngines(testTime, r, nil)
			return err
		}
	})
}

func BenchmarkPickService(b *testing.B) {
	benchmark(b, func(n int) func() error {
		p := newTestPool(1, services(n))
		return func() error {
			_, err := p.PickService(testTime, nil)
			return err
		}
	})
}

func BenchmarkSet(b *testing.B) {
	benchmark(b, func(n int) func() error {
		p, upstreams := NewPool(1, ""), mixed(n)
		return func() error {
			p.Set(upstreams, 1)
			return nil
		}
	})
}
