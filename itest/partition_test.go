package itest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
	"azuredoor.example/bench/proxy"
)

// controlProxies holds the fault proxies in front of the control members, by the address that the member listens on.
type controlProxies struct {
	mu      sync.Mutex
	proxies map[string]*proxy.Proxy
}

// startWithControlProxies starts a fleet in which control members are reached through fault proxies.
func startWithControlProxies(t *testing.T) (*testFleet, *controlProxies) {
	t.Helper()
	return startWithControlProxiesAndArgs(t)
}

// startWithControlProxiesAndArgs is startWithControlProxies with extra arguments for the stand-ins.
func startWithControlProxiesAndArgs(t *testing.T, standinArgs ...string) (*testFleet, *controlProxies) {
	t.Helper()
	c := &controlProxies{proxies: map[string]*proxy.Proxy{}}
	b := startFleetWith(t, func(o *fleet.Options) {
		o.StandinArgs = standinArgs
		o.AdvertiseControl = func(listen string) (string, error) {
			host, _, err := net.SplitHostPort(listen)
			if err != nil {
				return "", err
			}
			// Proxies use a second network: the proxy of 127.0.N.11 has the address 127.1.N.11.
			p := startProxy(t, "127.1"+strings.TrimPrefix(host, "127.0")+":0", listen)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.proxies[listen] = p
			return p.Address(), nil
		}
	})
	return b, c
}

// isolate injects f between the VM with host number 11+i and the control members on other VMs, in both directions.
// proxy.Pass removes the fault.
func (c *controlProxies) isolate(b *testFleet, i int, f proxy.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	host := strings.TrimSuffix(b.Address(11+i, 1), ":1")
	for listen, p := range c.proxies {
		if strings.HasPrefix(listen, host+":") {
			for other := range 4 {
				if other != i {
					p.SetFault(strings.TrimSuffix(b.Address(11+other, 1), ":1"), f)
				}
			}
			continue
		}
		p.SetFault(host, f)
	}
}

// TestIsolatedControlMember guards against a control member that accepts changes or returns stale state while it is
// partitioned from the group, that disrupts the group when it reconnects, or that does not catch up with hundreds of changes.
func TestIsolatedControlMember(t *testing.T) {
	t.Parallel()
	for _, member := range []int{0, 2} {
		t.Run(fmt.Sprintf("control-%d", member+1), func(t *testing.T) {
			t.Parallel()
			b, c := startWithControlProxies(t)
			other := (member + 1) % 3
			c.isolate(b, member, proxy.Stall)
			b.await(propagationBound, "the other members acknowledge a change", func() bool { return b.setCustomerWeight(other, "c0", 1, "isolated-0") })
			for i := range 300 {
				if !b.setCustomerWeight(other, fmt.Sprintf("c%d", i%50), i%900+1, fmt.Sprintf("isolated-%d", i+1)) {
					t.Fatalf("change %d was not acknowledged", i)
				}
			}
			want := b.customerWeights(other)
			if b.setCustomerWeight(member, "stale", 1, "isolated-stale") {
				t.Error("the isolated member acknowledged a change")
			}
			if got := b.customerWeights(member); got != nil {
				t.Error("the isolated member served a read")
			}
			// The entry on the isolated VM is partitioned too; the other entries serve requests.
			for i := range 8 {
				if entry := i % 4; entry != member {
					b.wantComplete(b.startCalls(b.streamCall(entry, b.deployment.Customers[i%5], fmt.Sprint("cut", i), 8)).wait())
				}
			}
			c.isolate(b, member, proxy.Pass)
			healed := time.Now()
			b.await(10*time.Second, "the member has caught up", func() bool {
				got := b.customerWeights(member)
				for name, weight := range want {
					if got[name] != weight {
						return false
					}
				}
				return true
			})
			t.Logf("caught up with 300 changes %v after the end of the partition", time.Since(healed).Round(time.Millisecond))
			for i := range 20 {
				if !b.setCustomerWeight(i%3, "after", i+1, fmt.Sprintf("healed-%d", i)) {
					t.Errorf("change %d after the end of the partition was not acknowledged", i)
				}
			}
		})
	}
}

// maxStaleStreamDuration is the longest time that a stream may run at an isolated entry: the freshness bound of 3 s, another
// 5 s, and 1 s until the end of the stream is detected.
const maxStaleStreamDuration = 9 * time.Second

