package caller

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

// sendRaw sends a POST request on a new connection and returns the connection without reading the response.
func (f *fixture) sendRaw(t *testing.T, path, body string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, testKey, len(body), body)
	return c.(*net.TCPConn)
}

// disconnects returns the ways in which a caller disconnects.
func disconnects() map[string]func(c *net.TCPConn) {
	return map[string]func(c *net.TCPConn){
		"FIN": func(c *net.TCPConn) { c.Close() },
		"RST": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"FIN behind a pipelined request": func(c *net.TCPConn) {
			fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			c.Close()
		},
	}
}

// TestDisconnectInPrefill guards against engine work that goes on after the caller disconnects during prefill.
func TestDisconnectInPrefill(t *testing.T) {
	for name, disconnect := range disconnects() {
		t.Run(name, func(t *testing.T) {
			prefill, decode := newFakeEngine(t, "p"), newFakeEngine(t, "d")
			prefill.prefillDelay = 10 * time.Second
			f := newFixture(t, nil, prefill.upstream("prefill", 0), decode.upstream("decode", 4))
			c := f.sendRaw(t, "/v1/chat/completions", chatBody+"}")
			waitFor(t, time.Second, "prefill", func() bool { return prefill.count("/v1/prefill") == 1 })
			disconnect(c)
			waitFor(t, 200*time.Millisecond, "end of the request", func() bool { return f.active.count() == 0 })
			waitFor(t, time.Second, "cancel on both engines", func() bool {
				return !prefill.cancelledAt("7-1").IsZero() && !decode.cancelledAt("7-1").IsZero()
			})
			waitFor(t, time.Second, "end of the prefill connection", func() bool {
				prefill.mu.Lock()
				defer prefill.mu.Unlock()
				return !prefill.prefillClosedAt.IsZero()
			})
		})
	}
}

// TestDisconnectWhileQueued guards against requests that stay queued, or get a slot, after the caller disconnects.
func TestDisconnectWhileQueued(t *testing.T) {
	for name, disconnect := range disconnects() {
		t.Run(name, func(t *testing.T) {
			prefill, decode := newFakeEngine(t, "p"), newFakeEngine(t, "d")
			prefill.prefillDelay = 10 * time.Second
			f := newFixture(t, nil, prefill.upstream("prefill", 0), decode.upstream("decode", 1))
			first := f.sendRaw(t, "/v1/chat/completions", chatBody+"}")
			waitFor(t, time.Second, "prefill", func() bool { return prefill.count("/v1/prefill") == 1 })
			c := f.sendRaw(t, "/v1/chat/completions", chatBody+"}")
			waitFor(t, time.Second, "second request", func() bool { return f.active.count() == 2 })
			disconnect(c)
			waitFor(t, 200*time.Millisecond, "end of the waiting request", func() bool { return f.active.count() == 1 })
			first.Close()
			waitFor(t, time.Second, "end of both", func() bool { return f.active.count() == 0 })
			if got := prefill.count("/v1/prefill"); got != 1 {
				t.Errorf("got %d prefills, want 1", got)
			}
		})
	}
}

// TestDisconnectInStream guards against a decode that goes on after the caller disconnects in mid-stream.
func TestDisconnectInStream(t *testing.T) {
	e := newFakeEngine(t, "e")
	ended := make(chan time.Time, 10)
	e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, _ int) {
		writeTokens(w, d, 2)
		<-r.Context().Done()
		ended <- time.Now()
	}
	f := newFixture(t, nil, e.upstream("both", 4))
	c := f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	buf := make([]byte, 4096)
	if _, err := c.Read(buf); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("decode connection still open 1 s after the caller disconnected")
	}
	waitFor(t, time.Second, "cancel", func() bool { return !e.cancelledAt("7-1").IsZero() })
}

