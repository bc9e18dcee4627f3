package itest

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"azuredoor.example/bench/load"

	"azuredoor.example/bench/proxy"
)

// TestDoubleFaults guards against cut answers at live entries, engine memory that stays held and bookings that run
// twice when two parts fail at once (invariants I1, I2, I5, I6 and I7).
func TestDoubleFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// faulty is the entry whose callers may notice the fault, -1 for none.
		faulty int
		fault  func(b *bed, n *network) error
		// heal undoes what would keep the check of engines and services from answering.
		heal func(b *bed, n *network) error
	}{
		{"control leader and entry killed", 1, func(b *bed, _ *network) error {
			return firstError(b.Process("control-1").Kill(), b.entry(1).Kill())
		}, nil},
		{"decode engine killed and prefill engine frozen", -1, func(b *bed, _ *network) error {
			return firstError(b.Process(b.engines("decode")[0]).Kill(), b.Process(b.engines("prefill")[0]).Signal(syscall.SIGSTOP))
		}, func(b *bed, _ *network) error {
			return b.Process(b.engines("prefill")[0]).Signal(syscall.SIGCONT)
		}},
		{"entry isolated from control and engines killed", 3, func(b *bed, n *network) error {
			n.isolate(b, 3, proxy.Silent)
			return firstError(b.Process(b.engines("decode")[1]).Kill(), b.Process(b.services()[0]).Kill())
		}, func(b *bed, n *network) error {
			n.isolate(b, 3, proxy.Pass)
			return b.Process(b.services()[0]).Start()
		}},
		{"entry frozen and control leader killed", 0, func(b *bed, _ *network) error {
			return firstError(b.entry(0).Signal(syscall.SIGSTOP), b.Process("control-1").Kill())
		}, func(b *bed, _ *network) error { return b.entry(0).Signal(syscall.SIGCONT) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b, n := startProxiedWith(t, slowTokens...)
			streams := b.streams(24, 100)
			running := b.begin(streams...)
			keys := names("double", 24)
			under := b.book(keys[:12])
			time.Sleep(700 * time.Millisecond)
			if err := test.fault(b, n); err != nil {
				t.Fatal(err)
			}
			for _, key := range keys[12:] {
				under[key] = b.book([]string{key})[key]
				time.Sleep(20 * time.Millisecond)
			}
			later := b.streams(24, 20)
			laterCalls := b.begin(later...)
			check := func(what string, calls []load.Call, results []load.Result) {
				for i, r := range results {
					if (test.faulty < 0 || calls[i].URL != b.EntryURL(test.faulty)) && r.Verdict != load.Whole {
						t.Errorf("%s %d at %s got verdict %s (status %d, code %q, %d tokens, error %v), want whole",
							what, i, calls[i].URL, r.Verdict, r.Status, r.ErrorCode, r.Tokens, r.Err)
					}
				}
			}
			time.Sleep(5 * time.Second)
			if test.heal != nil {
				if err := test.heal(b, n); err != nil {
					t.Fatal(err)
				}
			}
			check("running answer", streams, running.wait())
			check("later answer", later, laterCalls.wait())
			results := collect(under)
			// Repeats at all live entries find what became of the bookings.
			for key, list := range collect(b.book(keys)) {
				results[key] = append(results[key], list...)
			}
			b.checkBookings(results)
			b.checkNotRun(results)
			for key, list := range results {
				if !slices.ContainsFunc(list, func(r load.Result) bool {
					return r.Verdict == load.Whole || r.Outcome == "unknown" || r.Outcome == "ran"
				}) {
					t.Errorf("booking %s has neither an answer nor an unknown outcome", key)
				}
			}
			b.awaitReleased(10 * time.Second)
		})
	}
}

// TestKilledFullEngineCutsNoAnswer guards against a retry budget that cuts the answers of an engine which dies with
// all its slots in use.
func TestKilledFullEngineCutsNoAnswer(t *testing.T) {
	t.Parallel()
	b := start(t, "-token-gap=20ms")
	const slots = 20
	// The slots of the other engines suffice for all.
	running := b.begin(b.streams(slots*(len(b.engines("decode"))-1), 80)...)
	time.Sleep(1200 * time.Millisecond)
	if err := b.Process(b.engines("decode")[2]).Kill(); err != nil {
		t.Fatal(err)
	}
	b.wantWhole(running.wait())
	b.awaitReleased(10 * time.Second)
}
