package member

import (
	"slices"
	"testing"
	"time"
)

// TestPlanRepair guards against groups that stay short of voters, that grow beyond their size, or that lose a voter while
// nobody can replace it.
func TestPlanRepair(t *testing.T) {
	voter := func(id uint64) memberState { return memberState{id: id, reachable: true} }
	learner := func(id uint64) memberState { return memberState{id: id, learner: true, reachable: true} }
	silent := func(m memberState, d time.Duration) memberState {
		m.reachable, m.silent = false, d
		return m
	}
	for name, test := range map[string]struct {
		members []memberState
		voters  int
		remove  uint64
		promote []uint64
	}{
		"operators' group: every learner": {[]memberState{voter(1), learner(2), silent(learner(3), time.Hour)}, 0, 0, []uint64{2, 3}},
		"operators' group: none removed":  {[]memberState{voter(1), silent(voter(2), time.Hour), learner(3)}, 0, 0, []uint64{3}},
		"short of voters":                 {[]memberState{voter(1), voter(2), voter(3), learner(4)}, 5, 0, []uint64{4}},
		"short, learner silent":           {[]memberState{voter(1), voter(2), silent(learner(4), time.Second)}, 3, 0, nil},
		"complete":                        {[]memberState{voter(1), voter(2), voter(3), learner(4)}, 3, 0, nil},
		"voter gone, learner there":       {[]memberState{voter(1), voter(2), silent(voter(3), replaceAfter), learner(4)}, 3, 3, nil},
		"voter gone a short time":         {[]memberState{voter(1), voter(2), silent(voter(3), replaceAfter-1), learner(4)}, 3, 0, nil},
		"voter gone, no learner":          {[]memberState{voter(1), voter(2), silent(voter(3), time.Hour)}, 3, 0, nil},
		"voter gone, learner silent":      {[]memberState{voter(1), silent(voter(3), time.Hour), silent(learner(4), time.Second)}, 2, 0, nil},
		"two gone: the longer one first":  {[]memberState{voter(1), voter(5), silent(voter(2), 3*time.Second), silent(voter(3), 9*time.Second), voter(6), learner(4)}, 5, 3, nil},
	} {
		plan := planRepair(test.members, test.voters)
		if plan.remove != test.remove || !slices.Equal(plan.promote, test.promote) {
			t.Errorf("%s: got remove %d, promote %v, want remove %d, promote %v", name, plan.remove, plan.promote, test.remove, test.promote)
		}
	}
}

// TestFounderID guards against founders that expect each other under different IDs.
func TestFounderID(t *testing.T) {
	if got, want := FounderID("10.0.0.1:7500"), uint64(0); got == want || got == FounderID("10.0.0.2:7500") {
		t.Errorf("got %x, want an ID other than 0, and another one for each address", got)
	}
}
