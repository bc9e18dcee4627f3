package web

import (
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
)

func wantEvents(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// TestStreamGoesOn guards against a resumable stream that loses, repeats or joins pieces when its engine breaks, and
// against one that may run only once and is started again.
func TestStreamGoesOn(t *testing.T) {
	var mu sync.Mutex
	count := 0
	script := func(c net.Conn, r *fasthttp.Request, _ int) bool {
		mu.Lock()
		count++
		n := count
		mu.Unlock()
		if n == 1 {
			return events(c, r, 1, 3, false)
		}
		// The engine goes on after the last event and repeats one of them.
		after, _ := strconv.Atoi(string(r.Header.Peek("After")))
		return events(c, r, max(1, after), 6, true)
	}
	a, z := startUpstream(t, script), startUpstream(t, script)
	b := newBed(t, nil, nil, []*upstream{a, z})
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.cut || got.body != wantEvents(6) {
		t.Errorf("resumable: got %d, cut %v, %q, want six events once each", got.status, got.cut, got.body)
	}
	count = 0
	sent := len(a.requests()) + len(z.requests())
	got = b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if !got.cut || !strings.HasPrefix(wantEvents(3), got.body) {
		t.Errorf("not resumable: got cut %v, %q, want a visible end after whole events", got.cut, got.body)
	}
	if n := len(a.requests()) + len(z.requests()) - sent; n != 1 {
		t.Errorf("not resumable: got %d sends, want 1", n)
	}
}

// TestPrefillFirst guards against prompts that are read twice, results that are passed to two engines, and results that
// stay in memory after nobody took them.
func TestPrefillFirst(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.Header.Method()) == "DELETE" {
			return answer(c, r, 200, "", "")
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	block := make(chan struct{})
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, n int) bool {
		switch n {
		case 1:
			<-block
			return events(c, r, 1, 2, true)
		case 3:
			return answer(c, r, 503, "NotRun: 1\r\n", "")
		}
		return events(c, r, 1, 2, true)
	})
	b := newBed(t, nil, []*upstream{prefill}, []*upstream{decode})
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
		t.Errorf("idle decode engine: got %d prefills, want the prompt read there", got)
	}
	got := b.send(t, "POST", "/once/second", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("got %d, %q, want the stream", got.status, got.body)
	}
	if source := string(decode.requests()[1].Header.Peek("Source")); source != prefill.address+"/h1" || len(prefill.requests()) != 1 {
		t.Errorf("busy decode engine: got source %q and %d prefills, want the result of one", source, len(prefill.requests()))
	}
	if got := b.send(t, "POST", "/once/third", map[string]string{"Tokens": "100"}); got.status != 200 {
		t.Errorf("after a refusal: got %d, want the stream", got.status)
	}
	close(block)
	if got := <-first; got.status != 200 {
		t.Errorf("first: got %d", got.status)
	}
	_ = group.Wait()
}

// TestReserveFirst guards against prompts that are read for an engine without room, against reserved room that is not used
// for its request, and against room that stays reserved for a request that goes elsewhere.
func TestReserveFirst(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	released := make(chan string, 1)
	engine := func(room, run int) *upstream {
		return startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
			switch path := string(r.RequestURI()); {
			case path == "/reserve":
				return answer(c, r, room, "", "room1")
			case string(r.Header.Method()) == "DELETE":
				released <- path
				return answer(c, r, 200, "", "")
			case run != 200:
				return answer(c, r, run, "NotRun: 1\r\n", "")
			}
			return events(c, r, 1, 2, true)
		})
	}
	full, refusing, sound := engine(503, 200), engine(200, 503), engine(200, 200)
	b := newBed(t, nil, []*upstream{prefill}, []*upstream{full, refusing, sound})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	// Other entries have streams on all engines, most of them on the last one, so that it is chosen last.
	b.router.Observe(7, []place.Load{
		{ID: "edecode0", Incarnation: 1, Work: 100, Requests: 1}, {ID: "edecode1", Incarnation: 1, Work: 1000, Requests: 1},
		{ID: "edecode2", Incarnation: 1, Work: 5000, Requests: 2},
	})
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Fatalf("got %d, %q, want the stream of the engine that has room", got.status, got.body)
	}
	if n := len(full.requests()); n != 1 {
		t.Errorf("got %d requests at the engine without room, want the question alone", n)
	}
	if n := len(prefill.requests()); n != 1 {
		t.Errorf("got %d prefills, want one", n)
	}
	run := sound.requests()
	if len(run) != 2 || string(run[1].Header.Peek("Reservation")) != "room1" || string(run[1].Header.Peek("Source")) != prefill.address+"/h1" {
		t.Errorf("got %d requests at the last engine, want the question, then the request with its room and the prefill's result", len(run))
	}
	select {
	case path := <-released:
		if path != "/reserve/room1" {
			t.Errorf("got %q released, want the room at the engine that refused", path)
		}
	case <-time.After(time.Second):
		t.Error("the room at the engine that refused was not given back")
	}
}

