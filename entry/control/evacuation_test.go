package control

import (
	"testing"
	"time"

	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// TestEvacuatedView guards against upstreams of an evacuated failure domain that look as if they accepted requests, against records
// that differ with each change of the view, and against upstreams that count as warm just after a withdrawal.
func TestEvacuatedView(t *testing.T) {
	c := New(Config{Members: []string{"127.0.0.1:1"}, Events: event.Discard(), Regions: map[string]string{"a": "r"}})
	upstream := func(id, domain string, sequence uint64) *fleetpb.Upstream {
		return &fleetpb.Upstream{Id: id, FailureDomain: domain, Pool: "s", Sequence: sequence, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE}
	}
	index := uint64(0)
	apply := func(e *fleetpb.WatchEvent) *View {
		t.Helper()
		index++
		e.Index = index
		if err := c.handleEvent(e); err != nil {
			t.Fatal(err)
		}
		return c.View()
	}
	c.view.Store(&View{
		Config: c.View().Config, Document: &document.Document{Services: map[string]*document.Service{"s": {ColdRate: 9, ColdStart: 3 * time.Second}}},
	})
	apply(&fleetpb.WatchEvent{Upstreams: []*fleetpb.Upstream{upstream("u1", "a", 1), upstream("u2", "b", 1)}})
	first := apply(&fleetpb.WatchEvent{Evacuations: []*fleetpb.Evacuation{{FailureDomain: "a", Version: 1}}})
	if AcceptsRequests(first.Upstreams["u1"]) || !AcceptsRequests(first.Upstreams["u2"]) || !first.Evacuated("a") || first.Regions["a"] != "r" {
		t.Errorf("got %v, %v, evacuated %v, regions %v, want u1 to leave", first.Upstreams["u1"], first.Upstreams["u2"], first.Evacuated("a"), first.Regions)
	}
	next := apply(&fleetpb.WatchEvent{Upstreams: []*fleetpb.Upstream{upstream("u2", "b", 2), upstream("u3", "a", 1)}})
	if next.Upstreams["u1"] != first.Upstreams["u1"] || AcceptsRequests(next.Upstreams["u3"]) {
		t.Errorf("got %v, want the record of u1 kept, and u3, which started since, to leave", next.Upstreams["u3"])
	}
	back := apply(&fleetpb.WatchEvent{TimeMillis: 5000, Evacuations: []*fleetpb.Evacuation{{FailureDomain: "a", Version: 4, Withdrawn: true, SinceMillis: 4000}}})
	if !AcceptsRequests(back.Upstreams["u1"]) {
		t.Error("after the withdrawal: got u1 leaving, want it in use")
	}
	if left := time.Until(back.ColdUntil("u1")); left < 1500*time.Millisecond || left > 2*time.Second || !back.ColdUntil("u2").IsZero() {
		t.Errorf("a second after the withdrawal: got u1 cold for %v more, u2 until %v, want 2 s and never", left, back.ColdUntil("u2"))
	}
}
