// Package itest contains integration tests that run the real programs as separate processes.
package itest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
)

// programDir is the directory of the compiled programs.
var programDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "azuredoor-itest-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./entry/cmd/...", "./control/cmd/...", "./ctl/cmd/...", "./standin/cmd/...", "./platform/cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// testFleet is a running fleet of the Quetzaltenango deployment, with helpers that send requests and check its state.
type testFleet struct {
	*fleet.Fleet
	t          *testing.T
	deployment fleet.Deployment
	ctx        context.Context
}

// startFleet starts a fleet with extra arguments for the stand-ins and stops it at the end of the test.
func startFleet(t *testing.T, standinArgs ...string) *testFleet {
	t.Helper()
	return startFleetWith(t, func(o *fleet.Options) { o.StandinArgs = standinArgs })
}

// startFleetWith starts a fleet after change has adapted its options and stops it at the end of the test.
func startFleetWith(t *testing.T, change func(o *fleet.Options)) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	deployment := fleet.Quetzaltenango()
	options := fleet.Options{
		Bin: programDir, Dir: filepath.Join(t.TempDir(), "fleet"), Network: -1, Example: "../examples/quetzaltenango.json",
		Deployment: deployment, DrainDelay: 200 * time.Millisecond,
	}
	change(&options)
	f, err := fleet.Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	b := &testFleet{Fleet: f, t: t, deployment: deployment, ctx: ctx}
	t.Cleanup(func() {
		if t.Failed() {
			b.keepLogs()
		}
		if err := f.Stop(); err != nil && !t.Failed() {
			t.Error(err)
		}
	})
	return b
}

// keepLogs copies the logs of a failed test to a directory that remains after the test.
func (b *testFleet) keepLogs() {
	dir, err := os.MkdirTemp("", "azuredoor-failed-")
	if err != nil {
		return
	}
	if err := os.CopyFS(dir, os.DirFS(b.Dir)); err == nil {
		b.t.Logf("logs are in %s", dir)
	}
}

// checkSecrets checks that no upstream received a secret of a customer.
func (b *testFleet) checkSecrets() {
	b.t.Helper()
	if got, err := b.SecretsSeen(b.ctx); err != nil || got != 0 {
		b.t.Errorf("got %d secrets in requests at upstreams (error %v), want none", got, err)
	}
}

// streamCall returns a call for a streamed completion of the given number of tokens at an entry, counted from 0.
func (b *testFleet) streamCall(entry int, customer, id string, tokens int) load.Call {
	return load.Call{
		Kind: load.Completion, Customer: customer, Key: b.Keys[customer], URL: b.EntryURL(entry), Model: b.deployment.Models[0],
		Prompt: fmt.Sprintf("order %s of felt slippers for the school len=%d", id, tokens), MaxTokens: tokens, Timeout: time.Minute,
	}
}

// bookingCall returns a non-idempotent call with an idempotency key, sent by the large customer of the deployment.
func (b *testFleet) bookingCall(entry int, key string) load.Call {
	return load.Call{
		Kind: load.Booking, Customer: b.deployment.Large, Key: b.Keys[b.deployment.Large], URL: b.EntryURL(entry),
		Path: b.deployment.NonIdempotent, Body: `{"order":"` + key + `"}`, IdempotencyKey: key, Timeout: 15 * time.Second,
	}
}

// pendingCalls is a group of calls that run concurrently.
type pendingCalls struct {
	group   errgroup.Group
	mu      sync.Mutex
	results []load.Result
}

// startCalls sends all calls concurrently and returns without waiting for their responses.
func (b *testFleet) startCalls(calls ...load.Call) *pendingCalls {
	p := &pendingCalls{results: make([]load.Result, len(calls))}
	for i, call := range calls {
		p.group.Go(func() error {
			// Each call has its own connection, so that a broken connection does not affect other calls.
			client := load.NewClient()
			defer client.CloseIdleConnections()
			r := load.Do(b.ctx, client, call)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.results[i] = r
			return nil
		})
	}
	return p
}

