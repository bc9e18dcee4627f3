package web

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/http1"
)

// testCodec uses the request headers Id, Patience, Key, Tokens, Parts, After and Continues, and the response headers Signed, NotRun, Leaving and
// RetryAfter.
type testCodec struct{}

func (testCodec) ReadCall(h *fasthttp.RequestHeader) Call {
	c := Call{ID: string(h.Peek("Id")), Key: string(h.Peek("Key")), LastEvent: string(h.Peek("After")), Continues: string(h.Peek("Continues"))}
	c.Timeout, _ = time.ParseDuration(string(h.Peek("Patience")))
	if n, err := strconv.Atoi(string(h.Peek("Tokens"))); err == nil {
		c.PromptTokens, c.MaxTokens, c.HasTokens = n, 100, true
	}
	for text := range strings.SplitSeq(string(h.Peek("Parts")), ",") {
		if id, err := strconv.ParseUint(text, 16, 64); err == nil {
			c.PromptParts = append(c.PromptParts, id)
		}
	}
	return c
}

func (testCodec) WriteCall(h *fasthttp.RequestHeader, f Forwarding) {
	h.Del("Key")
	h.Set("Customer", f.Customer)
	h.Set("Patience", f.Timeout.String())
	if f.Prefill {
		h.Set("Prefill", "1")
	}
	if f.Handle != "" {
		h.Set("Source", f.Source+"/"+f.Handle)
	}
	if f.LastEvent != "" {
		h.Set("After", f.LastEvent)
	}
	if f.Fetch != "" {
		h.Set("Fetch", f.Fetch)
	}
	if f.Reservation != "" {
		h.Set("Reservation", f.Reservation)
	}
}

func (testCodec) Reserve(r *fasthttp.Request, tokens int, lifetime time.Duration) {
	r.Header.SetMethod("POST")
	r.Header.SetRequestURI("/reserve")
	r.SetBodyString(fmt.Sprint(tokens, " ", lifetime))
}

func (testCodec) ReadReservation(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no reservation")
	}
	return string(body), nil
}

func (testCodec) Release(r *fasthttp.Request, id string) {
	r.Header.SetMethod("DELETE")
	r.Header.SetRequestURI("/reserve/" + id)
}

func (testCodec) ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo {
	// A header without the field states no time.
	retryAfter, _ := time.ParseDuration(string(h.Peek("RetryAfter")))
	return ResponseInfo{
		RetryAfter: retryAfter,
		RequestID:  string(h.Peek("Id")), Signed: len(h.Peek("Signed")) > 0, NotRun: len(h.Peek("NotRun")) > 0,
		Replaced: h.StatusCode() == fasthttp.StatusMisdirectedRequest, Leaving: len(h.Peek("Leaving")) > 0,
	}
}

func (testCodec) ReadHandle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (testCodec) FreeHandle(r *fasthttp.Request, handle string) {
	r.Header.SetMethod("DELETE")
	r.Header.SetRequestURI("/handle/" + handle)
}

// fakeControl is a Control with a fixed view, until changed is set.
type fakeControl struct {
	view    *control.View
	changed atomic.Pointer[control.View]
	age     time.Duration
}

func (f *fakeControl) View() *control.View {
	if changed := f.changed.Load(); changed != nil {
		return changed
	}
	return f.view
}

func (f *fakeControl) Age() time.Duration { return f.age }

// fakeLimiter refuses the customer "over" and counts charged tokens.
type fakeLimiter struct {
	mu      sync.Mutex
	charged int64
}

func (f *fakeLimiter) Take(bucket string, _ config.Limit, tokens int64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bucket == "over" {
		return false, time.Second
	}
	f.charged += tokens
	return true, 0
}

func (f *fakeLimiter) Refund(_ string, _ config.Limit, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charged -= tokens
}

// upstream is a fake upstream that records its requests.
type upstream struct {
	address string
	mu      sync.Mutex
	got     []*fasthttp.Request
}

func (u *upstream) requests() []*fasthttp.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.got
}

// startUpstream starts an upstream that answers requests by script, which gets the number n of the request, from 1. The
// connection closes when script returns false.
func startUpstream(t *testing.T, script func(c net.Conn, r *fasthttp.Request, n int) bool) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{address: ln.Addr().String()}
	var group errgroup.Group
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					request := &fasthttp.Request{}
					if err := request.Read(r); err != nil {
						return nil
					}
					// Reading a header field changes the request, and the script may still read it when the test does.
					received := &fasthttp.Request{}
					request.CopyTo(received)
					u.mu.Lock()
					u.got = append(u.got, received)
					n := len(u.got)
					u.mu.Unlock()
					if !script(c, request, n) {
						return nil
					}
				}
			})
		}
	})
	return u
}

