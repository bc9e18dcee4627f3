package retry

import (
	"testing"
	"time"
)

// TestFleetBudget guards against entries that each take the whole fleet's share of retries.
func TestFleetBudget(t *testing.T) {
	const entries = 4
	now := time.Unix(1000, 0)
	var budgets [entries]*Budget
	for i := range budgets {
		budgets[i] = New()
	}
	requests, retries := 0, 0
	for step := range 3000 {
		now = now.Add(10 * time.Millisecond)
		for i, b := range budgets {
			b.Request(now)
			requests++
			if step > 200 && b.Allow(now, 10) {
				retries++
			}
			if step%20 == 0 {
				for j, other := range budgets {
					if j != i {
						q, r := other.Totals()
						b.Peer(now, uint64(j), q, r)
					}
				}
			}
		}
	}
	// The floor in each of three windows of 10 s comes on top.
	if most := requests/10 + 3*floor; retries > most || retries < requests/20 {
		t.Errorf("got %d retries for %d requests, want %d to %d", retries, requests, requests/20, most)
	}
}

// TestFloorAndZero guards against a quiet pool that never retries, and against retries that are turned off.
func TestFloorAndZero(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New()
	allowed := 0
	for range 100 {
		if b.Allow(now, 10) {
			allowed++
		}
	}
	if allowed != floor {
		t.Errorf("got %d retries without requests, want %d", allowed, floor)
	}
	if b.Allow(now.Add(Window), 0) {
		t.Error("a retry was allowed at 0 percent")
	}
	if !b.Allow(now.Add(Window), 10) {
		t.Error("a retry was refused in a new window")
	}
}

// TestSharedBudget guards against entries that exceed the fleet's budget together, against one that may not use what the
// others leave, and against the floor being used once by each entry while they do not hear each other.
func TestSharedBudget(t *testing.T) {
	const entries, floor, percent = 4, 40, 10.0
	for name, hear := range map[string]bool{"reports arrive": true, "nobody reports": false} {
		now := time.Unix(1000, 0)
		var budgets [entries]*Budget
		for i := range budgets {
			budgets[i] = WithFloor(floor)
		}
		requests, retries := 0, 0
		for step := range 900 {
			now = now.Add(10 * time.Millisecond)
			// All requests and retries come through the first entry.
			budgets[0].Request(now)
			requests++
			if budgets[0].AllowShared(now, percent, entries) {
				retries++
			}
			if hear && step%20 == 0 {
				for i, b := range budgets {
					for j, other := range budgets {
						if i != j {
							q, r := other.Totals()
							b.Peer(now, uint64(j), q, r)
						}
					}
				}
			}
		}
		most := float64(requests)*percent/100 + floor
		if !hear {
			most = float64(requests)*percent/100 + floor/entries
		}
		if float64(retries) > most || float64(retries) < most*0.5 {
			t.Errorf("%s: got %d retries for %d requests, want at most %.0f and most of them", name, retries, requests, most)
		}
	}
}

// TestInTime guards against a retry that cannot end before its deadline.
func TestInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	if InTime(now, now.Add(time.Second), time.Second) || !InTime(now, now.Add(time.Second), 999*time.Millisecond) {
		t.Error("want only steps that end before the deadline")
	}
}
