package itest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
)

// traffic sends streams and bookings to ready entries until stop is set.
type traffic struct {
	stop     atomic.Bool
	group    errgroup.Group
	balancer balancer
	sent     atomic.Int64
}

// startTraffic sends a stream and a booking every 40 ms. Like a load balancer, it chooses only entries whose last readiness
// check succeeded (/readyz).
func (b *testFleet) startTraffic() *traffic {
	tr := &traffic{}
	for entry := range b.Entries() {
		tr.group.Go(func() error {
			for !tr.stop.Load() {
				tr.balancer.setRemoved(entry, b.Ready(b.ctx, entry) != nil)
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	start := time.Now()
	tr.group.Go(func() error {
		var calls errgroup.Group
		for i := 0; !tr.stop.Load(); i++ {
			entry := tr.balancer.pick(i, b.Entries())
			stream := b.streamCall(entry, b.deployment.Customers[i%2], fmt.Sprint("traffic", i), 20)
			for _, call := range []load.Call{stream, b.bookingCall(entry, fmt.Sprint("traffic-", i))} {
				calls.Go(func() error {
					sent := time.Since(start)
					r := b.startCalls(call).wait()[0]
					tr.sent.Add(1)
					if r.Verdict != load.Complete {
						b.t.Errorf("%s at %s after %v got verdict %s (status %d, code %q, outcome %q, %d tokens, error %v), want whole",
							call.Kind, call.URL, sent.Round(time.Millisecond), r.Verdict, r.Status, r.ErrorCode, r.Outcome, r.Tokens, r.Err)
					}
					return nil
				})
			}
			time.Sleep(40 * time.Millisecond)
		}
		return calls.Wait()
	})
	return tr
}

// stopTraffic waits for all calls and checks that no booking ran twice.
func (b *testFleet) stopTraffic(tr *traffic) {
	b.t.Helper()
	tr.stop.Store(true)
	if err := tr.group.Wait(); err != nil {
		b.t.Error(err)
	}
	b.t.Logf("%d calls", tr.sent.Load())
	for hash, count := range b.countExecutions() {
		if count > 1 {
			b.t.Errorf("booking %s ran %d times, want at most once", hash, count)
		}
	}
}

type controlMember struct {
	ID, Name string
	Learner  bool
	Leader   bool
}

// listMembers returns the control members by name, or nil if the list cannot be read.
func (b *testFleet) listMembers() map[string]controlMember {
	b.t.Helper()
	out, err := b.Ctl(b.ctx, "member", "list", "-json")
	if err != nil {
		return nil
	}
	var list struct{ Members []controlMember }
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		b.t.Fatal(err)
	}
	members := map[string]controlMember{}
	for _, m := range list.Members {
		members[m.Name] = m
	}
	return members
}

// TestGroupChangesUnderTraffic guards against requests that fail when control members are added or removed, also when the
// removed member is the leader, and against a removal that leaves the group without a majority.
func TestGroupChangesUnderTraffic(t *testing.T) {
	t.Parallel()
	b := startFleetWith(t, func(o *fleet.Options) { o.Controls = 4 })
	tr := b.startTraffic()
	remove := func(name string) {
		id := b.listMembers()[name].ID
		b.await(propagationBound, name+" is removed", func() bool {
			if _, err := b.Ctl(b.ctx, "member", "remove", id); err != nil {
				t.Logf("remove %s: %v", name, err)
			}
			members := b.listMembers()
			_, found := members[name]
			return members != nil && !found
		})
	}
	remove("control-4")
	removed := b.Process("control-4")
	if err := removed.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(b.Dir, "control-4")); err != nil {
		t.Fatal(err)
	}
	if err := removed.Start(); err != nil {
		t.Fatal(err)
	}
	b.await(2*propagationBound, "control-4 is a voting member again", func() bool {
		if m, found := b.listMembers()["control-4"]; found {
			return !m.Learner
		}
		if _, err := b.Ctl(b.ctx, "member", "add", "-name", "control-4", "-address", b.Address(14, 7101), "-admin-address", b.Address(14, 7102),
			"-failure-domain", b.deployment.FailureDomains[0]); err != nil {
			t.Logf("add control-4: %v", err)
		}
		return false
	})
	leader := ""
	for name, m := range b.listMembers() {
		if m.Leader {
			leader = name
		}
	}
	remove(leader)
	time.Sleep(time.Second)
	b.stopTraffic(tr)
	// Three members are left. After one is killed, the group would lose its majority if another live member were removed.
	var names []string
	for name := range b.listMembers() {
		names = append(names, name)
	}
	if len(names) != 3 {
		t.Fatalf("got members %q, want three", names)
	}
	if err := b.Process(names[0]).Kill(); err != nil {
		t.Fatal(err)
	}
	var members map[string]controlMember
	b.await(propagationBound, "the group returns its members", func() bool { members = b.listMembers(); return members != nil })
	time.Sleep(2 * time.Second)
	if out, err := b.Ctl(b.ctx, "member", "remove", members[names[1]].ID); err == nil || !strings.Contains(err.Error(), "majority") {
		t.Errorf("removing one of the two live members of three got %q and error %v, want a refusal because of the majority", out, err)
	}
	number, err := strconv.Atoi(strings.TrimPrefix(names[1], "control-"))
	if err != nil {
		t.Fatal(err)
	}
	b.await(propagationBound, "the group acknowledges a change", func() bool { return b.setCustomerWeight(number-1, "after", 3, "group-after") })
}

// TestRollingRestart guards against truncated responses and refusals while all entries and control members are restarted
// one at a time (invariant I9).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	b := startFleetWith(t, func(o *fleet.Options) { o.DrainDelay = 600 * time.Millisecond })
	tr := b.startTraffic()
	restart := func(name string, ready func() bool) {
		p := b.Process(name)
		if err := p.Stop(); err != nil {
			t.Errorf("%s exited with error %v, want exit code 0", name, err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		b.await(2*propagationBound, name+" serves requests again", ready)
	}
	for i := range b.Entries() {
		restart(fmt.Sprintf("entry-%d", i+1), func() bool { return b.Ready(b.ctx, i) == nil })
	}
	for i := range 3 {
		restart(fmt.Sprintf("control-%d", i+1), func() bool { return b.customerWeights(i) != nil })
	}
	time.Sleep(time.Second)
	b.stopTraffic(tr)
	b.awaitEnginesIdle(5 * time.Second)
}