// TestIsolatedEntryStopsAuthorising guards against an entry that accepts keys which it cannot verify. While it is
// partitioned from the control group, the entry must, once the bound has passed, refuse requests with a key and must not
// run them, and it must continue to serve public routes (invariants I3 and I6).
func TestIsolatedEntryStopsAuthorising(t *testing.T) {
	t.Parallel()
	b, c := startWithControlProxies(t)
	const entry = 3
	customer := b.deployment.Small
	call := b.streamCall(entry, customer, "isolated", 8)
	b.wantComplete(b.startCalls(call).wait())
	c.isolate(b, entry, proxy.Stall)
	start := time.Now()
	if _, err := b.Ctl(b.ctx, "key", "withdraw", b.keyName(customer)); err != nil {
		t.Fatal(err)
	}
	// Calls are sent without waiting for earlier calls, because a call that was authorised before the bound may still run
	// when later calls are refused.
	var calls []*pendingCalls
	var sent []time.Duration
	for elapsed := time.Duration(0); elapsed < propagationBound+2*time.Second; elapsed = time.Since(start) {
		sent = append(sent, elapsed)
		calls = append(calls, b.startCalls(call))
		time.Sleep(100 * time.Millisecond)
	}
	first := time.Duration(0)
	for i, p := range calls {
		r := p.wait()[0]
		refused := r.Status == http.StatusServiceUnavailable
		if refused && first == 0 {
			first = sent[i]
		}
		if refused && r.Outcome != "notRun" {
			t.Errorf("call refused %v after the start of the partition got outcome %q, want notRun", sent[i], r.Outcome)
		}
		if !refused && sent[i] >= propagationBound {
			t.Errorf("call sent %v after the start of the partition got status %d, want 503", sent[i], r.Status)
		}
	}
	if elapsed := time.Since(start); elapsed > maxStaleStreamDuration {
		t.Errorf("the last call ended %v after the start of the partition, want at most %v", elapsed, maxStaleStreamDuration)
	}
	t.Logf("first refusal: call sent %v after the start of the partition", first.Round(time.Millisecond))
	open := load.Call{Kind: load.LookUp, URL: b.EntryURL(entry), Path: b.deployment.Open + "/today", Timeout: 5 * time.Second}
	b.wantComplete(b.startCalls(open).wait())
	c.isolate(b, entry, proxy.Pass)
	b.await(10*time.Second, "the entry is ready again", func() bool { return b.Ready(b.ctx, entry) == nil })
	if r := b.startCalls(call).wait()[0]; r.Status != http.StatusUnauthorized {
		t.Errorf("after the end of the partition the withdrawn key got status %d, want 401", r.Status)
	}
}

// TestSilentControlConnections guards against control connections that stall permanently while new connections work:
// entries must keep their sessions, and changes must still reach them within the bound.
func TestSilentControlConnections(t *testing.T) {
	t.Parallel()
	b, c := startWithControlProxies(t)
	for round := range 3 {
		c.mu.Lock()
		stalled := 0
		for _, p := range c.proxies {
			stalled += p.StallOpen()
		}
		c.mu.Unlock()
		if stalled == 0 {
			t.Fatal("no connection was open")
		}
		start := time.Now()
		b.await(2*propagationBound, "a change is acknowledged", func() bool { return b.setCustomerWeight(round, "c", round+1, fmt.Sprint("silent-", round)) })
		acknowledged := time.Now()
		b.await(propagationBound, "every entry has applied the change", func() bool { return b.entriesUpToDate() })
		t.Logf("acknowledged after %v, applied by every entry %v later", acknowledged.Sub(start).Round(time.Millisecond), time.Since(acknowledged).Round(time.Millisecond))
		time.Sleep(2 * time.Second)
		for entry := range b.Entries() {
			b.wantComplete(b.startCalls(b.streamCall(entry, b.deployment.Large, fmt.Sprint("silent", round, entry), 8)).wait())
		}
	}
}

// entriesUpToDate reports whether every entry has applied the newest configuration revision.
func (b *testFleet) entriesUpToDate() bool {
	var status struct {
		Revision uint64
		Sessions []struct{ ConfigRevision uint64 }
	}
	if !b.readAdmin("/v1/sessions", &status) || len(status.Sessions) != b.Entries() {
		return false
	}
	for _, s := range status.Sessions {
		if s.ConfigRevision != status.Revision {
			return false
		}
	}
	return true
}
