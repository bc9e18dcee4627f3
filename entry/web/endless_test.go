package web

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
)

const eventStreamHeader = "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n"

// withTimeout sets the timeout of all routes, so that a caller that is served only at its deadline is noticed.
func withTimeout(b *testRouter, timeout time.Duration) *testRouter {
	for _, r := range b.control.view.Document.Routes {
		r.Timeout = timeout
	}
	return b
}

// TestStalledStreamResumes guards against a stream that lasts until its deadline because its engine sends single bytes
// at intervals, but no event.
func TestStalledStreamResumes(t *testing.T) {
	for name, drip := range map[string]string{"comments": ":\n", "part of an event": "d"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stalled := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
				if _, err := fmt.Fprintf(c, eventStreamHeader+wantEvents(2), r.Header.Peek("Id")); err != nil {
					return false
				}
				for {
					if _, err := fmt.Fprint(c, drip); err != nil {
						return false
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
			healthy := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 3, 4, true) })
			b := withTimeout(newTestRouter(t, nil, nil, []*upstream{stalled, healthy}), 10*time.Second)
			b.addLoad("edecode1", 5000)
			start := time.Now()
			got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
			if got.status != 200 || got.truncated || got.body != wantEvents(4) {
				t.Errorf("got %d, truncated %v, %q, want the whole stream", got.status, got.truncated, got.body)
			}
			if took := time.Since(start); took > 3*streamStallTimeout {
				t.Errorf("got the stream after %v, want another engine after %v", took, streamStallTimeout)
			}
		})
	}
}

// TestSlowStreamIsKept guards against sound streams that are cut, or run again elsewhere, because their events come slowly.
func TestSlowStreamIsKept(t *testing.T) {
	slow := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if _, err := fmt.Fprintf(c, eventStreamHeader, r.Header.Peek("Id")); err != nil {
			return false
		}
		for i := 1; i <= 4; i++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: %d\n\n", i, i); err != nil {
				return false
			}
			time.Sleep(2 * streamStallTimeout / 3)
		}
		return false
	})
	other := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 1, 4, true) })
	b := withTimeout(newTestRouter(t, nil, nil, []*upstream{slow, other}), 10*time.Second)
	b.addLoad("edecode1", 5000)
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.truncated || got.body != wantEvents(4) || len(other.requests()) != 0 {
		t.Errorf("got %d, truncated %v, %q and %d requests elsewhere, want the whole stream of one engine", got.status, got.truncated, got.body, len(other.requests()))
	}
}

// TestEndlessResponses guards against upstreams that send bytes that are no response without end: the entry must close the
// connection after a bounded number of bytes and time, and another upstream must serve the caller.
func TestEndlessResponses(t *testing.T) {
	const most = 40 << 20
	for name, test := range map[string]struct{ path, head, fill string }{
		"header":                          {"/safe/x", "HTTP/1.1 200 X\r\nId: %s\r\n", "X-Filler: 0123456789\r\n"},
		"one line of the header":          {"/safe/x", "HTTP/1.1 200 X\r\nId: %s\r\nX-Filler: ", "0123456789"},
		"interim responses":               {"/safe/x", "%.0s", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no response at all":              {"/safe/x", "%.0s", "0123456789"},
		"body without a length":           {"/safe/x", "HTTP/1.1 200 X\r\nSigned: 1\r\nId: %s\r\n\r\n", "0123456789"},
		"chunk extension":                 {"/safe/x", "HTTP/1.1 200 X\r\nSigned: 1\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5;", "0123456789"},
		"responses to other requests":     {"/safe/x", "%.0s", "HTTP/1.1 200 X\r\nId: z\r\nContent-Length: 1\r\n\r\nx"},
		"stream, header":                  {"/stream/x", "HTTP/1.1 200 X\r\nId: %s\r\n", "X-Filler: 0123456789\r\n"},
		"stream, one line":                {"/stream/x", eventStreamHeader, "0123456789"},
		"stream, lines without an event":  {"/stream/x", eventStreamHeader, "data: 1\n"},
		"stream, comments":                {"/stream/x", eventStreamHeader, ":\n\n"},
		"stream, events sent again":       {"/stream/x", eventStreamHeader, "id: 1\ndata: 1\n\n"},
		"stream, body of another request": {"/stream/x", "HTTP/1.1 200 X\r\nId: z%.0s\r\n\r\n", "0123456789"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			closed := make(chan struct{})
			endless := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
				defer close(closed)
				if _, err := fmt.Fprintf(c, test.head, r.Header.Peek("Id")); err != nil {
					return false
				}
				fill := []byte(strings.Repeat(test.fill, 100))
				for {
					n, err := c.Write(fill)
					if sent.Add(int64(n)); err != nil {
						return false
					}
				}
			})
			serve := func(c net.Conn, r *fasthttp.Request, _ int) bool {
				if strings.HasPrefix(test.path, "/safe/") {
					return respond(c, r, 200, "", "whole")
				}
				return writeEvents(c, r, 1, 2, true)
			}
			healthy := startUpstream(t, serve)
			want := wantEvents(2)
			var b *testRouter
			if strings.HasPrefix(test.path, "/safe/") {
				want = "whole"
				b = newTestRouter(t, []*upstream{endless, healthy}, nil, nil)
				b.addLoad("s1", 5)
			} else {
				b = newTestRouter(t, nil, nil, []*upstream{endless, healthy})
				b.addLoad("edecode1", 5000)
			}
			withTimeout(b, 10*time.Second)
			start := time.Now()
			got := b.send(t, "POST", test.path, map[string]string{"Tokens": "100"})
			// Comments may reach the caller.
			if got.status != 200 || got.truncated || strings.ReplaceAll(got.body, ":\n\n", "") != want {
				t.Errorf("got %d, truncated %v, %.40q, want %q of the other upstream", got.status, got.truncated, got.body, want)
			}
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("got a response after %v, want it well before the deadline", took)
			}
			select {
			case <-closed:
			case <-time.After(3 * time.Second):
				t.Error("the connection was not closed")
			}
			if n := sent.Load(); n > most {
				t.Errorf("got %d bytes read from the upstream, want at most %d", n, most)
			}
		})
	}
}

