package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"azuredoor.example/core/config"
)

// TestRetryAfterOfShare guards against callers that are told to return at once while an entry without a coordinator has less of a
// customer's share than their request needs.
func TestRetryAfterOfShare(t *testing.T) {
	l := config.Limit{TokensPerSecond: 1000, BurstTokens: 8000}
	now := time.Unix(1000, 0)
	m := NewMeter()
	m.SetEntries(now, 4)
	m.Suspend()
	if ok, _ := m.Take(now, "c", l, 1500); !ok {
		t.Fatal("the first request was refused, want it admitted by the share of 2000 tokens")
	}
	// 500 tokens are left of the share.
	if ok, wait := m.Take(now, "c", l, 1500); ok || wait < time.Second {
		t.Errorf("got %v, retry after %v, want a refusal for at least 1 s", ok, wait)
	}
}

// TestSplitFleet guards against two sides of a split fleet that each admit the whole burst and rate of a customer, because a coordinator
// that is cut off continues to confirm levels after the others have chosen another one.
func TestSplitFleet(t *testing.T) {
	l := config.Limit{TokensPerSecond: 130_000, BurstTokens: 130_000}
	const (
		step, interval = 10 * time.Millisecond, 200 * time.Millisecond
		// cutAt and healedAt bound the split; takeover is when the entries on the other side report to another coordinator.
		cutAt, takeover, healedAt = 3 * time.Second, 3700 * time.Millisecond, 9 * time.Second
		length                    = 14 * time.Second
	)
	for name, test := range map[string]struct {
		entries, cut int
		demand       float64
		least        float64
	}{
		"coordinator alone, six times the rate":  {4, 1, 6, 0.7},
		"coordinator alone, twice the rate":      {4, 1, 2, 0.7},
		"two halves, six times the rate":         {4, 2, 6, 0.7},
		"a third of a large fleet, three times":  {60, 20, 3, 0.6},
		"coordinator alone, half of the rate":    {4, 1, 0.5, 0.95},
		"no split, six times the rate":           {4, 0, 6, 0.95},
		"coordinator alone, idle before the cut": {4, 1, -6, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(5, 6))
			f := newCoordinatedFleet(test.entries, l)
			began := f.now
			first, successor := f.coordinator, (*Meter)(nil)
			type admitted struct{ at, tokens float64 }
			var all []admitted
			offered, got, owed := 0.0, 0.0, 0.0
			for f.now.Sub(began) < length {
				f.now = f.now.Add(step)
				at := f.now.Sub(began)
				split := test.cut > 0 && at >= cutAt && at < healedAt
				if test.cut > 0 && at >= takeover && successor == nil {
					f.replaceCoordinator()
					successor = f.coordinator
				}
				// use makes the coordinator of an entry the one that take and report call.
				use := func(e int) (reached bool) {
					f.coordinator, f.session = first, 1
					if successor != nil && (e >= test.cut || at >= healedAt) {
						f.coordinator, f.session = successor, 2
					}
					return !split || e < test.cut || at >= takeover
				}
				demand := test.demand
				if demand < 0 {
					demand = -demand
					if at < cutAt+time.Second {
						demand = 0
					}
				}
				for owed += demand * float64(l.TokensPerSecond) * step.Seconds(); owed > 0; {
					tokens := int64(2000 + r.IntN(6000))
					owed -= float64(tokens)
					offered += float64(tokens)
					e := r.IntN(test.entries)
					reached := use(e)
					if !reached && f.entries[e].MustAsk(f.now, "c", l, tokens) {
						f.entries[e].Suspend()
					}
					if f.take(e, tokens, reached) {
						got += float64(tokens)
						all = append(all, admitted{at.Seconds(), float64(tokens)})
					}
				}
				for e := range f.entries {
					if (at+time.Duration(e)*step)%interval < step && use(e) {
						f.report(e)
					}
				}
			}
			for i := range all {
				sum := 0.0
				for j := i; j < len(all) && all[j].at < all[i].at+8; j++ {
					sum += all[j].tokens
				}
				// The limit with a tenth and 120,000 tokens above it.
				if most := 1.1*(8*float64(l.TokensPerSecond)+float64(l.BurstTokens)) + 120_000; sum > most {
					t.Fatalf("got %.0f tokens admitted within 8 s from %.2f s, want at most %.0f", sum, all[i].at, most)
				}
			}
			want := test.least * min(offered, length.Seconds()*float64(l.TokensPerSecond))
			t.Logf("%.0f of %.0f tokens admitted, %.2f of the rate", got, offered, got/length.Seconds()/float64(l.TokensPerSecond))
			if got < want {
				t.Errorf("got %.0f of %.0f tokens admitted, want at least %.0f", got, offered, want)
			}
		})
	}
}
