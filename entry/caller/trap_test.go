package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/entry/control"
)

// TestResume guards against tokens that are lost, repeated or belong to another request when decode streams break in
// different ways.
func TestResume(t *testing.T) {
	const n = 20
	hang := func(r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name string
		// first handles the first decode call to d1. second handles the later calls to d1; if nil, all tokens are written.
		first, second func(w http.ResponseWriter, r *http.Request, d map[string]any)
		// resumed is set if d1 is expected to get a resume call. restarted is set if a second prefill is expected.
		resumed, restarted bool
	}{
		{"silent", func(w http.ResponseWriter, r *http.Request, d map[string]any) {
			writeTokens(w, d, 5)
			hang(r)
		}, nil, true, false},
		{"closed", func(w http.ResponseWriter, _ *http.Request, d map[string]any) {
			writeTokens(w, d, 5)
			panic(http.ErrAbortHandler)
		}, nil, true, false},
		{"gap", func(w http.ResponseWriter, _ *http.Request, d map[string]any) {
			writeTokens(w, d, 5)
			writeToken(w, d, 6)
		}, nil, true, false},
		{"crossed and late", func(w http.ResponseWriter, _ *http.Request, d map[string]any) {
			writeTokens(w, d, 5)
			writeToken(w, map[string]any{"requestId": "7-99", "attempt": d["attempt"]}, 5)
			writeToken(w, d, 2)
			writeTokens(w, map[string]any{"requestId": d["requestId"], "attempt": d["attempt"], "startAt": 5.0, "maxTokens": d["maxTokens"]}, n)
		}, nil, false, false},
		{"engine lost the stream", func(w http.ResponseWriter, _ *http.Request, d map[string]any) {
			writeTokens(w, d, 5)
			panic(http.ErrAbortHandler)
		}, func(w http.ResponseWriter, _ *http.Request, _ map[string]any) {
			w.WriteHeader(http.StatusNotFound)
		}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			prefill := newFakeEngine(t, "p")
			var engines []*fakeEngine
			for _, id := range []string{"d1", "d2"} {
				e := newFakeEngine(t, id)
				e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, call int) {
					switch {
					case call == 1 && id == "d1":
						test.first(w, r, d)
					case id == "d1" && test.second != nil:
						test.second(w, r, d)
					default:
						writeTokens(w, d, n)
					}
				}
				engines = append(engines, e)
			}
			f := newFixture(t, nil, prefill.upstream("prefill", 0), engines[0].upstream("decode", 4), engines[1].upstream("decode", 4))
			got := f.do(t, "POST", "/v1/chat/completions", chatBody+`,"stream":true}`)
			if text, done := streamText(t, got.body); text != expectedText(n) || !done {
				t.Errorf("got %q, done %v, want each token once", text, done)
			}
			if got := strings.Contains(engines[0].receivedText(), `"resume":true`); got != test.resumed {
				t.Errorf("got resumed %v, want %v", got, test.resumed)
			}
			wantPrefills := 1
			if test.restarted {
				wantPrefills = 2
				waitFor(t, time.Second, "cancel of the abandoned attempt", func() bool { return engines[0].count("/v1/cancel") > 0 })
				if !strings.Contains(prefill.receivedText(), `"startAt":5,"generated":"`+expectedText(5)+`"`) {
					t.Errorf("prefill got %s, want the generated text", prefill.receivedText())
				}
			}
			if got := prefill.count("/v1/prefill"); got != wantPrefills {
				t.Errorf("got %d prefills, want %d", got, wantPrefills)
			}
		})
	}
}

