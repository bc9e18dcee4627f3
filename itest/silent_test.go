package itest

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
	"azuredoor.example/bench/proxy"
)

// startUpstreamsProxied starts a fleet whose upstreams are reached through fault proxies.
func startUpstreamsProxied(t *testing.T, standinArgs ...string) (*bed, map[string]*proxy.Proxy) {
	t.Helper()
	proxies := map[string]*proxy.Proxy{}
	b := startWith(t, func(o *fleet.Options) {
		o.StandinArgs = standinArgs
		o.AdvertiseUpstream = func(listen string) (string, error) {
			host, _, err := net.SplitHostPort(listen)
			if err != nil {
				return "", err
			}
			p := startProxy(t, "127.1"+strings.TrimPrefix(host, "127.0")+":0", listen)
			proxies[listen] = p
			return p.Address(), nil
		}
	})
	return b, proxies
}

// upstreamProxy returns the proxy in front of an upstream.
func (b *bed) upstreamProxy(proxies map[string]*proxy.Proxy, id string) *proxy.Proxy {
	return proxies[strings.TrimPrefix(b.StandinURL(id), "http://")]
}

// TestSilentEngineConnections guards against answers that hang or are cut, and against engine memory that stays
// held, when connections between entries and engines stop carrying data for good while new ones work
// (invariants I1 and I5).
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"decode", "prefill"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			b, proxies := startUpstreamsProxied(t, slowTokens...)
			calls := b.begin(b.streams(30, 120)...)
			time.Sleep(800 * time.Millisecond)
			silenced := 0
			for _, id := range b.engines(role) {
				silenced += b.upstreamProxy(proxies, id).SilenceOpen()
			}
			if silenced == 0 {
				t.Error("no connection was open")
			}
			began := time.Now()
			// New calls find only silent connections in the pools.
			b.wantWhole(b.begin(b.streams(20, 10)...).wait())
			t.Logf("new answers are whole %v after the fault", time.Since(began).Round(time.Millisecond))
			b.wantWhole(calls.wait())
			b.awaitReleased(10 * time.Second)
		})
	}
}

// TestSilentServiceConnections guards against a booking that runs twice, or a refusal that is not true, when the
// connections to the service runners stop carrying data while bookings run (invariants I2, I6 and I7).
func TestSilentServiceConnections(t *testing.T) {
	t.Parallel()
	b, proxies := startUpstreamsProxied(t)
	keys := names("silent", 15)
	under := b.book(keys)
	time.Sleep(10 * time.Millisecond)
	for _, id := range b.services() {
		b.upstreamProxy(proxies, id).SilenceOpen()
	}
	results := collect(under)
	for key, list := range collect(b.book(keys)) {
		results[key] = append(results[key], list...)
	}
	b.checkBookings(results)
	b.checkNotRun(results)
}

// TestSilentCallerConnections guards against engine slots that stay held for callers whose connections stopped
// carrying data for good while they read an answer (invariant I1); other callers must not notice.
func TestSilentCallerConnections(t *testing.T) {
	t.Parallel()
	b := start(t, "-token-gap=10ms")
	proxies := make([]*proxy.Proxy, b.Entries())
	var silentCalls []load.Call
	for i := range proxies {
		proxies[i] = startProxy(t, "127.0.0.1:0", strings.TrimPrefix(b.EntryURL(i), "http://"))
		for n := range 4 {
			call := b.stream(i, b.deployment.Customers[n], fmt.Sprintf("silent-%d-%d", i, n), 190)
			call.URL, call.Timeout = "http://"+proxies[i].Address(), 6*time.Second
			silentCalls = append(silentCalls, call)
		}
	}
	silent := b.begin(silentCalls...)
	time.Sleep(700 * time.Millisecond)
	for _, p := range proxies {
		if got := p.SilenceOpen(); got != 4 {
			t.Errorf("got %d open connections, want 4", got)
		}
	}
	others := b.begin(b.streams(20, 60)...)
	b.wantWhole(others.wait())
	b.awaitReleased(10 * time.Second)
	for i, r := range silent.wait() {
		if r.Verdict == load.Crossed || r.Verdict == load.Doubled {
			t.Errorf("answer %d got verdict %s", i, r.Verdict)
		}
	}
	// New connections through the same proxies work.
	again := silentCalls[:4]
	for i := range again {
		again[i].Timeout = 15 * time.Second
	}
	b.wantWhole(b.begin(again...).wait())
}