// respond writes a signed response and reports whether the write succeeded.
func respond(c net.Conn, r *fasthttp.Request, status int, extra, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: 1\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Peek("Id"), extra, len(body), body)
	return err == nil
}

// writeEvents writes the events first to last of a stream. If end is not set, the stream breaks off in the middle of a
// further event.
func writeEvents(c net.Conn, r *fasthttp.Request, first, last int, end bool) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Peek("Id")); err != nil {
		return false
	}
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	if !end {
		// Part of an event; the connection then closes.
		_, _ = fmt.Fprintf(c, "5\r\nid: 9\r\n")
		return false
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

type testRouter struct {
	address string
	control *fakeControl
	limiter *fakeLimiter
	server  *http1.Server
	router  *Router
	metrics *metric.Root
}

// newTestRouter starts a router in front of plain upstreams and of prefill and decode engines.
func newTestRouter(t *testing.T, plain []*upstream, prefill, decode []*upstream) *testRouter {
	t.Helper()
	target := []document.Target{{Service: "s", Weight: 1}}
	engines := []document.Target{{Service: "e", Weight: 1}}
	d := &document.Document{
		Version:  1,
		Services: map[string]*document.Service{"s": {Name: "s"}, "e": {Name: "e", Engine: &document.Engine{CacheTokens: 100_000, EventTokens: 1, HandleLifetime: time.Second}}},
		Customers: map[string]*document.Customer{
			"c":    {Name: "c", Keys: []string{"key"}, RequestTokens: 10, Limit: config.Limit{TokensPerSecond: 1000, BurstTokens: 1000}},
			"over": {Name: "over", Keys: []string{"overkey"}, RequestTokens: 10, Limit: config.Limit{TokensPerSecond: 1, BurstTokens: 1}},
		},
	}
	for _, r := range []*document.Route{
		{Name: "safe", PathPrefix: "/safe/", RepeatRule: config.Idempotent, MaxAttempts: 2, Targets: target},
		{Name: "unsafe", PathPrefix: "/unsafe/", RepeatRule: config.NonIdempotent, MaxAttempts: 1, Targets: target},
		{Name: "open", PathPrefix: "/open/", RepeatRule: config.Idempotent, MaxAttempts: 1, Open: true, Targets: target},
		{Name: "stream", PathPrefix: "/stream/", RepeatRule: config.Idempotent, MaxAttempts: 2, Stream: true, Resumable: true, Targets: engines},
		{Name: "once", PathPrefix: "/once/", RepeatRule: config.NonIdempotent, MaxAttempts: 1, Stream: true, Targets: engines},
	} {
		r.Host, r.Timeout, r.Target = "h", 800*time.Millisecond, 400*time.Millisecond
		d.Routes = append(d.Routes, r)
	}
	if err := d.Index(); err != nil {
		t.Fatal(err)
	}
	view := &control.View{Document: d, Upstreams: map[string]*fleetpb.Upstream{}, Sessions: map[uint64]*fleetpb.Session{1: {}}}
	add := func(service, role string, list []*upstream) {
		for i, u := range list {
			id := fmt.Sprint(service, role, i)
			view.Upstreams[id] = &fleetpb.Upstream{
				Id: id, Address: u.address, Pool: service, Role: role, Incarnation: 1, Slots: 8, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
			}
		}
	}
	add("s", "", plain)
	add("e", "prefill", prefill)
	add("e", "decode", decode)
	b := &testRouter{control: &fakeControl{view: view}, limiter: &fakeLimiter{}}
	root := metric.New("test")
	pool := conn.NewPool(conn.Options{ReceiveBuffer: 256 << 10})
	var background errgroup.Group
	router := New(Config{
		Codec: testCodec{}, Control: b.control, Limiter: b.limiter, Pool: pool, FreshFor: time.Second, CurrentFor: time.Second / 2, Grace: 8 * time.Second,
		RetryPercent: 100, RetryFloor: 100, Metrics: metric.NewRequests(root.Scope), Events: event.Discard(), Background: &background,
	})
	router.OnChange(view)
	b.router, b.metrics = router, root
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = ln.Addr().String()
	b.server = http1.New(http1.Config{Handler: router, Bounds: func() http1.Bounds { return http1.Bounds{} }})
	var group errgroup.Group
	group.Go(func() error { return b.server.Serve(ln) })
	t.Cleanup(func() {
		b.server.Close()
		_ = group.Wait()
		_ = background.Wait()
		pool.Close()
		_ = root.Close()
	})
	return b
}

type result struct {
	status int
	body   string
	header http.Header
	// truncated is set if the response is truncated or missing.
	truncated bool
}

func (b *testRouter) send(t *testing.T, method, path string, header map[string]string) result {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+b.address+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "request-1")
	request.Header.Set("Key", "key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{truncated: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{response.StatusCode, string(body), response.Header, err != nil}
}

// TestPlainOutcomes guards, for each way in which an upstream can fail, against running a non-idempotent request twice, a
// refusal that implies "not run" for a request that may have run, a truncated or foreign response, and a request that is
// refused although another upstream could serve it.
func TestPlainOutcomes(t *testing.T) {
	type script = func(c net.Conn, r *fasthttp.Request, n int) bool
	whole := func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 200, "", "fine") }
	for name, test := range map[string]struct {
		first                script
		wantSafe, wantUnsafe int
		runsSafe, runsUnsafe int
		unsafeBody           string
	}{
		"serves":            {whole, 200, 200, 1, 1, "fine"},
		"fails":             {func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 500, "", "own") }, 200, 500, 2, 1, "own"},
		"refuses, not run":  {func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 503, "NotRun: 1\r\n", "") }, 200, 200, 2, 2, "fine"},
		"replaced":          {func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 421, "", "") }, 200, 200, 2, 2, "fine"},
		"503, may have run": {func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 503, "", "") }, 200, 502, 2, 1, ""},
		"resets":            {func(net.Conn, *fasthttp.Request, int) bool { return false }, 200, 502, 2, 1, ""},
		"cuts its answer": {func(c net.Conn, r *fasthttp.Request, _ int) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 10\r\n\r\nhalf", r.Header.Peek("Id"))
			return false
		}, 200, 502, 2, 1, ""},
		"unsigned": {func(c net.Conn, r *fasthttp.Request, _ int) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", r.Header.Peek("Id"))
			return err == nil
		}, 200, 502, 2, 1, ""},
		"encoded": {func(c net.Conn, r *fasthttp.Request, _ int) bool {
			return respond(c, r, 200, "Content-Encoding: gzip\r\n", "x")
		}, 200, 502, 2, 1, ""},
		"another's answer": {func(c net.Conn, _ *fasthttp.Request, _ int) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nId: other\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nx")
			return false
		}, 200, 502, 2, 1, ""},
		"no protocol": {func(c net.Conn, _ *fasthttp.Request, _ int) bool {
			_, _ = fmt.Fprint(c, "garbage\r\n\r\n")
			return false
		}, 200, 502, 2, 1, ""},
		"silent": {func(_ net.Conn, _ *fasthttp.Request, _ int) bool {
			time.Sleep(2 * time.Second)
			return false
		}, 504, 504, 1, 1, ""},
		"answers and adds another": {func(c net.Conn, r *fasthttp.Request, _ int) bool {
			return respond(c, r, 200, "", "fine") && respond(c, r, 200, "", "more")
		}, 200, 200, 1, 1, "fine"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{"/safe/x?q=1", "/unsafe/x?q=1"} {
				// Both upstreams share a counter, so that whichever gets the first request misbehaves.
				var mu sync.Mutex
				count := 0
				shared := func(c net.Conn, r *fasthttp.Request, _ int) bool {
					mu.Lock()
					count++
					n := count
					mu.Unlock()
					if n == 1 {
						return test.first(c, r, n)
					}
					return whole(c, r, n)
				}
				a, z := startUpstream(t, shared), startUpstream(t, shared)
				b := newTestRouter(t, []*upstream{a, z}, nil, nil)
				got := b.send(t, "POST", path, map[string]string{"Patience": "5s"})
				want, runs := test.wantSafe, test.runsSafe
				if strings.HasPrefix(path, "/unsafe") {
					want, runs = test.wantUnsafe, test.runsUnsafe
					if test.unsafeBody != "" && got.body != test.unsafeBody {
						t.Errorf("%s: got body %q, want %q", path, got.body, test.unsafeBody)
					}
				} else if want == 200 && got.body != "fine" {
					t.Errorf("%s: got body %q, want the complete response", path, got.body)
				}
				if got.status != want || got.truncated {
					t.Errorf("%s: got status %d, truncated %v, want %d", path, got.status, got.truncated, want)
				}
				if sent := len(a.requests()) + len(z.requests()); sent != runs {
					t.Errorf("%s: got %d sends, want %d", path, sent, runs)
				}
				for _, r := range append(a.requests(), z.requests()...) {
					if string(r.Header.RequestURI()) != path || string(r.Body()) != "body" || len(r.Header.Peek("Key")) > 0 || string(r.Header.Peek("Customer")) != "c" {
						t.Errorf("%s: got %q %q, key %q, customer %q", path, r.Header.RequestURI(), r.Body(), r.Header.Peek("Key"), r.Header.Peek("Customer"))
					}
				}
			}
		})
	}
}