// TestCallerStopsReading guards against engine work that goes on for a caller that keeps its connection open but
// reads nothing.
func TestCallerStopsReading(t *testing.T) {
	e := newFakeEngine(t, "e")
	e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, _ int) {
		for i := 0; r.Context().Err() == nil; i++ {
			fmt.Fprintf(w, "data: {\"requestId\":%q,\"attempt\":%v,\"offset\":%d,\"text\":%q}\n\n", d["requestId"], d["attempt"], i, strings.Repeat("x", 100000))
		}
	}
	f := newFixture(t, func(o *Options) { o.WriteTimeout = 300 * time.Millisecond }, e.upstream("both", 4))
	f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	waitFor(t, 3*time.Second, "cancel", func() bool { return !e.cancelledAt("7-1").IsZero() })
	waitFor(t, time.Second, "end of the request", func() bool { return f.active.count() == 0 })
}

// TestDisconnectAfterClaim guards against losing the outcome of a claimed request because the caller disconnects while the
// request runs.
func TestDisconnectAfterClaim(t *testing.T) {
	s := newFakeService(t)
	s.delay = 300 * time.Millisecond
	f := newFixture(t, nil, serviceUpstream("s", s.Listener.Addr().String()))
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /bookings/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n", testKey)
	waitFor(t, time.Second, "the call", func() bool { return s.count("/bookings/1") == 1 })
	c.Close()
	waitFor(t, 200*time.Millisecond, "end of the request", func() bool { return f.active.count() == 0 })
	waitFor(t, time.Second, "the record", func() bool { return f.claims.state("workshop/k") == fleetpb.ClaimState_CLAIM_STATE_DONE })
	if got := f.do(t, "POST", "/bookings/1", "", headerIdempotencyKey, "k"); got.body != "run 1 of " || got.header.Get(headerReplayed) != "true" {
		t.Errorf("got %d %q, want the first run replayed", got.status, got.body)
	}
}

// TestStaleEntryEndsRequests guards against streams that go on while the entry has no contact with the control group and
// cannot know whether their key was withdrawn. Requests on open routes need no key and go on.
func TestStaleEntryEndsRequests(t *testing.T) {
	e := newFakeEngine(t, "e")
	e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, _ int) {
		for i := 0; r.Context().Err() == nil; i++ {
			writeToken(w, d, i)
			time.Sleep(20 * time.Millisecond)
		}
	}
	f := newFixture(t, func(o *Options) { o.StaleGrace = 300 * time.Millisecond }, e.upstream("both", 4))
	c := f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	f.sendRaw(t, "/v1/completions", `{"model":"open","prompt":"a","max_tokens":3,"stream":true}`)
	waitFor(t, time.Second, "both streams", func() bool { return e.count("/v1/decode") == 2 })
	f.control.stale.Store(true)
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	buf := make([]byte, 1<<20)
	n := 0
	for !strings.Contains(string(buf[:n]), `"code":"not_ready","outcome":"ran"`) {
		m, err := c.Read(buf[n:])
		if n += m; err != nil {
			t.Fatalf("got %v after %s, want an error event", err, buf[:n])
		}
	}
	// The event reaches the caller before the server removes the request from the active requests.
	waitFor(t, 200*time.Millisecond, "end of only the request with a key", func() bool { return f.active.count() == 1 })
	time.Sleep(2 * freshCheckInterval)
	if got := f.active.count(); got != 1 {
		t.Errorf("got %d active requests, want only the request on the open route", got)
	}
}

// TestStaleEntryRejectsQueued guards against a request that stays queued beyond queuedStaleGrace while the entry cannot
// know whether the key was withdrawn.
func TestStaleEntryRejectsQueued(t *testing.T) {
	e := newFakeEngine(t, "e")
	e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, _ int) {
		writeToken(w, d, 0)
		<-r.Context().Done()
	}
	f := newFixture(t, nil, e.upstream("both", 1))
	f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	waitFor(t, time.Second, "a stream on the only slot", func() bool { return e.count("/v1/decode") == 1 })
	var group errgroup.Group
	var got testResponse
	start := time.Now()
	group.Go(func() error {
		got = f.do(t, "POST", "/v1/chat/completions", chatBody+"}")
		return nil
	})
	waitFor(t, time.Second, "two requests", func() bool { return f.active.count() == 2 })
	f.control.stale.Store(true)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"outcome":"notRun"`) || took > time.Second {
		t.Errorf("got status %d, %s after %v, want 503 and notRun within 1 s", got.status, got.body, took)
	}
}
