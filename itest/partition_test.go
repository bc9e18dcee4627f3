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

// network holds the proxies in front of the control members.
type network struct {
	mu      sync.Mutex
	proxies map[string]*proxy.Proxy
}

// startProxied starts a fleet whose control members are reached through fault proxies.
func startProxied(t *testing.T) (*bed, *network) {
	t.Helper()
	return startProxiedWith(t)
}

func startProxiedWith(t *testing.T, standinArgs ...string) (*bed, *network) {
	t.Helper()
	n := &network{proxies: map[string]*proxy.Proxy{}}
	b := startWith(t, func(o *fleet.Options) {
		o.StandinArgs = standinArgs
		o.Advertise = func(listen string) (string, error) {
			host, _, err := net.SplitHostPort(listen)
			if err != nil {
				return "", err
			}
			// The proxy has an address of its own network beside the VM's: 127.0.N.11 is reached at 127.1.N.11.
			p := startProxy(t, "127.1"+strings.TrimPrefix(host, "127.0")+":0", listen)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.proxies[listen] = p
			return p.Address(), nil
		}
	})
	return b, n
}

// isolate cuts the VM with host number 11+i off from the control members of other VMs, in both directions; pass
// heals the cut.
func (n *network) isolate(b *bed, i int, f proxy.Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host := strings.TrimSuffix(b.Address(11+i, 1), ":1")
	for listen, p := range n.proxies {
		if strings.HasPrefix(listen, host+":") {
			for other := range 4 {
				if other != i {
					p.Set(strings.TrimSuffix(b.Address(11+other, 1), ":1"), f)
				}
			}
			continue
		}
		p.Set(host, f)
	}
}

// TestIsolatedControlMember guards against a control member that accepts or serves old state while it is cut off,
// that disturbs the group on its return, or that does not catch up with hundreds of changes.
func TestIsolatedControlMember(t *testing.T) {
	t.Parallel()
	for _, member := range []int{0, 2} {
		t.Run(fmt.Sprintf("control-%d", member+1), func(t *testing.T) {
			t.Parallel()
			b, n := startProxied(t)
			other := (member + 1) % 3
			n.isolate(b, member, proxy.Silent)
			b.await(bound, "the others accept a change", func() bool { return b.putCustomer(other, "c0", 1, "isolated-0") })
			for i := range 300 {
				if !b.putCustomer(other, fmt.Sprintf("c%d", i%50), i%900+1, fmt.Sprintf("isolated-%d", i+1)) {
					t.Fatalf("change %d was not acknowledged", i)
				}
			}
			want := b.weights(other)
			if b.putCustomer(member, "stale", 1, "isolated-stale") {
				t.Error("the isolated member acknowledged a change")
			}
			if got := b.weights(member); got != nil {
				t.Error("the isolated member answered a read")
			}
			// Its own VM's entry is cut off as well; the others serve.
			for i := range 8 {
				if entry := i % 4; entry != member {
					b.wantWhole(b.begin(b.stream(entry, b.deployment.Customers[i%5], fmt.Sprint("cut", i), 8)).wait())
				}
			}
			n.isolate(b, member, proxy.Pass)
			healed := time.Now()
			b.await(10*time.Second, "the member has caught up", func() bool {
				got := b.weights(member)
				for name, weight := range want {
					if got[name] != weight {
						return false
					}
				}
				return true
			})
			t.Logf("caught up with 300 changes %v after the cut", time.Since(healed).Round(time.Millisecond))
			for i := range 20 {
				if !b.putCustomer(i%3, "after", i+1, fmt.Sprintf("healed-%d", i)) {
					t.Errorf("change %d after the return was not acknowledged", i)
				}
			}
		})
	}
}

// maxStaleStream is how long a stream may run at an isolated entry: the freshness bound of 3 s, 5 s more, and a
// second for the end to be noticed.
const maxStaleStream = 9 * time.Second