// wait returns the results in the order of the calls, once all calls have ended.
func (p *pendingCalls) wait() []load.Result {
	_ = p.group.Wait()
	return p.results
}

// wantComplete checks that each response has the complete, correct content.
func (b *testFleet) wantComplete(results []load.Result) {
	b.t.Helper()
	for i, r := range results {
		if r.Verdict != load.Complete {
			b.t.Errorf("response %d got verdict %s (status %d, code %q, outcome %q, %d tokens, error %v), want whole",
				i, r.Verdict, r.Status, r.ErrorCode, r.Outcome, r.Tokens, r.Err)
		}
	}
}

// engineIDs returns the IDs of the engines with a role.
func (b *testFleet) engineIDs(role string) []string {
	var ids []string
	for _, s := range b.Standins() {
		if s.Kind == "engine" && s.Role == role {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// busyEngines returns the slots in use of each running engine that still holds slots or KV-cache memory, or that does not
// return its statistics. Each count is at least 1.
func (b *testFleet) busyEngines() map[string]int {
	held := map[string]int{}
	for _, s := range b.Standins() {
		if s.Kind != "engine" || !b.Process(s.ID).Running() {
			continue
		}
		var stats struct {
			SlotsInUse  int   `json:"slotsInUse"`
			KVBytesHeld int64 `json:"kvBytesHeld"`
		}
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		_, err := b.Stats(ctx, s.ID, &stats)
		cancel()
		if err != nil || stats.SlotsInUse > 0 || stats.KVBytesHeld > 0 {
			held[s.ID] = max(1, stats.SlotsInUse)
		}
	}
	return held
}

// await repeats a check until it succeeds and returns the time that this took. It fails the test after the timeout.
func (b *testFleet) await(timeout time.Duration, condition string, check func() bool) time.Duration {
	b.t.Helper()
	start := time.Now()
	for {
		if check() {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			b.t.Fatalf("timeout after %v while waiting for: %s", timeout, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitEnginesIdle waits until no engine holds slots or KV-cache memory.
func (b *testFleet) awaitEnginesIdle(timeout time.Duration) {
	b.t.Helper()
	elapsed := b.await(timeout, "all engines have released their slots and memory", func() bool { return len(b.busyEngines()) == 0 })
	b.t.Logf("all engines released their slots and memory after %v", elapsed.Round(time.Millisecond))
}

// countExecutions returns how many times the service runners executed each booking, by the hash of the booking's body. It
// reads the execution logs, which survive a crash of the runners.
func (b *testFleet) countExecutions() map[string]int {
	b.t.Helper()
	counts := map[string]int{}
	for _, id := range b.serviceIDs() {
		data, err := os.ReadFile(b.ExecutionLog(id))
		if err != nil {
			b.t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var record struct{ Event, Path, BodyHash string }
			if err := json.Unmarshal(line, &record); err != nil {
				continue // a killed runner may leave a truncated line; the start of that execution has its own line
			}
			if record.Event == "start" && record.Path == b.deployment.NonIdempotent {
				counts[record.BodyHash]++
			}
		}
	}
	return counts
}

// keyName returns the name of a customer's access key.
func (b *testFleet) keyName(customer string) string {
	b.t.Helper()
	out, err := b.Ctl(b.ctx, "get", "key", "-json")
	if err != nil {
		b.t.Fatal(err)
	}
	var list struct {
		Objects []struct {
			Name string
			Spec struct{ Customer string }
		}
	}
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		b.t.Fatal(err)
	}
	for _, o := range list.Objects {
		if o.Spec.Customer == customer {
			return o.Name
		}
	}
	b.t.Fatalf("customer %s has no key", customer)
	return ""
}

// entryProcess returns the process of entry i, counted from 0.
func (b *testFleet) entryProcess(i int) *fleet.Process {
	return b.Process(fmt.Sprintf("entry-%d", i+1))
}
