package web

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestHedgedRequest guards against a copy of a request that may run once only, against a response that reaches another caller
// or is mixed from both upstreams, and against a request that fails with its first upstream although a copy is running.
func TestHedgedRequest(t *testing.T) {
	const delay = 20 * time.Millisecond
	slow := func(c net.Conn, r *fasthttp.Request) bool {
		time.Sleep(5 * delay)
		return respond(c, r, 200, "", "first")
	}
	for name, test := range map[string]struct {
		path    string
		percent float64
		// first serves the attempt of a request that arrives first, second the other one.
		first, second func(c net.Conn, r *fasthttp.Request) bool
		// want is the body, empty if either will do.
		want   string
		copies bool
	}{
		"first upstream slow":           {"/safe/x", 50, slow, nil, "second", true},
		"no limit set":                  {"/safe/x", 0, slow, nil, "first", false},
		"may run once only":             {"/unsafe/x", 50, slow, nil, "first", false},
		"route allows one attempt":      {"/open/x", 50, slow, nil, "first", false},
		"both at the same moment":       {"/safe/x", 50, func(c net.Conn, r *fasthttp.Request) bool { time.Sleep(delay); return respond(c, r, 200, "", "first") }, nil, "", true},
		"first fails, copy running":     {"/safe/x", 50, func(net.Conn, *fasthttp.Request) bool { time.Sleep(2 * delay); return false }, slowly(4*delay, "second"), "second", true},
		"copy malformed, first running": {"/safe/x", 50, slow, func(c net.Conn, r *fasthttp.Request) bool { return respond(c, r, 200, malformedField, "second") }, "first", true},
		"copy fails, first running":     {"/safe/x", 50, slow, func(net.Conn, *fasthttp.Request) bool { return false }, "first", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.second == nil {
				test.second = slowly(0, "second")
			}
			var mu sync.Mutex
			arrivals := map[string]int{}
			serve := func(c net.Conn, r *fasthttp.Request, _ int) bool {
				mu.Lock()
				id := string(r.Header.Peek("Id"))
				arrivals[id]++
				n := arrivals[id]
				mu.Unlock()
				if n == 1 {
					return test.first(c, r)
				}
				return test.second(c, r)
			}
			b := withTimeout(newTestRouter(t, []*upstream{startUpstream(t, serve), startUpstream(t, serve)}, nil, nil), 10*time.Second)
			b.router.config.HedgePercent = test.percent
			b.router.mu.Lock()
			p := b.router.hedgePolicy("s")
			for range 64 {
				p.CountRequest(time.Now())
				p.RecordTime(delay)
			}
			b.router.mu.Unlock()
			const requests = 8
			for i := range requests {
				got := b.send(t, "POST", test.path, map[string]string{"Id": fmt.Sprint("h", i)})
				if got.status != 200 || got.truncated || got.body != test.want && (test.want != "" || got.body != "first" && got.body != "second") {
					t.Errorf("request %d: got %d, truncated %v, %q, want %q", i, got.status, got.truncated, got.body, test.want)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			total := 0
			for id, n := range arrivals {
				if total += n; n > 2 {
					t.Errorf("got request %s at upstreams %d times, want at most twice", id, n)
				}
			}
			if copied := total > requests; copied != test.copies && test.want != "" {
				t.Errorf("got %d attempts of %d requests, want copies: %v", total, requests, test.copies)
			}
		})
	}
}

// slowly responds with the text after a pause.
func slowly(pause time.Duration, text string) func(c net.Conn, r *fasthttp.Request) bool {
	return func(c net.Conn, r *fasthttp.Request) bool {
		time.Sleep(pause)
		return respond(c, r, 200, "", text)
	}
}
