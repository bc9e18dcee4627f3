package order

import (
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// TestStep guards against stages that stay out of proportion, and against engines that change back and forth.
func TestStep(t *testing.T) {
	demand := Demand{Read: 94 * time.Millisecond, Hold: 264 * time.Millisecond}
	for _, test := range []struct {
		prefill, decode, want int
	}{
		{3, 6, 0}, {2, 7, 0}, {4, 5, -1}, {4, 3, -1}, {3, 4, -1}, {2, 5, 0}, {1, 8, 1}, {1, 1, 0}, {2, 1, -1}, {0, 4, 0},
	} {
		if got := step(test.prefill, test.decode, demand); got != test.want {
			t.Errorf("%d prefill and %d decode engines: got %d, want %d", test.prefill, test.decode, got, test.want)
		}
		next := test.prefill + step(test.prefill, test.decode, demand)
		if again := step(next, test.prefill+test.decode-next, demand); again*test.want < 0 {
			t.Errorf("%d prefill and %d decode engines: the change is taken back", test.prefill, test.decode)
		}
	}
	if got := step(4, 3, Demand{}); got != 0 {
		t.Errorf("unknown demand: got %d, want no change", got)
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

// TestStages guards against several engines that change at once, orders that are repeated while an engine changes, and
// orders while engines come and go.
func TestStages(t *testing.T) {
	known := false
	p := &Stages{Demand: func(string) (Demand, bool) {
		return Demand{Read: 94 * time.Millisecond, Hold: 264 * time.Millisecond}, known
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
	view = stageView(4, 4)
	if got := plan(time.Second); len(got) != 0 {
		t.Errorf("just after a change: got %v, want no order", got)
	}
	got := plan(settleFor)
	if len(got) != 1 || got[0].Kind != SetRole || got[0].Role != roleDecode || view.Upstreams[got[0].Upstream].Role != rolePrefill {
		t.Fatalf("got %v, want one prefill engine to become a decode engine", got)
	}
	if again := plan(settleFor); len(again) != 0 || !p.Pending() {
		t.Errorf("while an engine changes: got %v, want no order", again)
	}
	view = stageView(4, 4)
	view.Upstreams[got[0].Upstream].Role = got[0].Role
	if got := plan(time.Second); len(got) != 0 || p.Pending() {
		t.Errorf("after the change: got %v, pending %v, want neither", got, p.Pending())
	}
}
