package itest

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"azuredoor.example/bench/load"

	"azuredoor.example/bench/proxy"
)

// TestDoubleFaults guards against truncated responses at live entries, engine memory that stays reserved and bookings that
// run twice when two processes fail at the same time (invariants I1, I2, I5, I6 and I7).
func TestDoubleFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// faulty is the entry whose callers may be affected by the fault, or -1 if no caller may be affected.
		faulty int
		fault  func(b *testFleet, c *controlProxies) error
		// heal removes the faults that would prevent engines and services from returning their state to the checks.
		heal func(b *testFleet, c *controlProxies) error
	}{
		{"control leader and entry killed", 1, func(b *testFleet, _ *controlProxies) error {
			return firstError(b.Process("control-1").Kill(), b.entryProcess(1).Kill())
		}, nil},
		{"decode engine killed and prefill engine frozen", -1, func(b *testFleet, _ *controlProxies) error {
			return firstError(b.Process(b.engineIDs("decode")[0]).Kill(), b.Process(b.engineIDs("prefill")[0]).Signal(syscall.SIGSTOP))
		}, func(b *testFleet, _ *controlProxies) error {
			return b.Process(b.engineIDs("prefill")[0]).Signal(syscall.SIGCONT)
		}},
		{"entry isolated from control and engines killed", 3, func(b *testFleet, c *controlProxies) error {
			c.isolate(b, 3, proxy.Stall)
			return firstError(b.Process(b.engineIDs("decode")[1]).Kill(), b.Process(b.serviceIDs()[0]).Kill())
		}, func(b *testFleet, c *controlProxies) error {
			c.isolate(b, 3, proxy.Pass)
			return b.Process(b.serviceIDs()[0]).Start()
		}},
		{"entry frozen and control leader killed", 0, func(b *testFleet, _ *controlProxies) error {
			return firstError(b.entryProcess(0).Signal(syscall.SIGSTOP), b.Process("control-1").Kill())
		}, func(b *testFleet, _ *controlProxies) error { return b.entryProcess(0).Signal(syscall.SIGCONT) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b, c := startWithControlProxiesAndArgs(t, slowTokenArgs...)
			streams := b.streamCalls(24, 100)
			running := b.startCalls(streams...)
			keys := numberedNames("double", 24)
			pending := b.sendBookings(keys[:12])
			time.Sleep(700 * time.Millisecond)
			if err := test.fault(b, c); err != nil {
				t.Fatal(err)
			}
			for _, key := range keys[12:] {
				pending[key] = b.sendBookings([]string{key})[key]
				time.Sleep(20 * time.Millisecond)
			}
			later := b.streamCalls(24, 20)
			laterCalls := b.startCalls(later...)
			check := func(kind string, calls []load.Call, results []load.Result) {
				for i, r := range results {
					if (test.faulty < 0 || calls[i].URL != b.EntryURL(test.faulty)) && r.Verdict != load.Complete {
						t.Errorf("%s %d at %s got verdict %s (status %d, code %q, %d tokens, error %v), want whole",
							kind, i, calls[i].URL, r.Verdict, r.Status, r.ErrorCode, r.Tokens, r.Err)
					}
				}
			}
			time.Sleep(5 * time.Second)
			if test.heal != nil {
				if err := test.heal(b, c); err != nil {
					t.Fatal(err)
				}
			}
			check("running response", streams, running.wait())
			check("later response", later, laterCalls.wait())
			results := waitAll(pending)
			// Repeats at all live entries return the outcome of each booking.
			for key, list := range waitAll(b.sendBookings(keys)) {
				results[key] = append(results[key], list...)
			}
			b.checkBookings(results)
			b.checkNotRun(results)
			for key, list := range results {
				if !slices.ContainsFunc(list, func(r load.Result) bool {
					return r.Verdict == load.Complete || r.Outcome == "unknown" || r.Outcome == "ran"
				}) {
					t.Errorf("booking %s has neither a complete response nor the outcome ran or unknown", key)
				}
			}
			b.awaitEnginesIdle(10 * time.Second)
		})
	}
}

// TestKilledFullEngineCutsNoAnswer guards against responses that are truncated because the retry budget is too small for all
// streams of an engine that is killed while all its slots are in use.
func TestKilledFullEngineCutsNoAnswer(t *testing.T) {
	t.Parallel()
	b := startFleet(t, "-token-gap=20ms")
	const slots = 20
	// The other engines have enough slots for all streams.
	running := b.startCalls(b.streamCalls(slots*(len(b.engineIDs("decode"))-1), 80)...)
	time.Sleep(1200 * time.Millisecond)
	if err := b.Process(b.engineIDs("decode")[2]).Kill(); err != nil {
		t.Fatal(err)
	}
	b.wantComplete(running.wait())
	b.awaitEnginesIdle(10 * time.Second)
}
