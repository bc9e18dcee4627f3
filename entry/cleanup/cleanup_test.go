package cleanup

import (
	"slices"
	"testing"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// TestEndedOwners guards against cancelling requests of a live session or of a session that is newer than the view, and
// against not cancelling requests of an ended session.
func TestEndedOwners(t *testing.T) {
	view := &control.View{Index: 50, Sessions: map[uint64]*fleetpb.Session{40: {Id: 40}}}
	got := EndedOwners(view, []string{"40-1", "30-1", "30-2.1", "60-1", "test", "45-9"})
	want := []string{"30", "45"}
	if !slices.Equal(got, want) {
		t.Errorf("EndedOwners: got %v, want %v", got, want)
	}
}

// TestAssignedSessionMovesFewEngines guards against two entries that sweep the same engine, and against
// reassigning all engines when one session ends.
func TestAssignedSessionMovesFewEngines(t *testing.T) {
	all := &control.View{Sessions: map[uint64]*fleetpb.Session{1: {}, 2: {}, 3: {}, 4: {}}}
	fewer := &control.View{Sessions: map[uint64]*fleetpb.Session{1: {}, 2: {}, 3: {}}}
	for _, upstream := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		before, after := assignedSession(all, upstream), assignedSession(fewer, upstream)
		if before != 4 && after != before {
			t.Errorf("upstream %s is assigned to session %d after another session ended, want %d", upstream, after, before)
		}
	}
}
