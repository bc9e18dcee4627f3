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

// startWithUpstreamProxies starts a fleet in which upstreams are reached through fault proxies. It returns the proxies by the
// address that the upstream listens on.
func startWithUpstreamProxies(t *testing.T, standinArgs ...string) (*testFleet, map[string]*proxy.Proxy) {
	t.Helper()
	proxies := map[string]*proxy.Proxy{}
	b := startFleetWith(t, func(o *fleet.Options) {
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
func (b *testFleet) upstreamProxy(proxies map[string]*proxy.Proxy, id string) *proxy.Proxy {
	return proxies[strings.TrimPrefix(b.StandinURL(id), "http://")]
}

// TestSilentEngineConnections guards against responses that hang or are truncated, and against engine memory that stays
// reserved, when connections between entries and engines stall permanently while new connections work (invariants I1
// and I5).
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"decode", "prefill"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			b, proxies := startWithUpstreamProxies(t, slowTokenArgs...)
			calls := b.startCalls(b.streamCalls(30, 120)...)
			time.Sleep(800 * time.Millisecond)
			stalled := 0
			for _, id := range b.engineIDs(role) {
				stalled += b.upstreamProxy(proxies, id).StallOpen()
			}
			if stalled == 0 {
				t.Error("no connection was open")
			}
			start := time.Now()
			// For new calls, the connection pools contain only stalled connections.
			b.wantComplete(b.startCalls(b.streamCalls(20, 10)...).wait())
			t.Logf("new responses were complete %v after the fault", time.Since(start).Round(time.Millisecond))
			b.wantComplete(calls.wait())
			b.awaitEnginesIdle(10 * time.Second)
		})
	}
}

// TestSilentServiceConnections guards against a booking that runs twice, or that runs although all its responses have the
// outcome notRun, when the connections to the service runners stall while bookings run (invariants I2, I6 and I7).
func TestSilentServiceConnections(t *testing.T) {
	t.Parallel()
	b, proxies := startWithUpstreamProxies(t)
	keys := numberedNames("silent", 15)
	pending := b.sendBookings(keys)
	time.Sleep(10 * time.Millisecond)
	for _, id := range b.serviceIDs() {
		b.upstreamProxy(proxies, id).StallOpen()
	}
	results := waitAll(pending)
	for key, list := range waitAll(b.sendBookings(keys)) {
		results[key] = append(results[key], list...)
	}
	b.checkBookings(results)
	b.checkNotRun(results)
}

// TestSilentCallerConnections guards against engine slots that stay in use for callers whose connections stall permanently
// while they read a response (invariant I1). Other callers must not be affected.
func TestSilentCallerConnections(t *testing.T) {
	t.Parallel()
	b := startFleet(t, "-token-gap=10ms")
	proxies := make([]*proxy.Proxy, b.Entries())
	var streams []load.Call
	for i := range proxies {
		proxies[i] = startProxy(t, "127.0.0.1:0", strings.TrimPrefix(b.EntryURL(i), "http://"))
		for n := range 4 {
			call := b.streamCall(i, b.deployment.Customers[n], fmt.Sprintf("silent-%d-%d", i, n), 190)
			call.URL, call.Timeout = "http://"+proxies[i].Address(), 6*time.Second
			streams = append(streams, call)
		}
	}
	stalledCalls := b.startCalls(streams...)
	time.Sleep(700 * time.Millisecond)
	for _, p := range proxies {
		if got := p.StallOpen(); got != 4 {
			t.Errorf("got %d open connections, want 4", got)
		}
	}
	others := b.startCalls(b.streamCalls(20, 60)...)
	b.wantComplete(others.wait())
	b.awaitEnginesIdle(10 * time.Second)
	for i, r := range stalledCalls.wait() {
		if r.Verdict == load.Foreign || r.Verdict == load.Duplicated {
			t.Errorf("response %d got verdict %s, want no tokens twice and none of other requests", i, r.Verdict)
		}
	}
	// New connections through the same proxies work.
	newCalls := streams[:4]
	for i := range newCalls {
		newCalls[i].Timeout = 15 * time.Second
	}
	b.wantComplete(b.startCalls(newCalls...).wait())
}
