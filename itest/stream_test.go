package itest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"azuredoor.example/bench/load"
)

// slowTokenArgs slow the engines down, so that a fault can be injected in the middle of a response.
var slowTokenArgs = []string{"-token-gap=30ms"}

// streamCalls returns n calls for streams, spread over all entries and customers.
func (b *testFleet) streamCalls(n, tokens int) []load.Call {
	calls := make([]load.Call, n)
	for i := range calls {
		customer := b.deployment.Customers[i%len(b.deployment.Customers)]
		calls[i] = b.streamCall(i%b.Entries(), customer, fmt.Sprintf("s%d", i), tokens)
	}
	return calls
}

// TestKilledEngineCutsNoAnswer guards against responses that are truncated, contain tokens twice or contain tokens of other
// requests when an engine is killed in the middle of a response (invariants I1, I2 and I5).
func TestKilledEngineCutsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"decode", "prefill"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			b := startFleet(t, slowTokenArgs...)
			calls := b.startCalls(b.streamCalls(30, 60)...)
			time.Sleep(800 * time.Millisecond)
			killed := b.Process(b.engineIDs(role)[0])
			if err := killed.Kill(); err != nil {
				t.Fatal(err)
			}
			b.wantComplete(calls.wait())
			b.awaitEnginesIdle(10 * time.Second)
			if err := killed.Start(); err != nil {
				t.Fatal(err)
			}
			b.await(5*time.Second, "the engine is back", func() bool { return len(b.busyEngines()) == 0 })
			b.checkSecrets()
		})
	}
}

// TestFrozenEngineCutsNoAnswer guards against streams that wait forever on a stalled connection to a paused engine, and
// against an engine that does not release the memory of streams that were resumed on another engine.
func TestFrozenEngineCutsNoAnswer(t *testing.T) {
	t.Parallel()
	b := startFleet(t, slowTokenArgs...)
	calls := b.startCalls(b.streamCalls(30, 60)...)
	time.Sleep(800 * time.Millisecond)
	frozen := b.Process(b.engineIDs("decode")[0])
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	results := calls.wait()
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	b.wantComplete(results)
	b.awaitEnginesIdle(10 * time.Second)
}

// TestCrossedTokensAreDropped guards against responses that contain tokens of another request.
func TestCrossedTokensAreDropped(t *testing.T) {
	t.Parallel()
	b := startFleet(t, slowTokenArgs...)
	for _, id := range b.engineIDs("decode") {
		if err := b.Fault(b.ctx, id, map[string]any{"kind": "crossAnswers"}); err != nil {
			t.Fatal(err)
		}
	}
	b.wantComplete(b.startCalls(b.streamCalls(20, 30)...).wait())
}

// TestKilledEntryReleasesEngines guards against engine memory that stays reserved when an entry is killed: the other
// entries must release it within seconds (invariant I1), and their own streams must not be affected.
func TestKilledEntryReleasesEngines(t *testing.T) {
	t.Parallel()
	b := startFleet(t, slowTokenArgs...)
	all := b.streamCalls(24, 190)
	calls := b.startCalls(all...)
	time.Sleep(1500 * time.Millisecond)
	if err := b.Process("entry-2").Kill(); err != nil {
		t.Fatal(err)
	}
	for i, r := range calls.wait() {
		if all[i].URL != b.EntryURL(1) && r.Verdict != load.Complete {
			t.Errorf("response %d at a live entry got verdict %s, want whole", i, r.Verdict)
		}
	}
	b.awaitEnginesIdle(10 * time.Second)
}

// TestFrozenEntryReleasesEngines guards against engine memory that stays reserved for an entry that is paused for a long
// time, and against an entry that does not detect the pause when it continues: its streams must still be complete, and it
// must become ready again.
func TestFrozenEntryReleasesEngines(t *testing.T) {
	t.Parallel()
	b := startFleet(t, slowTokenArgs...)
	entry := b.Process("entry-2")
	calls := b.startCalls(b.streamCall(1, b.deployment.Large, "frozen", 200), b.streamCall(1, b.deployment.Small, "frozen too", 200))
	time.Sleep(800 * time.Millisecond)
	if err := entry.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	b.awaitEnginesIdle(15 * time.Second)
	if err := entry.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	b.wantComplete(calls.wait())
	b.await(10*time.Second, "the entry is ready again", func() bool { return b.Ready(b.ctx, 1) == nil })
}

