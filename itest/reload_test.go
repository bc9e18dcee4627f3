package itest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/load"
)

// TestWithdrawnKeysStayWithdrawn guards against an entry that applies an older configuration after a newer one
// (invariant I10). Keys are created and withdrawn while entries restart. An entry that has refused a withdrawn key must
// never accept the key again, even directly after a restart.
func TestWithdrawnKeysStayWithdrawn(t *testing.T) {
	t.Parallel()
	b := startFleet(t)
	const testDuration = 10 * time.Second
	ctx := b.ctx
	start := time.Now()
	var group errgroup.Group
	var stop atomic.Bool
	var accepted, refused atomic.Int64
	group.Go(func() error { // entries restart one after the other, alternately after a kill and a graceful stop
		defer stop.Store(true)
		for i := 0; time.Since(start) < testDuration; i++ {
			entry := b.entryProcess(i % b.Entries())
			stopEntry := entry.Kill
			if i%2 == 1 {
				stopEntry = entry.Stop
			}
			if err := stopEntry(); err != nil {
				return err
			}
			if err := entry.Start(); err != nil {
				return err
			}
			time.Sleep(700 * time.Millisecond)
		}
		return nil
	})
	watch := func(name, key string, withdrawn time.Time, entry int) error {
		call := load.Call{
			Kind: load.LookUp, Customer: b.deployment.Large, Key: key, URL: b.EntryURL(entry),
			Path: b.deployment.Idempotent + "/item", Timeout: 3 * time.Second,
		}
		client := load.NewClient()
		defer client.CloseIdleConnections()
		refusedBefore := false
		for !stop.Load() {
			sent := time.Now()
			r := load.Do(ctx, client, call)
			switch {
			case r.Status == http.StatusUnauthorized:
				refusedBefore = true
				refused.Add(1)
			case r.Verdict == load.Complete:
				accepted.Add(1)
				if refusedBefore {
					t.Errorf("entry %d accepted key %s %v after its withdrawal, although it had refused the key before", entry+1, name, sent.Sub(withdrawn))
				}
				if late := sent.Sub(withdrawn); late > propagationBound {
					t.Errorf("entry %d accepted key %s %v after its withdrawal, want at most %v", entry+1, name, late, propagationBound)
				}
			}
			time.Sleep(30 * time.Millisecond)
		}
		return nil
	}
	for i := 0; !stop.Load(); i++ {
		out, err := b.Ctl(ctx, "key", "create", "-customer", b.deployment.Large, "-json")
		if err != nil {
			t.Fatal(err)
		}
		var created struct{ Name, Key string }
		if err := json.Unmarshal([]byte(out), &created); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		if _, err := b.Ctl(ctx, "key", "withdraw", created.Name); err != nil {
			t.Fatal(err)
		}
		withdrawn := time.Now()
		for entry := range b.Entries() {
			group.Go(func() error { return watch(fmt.Sprint(i), created.Key, withdrawn, entry) })
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	t.Logf("withdrawn keys: %d calls refused, %d accepted before the withdrawal took effect", refused.Load(), accepted.Load())
	if refused.Load() == 0 {
		t.Error("no entry refused a withdrawn key")
	}
}
