package member

import (
	"slices"
	"testing"
	"time"
)

// TestPlanRepair guards against groups that stay below or grow above the target number of voters, and against the removal
// of a voter without a learner to replace the voter.
func TestPlanRepair(t *testing.T) {
	voter := func(id uint64) memberState { return memberState{id: id, reachable: true} }
	learner := func(id uint64) memberState { return memberState{id: id, learner: true, reachable: true} }
	unreachable := func(m memberState, d time.Duration) memberState {
		m.reachable, m.unreachableFor = false, d
		return m
	}
	for name, test := range map[string]struct {
		members []memberState
		voters  int
		remove  uint64
		promote []uint64
	}{
		"operators' group: every learner":      {[]memberState{voter(1), learner(2), unreachable(learner(3), time.Hour)}, 0, 0, []uint64{2, 3}},
		"operators' group: none removed":       {[]memberState{voter(1), unreachable(voter(2), time.Hour), learner(3)}, 0, 0, []uint64{3}},
		"short of voters":                      {[]memberState{voter(1), voter(2), voter(3), learner(4)}, 5, 0, []uint64{4}},
		"short of voters, learner unreachable": {[]memberState{voter(1), voter(2), unreachable(learner(4), time.Second)}, 3, 0, nil},
		"complete":                             {[]memberState{voter(1), voter(2), voter(3), learner(4)}, 3, 0, nil},
		"voter unreachable, learner reachable": {[]memberState{voter(1), voter(2), unreachable(voter(3), replaceAfter), learner(4)}, 3, 3, nil},
		"voter unreachable for a short time":   {[]memberState{voter(1), voter(2), unreachable(voter(3), replaceAfter-1), learner(4)}, 3, 0, nil},
		"voter unreachable, no learner":        {[]memberState{voter(1), voter(2), unreachable(voter(3), time.Hour)}, 3, 0, nil},
		"voter and learner unreachable":        {[]memberState{voter(1), unreachable(voter(3), time.Hour), unreachable(learner(4), time.Second)}, 2, 0, nil},
		"two unreachable: longest first":       {[]memberState{voter(1), voter(5), unreachable(voter(2), 3*time.Second), unreachable(voter(3), 9*time.Second), voter(6), learner(4)}, 5, 3, nil},
	} {
		plan := planRepair(test.members, test.voters)
		if plan.remove != test.remove || !slices.Equal(plan.promote, test.promote) {
			t.Errorf("%s: got remove %d, promote %v, want remove %d, promote %v",
				name, plan.remove, plan.promote, test.remove, test.promote)
		}
	}
}

// TestFounderID guards against an ID of 0 and against founders with the same ID.
func TestFounderID(t *testing.T) {
	if got, want := FounderID("10.0.0.1:7500"), uint64(0); got == want || got == FounderID("10.0.0.2:7500") {
		t.Errorf("got %x, want a nonzero ID that differs between addresses", got)
	}
}
