package retry

import (
	"testing"
	"time"
)

// TestMayLeaveSilentUpstream guards against requests that leave an upstream although nothing else may serve them.
func TestMayLeaveSilentUpstream(t *testing.T) {
	for name, test := range map[string]struct {
		silence Silence
		want    bool
	}{
		"another attempt":    {Silence{Repeatable: true, Runs: 1, MaxRuns: 2, BudgetAvailable: true}, true},
		"runs once":          {Silence{Runs: 1, MaxRuns: 2, BudgetAvailable: true}, false},
		"last attempt":       {Silence{Repeatable: true, Runs: 2, MaxRuns: 2, BudgetAvailable: true}, false},
		"budget is used up":  {Silence{Repeatable: true, Runs: 1, MaxRuns: 2}, false},
		"no attempt allowed": {Silence{Repeatable: true, Runs: 1, BudgetAvailable: true}, false},
	} {
		if got := test.silence.MayLeave(); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// TestRecheck guards against silent upstreams that are checked in a busy loop, or only after callers have left.
func TestRecheck(t *testing.T) {
	for checks := range 100 {
		if got := (Silence{Checks: checks}).Recheck(); got < 50*time.Millisecond || got > 500*time.Millisecond {
			t.Errorf("check %d: got %v, want 50 to 500 ms", checks, got)
		}
	}
}

// TestAvailableCountsNothing guards against a retry budget that is used up by asking for it.
func TestAvailableCountsNothing(t *testing.T) {
	b, now := WithFloor(1), time.Now()
	for range 5 {
		if !b.Available(now, 0, 1, 1) {
			t.Fatal("got no retry before the first one")
		}
	}
	if !b.AllowShared(now, 0, 1, 1) || b.Available(now, 0, 1, 1) || b.AllowShared(now, 0, 1, 1) {
		t.Error("want one retry")
	}
}