// engineSendBuffer is the size in bytes of the send buffer of an engine that sends without end. By default it grows to some megabytes.
const engineSendBuffer = 64 << 10

// TestEndlessResponseToRelease guards against an entry that ends, or keeps all bytes, when an engine responds without end to a call
// that releases a reservation.
func TestEndlessResponseToRelease(t *testing.T) {
	var sent atomic.Int64
	closed := make(chan struct{}, 100)
	u := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		switch string(r.Header.Method()) + " " + string(r.RequestURI()) {
		case "POST /reserve":
			return respond(c, r, 200, "", "room1")
		case "DELETE /reserve/room1":
			defer func() { closed <- struct{}{} }()
			// What the engine's own kernel holds has not been taken from it.
			if err := c.(*net.TCPConn).SetWriteBuffer(engineSendBuffer); err != nil {
				t.Error(err)
			}
			if _, err := fmt.Fprint(c, "HTTP/1.1 200 X\r\nContent-Length: 999999999999999999\r\n\r\n"); err != nil {
				return false
			}
			fill := make([]byte, 4096)
			for {
				n, err := c.Write(fill)
				if sent.Add(int64(n)); err != nil {
					return false
				}
			}
		}
		return respond(c, r, 503, "NotRun: 1\r\n", "")
	})
	b := newTestRouter(t, nil, nil, []*upstream{u})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	if got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"}); got.status != 503 {
		t.Errorf("got status %d, want the refusal of the only engine", got.status)
	}
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Error("the connection was not closed")
	}
	if got, most := sent.Load(), int64(8<<20); got > most {
		t.Errorf("got %d bytes taken from the engine, want at most %d", got, most)
	}
}

// TestDrippedReservation guards against a caller that waits for its deadline because an engine sends its response to a reservation
// call byte by byte.
func TestDrippedReservation(t *testing.T) {
	drips := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) != "/reserve" {
			return writeEvents(c, r, 1, 2, true)
		}
		if _, err := fmt.Fprint(c, "HTTP/1.1 200 X\r\nContent-Length: 1000\r\n\r\n"); err != nil {
			return false
		}
		for {
			if _, err := fmt.Fprint(c, "r"); err != nil {
				return false
			}
			time.Sleep(reserveTimeout / 3)
		}
	})
	healthy := reservingEngine(t, 200)
	b := withTimeout(newTestRouter(t, nil, nil, []*upstream{drips, healthy}), 10*time.Second)
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	b.addLoad("edecode1", 5000)
	start := time.Now()
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.truncated || got.body != wantEvents(2) {
		t.Errorf("got %d, truncated %v, %q, want the stream of the other engine", got.status, got.truncated, got.body)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("got the stream after %v, want it soon after the call has taken too long", took)
	}
}

// addLoad makes an upstream the last choice, as if other entries used it.
func (b *testRouter) addLoad(id string, work int) { b.addLoadOf(7, id, work) }

// addLoadOf does so for the entry with the given session.
func (b *testRouter) addLoadOf(session uint64, id string, work int) {
	b.router.Observe(session, []place.Load{{ID: id, Incarnation: 1, Work: work, Requests: 2}})
}