// TestIsolatedEntryStopsAuthorising guards against an entry that serves keys which it cannot check: cut off from
// the control group it must refuse requests with a key within the bound, truly not run, while public routes go
// on (invariants I3 and I6).
func TestIsolatedEntryStopsAuthorising(t *testing.T) {
	t.Parallel()
	b, n := startProxied(t)
	const entry = 3
	customer := b.deployment.Small
	call := b.stream(entry, customer, "isolated", 8)
	b.wantWhole(b.begin(call).wait())
	n.isolate(b, entry, proxy.Silent)
	began := time.Now()
	if _, err := b.Ctl(b.ctx, "key", "withdraw", b.keyOf(customer)); err != nil {
		t.Fatal(err)
	}
	// Calls are sent whether earlier ones have ended or not: one that was authorised before the bound may run on
	// for a while, and its end says nothing of later ones.
	var calls []*pending
	var sent []time.Duration
	for elapsed := time.Duration(0); elapsed < bound+2*time.Second; elapsed = time.Since(began) {
		sent = append(sent, elapsed)
		calls = append(calls, b.begin(call))
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
			t.Errorf("call refused %v after the cut got outcome %q, want notRun", sent[i], r.Outcome)
		}
		if !refused && sent[i] >= bound {
			t.Errorf("call sent %v after the cut got status %d, want 503", sent[i], r.Status)
		}
	}
	if took := time.Since(began); took > maxStaleStream {
		t.Errorf("the last call ended %v after the cut, want at most %v", took, maxStaleStream)
	}
	t.Logf("first refusal of a call sent %v after the cut", first.Round(time.Millisecond))
	open := load.Call{Kind: load.LookUp, URL: b.EntryURL(entry), Path: b.deployment.Open + "/today", Timeout: 5 * time.Second}
	b.wantWhole(b.begin(open).wait())
	n.isolate(b, entry, proxy.Pass)
	b.await(10*time.Second, "the entry is ready again", func() bool { return b.Ready(b.ctx, entry) == nil })
	if r := b.begin(call).wait()[0]; r.Status != http.StatusUnauthorized {
		t.Errorf("after the cut the withdrawn key got status %d, want 401", r.Status)
	}
}

// TestSilentControlConnections guards against control connections that went silent for good while new ones work:
// entries must not lose their sessions and changes must still reach them within the bound.
func TestSilentControlConnections(t *testing.T) {
	t.Parallel()
	b, n := startProxied(t)
	for round := range 3 {
		n.mu.Lock()
		silenced := 0
		for _, p := range n.proxies {
			silenced += p.SilenceOpen()
		}
		n.mu.Unlock()
		if silenced == 0 {
			t.Fatal("no connection was open")
		}
		began := time.Now()
		b.await(2*bound, "a change is acknowledged", func() bool { return b.putCustomer(round, "c", round+1, fmt.Sprint("silent-", round)) })
		acknowledged := time.Now()
		b.await(bound, "every entry has the change", func() bool { return b.revisionsEqual() })
		t.Logf("acknowledged after %v, in force everywhere %v later", acknowledged.Sub(began).Round(time.Millisecond), time.Since(acknowledged).Round(time.Millisecond))
		time.Sleep(2 * time.Second)
		for entry := range b.Entries() {
			b.wantWhole(b.begin(b.stream(entry, b.deployment.Large, fmt.Sprint("silent", round, entry), 8)).wait())
		}
	}
}

// revisionsEqual says whether each entry has the newest configuration.
func (b *bed) revisionsEqual() bool {
	var status struct {
		Revision uint64
		Sessions []struct{ ConfigRevision uint64 }
	}
	if !b.adminRead("/v1/sessions", &status) || len(status.Sessions) != b.Entries() {
		return false
	}
	for _, s := range status.Sessions {
		if s.ConfigRevision != status.Revision {
			return false
		}
	}
	return true
}
