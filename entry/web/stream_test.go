package web

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/entry/place"
	"azuredoor.example/entry/usage"
)

func wantEvents(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// TestStreamResumes guards against lost, repeated or merged events when the engine of a resumable stream fails, and
// against a retry of a stream that may run only once.
func TestStreamResumes(t *testing.T) {
	var mu sync.Mutex
	count := 0
	script := func(c net.Conn, r *fasthttp.Request, _ int) bool {
		mu.Lock()
		count++
		n := count
		mu.Unlock()
		if n == 1 {
			return writeEvents(c, r, 1, 3, false)
		}
		// The engine resumes at the last event and repeats it.
		after, _ := strconv.Atoi(string(r.Header.Peek("After")))
		return writeEvents(c, r, max(1, after), 6, true)
	}
	a, z := startUpstream(t, script), startUpstream(t, script)
	b := newTestRouter(t, nil, nil, []*upstream{a, z})
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.truncated || got.body != wantEvents(6) {
		t.Errorf("resumable: got %d, truncated %v, %q, want six events once each", got.status, got.truncated, got.body)
	}
	count = 0
	sent := len(a.requests()) + len(z.requests())
	got = b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if !got.truncated || !strings.HasPrefix(wantEvents(3), got.body) {
		t.Errorf("not resumable: got truncated %v, %q, want a truncated stream of complete events", got.truncated, got.body)
	}
	if n := len(a.requests()) + len(z.requests()) - sent; n != 1 {
		t.Errorf("not resumable: got %d sends, want 1", n)
	}
}

// TestPrefillFirst guards against prompts that are processed twice, prefill results that are passed to two engines, and
// unused results that are never freed.
func TestPrefillFirst(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.Header.Method()) == "DELETE" {
			return respond(c, r, 200, "", "")
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	block := make(chan struct{})
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, n int) bool {
		switch n {
		case 1:
			<-block
			return writeEvents(c, r, 1, 2, true)
		case 3:
			return respond(c, r, 503, "NotRun: 1\r\n", "")
		}
		return writeEvents(c, r, 1, 2, true)
	})
	b := newTestRouter(t, nil, []*upstream{prefill}, []*upstream{decode})
	// The first request waits at its engine until the others are done.
	for _, route := range b.control.view.Document.Routes {
		route.Timeout = time.Minute
	}
	first := make(chan result, 1)
	var group errgroup.Group
	group.Go(func() error {
		first <- b.send(t, "POST", "/once/first", map[string]string{"Tokens": "100"})
		return nil
	})
	for len(decode.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := len(prefill.requests()); got != 0 {
		t.Errorf("idle decode engine: got %d prefills, want none, as the decode engine processes the prompt", got)
	}
	got := b.send(t, "POST", "/once/second", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("got %d, %q, want the stream", got.status, got.body)
	}
	if source := string(decode.requests()[1].Header.Peek("Source")); source != prefill.address+"/h1" || len(prefill.requests()) != 1 {
		t.Errorf("busy decode engine: got source %q and %d prefills, want the result of one prefill", source, len(prefill.requests()))
	}
	if got := b.send(t, "POST", "/once/third", map[string]string{"Tokens": "100"}); got.status != 200 {
		t.Errorf("after a refusal: got %d, want the stream", got.status)
	}
	close(block)
	if got := <-first; got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("first: got %d, %q, want the stream", got.status, got.body)
	}
	_ = group.Wait()
	if got := len(decode.requests()); got != 4 {
		t.Errorf("got %d requests at the decode engine, want 4: one each and one after the refusal", got)
	}
}

// TestReserveBeforePrefill guards against prompts that are processed for an engine without free memory, against
// reservations that their request does not use, and against reservations that are kept after the request went elsewhere.
func TestReserveBeforePrefill(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	released := make(chan string, 1)
	engine := func(reserveStatus, runStatus int) *upstream {
		return startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
			switch path := string(r.RequestURI()); {
			case path == "/reserve":
				return respond(c, r, reserveStatus, "", "room1")
			case string(r.Header.Method()) == "DELETE":
				released <- path
				return respond(c, r, 200, "", "")
			case runStatus != 200:
				return respond(c, r, runStatus, "NotRun: 1\r\n", "")
			}
			return writeEvents(c, r, 1, 2, true)
		})
	}
	full, refusing, healthy := engine(503, 200), engine(200, 503), engine(200, 200)
	b := newTestRouter(t, nil, []*upstream{prefill}, []*upstream{full, refusing, healthy})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	// Other entries have streams on all engines. The last engine has the most, so it is chosen last.
	b.router.Observe(7, []place.Load{
		{ID: "edecode0", Incarnation: 1, Work: 100, Requests: 1}, {ID: "edecode1", Incarnation: 1, Work: 1000, Requests: 1},
		{ID: "edecode2", Incarnation: 1, Work: 5000, Requests: 2},
	})
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Fatalf("got %d, %q, want the stream of the engine with free memory", got.status, got.body)
	}
	if n := len(full.requests()); n != 1 {
		t.Errorf("got %d requests at the engine without free memory, want the reservation call only", n)
	}
	if n := len(prefill.requests()); n != 1 {
		t.Errorf("got %d prefills, want one", n)
	}
	received := healthy.requests()
	if len(received) != 2 || string(received[1].Header.Peek("Reservation")) != "room1" || string(received[1].Header.Peek("Source")) != prefill.address+"/h1" {
		t.Errorf("got %d requests at the last engine, want the reservation call, then the request with the reservation and the prefill's result", len(received))
	}
	select {
	case path := <-released:
		if path != "/reserve/room1" {
			t.Errorf("got %q released, want the reservation at the engine that refused", path)
		}
	case <-time.After(time.Second):
		t.Error("reservation at the engine that refused was not released")
	}
}

