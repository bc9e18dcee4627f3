package itest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"azuredoor.example/bench/load"
)

// checkBookings checks that no booking ran twice and that all complete responses to a booking are equal.
func (b *testFleet) checkBookings(results map[string][]load.Result) {
	b.t.Helper()
	for hash, count := range b.countExecutions() {
		if count > 1 {
			b.t.Errorf("booking %s ran %d times, want at most once", hash, count)
		}
	}
	for key, list := range results {
		first := ""
		for _, r := range list {
			if r.Verdict != load.Complete {
				continue
			}
			if first == "" {
				first = r.Text
			}
			if r.Text != first {
				b.t.Errorf("booking %s got responses %q and %q, want equal responses", key, r.Text, first)
			}
		}
	}
}

// sendBookings sends each booking to all entries concurrently. The result is keyed by idempotency key.
func (b *testFleet) sendBookings(keys []string) map[string]*pendingCalls {
	pending := map[string]*pendingCalls{}
	for _, key := range keys {
		var calls []load.Call
		for entry := range b.Entries() {
			calls = append(calls, b.bookingCall(entry, key))
		}
		pending[key] = b.startCalls(calls...)
	}
	return pending
}

// waitAll waits for all calls and returns their results by idempotency key.
func waitAll(pending map[string]*pendingCalls) map[string][]load.Result {
	results := map[string][]load.Result{}
	for key, p := range pending {
		results[key] = p.wait()
	}
	return results
}

// numberedNames returns n names: prefix-0, prefix-1 and so on.
func numberedNames(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return list
}

// TestBookingRunsOnce guards against a booking that runs twice because a caller or the load balancer sends it to
// several entries (invariants I2 and I7).
func TestBookingRunsOnce(t *testing.T) {
	t.Parallel()
	b := startFleet(t)
	keys := numberedNames("once", 20)
	results := waitAll(b.sendBookings(keys))
	b.checkBookings(results)
	for key, list := range results {
		complete := 0
		for _, r := range list {
			if r.Verdict == load.Complete {
				complete++
			}
		}
		if complete == 0 {
			t.Errorf("booking %s got no complete response although no fault was injected: %+v", key, list)
		}
	}
	for _, key := range keys {
		r := b.startCalls(b.bookingCall(0, key)).wait()[0]
		if r.Verdict != load.Complete || !r.Replayed {
			t.Errorf("repeat of %s got verdict %s and replayed %v, want the stored response", key, r.Verdict, r.Replayed)
		}
	}
	other := b.bookingCall(1, keys[0])
	other.Body = `{"order":"another"}`
	if r := b.startCalls(other).wait()[0]; r.Status != http.StatusConflict && r.Status != http.StatusUnprocessableEntity {
		t.Errorf("same idempotency key with another body got status %d, want 409 or 422", r.Status)
	}
	b.checkSecrets()
}

// TestBookingRunsOnceUnderFaults guards against a second run of a booking when an entry, the control leader or a
// service runner is killed or paused while the booking runs and callers repeat the booking at other entries
// (invariants I2, I6 and I7).
func TestBookingRunsOnceUnderFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]func(b *testFleet) error{
		"entry killed":   func(b *testFleet) error { return b.Process("entry-1").Kill() },
		"entry frozen":   func(b *testFleet) error { return b.Process("entry-2").Signal(syscall.SIGSTOP) },
		"control killed": func(b *testFleet) error { return b.Process("control-1").Kill() },
		"service killed": func(b *testFleet) error { return b.Process("clerk-counter-service-1").Kill() },
		"service frozen": func(b *testFleet) error { return b.Process("clerk-counter-service-2").Signal(syscall.SIGSTOP) },
		"entry and control": func(b *testFleet) error {
			return firstError(b.Process("entry-1").Kill(), b.Process("control-1").Kill())
		},
		"entry and service": func(b *testFleet) error {
			return firstError(b.Process("entry-3").Kill(), b.Process("clerk-counter-service-1").Kill())
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startFleet(t)
			keys := numberedNames("fault", 30)
			pending := b.sendBookings(keys[:15])
			time.Sleep(30 * time.Millisecond)
			if err := fault(b); err != nil {
				t.Fatal(err)
			}
			for _, key := range keys[15:] {
				for k, p := range b.sendBookings([]string{key}) {
					pending[k] = p
				}
				time.Sleep(20 * time.Millisecond)
			}
			results := waitAll(pending)
			for _, p := range []string{"entry-2", "clerk-counter-service-2"} {
				if err := b.Process(p).Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(4 * time.Second)
			// Repeats return the outcome of each booking and never run the booking again.
			for key, list := range waitAll(b.sendBookings(keys)) {
				results[key] = append(results[key], list...)
			}
			for _, id := range b.serviceIDs() {
				if p := b.Process(id); !p.Running() {
					if err := p.Start(); err != nil {
						t.Fatal(err)
					}
				}
			}
			b.await(5*time.Second, "all service runners return their executions", func() bool {
				for _, id := range b.serviceIDs() {
					if _, err := b.Executions(b.ctx, id); err != nil {
						return false
					}
				}
				return true
			})
			b.checkBookings(results)
			b.checkNotRun(results)
		})
	}
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// serviceIDs returns the IDs of the service runners.
func (b *testFleet) serviceIDs() []string {
	var ids []string
	for _, s := range b.Standins() {
		if s.Kind == "service" {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// checkNotRun checks that a booking has not run if each of its responses has the outcome "notRun".
func (b *testFleet) checkNotRun(results map[string][]load.Result) {
	b.t.Helper()
	counts := b.countExecutions()
	for key, list := range results {
		notRun := 0
		for _, r := range list {
			if r.Outcome == "notRun" {
				notRun++
			}
		}
		if got := counts[bodyHash(b.bookingCall(0, key).Body)]; notRun == len(list) && got > 0 {
			b.t.Errorf("booking %s ran %d times although every response had the outcome notRun", key, got)
		}
	}
}

// bodyHash returns the hash under which the execution logs list a body.
func bodyHash(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}