// TestRefusals guards against forwarding requests that are not allowed, and against refusals with the wrong status or a
// missing or superfluous Retry-After.
func TestRefusals(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 200, "", "fine") })
	b := newTestRouter(t, []*upstream{u}, nil, nil)
	for name, test := range map[string]struct {
		path   string
		header map[string]string
		age    time.Duration
		want   int
	}{
		"allowed":                 {"/safe/x", nil, 0, 200},
		"open, no key":            {"/open/x", map[string]string{"Key": ""}, 0, 200},
		"open, stale view":        {"/open/x", map[string]string{"Key": ""}, time.Minute, 200},
		"no key":                  {"/safe/x", map[string]string{"Key": ""}, 0, 401},
		"unknown key":             {"/safe/x", map[string]string{"Key": "withdrawn"}, 0, 401},
		"key, stale view":         {"/safe/x", nil, time.Minute, 503},
		"unknown key, stale view": {"/safe/x", map[string]string{"Key": "new"}, time.Minute, 503},
		"no route":                {"/none/x", nil, 0, 404},
		"no route, stale view":    {"/none/x", nil, time.Minute, 503},
		"unknown key, late view":  {"/safe/x", map[string]string{"Key": "new"}, 700 * time.Millisecond, 503},
		"no key, late view":       {"/safe/x", map[string]string{"Key": ""}, 700 * time.Millisecond, 503},
		"no route, late view":     {"/none/x", nil, 700 * time.Millisecond, 503},
		"known key, late view":    {"/safe/x", nil, 700 * time.Millisecond, 200},
		"over the limit":          {"/safe/x", map[string]string{"Key": "overkey"}, 0, 429},
		"no engine":               {"/stream/x", map[string]string{"Tokens": "100"}, 0, 503},
	} {
		b.control.age = test.age
		before := len(u.requests())
		got := b.send(t, "POST", test.path, test.header)
		if got.status != test.want {
			t.Errorf("%s: got status %d, want %d", name, got.status, test.want)
		}
		if passed := len(u.requests()) > before; passed != (test.want == 200) {
			t.Errorf("%s: got forwarded %v", name, passed)
		}
		if hasTime := got.header.Get("Retry-After") != ""; (test.want == 429 || test.want == 503) != hasTime {
			t.Errorf("%s: got Retry-After %q", name, got.header.Get("Retry-After"))
		}
	}
	b.control.age = 0
	if b.limiter.charged != 20 {
		t.Errorf("got %d tokens charged, want 20 for the two requests that ran", b.limiter.charged)
	}
	b.server.Drain(time.Millisecond)
	if got := b.send(t, "POST", "/safe/x", nil); got.status != 503 {
		t.Errorf("just before the exit: got status %d, want 503", got.status)
	}
}

// TestTimeoutPassedUpstream guards against upstreams that keep working after the caller's timeout.
func TestTimeoutPassedUpstream(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 200, "", "fine") })
	b := newTestRouter(t, []*upstream{u}, nil, nil)
	for patience, most := range map[string]time.Duration{"200ms": 200 * time.Millisecond, "10s": 800 * time.Millisecond, "": 800 * time.Millisecond} {
		b.send(t, "POST", "/safe/x", map[string]string{"Patience": patience})
		list := u.requests()
		got, err := time.ParseDuration(string(list[len(list)-1].Header.Peek("Patience")))
		if err != nil || got > most || got < most/2 {
			t.Errorf("patience %q: got timeout %v at the upstream, error %v, want at most %v", patience, got, err, most)
		}
	}
}