// TestResumeFetchesPrompt guards against processing the prompt again when a stream resumes on another engine, which would
// delay the tokens of other generations there.
func TestResumeFetchesPrompt(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	breaking := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 1, 2, false) })
	healthy := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 3, 4, true) })
	b := newTestRouter(t, nil, []*upstream{prefill}, []*upstream{breaking, healthy})
	b.router.Observe(7, []place.Load{{ID: "edecode0", Incarnation: 1, Work: 100, Requests: 1}, {ID: "edecode1", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(4) {
		t.Fatalf("got %d, %q, want the whole stream", got.status, got.body)
	}
	second := healthy.requests()[0]
	if fetch := string(second.Header.Peek("Fetch")); fetch != prefill.address || len(prefill.requests()) != 1 {
		t.Errorf("got %q to fetch from and %d prefills, want the engine that processed the prompt and one prefill", fetch, len(prefill.requests()))
	}
}

// TestResumeWaitsForMemory guards against streams that are truncated because no other engine has free memory at the
// moment their engine fails.
func TestResumeWaitsForMemory(t *testing.T) {
	breaking := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) == "/reserve" {
			return respond(c, r, 200, "", "room")
		}
		return writeEvents(c, r, 1, 2, false)
	})
	reserveCalls := make(chan struct{}, 100)
	fullUntil := time.Now().Add(350 * time.Millisecond)
	busyEngine := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) != "/reserve" {
			return writeEvents(c, r, 3, 4, true)
		}
		reserveCalls <- struct{}{}
		if time.Now().Before(fullUntil) {
			return respond(c, r, 503, "", "")
		}
		return respond(c, r, 200, "", "room")
	})
	b := newTestRouter(t, nil, nil, []*upstream{breaking, busyEngine})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	b.router.Observe(7, []place.Load{{ID: "edecode1", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(4) {
		t.Errorf("got %d, %q after %d reservation calls, want the whole stream", got.status, got.body, len(reserveCalls))
	}
}

// TestTakenUpStreamWaitsForMemory guards against streams that callers take up again and lose, because they wait no longer than new ones
// or behind them.
func TestTakenUpStreamWaitsForMemory(t *testing.T) {
	var fullUntil time.Time
	engine := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) != "/reserve" {
			return writeEvents(c, r, 3, 4, true)
		}
		if time.Now().Before(fullUntil) {
			return respond(c, r, 503, "", "")
		}
		return respond(c, r, 200, "", "room")
	})
	b := newTestRouter(t, nil, nil, []*upstream{engine})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	placer := &waitingPlacer{}
	b.router.config.Placer = placer
	b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100", "Patience": "5s"})
	b.router.config.Placer = nil
	for name, patience := range map[string]string{"soon": "5s", "late": "600ms"} {
		fullUntil = time.Now().Add(300 * time.Millisecond)
		got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100", "After": "2", "Patience": patience})
		if got.status != 200 || got.truncated {
			t.Errorf("taken up %s: got %d, truncated %v, want the rest of the stream", name, got.status, got.truncated)
		}
	}
	b.router.config.Placer = placer
	b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100", "After": "2", "Patience": "600ms"})
	if got := placer.last; got.Late {
		t.Error("taken up late: got a place behind the others, want none")
	}
}

// waitingPlacer places nothing and keeps the last need.
type waitingPlacer struct{ last usage.PlaceNeed }

func (p *waitingPlacer) Place(_ context.Context, need usage.PlaceNeed) (usage.PlaceResult, error) {
	p.last = need
	return usage.PlaceResult{}, usage.ErrNoCoordinator
}

func (p *waitingPlacer) Changed() {}

// TestUnreachableDecodeEngine guards against prefills for an unreachable decode engine, and against processing the prompt
// on the next decode engine, which slows its streams, although a prefill engine is available.
func TestUnreachableDecodeEngine(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 1, 2, true) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := &upstream{address: ln.Addr().String()}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	// Other entries have streams on both decode engines, more of them on the reachable engine.
	b := newTestRouter(t, nil, []*upstream{prefill}, []*upstream{unreachable, decode})
	b.router.Observe(7, []place.Load{{ID: "edecode0", Incarnation: 1, Work: 100, Requests: 1}, {ID: "edecode1", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("got %d, %q, want the stream of the reachable engine", got.status, got.body)
	}
	if n := len(prefill.requests()); n != 1 || string(decode.requests()[0].Header.Peek("Source")) == "" {
		t.Errorf("got %d prefills, want one whose result is passed to the decode engine", n)
	}
}

// TestQueuedPrefill guards against prompts that are processed twice because the prefill engine has others queued.
func TestQueuedPrefill(t *testing.T) {
	const queueDelay = 400 * time.Millisecond
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		time.Sleep(queueDelay)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return writeEvents(c, r, 1, 2, true) })
	b := newTestRouter(t, nil, []*upstream{prefill}, []*upstream{decode})
	b.router.Observe(7, []place.Load{{ID: "edecode0", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("got %d, %q, want the stream", got.status, got.body)
	}
	if source := string(decode.requests()[0].Header.Peek("Source")); source != prefill.address+"/h1" {
		t.Errorf("got source %q, want the result of the queued prefill", source)
	}
}