// TestTransferStall guards against discarding a prefill because its transfer to one engine stalls.
func TestTransferStall(t *testing.T) {
	prefill, stalled, healthy := newFakeEngine(t, "p"), newFakeEngine(t, "d1"), newFakeEngine(t, "d2")
	stalled.decode = func(w http.ResponseWriter, r *http.Request, _ map[string]any, _ int) {
		for r.Context().Err() == nil {
			fmt.Fprint(w, ": transfer\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
	f := newFixture(t, nil, prefill.upstream("prefill", 0), stalled.upstream("decode", 4), healthy.upstream("decode", 4))
	got := f.do(t, "POST", "/v1/completions", `{"model":"m","prompt":"a b","max_tokens":20,"stream":true}`)
	if text, done := streamText(t, got.body); text != expectedText(20) || !done || got.header.Get(headerUpstream) != "d2" {
		t.Errorf("got %q from %s, want 20 tokens from d2", text, got.header.Get(headerUpstream))
	}
	if got := prefill.count("/v1/prefill"); got != 1 {
		t.Errorf("got %d prefills, want 1", got)
	}
	waitFor(t, time.Second, "cancel of the stalled attempt", func() bool { return !stalled.cancelledAt("7-1.1").IsZero() })
}

// TestRetryFullEngine guards against rejecting a request because one engine has no free slot, although another engine has
// a free slot.
func TestRetryFullEngine(t *testing.T) {
	prefill, full, healthy := newFakeEngine(t, "p"), newFakeEngine(t, "d1"), newFakeEngine(t, "d2")
	full.rejectReservations = true
	f := newFixture(t, nil, prefill.upstream("prefill", 0), full.upstream("decode", 4), healthy.upstream("decode", 4))
	if got := f.do(t, "POST", "/v1/chat/completions", chatBody+"}"); got.status != 200 || got.header.Get(headerUpstream) != "d2" {
		t.Errorf("got %d from %s, want 200 from d2", got.status, got.header.Get(headerUpstream))
	}
}

// TestRequestTimeout guards against a service call that goes on after the profile's request timeout, and against an
// outcome other than "unknown" for a request that was sent.
func TestRequestTimeout(t *testing.T) {
	s := newFakeService(t)
	s.delay = 10 * time.Second
	f := newFixture(t, nil, serviceUpstream("s", s.Listener.Addr().String()))
	got := f.do(t, "POST", "/bookings/1", "")
	if got.status != http.StatusGatewayTimeout || got.header.Get(headerOutcome) != "unknown" {
		t.Errorf("got %d %s, want 504 unknown", got.status, got.body)
	}
	waitFor(t, 200*time.Millisecond, "end of the service's connection", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.closedEarly == 1
	})
	if got := s.count("/bookings/1"); got != 1 {
		t.Errorf("got %d executions, want 1", got)
	}
}

// TestKeyNotForwarded guards against forwarding the caller's key to an upstream, wherever the request holds the key.
func TestKeyNotForwarded(t *testing.T) {
	s := newFakeService(t)
	f := newFixture(t, nil, serviceUpstream("s", s.Listener.Addr().String()))
	got := f.do(t, "GET", "/stock/1", "", "X-Api-Key", testKey, "X-Other", "key="+testKey, "Cookie", "k="+testKey, "Connection", "X-Hop", "X-Hop", "1", "Azuredoor-Customer", "another")
	if got.status != 200 {
		t.Fatalf("got %d %s, want 200", got.status, got.body)
	}
	for _, path := range []string{"/stock/1?key=" + testKey, "/stock/" + testKey} {
		if got := f.do(t, "GET", path, ""); got.status != 400 {
			t.Errorf("%s: got %d, want 400", path, got.status)
		}
	}
	if got := f.do(t, "POST", "/stock/1", "my "+testKey); got.status != 400 || strings.Contains(got.body, testKey) {
		t.Errorf("body: got %d %s, want 400 without the key", got.status, got.body)
	}
	for _, part := range []string{testKey, "X-Hop", "Authorization", "another"} {
		if strings.Contains(s.received.String(), part) {
			t.Errorf("service received %q in %s", part, s.received.String())
		}
	}
}

// TestErrorResponses guards against responses to rejected requests that are not in OpenAI's format, have a status other
// than 4xx (503 without an upstream) or quote the request.
func TestErrorResponses(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.HeaderTimeout, o.MaxBodyBytes = 200*time.Millisecond, 10000 })
	raw := func(request string, keepOpen bool) string {
		c, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, request)
		if !keepOpen {
			c.(*net.TCPConn).CloseWrite()
		}
		data, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("read: %v", err)
		}
		return string(data)
	}
	post := func(body string) string {
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	}
	tests := []struct {
		name, request string
		keepOpen      bool
		status, code  string
	}{
		{"slow header", "POST / HTTP/1.1\r\nHost:", true, "408", "request_timeout"},
		{"large header", "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20000) + "\r\n\r\n", true, "431", "header_too_large"},
		{"many headers", "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + strings.Repeat("A: b\r\n", 150) + "\r\n", true, "431", "too_many_headers"},
		{"large body", post(strings.Repeat("x", 20000)), true, "413", "body_too_large"},
		{"not HTTP", "hello\r\n\r\n", true, "400", "malformed_request"},
		{"not JSON", post("{"), true, "400", "invalid_request"},
		{"no messages", post(`{"model":"m"}`), true, "400", "invalid_request"},
		{"wrong type", post(`{"model":"m","messages":"secret prompt"}`), true, "400", "invalid_request"},
		{"unknown model", post(`{"model":"x","messages":[{"role":"user","content":"a"}]}`), true, "404", "model_not_found"},
		{"no key", "POST /bookings/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true, "401", "invalid_api_key"},
		{"no route", "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", true, "404", "not_found"},
		{"method", "GET /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", true, "405", "method_not_allowed"},
		// Another server may end this request earlier and read the rest as a second request (request smuggling).
		{"length and chunks", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey +
			"\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, "400", "invalid_framing"},
		{"two hosts", "GET /v1/models HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", true, "400", "malformed_request"},
		{"no upstream", post(chatBody + "}"), true, "503", "overloaded"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := raw(test.request, test.keepOpen)
			if !strings.HasPrefix(got, "HTTP/1.1 "+test.status) || !strings.Contains(got, `"code":"`+test.code+`","outcome":"notRun"`) || !strings.Contains(got, "Azuredoor-Outcome: notRun") {
				t.Errorf("got %s, want %s %s notRun", got, test.status, test.code)
			}
			if strings.Contains(got, "secret") {
				t.Error("response quotes the request")
			}
		})
	}
}

// TestWithdrawnKey guards against requests that go on or start after their key is withdrawn or can no longer be checked.
func TestWithdrawnKey(t *testing.T) {
	e := newFakeEngine(t, "e")
	e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, _ int) {
		writeTokens(w, d, 2)
		for r.Context().Err() == nil {
			fmt.Fprint(w, ": hb\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
	f := newFixture(t, nil, e.upstream("both", 4))
	c := f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	waitFor(t, time.Second, "decode", func() bool { return e.count("/v1/decode") == 1 })
	old := f.control.View()
	set, err := old.Config.Apply([]config.Change{{Kind: config.KindKey, Name: "first"}})
	if err != nil {
		t.Fatal(err)
	}
	view := &control.View{Config: set, Upstreams: old.Upstreams}
	f.control.view.Store(view)
	f.OnChange(view)
	c.SetReadDeadline(time.Now().Add(time.Second))
	data, _ := io.ReadAll(c)
	if got := string(data); !strings.Contains(got, `"code":"invalid_api_key","outcome":"ran"`) || strings.Contains(got, "[DONE]") {
		t.Errorf("got %s, want a final error event", got)
	}
	waitFor(t, time.Second, "cancel", func() bool { return !e.cancelledAt("7-1").IsZero() })
	if got := f.do(t, "POST", "/v1/chat/completions", chatBody+"}"); got.status != 401 {
		t.Errorf("got %d, want 401", got.status)
	}
	f.control.stale.Store(true)
	f.control.view.Store(old)
	if got := f.do(t, "POST", "/v1/chat/completions", chatBody+"}"); got.status != 503 || got.header.Get(headerOutcome) != "notRun" || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s, want 503 notRun with Retry-After", got.status, got.body)
	}
	if got := f.do(t, "GET", "/readyz", ""); got.status != 503 {
		t.Errorf("got /readyz %d, want 503", got.status)
	}
	e.mu.Lock()
	e.decode = nil
	e.mu.Unlock()
	if got := f.do(t, "POST", "/v1/completions", `{"model":"open","prompt":"a","max_tokens":3}`); got.status != 200 {
		t.Errorf("open route: got %d, want 200", got.status)
	}
}

// TestShutdown guards against a graceful shutdown that cuts off a stream or leaves idle connections open.
func TestShutdown(t *testing.T) {
	e := newFakeEngine(t, "e")
	e.decode = func(w http.ResponseWriter, _ *http.Request, d map[string]any, _ int) {
		for i := range 20 {
			writeToken(w, d, i)
			time.Sleep(30 * time.Millisecond)
		}
		writeTokens(w, map[string]any{"requestId": d["requestId"], "attempt": d["attempt"], "startAt": 20.0, "maxTokens": 20.0}, 20)
	}
	f := newFixture(t, nil, e.upstream("both", 4))
	if got := f.do(t, "GET", "/readyz", ""); got.status != 200 {
		t.Fatalf("got /readyz %d, want 200", got.status)
	}
	c := f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	waitFor(t, time.Second, "decode", func() bool { return e.count("/v1/decode") == 1 })
	idle, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	fmt.Fprint(idle, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	stopped := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ctx, cancel := contextWithTimeout(t, 5*time.Second)
		defer cancel()
		stopped <- f.Shutdown(ctx)
		return nil
	})
	idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("idle connection: got %v, want a closed connection", err)
	}
	data, err := io.ReadAll(c)
	if text, done := streamText(t, string(data)); err != nil || text != expectedText(20) || !done {
		t.Errorf("got %q, done %v, error %v, want the whole stream", text, done, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// TestImmediateShutdown guards against a shutdown that waits for a stream after the shutdown context has ended. The
// context ends at the operator's second signal.
func TestImmediateShutdown(t *testing.T) {
	e := newFakeEngine(t, "e")
	e.decode = func(w http.ResponseWriter, r *http.Request, d map[string]any, _ int) {
		for i := 0; r.Context().Err() == nil && i < 20; i++ {
			writeToken(w, d, i)
			time.Sleep(200 * time.Millisecond)
		}
	}
	f := newFixture(t, nil, e.upstream("both", 4))
	c := f.sendRaw(t, "/v1/chat/completions", chatBody+`,"stream":true}`)
	waitFor(t, time.Second, "decode", func() bool { return e.count("/v1/decode") == 1 })
	ctx, cancel := contextWithTimeout(t, 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	if err := f.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("got %v, want less than 2 s", d)
	}
	data, _ := io.ReadAll(c)
	if !strings.Contains(string(data), `"code":"stopping"`) {
		t.Errorf("got %s, want a final error event", data)
	}
	waitFor(t, time.Second, "cancel", func() bool { return !e.cancelledAt("7-1").IsZero() })
}

// TestStartedStreamNeedsNoRetryBudget guards against cutting off a response because the retry budget is used up. That
// happens when an engine dies and many of its streams resume at once.
func TestStartedStreamNeedsNoRetryBudget(t *testing.T) {
	const n, perStream = 20, 2
	prefill := newFakeEngine(t, "p")
	var decode []*fakeEngine
	for _, id := range []string{"d1", "d2"} {
		e := newFakeEngine(t, id)
		e.decode = func(w http.ResponseWriter, _ *http.Request, d map[string]any, _ int) {
			if d["resume"] == true {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			start, _ := d["startAt"].(float64)
			if int(start)+perStream >= n {
				writeTokens(w, d, n)
				return
			}
			for i := range perStream {
				writeToken(w, d, int(start)+i)
			}
			panic(http.ErrAbortHandler)
		}
		decode = append(decode, e)
	}
	f := newFixture(t, nil, prefill.upstream("prefill", 0), decode[0].upstream("decode", 4), decode[1].upstream("decode", 4))
	got := f.do(t, "POST", "/v1/chat/completions", chatBody+`,"stream":true}`)
	if text, done := streamText(t, got.body); text != expectedText(n) || !done {
		t.Errorf("got %q, done %v, want each token once", text, done)
	}
}
