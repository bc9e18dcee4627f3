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
			b.CountRequest(now)
			requests++
			if step > 200 && b.Allow(now, 10) {
				retries++
			}
			if step%20 == 0 {
				for j, other := range budgets {
					if j != i {
						q, r := other.Totals()
						b.AddPeerTotals(now, uint64(j), q, r)
					}
				}
			}
		}
	}
	// The floor is allowed in addition in each of the three windows of 10 s.
	if maxRetries := requests/10 + 3*defaultFloor; retries > maxRetries || retries < requests/20 {
		t.Errorf("got %d retries for %d requests, want %d to %d", retries, requests, requests/20, maxRetries)
	}
}

// TestFloorAndZero guards against a pool with few requests in which no retry is ever allowed, and against retries at 0
// percent.
func TestFloorAndZero(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New()
	allowed := 0
	for range 100 {
		if b.Allow(now, 10) {
			allowed++
		}
	}
	if allowed != defaultFloor {
		t.Errorf("got %d retries without requests, want the floor of %d", allowed, defaultFloor)
	}
	if b.Allow(now.Add(Window), 0) {
		t.Error("a retry was allowed at 0 percent, want it refused")
	}
	if !b.Allow(now.Add(Window), 10) {
		t.Error("a retry was refused in a new window, want it allowed")
	}
}

// TestSharedBudget guards against entries that exceed the fleet's budget together, against an entry that may not use
// the part of the budget that the others leave unused, and against entries that each use the whole floor while no
// reports arrive.
func TestSharedBudget(t *testing.T) {
	const entries, floor, percent = 4, 40, 10.0
	for name, reportsArrive := range map[string]bool{"reports arrive": true, "no reports": false} {
		now := time.Unix(1000, 0)
		var budgets [entries]*Budget
		for i := range budgets {
			budgets[i] = WithFloor(floor)
		}
		requests, retries := 0, 0
		for step := range 900 {
			now = now.Add(10 * time.Millisecond)
			// The first entry receives all requests and makes all retries.
			budgets[0].CountRequest(now)
			requests++
			if budgets[0].AllowShared(now, percent, entries, 1) {
				retries++
			}
			if reportsArrive && step%20 == 0 {
				for i, b := range budgets {
					for j, other := range budgets {
						if i != j {
							q, r := other.Totals()
							b.AddPeerTotals(now, uint64(j), q, r)
						}
					}
				}
			}
		}
		maxRetries := float64(requests)*percent/100 + floor
		if !reportsArrive {
			maxRetries = float64(requests)*percent/100 + floor/entries
		}
		if float64(retries) > maxRetries || float64(retries) < maxRetries*0.5 {
			t.Errorf("%s: got %d retries for %d requests, want at most %.0f and at least half of that", name, retries, requests, maxRetries)
		}
	}
}

// TestSummedBudget guards against entries that exceed the fleet's budget together, in a burst of refusals at all of them,
// because a coordinator reports the retries of all the others as one sum.
func TestSummedBudget(t *testing.T) {
	const entries, floor, percent = 27, 130, 14.0
	now := time.Unix(1000, 0)
	var budgets [entries]*Budget
	for i := range budgets {
		budgets[i] = WithFloor(floor)
	}
	requests, retries := 0, 0
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range budgets {
			if step%4 == 0 {
				b.CountRequest(now)
				requests++
			}
			// From the seventh second on each request is refused and sent again.
			for range 4 {
				if step >= 700 && step%4 == 0 && b.AllowShared(now, percent, 2, 1) {
					retries++
				}
			}
		}
		if step%30 == 0 {
			var q, r uint64
			for _, b := range budgets {
				oneQ, oneR := b.Totals()
				q, r = q+oneQ, r+oneR
			}
			for _, b := range budgets {
				oneQ, oneR := b.Totals()
				b.AddSummedTotals(now, 1, entries-1, q-oneQ, r-oneR)
			}
		}
	}
	if most := float64(requests)*percent/100 + floor; float64(retries) > most || float64(retries) < most/2 {
		t.Errorf("got %d retries for %d requests, want at most %.0f and at least half of that", retries, requests, most)
	}
}

// TestSplitBudget guards against two sides of a split fleet that each use the whole retry budget, because the coordinator of one does
// not know the use of the other.
func TestSplitBudget(t *testing.T) {
	const entries, floor, percent = 4, 40, 10.0
	now := time.Unix(1000, 0)
	var budgets [entries]*Budget
	for i := range budgets {
		budgets[i] = WithFloor(floor)
	}
	// The first entry is cut off; the others go on reporting to each other.
	report := func(split bool) {
		for i, b := range budgets {
			for j, other := range budgets {
				if i != j && (!split || (i == 0) == (j == 0)) {
					q, r := other.Totals()
					b.AddPeerTotals(now, uint64(j), q, r)
				}
			}
		}
	}
	requests, retries := 0, 0
	for step := range 900 {
		now = now.Add(10 * time.Millisecond)
		split := step >= 300
		for i, b := range budgets {
			part := 1.0
			if split {
				part = map[bool]float64{true: 1.0 / entries, false: (entries - 1.0) / entries}[i == 0]
			}
			b.CountRequest(now)
			requests++
			if split && b.AllowShared(now, percent, entries, part) {
				retries++
			}
		}
		if step%20 == 0 {
			report(split)
		}
	}
	if most := float64(requests)*percent/100 + floor; float64(retries) > most || float64(retries) < most/2 {
		t.Errorf("got %d retries for %d requests, want at most %.0f and at least half of that", retries, requests, most)
	}
}

// TestInTime guards against a retry that cannot end before its deadline.
func TestInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	if InTime(now, now.Add(time.Second), time.Second) || !InTime(now, now.Add(time.Second), 999*time.Millisecond) {
		t.Error("want a step that ends at the deadline late, and a step that ends 1ms before the deadline in time")
	}
}
