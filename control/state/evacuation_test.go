package state

import (
	"testing"

	"azuredoor.example/core/fleetpb"
)

func (h *harness) evacuate(domain string, withdraw bool, expect uint64) *fleetpb.Result {
	h.t.Helper()
	return h.apply(&fleetpb.Command{Body: &fleetpb.Command_SetEvacuation{SetEvacuation: &fleetpb.SetEvacuationRequest{
		FailureDomain: domain, Withdraw: withdraw, ExpectVersion: expect, Operator: "ana",
	}}})
}

// TestEvacuation guards against an order that is applied twice, a late order that undoes a newer one, and an order that snapshots or
// watchers lose.
func TestEvacuation(t *testing.T) {
	h := newHarness(t)
	for i, test := range []struct {
		domain   string
		withdraw bool
		expect   uint64
		code     fleetpb.ResultCode
		// version is the index of the order in force afterwards, evacuated whether the failure domain is.
		version   uint64
		evacuated bool
	}{
		{"a", true, 0, ok, 0, false},
		{"a", false, 0, ok, 2, true},
		{"a", false, 0, ok, 2, true},
		{"a", true, 1, conflict, 2, true},
		{"a", true, 2, ok, 5, false},
		{"a", false, 2, conflict, 5, false},
		{"a", true, 2, ok, 5, false},
		{"a", false, 5, ok, 8, true},
		{"", false, 0, invalid, 0, false},
	} {
		if got := h.evacuate(test.domain, test.withdraw, test.expect); got.Code != test.code {
			t.Errorf("order %d: got %v, want %v", i+1, got, test.code)
		}
		e := h.machine.Evacuation(test.domain)
		if got := e != nil && !e.Withdrawn; e.GetVersion() != test.version || got != test.evacuated {
			t.Errorf("order %d: got %v in force, want version %d, evacuated %v", i+1, e, test.version, test.evacuated)
		}
	}
	h.millis = 5000
	h.evacuate("b", false, 0)
	if got := h.machine.EventAfter(9).Evacuations; len(got) != 1 || got[0].FailureDomain != "b" || got[0].SinceMillis != 5000 || got[0].Operator != "ana" {
		t.Errorf("watcher: got %v, want the order on b", got)
	}
	restored := New()
	if err := restored.Restore(encode(t, h.machine)); err != nil {
		t.Fatal(err)
	}
	if got := restored.EventAfter(0).Evacuations; len(got) != 2 || restored.Evacuation("a").GetVersion() != 8 {
		t.Errorf("restored: got %v, want the orders on a and b", got)
	}
	if got := len(h.machine.History(0, 10)); got != 4 {
		t.Errorf("got %d records in the history, want one for each of 4 changes", got)
	}
}

// TestResentEvacuation guards against an operator's order that is sent again under its request ID and evacuates a failure domain
// that has been taken back since, and against an order on a failure domain that does not exist.
func TestResentEvacuation(t *testing.T) {
	h := newHarness(t)
	order := func(domain, id string, withdraw bool) fleetpb.ResultCode {
		return h.apply(&fleetpb.Command{Body: &fleetpb.Command_SetEvacuation{SetEvacuation: &fleetpb.SetEvacuationRequest{
			FailureDomain: domain, Withdraw: withdraw, RequestId: id,
		}}}).Code
	}
	if got := order("a", "r0", false); got != notFound {
		t.Errorf("unknown failure domain: got %v, want %v", got, notFound)
	}
	h.apply(&fleetpb.Command{Body: &fleetpb.Command_OpenSession{OpenSession: &fleetpb.OpenSessionRequest{Name: "e", FailureDomain: "a"}}})
	for _, step := range []struct {
		id       string
		withdraw bool
	}{{"r1", false}, {"r2", true}, {"r1", false}} {
		if got := order("a", step.id, step.withdraw); got != ok {
			t.Errorf("order %s: got %v, want %v", step.id, got, ok)
		}
	}
	if got := h.machine.Evacuation("a"); !got.GetWithdrawn() {
		t.Errorf("got %v in force, want the evacuation withdrawn", got)
	}
}