// TestGoneCallersReleaseEngines guards against engine memory that stays reserved for callers that disconnect while they
// wait for a slot, during prefill or in the middle of a response (invariant I1).
func TestGoneCallersReleaseEngines(t *testing.T) {
	t.Parallel()
	b := startFleet(t, slowTokenArgs...)
	for _, after := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond} {
		calls := b.streamCalls(40, 200)
		for i := range calls {
			calls[i].Timeout = after
		}
		b.startCalls(calls...).wait()
		b.awaitEnginesIdle(3 * time.Second)
	}
}

// TestWithdrawnKeyStopsWithinBound guards against entries that accept a withdrawn key after 4 s, and against streams that
// continue after their key was withdrawn (invariant I3).
func TestWithdrawnKeyStopsWithinBound(t *testing.T) {
	t.Parallel()
	const bound = 4 * time.Second
	b := startFleet(t, "-token-gap=60ms")
	customer := b.deployment.Small
	var calls []load.Call
	for entry := range b.Entries() {
		calls = append(calls, b.streamCall(entry, customer, fmt.Sprint("long", entry), 200))
	}
	running := b.startCalls(calls...)
	time.Sleep(time.Second)
	name := b.keyName(customer)
	began := time.Now()
	if _, err := b.Ctl(b.ctx, "key", "withdraw", name); err != nil {
		t.Fatal(err)
	}
	for i, r := range running.wait() {
		if r.Verdict != load.Truncated {
			t.Errorf("stream %d of a withdrawn key got verdict %s, want cut", i, r.Verdict)
		}
	}
	if elapsed := time.Since(began); elapsed > bound {
		t.Errorf("streams of a withdrawn key ended after %v, want within %v", elapsed, bound)
	}
	b.await(bound, "no entry accepts the key", func() bool {
		for _, r := range b.startCalls(calls...).wait() {
			if r.Status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	b.awaitEnginesIdle(5 * time.Second)
}

// TestGracefulStopCutsNothing guards against running streams that are truncated by a graceful stop (invariant I9).
func TestGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	b := startFleet(t, slowTokenArgs...)
	calls := b.startCalls(b.streamCalls(24, 100)...)
	time.Sleep(time.Second)
	if err := b.Process("entry-1").Stop(); err != nil {
		t.Errorf("entry-1 exited with error %v, want exit code 0", err)
	}
	b.wantComplete(calls.wait())
}

// TestLeavingEngineGetsNoNewWork guards against new requests at an upstream that is draining, and against running
// responses that are truncated because of it (invariant I8).
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const bound = 4 * time.Second
	b := startFleet(t, slowTokenArgs...)
	draining := b.engineIDs("decode")[1]
	calls := b.startCalls(b.streamCalls(24, 100)...)
	time.Sleep(500 * time.Millisecond)
	if err := b.Fault(b.ctx, draining, map[string]any{"kind": "leave"}); err != nil {
		t.Fatal(err)
	}
	// The calls continue for 3 s after the bound, so that a request that arrives too late is detected.
	for began := time.Now(); time.Since(began) < bound+3*time.Second; time.Sleep(200 * time.Millisecond) {
		b.wantComplete(b.startCalls(b.streamCalls(6, 10)...).wait())
	}
	b.wantComplete(calls.wait())
	var stats struct {
		LatestStartLeavingMs int64 `json:"latestStartLeavingMs"`
	}
	if _, err := b.Stats(b.ctx, draining, &stats); err != nil {
		t.Fatal(err)
	}
	if got := time.Duration(stats.LatestStartLeavingMs) * time.Millisecond; got > bound {
		t.Errorf("got new work %v after the engine announced that it is draining, want at most %v", got, bound)
	}
}

// TestStoppedEngineLosesItsWork guards against an engine that keeps its work after an operator stopped it, and against
// responses that are truncated by the stop: streams must resume on other engines. A drain, in contrast, lets
// streams end on the engine.
func TestStoppedEngineLosesItsWork(t *testing.T) {
	t.Parallel()
	// The responses last 11 s, longer than the bound.
	b := startFleet(t, "-token-gap=60ms")
	calls := b.startCalls(b.streamCalls(24, 190)...)
	time.Sleep(time.Second)
	stopped := b.engineIDs("decode")[2]
	if _, err := b.Ctl(b.ctx, "upstream", "stop", stopped); err != nil {
		t.Fatal(err)
	}
	elapsed := b.await(propagationBound, "the stopped engine has released its slots and memory", func() bool { return b.busyEngines()[stopped] == 0 })
	t.Logf("the stopped engine released its slots and memory after %v", elapsed.Round(time.Millisecond))
	b.wantComplete(calls.wait())
}
