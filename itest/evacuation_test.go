package itest

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/platform/standin"
)

// evacuated reports whether a failure domain is evacuated, as the watched view has it.
func evacuated(p *platform, i int, domain string) func() bool {
	view := p.watch(i)
	return func() bool { return view.View().Evacuated(domain) }
}

// order sends an order on a failure domain to a control process until it is acknowledged.
func (p *platform) order(i int, domain string, withdraw bool) {
	p.t.Helper()
	p.await(fmt.Sprintf("the order on failure domain %s, withdrawn %v", domain, withdraw), func() bool {
		acknowledged, refusal := standin.Evacuate(p.t.Context(), p.controlAddresses()[i], domain, withdraw)
		if refusal != "" {
			p.t.Fatalf("order on failure domain %s, withdrawn %v: refused: %s", domain, withdraw, refusal)
		}
		return acknowledged
	})
}

// TestLateEvacuation guards against an evacuation that a control process reads only after it was stopped, when the operator has given
// the order elsewhere and withdrawn it: the failure domain must stay in use.
func TestLateEvacuation(t *testing.T) {
	t.Parallel()
	for frozen := range platformControls {
		t.Run(fmt.Sprint("control process ", frozen+1), func(t *testing.T) {
			p := startPlatform(t)
			p.await("the upstream", func() bool { return p.tell(0, "PUT", "u", heartbeatOf("127.0.0.1:9", 1000, 1)) == 200 })
			other := (frozen + 1) % platformControls
			if err := p.controls[frozen].Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			if acknowledged, refusal := standin.Evacuate(t.Context(), p.controlAddresses()[frozen], "a", false); acknowledged || refusal != "" {
				t.Fatalf("stopped process: got %v, %q, want no response", acknowledged, refusal)
			}
			p.order(other, "a", false)
			p.order(other, "a", true)
			inForce := evacuated(p, other, "a")
			if err := p.controls[frozen].Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if inForce() {
					t.Fatal("got the failure domain evacuated, want the withdrawal to stay in force")
				}
			}
			p.order(frozen, "a", false)
			p.await("the evacuation", inForce)
		})
	}
}

// TestEvacuationOutlivesProcesses guards against an acknowledged evacuation that is lost when the control processes are killed, against
// requests to the failure domain afterwards, and against an entry that serves nobody after the withdrawal.
func TestEvacuationOutlivesProcesses(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	journal := standin.NewJournal()
	p.startUpstreamIn("a", 30*time.Millisecond, journal)
	p.startUpstreamIn("b", 30*time.Millisecond, journal)
	var n atomic.Int64
	send := func() standin.Response {
		var c standin.Caller
		defer c.Close()
		return c.Do(p.entryAddress(), standin.Call{ID: fmt.Sprint("r", n.Add(1)), Path: standin.SafePath, Key: platformKey})
	}
	// The entry prefers its own failure domain unless the upstream there has more to do.
	bothServe := func() bool {
		var group errgroup.Group
		var atA, atB atomic.Bool
		for range 6 {
			group.Go(func() error {
				upstream := send().Upstream
				if upstream == "u-a" {
					atA.Store(true)
				}
				if upstream == "u-b" {
					atB.Store(true)
				}
				return nil
			})
		}
		_ = group.Wait()
		return atA.Load() && atB.Load()
	}
	p.await("requests at both upstreams", bothServe)
	p.order(0, "a", false)
	p.order(1, "a", false)
	p.await("the entry to know", func() bool {
		for range 3 {
			if send().Upstream != "u-b" {
				return false
			}
		}
		return true
	})
	for i := range p.controls {
		p.restartControl(i)
	}
	for range 40 {
		if got := send(); got.Upstream == "u-a" {
			t.Errorf("request %d: ran in the evacuated failure domain", n.Load())
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.order(2, "b", false)
	p.await("a refusal, as nothing is left", func() bool { return send().Status == 503 })
	p.order(0, "a", true)
	p.order(1, "b", true)
	p.await("requests at both upstreams again", bothServe)
	if acknowledged, refusal := standin.Evacuate(t.Context(), p.controlAddresses()[0], "nowhere", false); acknowledged || refusal == "" {
		t.Errorf("unknown failure domain: got %v, %q, want a refusal", acknowledged, refusal)
	}
}
