package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestUrgentGenerationsFirst guards against urgent generations that are refused because less urgent ones came before them and wait, and
// against less urgent ones that get nothing. It plays engines that end a generation each 30 ms, urgent work at three quarters of that
// rate, and a burst of less urgent work at the full rate, and compares the refusals with those of one line in the order of arrival.
func TestUrgentGenerationsFirst(t *testing.T) {
	type kind struct {
		priority     int
		target       time.Duration
		perStep      float64
		refused, all int
	}
	play := func(ordered bool) [2]kind {
		kinds := [2]kind{{0, 800 * time.Millisecond, 0.25, 0, 0}, {2, 2 * time.Second, 0.33, 0, 0}}
		r := rand.New(rand.NewPCG(3, 4))
		b := NewBook()
		engine := decodeEngine("d", "d")
		engine.Slots, engine.Capacity = 40, 0
		b.Set([]Upstream{engine})
		q := NewQueue(b)
		type waiter struct {
			*Waiting
			kind int
		}
		var waiting []waiter
		id := uint64(0)
		for step := range 2000 {
			now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
			if step%3 == 0 && len(b.engines["d"].generations) > 0 {
				b.remove(b.engines["d"].generations[0])
				q.RecordEnds(now, "s", 1)
				q.Advance(now)
			}
			for i := range kinds {
				if r.Float64() >= kinds[i].perStep {
					continue
				}
				id++
				kinds[i].all++
				wait := time.Duration(0.4 * float64(kinds[i].target))
				w := &Waiting{Need: generationNeed(1, id), Until: now.Add(wait), Patience: 10 * time.Second, Done: make(chan Result, 1)}
				w.Need.Target = kinds[i].target
				if ordered {
					w.Priority = kinds[i].priority
				} else {
					w.Until = now.Add(320 * time.Millisecond)
				}
				if result, done := q.Add(now, w); !done {
					waiting = append(waiting, waiter{w, i})
				} else if result.Err != nil {
					kinds[i].refused++
				}
			}
			q.Advance(now)
			still := waiting[:0]
			for _, w := range waiting {
				select {
				case result := <-w.Done:
					if result.Err != nil {
						kinds[w.kind].refused++
					}
				default:
					still = append(still, w)
				}
			}
			waiting = still
		}
		return kinds
	}
	before, after := play(false), play(true)
	share := func(k kind) float64 { return float64(k.refused) / float64(k.all) }
	t.Logf("refused of the urgent kind %.3f, before %.3f; of the other %.3f, before %.3f", share(after[0]), share(before[0]), share(after[1]), share(before[1]))
	if share(after[0]) > share(before[0])/2 {
		t.Errorf("got %.3f of the urgent generations refused, want at most half of %.3f, as in the order of arrival", share(after[0]), share(before[0]))
	}
	if served := 1 - share(after[1]); served < 0.25 {
		t.Errorf("got %.3f of the less urgent generations served, want at least a quarter", served)
	}
}