// TestResumeFetchesPrompt guards against prompts that are read anew, between the tokens of other answers, when a stream goes
// on at another engine.
func TestResumeFetchesPrompt(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	breaking := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return events(c, r, 1, 2, false) })
	sound := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return events(c, r, 3, 4, true) })
	b := newBed(t, nil, []*upstream{prefill}, []*upstream{breaking, sound})
	b.router.Observe(7, []place.Load{{ID: "edecode0", Incarnation: 1, Work: 100, Requests: 1}, {ID: "edecode1", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(4) {
		t.Fatalf("got %d, %q, want the whole stream", got.status, got.body)
	}
	second := sound.requests()[0]
	if fetch := string(second.Header.Peek("Fetch")); fetch != prefill.address || len(prefill.requests()) != 1 {
		t.Errorf("got %q to fetch from and %d prefills, want the one engine that read the prompt", fetch, len(prefill.requests()))
	}
}

// TestResumeWaitsForRoom guards against streams that are cut midway because no engine has room at the moment at which their
// own one fails.
func TestResumeWaitsForRoom(t *testing.T) {
	breaking := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) == "/reserve" {
			return answer(c, r, 200, "", "room")
		}
		return events(c, r, 1, 2, false)
	})
	asked := make(chan struct{}, 100)
	full := time.Now().Add(350 * time.Millisecond)
	busy := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) != "/reserve" {
			return events(c, r, 3, 4, true)
		}
		asked <- struct{}{}
		if time.Now().Before(full) {
			return answer(c, r, 503, "", "")
		}
		return answer(c, r, 200, "", "room")
	})
	b := newBed(t, nil, nil, []*upstream{breaking, busy})
	b.control.view.Document.Services["e"].Engine.Reservation = time.Second
	b.router.Observe(7, []place.Load{{ID: "edecode1", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(4) {
		t.Errorf("got %d, %q after %d tries for room, want the whole stream", got.status, got.body, len(asked))
	}
}

// TestUnreachableDecodeEngine guards against prompts that are read for an engine that cannot be reached, or that burden
// the streams of the next one although a prefill engine is there.
func TestUnreachableDecodeEngine(t *testing.T) {
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return events(c, r, 1, 2, true) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := &upstream{address: ln.Addr().String()}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	// Other entries have streams on both decode engines, more of them on the one that is there.
	b := newBed(t, nil, []*upstream{prefill}, []*upstream{gone, decode})
	b.router.Observe(7, []place.Load{{ID: "edecode0", Incarnation: 1, Work: 100, Requests: 1}, {ID: "edecode1", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("got %d, %q, want the stream of the engine that is there", got.status, got.body)
	}
	if n := len(prefill.requests()); n != 1 || string(decode.requests()[0].Header.Peek("Source")) == "" {
		t.Errorf("got %d prefills, want one, whose result the decode engine gets", n)
	}
}

// TestQueuedPrefill guards against prompts that are read twice because a prefill engine has others to read first.
func TestQueuedPrefill(t *testing.T) {
	const line = 400 * time.Millisecond
	prefill := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		time.Sleep(line)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nh1", r.Header.Peek("Id"))
		return err == nil
	})
	decode := startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool { return events(c, r, 1, 2, true) })
	b := newBed(t, nil, []*upstream{prefill}, []*upstream{decode})
	b.router.Observe(7, []place.Load{{ID: "edecode0", Incarnation: 1, Work: 5000, Requests: 2}})
	got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
	if got.status != 200 || got.body != wantEvents(2) {
		t.Errorf("got %d, %q, want the stream", got.status, got.body)
	}
	if source := string(decode.requests()[0].Header.Peek("Source")); source != prefill.address+"/h1" {
		t.Errorf("got source %q, want the result of the prefill that waited in line", source)
	}
}
