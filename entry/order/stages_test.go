package order

import (
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// TestBestPrefill guards against prefill and decode engines whose numbers stay out of proportion to the demand, in
// services of few and of many engines, and against engines that change their role back and forth.
func TestBestPrefill(t *testing.T) {
	demand := Demand{PrefillTime: 94 * time.Millisecond, DecodeTime: 264 * time.Millisecond}
	long := Demand{PrefillTime: 94 * time.Millisecond, DecodeTime: 392 * time.Millisecond}
	for _, test := range []struct {
		prefill, decode int
		demand          Demand
		want            int
	}{
		{3, 6, demand, 3}, {2, 7, demand, 2}, {2, 6, demand, 2}, {4, 5, demand, 3}, {4, 3, demand, 2}, {3, 4, demand, 2}, {2, 5, demand, 2}, {1, 8, demand, 3},
		{1, 1, demand, 1}, {2, 1, demand, 1}, {0, 4, demand, 0}, {4, 3, Demand{}, 4},
		// One engine of 38 that changes its role gains too little, several gain enough.
		{13, 25, long, 9}, {9, 29, long, 9}, {3, 35, long, 8}, {8, 30, long, 8},
	} {
		got := bestPrefillCount(test.prefill, test.decode, test.demand, minGainToPrefill, minGainToDecode)
		if got != test.want {
			t.Errorf("%d prefill and %d decode engines: got %d prefill engines, want %d", test.prefill, test.decode, got, test.want)
		}
		if again := bestPrefillCount(got, test.prefill+test.decode-got, test.demand, minGainToPrefill, minGainToDecode); again != got {
			t.Errorf("%d prefill and %d decode engines: got %d, then %d prefill engines, want no further change", test.prefill, test.decode, got, again)
		}
	}
}

func stageView(prefill, decode int) *control.View {
	view := &control.View{Upstreams: map[string]*fleetpb.Upstream{}}
	for i := range prefill + decode {
		role := rolePrefill
		if i >= prefill {
			role = roleDecode
		}
		id := string(rune('a' + i))
		view.Upstreams[id] = &fleetpb.Upstream{
			Id: id, Kind: "engine", Pool: "s", Role: role, Address: id + ":1", State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
		}
	}
	return view
}

// TestStages guards against too many engines that change at once, orders that are repeated while an engine changes,
// and orders while engines join and leave.
func TestStages(t *testing.T) {
	known := false
	p := &RolePlanner{Demand: func(string) (Demand, bool) {
		return Demand{PrefillTime: 94 * time.Millisecond, DecodeTime: 264 * time.Millisecond}, known
	}}
	now, view := time.Unix(0, 0), stageView(4, 3)
	plan := func(after time.Duration) []Order {
		now = now.Add(after)
		return p.Plan(now, view)
	}
	if got := plan(time.Minute); len(got) != 0 {
		t.Errorf("unknown demand: got %v, want no order", got)
	}
	known = true
	view = stageView(4, 5)
	if got := plan(time.Second); len(got) != 0 {
		t.Errorf("just after a change: got %v, want no order", got)
	}
	got := plan(stablePeriod)
	if len(got) != 1 || got[0].Kind != SetRole || got[0].Role != roleDecode || view.Upstreams[got[0].Upstream].Role != rolePrefill {
		t.Fatalf("got %v, want one prefill engine to become a decode engine", got)
	}
	if again := plan(stablePeriod); len(again) != 0 || !p.Pending() {
		t.Errorf("while an engine changes: got %v, want no order", again)
	}
	view = stageView(4, 5)
	view.Upstreams[got[0].Upstream].Role = got[0].Role
	if got := plan(time.Second); len(got) != 0 || p.Pending() {
		t.Errorf("after the change: got %v, pending %v, want neither", got, p.Pending())
	}
}

// TestLargeServiceChangesRolesInBatches guards against large services whose engines change one after the other for
// minutes, and against half of the engines being out of service at once.
func TestLargeServiceChangesRolesInBatches(t *testing.T) {
	p := &RolePlanner{Demand: func(string) (Demand, bool) {
		return Demand{PrefillTime: 94 * time.Millisecond, DecodeTime: 392 * time.Millisecond}, true
	}}
	now, view := time.Unix(0, 0), stageView(13, 25)
	p.Plan(now, view)
	now = now.Add(stablePeriod)
	total := 0
	for total < 4 {
		orders := p.Plan(now, view)
		if want := min(3, 4-total); len(orders) != want {
			t.Fatalf("after %d changes: got %d orders, want %d", total, len(orders), want)
		}
		now = now.Add(stablePeriod)
		if again := p.Plan(now, view); len(again) != 0 {
			t.Errorf("while engines change: got %d further orders, want none", len(again))
		}
		for _, o := range orders {
			view.Upstreams[o.Upstream].Role = o.Role
		}
		total += len(orders)
	}
	if again := p.Plan(now.Add(time.Minute), view); len(again) != 0 {
		t.Errorf("after all changes: got %d orders, want none", len(again))
	}
}

// TestStagesFollowDemandChange guards against engines that keep changing towards a target computed from earlier demand
// until prefill or decode has too few engines.
func TestStagesFollowDemandChange(t *testing.T) {
	demand := Demand{PrefillTime: 10 * time.Millisecond, DecodeTime: 264 * time.Millisecond}
	p := &RolePlanner{Demand: func(string) (Demand, bool) { return demand, true }}
	now, view := time.Unix(0, 0), stageView(4, 5)
	p.Plan(now, view)
	now = now.Add(stablePeriod)
	first := p.Plan(now, view)
	if len(first) != 1 || first[0].Role != roleDecode {
		t.Fatalf("got %v, want one order that makes a prefill engine a decode engine", first)
	}
	view.Upstreams[first[0].Upstream].Role = roleDecode
	demand.PrefillTime = 94 * time.Millisecond
	if again := p.Plan(now.Add(stablePeriod), view); len(again) != 0 {
		t.Errorf("with three fully used prefill engines: got %v, want no order", again)
	}
}
