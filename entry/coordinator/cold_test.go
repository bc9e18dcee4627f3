package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"azuredoor.example/entry/limit"
	"azuredoor.example/entry/place"
)

// coldSend is the time at which the requests of a placement reach a cold engine.
type coldSend struct {
	engine string
	at     time.Duration
}

// TestColdRateOfFleet guards against a cold engine that gets more requests within one second than it bears, from all entries together,
// in a burst while the coordinator is killed, frozen, or cut off with some of the entries.
func TestColdRateOfFleet(t *testing.T) {
	const (
		rate, step, length     = 33, 10 * time.Millisecond, 20 * time.Second
		faultAt, end, takeover = 5 * time.Second, 8 * time.Second, 650 * time.Millisecond
	)
	for _, entries := range []int{4, 30, 900} {
		for fault, withFirst := range map[string]float64{"none": 1, "killed": 0, "frozen": 0, "cut off with a third": 0.34, "cut off with two thirds": 0.67} {
			t.Run(fmt.Sprint(entries, " entries, ", fault), func(t *testing.T) {
				r := rand.New(rand.NewPCG(uint64(entries), 7))
				began := time.Unix(1000, 0)
				sessions := make([]uint64, entries)
				for i := range sessions {
					sessions[i] = uint64(i + 1)
				}
				var engines []place.Upstream
				for i := range 3 {
					id := fmt.Sprint("d", i)
					engines = append(engines, place.Upstream{
						ID: id, Address: id, Service: "s", Role: place.RoleDecode, Incarnation: 1, Accepts: true, Announcing: true, Capacity: 1e9,
						ColdUntil: began.Add(time.Hour), ColdRate: rate,
					})
				}
				meters, books := []*limit.Meter{limit.NewMeter(), limit.NewMeter()}, []*place.Book{place.NewBook(), place.NewBook()}
				for i, m := range meters {
					m.Silence = Silence(entries)
					m.SetSessions(began, sessions)
					books[i].Set(engines)
				}
				var sends []coldSend
				generation := uint64(0)
				interval := ReportInterval(entries)
				for at := time.Duration(0); at < length; at += step {
					now := began.Add(at)
					down := fault != "none" && at >= faultAt && at < end
					// coordinator returns the coordinator that the entry uses, and whether it responds.
					coordinator := func(e int) (int, bool) {
						if down && float64(e) >= withFirst*float64(entries) {
							return 1, at >= faultAt+takeover
						}
						if fault == "killed" && at >= end {
							return 1, true
						}
						return 0, true
					}
					for e := range entries {
						if c, responds := coordinator(e); responds && (at+time.Duration(e)*step)%interval < step {
							meters[c].Observe(now, sessions[e], nil, nil)
						}
					}
					for range 5 {
						c, responds := coordinator(r.IntN(entries))
						if !responds {
							continue
						}
						books[c].SetColdReady(mayCountCold(now, meters[c]))
						generation++
						p, err := books[c].Place(now, place.GenerationNeed{
							Session: 1, Service: "s", Generation: place.Generation{ID: generation, Prompt: 1, Expected: 1}, Repeatable: true,
						})
						if err == nil && p.Cold {
							// An entry sends at the last moment, or at once.
							delay := time.Duration(r.IntN(2)) * (place.GrantLifetime - step)
							sends = append(sends, coldSend{p.Decode.ID, at + delay})
						}
					}
				}
				slices.SortFunc(sends, func(a, b coldSend) int { return int(a.at - b.at) })
				inSecond := map[string][]time.Duration{}
				late := 0
				for _, s := range sends {
					// The reservation, and the generation itself.
					inSecond[s.engine] = append(inSecond[s.engine], s.at, s.at)
					for inSecond[s.engine][0] <= s.at-time.Second {
						inSecond[s.engine] = inSecond[s.engine][1:]
					}
					if got := len(inSecond[s.engine]); got > rate {
						t.Fatalf("got %d requests to a cold engine in the second before %v, want at most %d", got, s.at, rate)
					}
					if s.at > length-2*time.Second {
						late++
					}
				}
				if late == 0 {
					t.Error("got no request to a cold engine in the last two seconds, want it warmed up")
				}
			})
		}
	}
}
