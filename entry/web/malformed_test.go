package web

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// malformedField is a line of a header that no response may have.
const malformedField = "X Note: 1\r\n"

// TestMalformedReservation guards against a reservation that counts although the head of its response is malformed.
func TestMalformedReservation(t *testing.T) {
	engine := func(field string) *upstream {
		return startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
			if string(r.RequestURI()) == "/reserve" {
				return respond(c, r, 200, field, "room")
			}
			return writeEvents(c, r, 1, 2, true)
		})
	}
	malformed, sound := engine(malformedField), engine("")
	b := newTestRouter(t, nil, nil, []*upstream{malformed, sound})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	b.addLoad("edecode1", 5000)
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.truncated || got.body != wantEvents(2) {
		t.Errorf("got %d, truncated %v, %q, want the stream of the other engine", got.status, got.truncated, got.body)
	}
	if n := len(malformed.requests()); n != 1 {
		t.Errorf("got %d calls at the engine with the malformed response, want the reservation only", n)
	}
}

// TestMalformedPrefill guards against the result of a prefill that is used although the head of its response is malformed.
func TestMalformedPrefill(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return respond(c, r, 200, malformedField, "h1") })
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 1, 2, true) })
	b := withTimeout(newTestRouter(t, nil, []*upstream{prefill}, []*upstream{decode}), 10*time.Second)
	b.addLoad("edecode0", 5000)
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.truncated || got.body != wantEvents(2) {
		t.Errorf("got %d, truncated %v, %q, want the stream", got.status, got.truncated, got.body)
	}
	if n := len(prefill.requests()); n == 0 {
		t.Error("got no prefill, want one")
	}
	for _, r := range decode.requests() {
		if source := string(r.Header.Peek("Source")); source != "" {
			t.Errorf("got source %q, want none", source)
		}
	}
}

// TestMalformedNotice guards against an upstream that gets no requests any more because of a response whose head is malformed.
func TestMalformedNotice(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, r *fasthttp.Request, n int) bool {
		if n == 1 {
			return respond(c, r, 200, "Leaving: 1\r\n"+malformedField, "fine")
		}
		return respond(c, r, 200, "", "fine")
	})
	b := newTestRouter(t, []*upstream{u}, nil, nil)
	for i, want := range []int{502, 200} {
		if got := b.send(t, "POST", "/unsafe/x", map[string]string{"Id": fmt.Sprint("n", i)}); got.status != want {
			t.Errorf("request %d: got status %d, want %d", i, got.status, want)
		}
	}
}
