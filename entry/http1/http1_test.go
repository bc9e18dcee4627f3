package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

type handlerFunc func(x *Exchange)

func (f handlerFunc) Serve(x *Exchange) { f(x) }

// startServer starts a server and returns it with its address.
func startServer(t *testing.T, bounds Bounds, h handlerFunc) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: h, Bounds: func() Bounds { return bounds }})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ln) })
	t.Cleanup(func() {
		s.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s, ln.Addr().String()
}

func echo(x *Exchange) {
	h := &fasthttp.ResponseHeader{}
	h.SetStatusCode(200)
	_ = x.WriteResponse(h, fmt.Appendf(nil, "%s %s %s", x.Request.Header.Method(), x.Request.Header.RequestURI(), x.Request.Body()))
}

// sendRaw sends raw bytes and returns the response statuses received until the connection closes or is idle for 400 ms.
func sendRaw(t *testing.T, address, raw string) (statuses []int, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(400 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			var timeout net.Error
			return statuses, !errors.As(err, &timeout)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, response.StatusCode)
	}
}

// TestAmbiguousRequests guards against request smuggling: a second request hidden behind a body length that two HTTP
// implementations parse differently.
func TestAmbiguousRequests(t *testing.T) {
	var served atomic.Int64
	_, address := startServer(t, Bounds{HeaderBytes: 4096, BodyBytes: 1000}, func(x *Exchange) {
		served.Add(1)
		echo(x)
	})
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, test := range map[string]struct {
		raw  string
		want []int
	}{
		"plain":                  {"GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n", []int{200}},
		"two in a row":           {"GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy", []int{200, 200}},
		"chunked":                {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n", []int{200}},
		"length and chunked":     {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, []int{400}},
		"two lengths":            {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 34\r\n\r\n" + hidden, []int{400}},
		"signed length":          {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n" + hidden, []int{400}},
		"unknown encoding":       {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden, []int{400}},
		"two encodings":          {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" + hidden, []int{400}},
		"space before the colon": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 34\r\n\r\n" + hidden, []int{400}},
		"continued line":         {"POST /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", []int{400}},
		"no host":                {"GET /a HTTP/1.1\r\nX: a\r\n\r\n", []int{400}},
		"two hosts":              {"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", []int{400}},
		"bad chunk":              {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxy\r\n0\r\n\r\n", []int{400}},
		"large header":           {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 20_000) + "\r\n\r\n", []int{431}},
		"large body":             {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("a", 2000), []int{413}},
	} {
		served.Store(0)
		got, closed := sendRaw(t, address, test.raw)
		if fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: got statuses %v, want %v", name, got, test.want)
		}
		if refused := test.want[0] != 200; refused && (!closed || served.Load() > 0) {
			t.Errorf("%s: got closed %v and %d requests served, want a closed connection and no request served", name, closed, served.Load())
		}
	}
}

// TestTruncatedResponse guards against a response that ends early but looks complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	_, address := startServer(t, Bounds{}, func(x *Exchange) {
		h := &fasthttp.ResponseHeader{}
		h.SetStatusCode(200)
		if err := x.WriteHeader(h); err != nil {
			return
		}
		_ = x.WriteChunk([]byte("id: 1\n\n"))
		if string(x.Request.Header.RequestURI()) == "/whole" {
			_ = x.Finish()
		}
	})
	for path, wantComplete := range map[string]bool{"/whole": true, "/cut": false} {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if closeErr := response.Body.Close(); closeErr != nil {
			t.Fatal(closeErr)
		}
		if string(body) != "id: 1\n\n" || (err == nil) != wantComplete {
			t.Errorf("%s: got body %q, error %v, want the chunk and complete %v", path, body, err, wantComplete)
		}
	}
}

// TestCallerDisconnects guards against requests that keep running after their caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	_, address := startServer(t, Bounds{}, func(x *Exchange) {
		select {
		case <-x.Context.Done():
			ended <- x.Context.Err()
		case <-time.After(5 * time.Second):
			ended <- nil
		}
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("request context was not cancelled after the caller disconnected")
	}
}

// TestAbandonedRequest guards against requests that are passed on although their caller has left before they were read, as after a
// freeze of this process.
func TestAbandonedRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 20
	for range requests {
		c := dial(t, ln.Addr().String())
		writeText(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	var read, live atomic.Int64
	s := New(Config{Bounds: func() Bounds { return Bounds{} }, Handler: handlerFunc(func(x *Exchange) {
		if read.Add(1); x.Context.Err() == nil {
			live.Add(1)
		}
	})})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ln) })
	for end := time.Now().Add(5 * time.Second); read.Load() < requests && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.Close()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if got := live.Load(); got != 0 || read.Load() != requests {
		t.Errorf("got %d of %d requests served as if their callers were there, want none of %d", got, read.Load(), requests)
	}
}

// TestDrain guards against a drain that aborts running requests, or that leaves connections open to a process that is
// about to exit.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	s, address := startServer(t, Bounds{}, func(x *Exchange) {
		<-release
		echo(x)
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for s.ActiveRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Drain(time.Minute)
	if untilExit, draining := s.timeUntilExit(); !draining || untilExit < 50*time.Second {
		t.Errorf("got %v until exit, draining %v, want about a minute and true", untilExit, draining)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != 200 || !response.Close {
		t.Errorf("got status %d, close %v, want 200 with Connection: close", response.StatusCode, response.Close)
	}
}

// TestRetryAfterFraction guards against a Retry-After that is rounded to 0 or to whole seconds.
func TestRetryAfterFraction(t *testing.T) {
	_, address := startServer(t, Bounds{}, func(x *Exchange) { x.Refuse(503, "busy", 1234500*time.Microsecond) })
	response, err := http.Get("http://" + address + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := response.Header.Get("Retry-After"); got != "1.235" {
		t.Errorf("got Retry-After %q, want 1.235", got)
	}
}

// TestStripHopByHop guards against hop-by-hop fields that are forwarded to the next connection.
func TestStripHopByHop(t *testing.T) {
	var h fasthttp.RequestHeader
	for name, value := range map[string]string{
		"Connection": "keep-alive, X-Local", "X-Local": "1", "Keep-Alive": "timeout=5", "Te": "trailers", "Upgrade": "h2c", "X-Kept": "1",
	} {
		h.Set(name, value)
	}
	StripHopByHop(&h)
	for _, name := range []string{"X-Local", "Keep-Alive", "Te", "Upgrade"} {
		if len(h.Peek(name)) > 0 {
			t.Errorf("hop-by-hop field %s was not removed", name)
		}
	}
	if string(h.Peek("X-Kept")) != "1" {
		t.Error("end-to-end field X-Kept was removed")
	}
}

// TestCloseBeforeServe guards against a server that accepts connections after it was closed.
func TestCloseBeforeServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: handlerFunc(echo), Bounds: func() Bounds { return Bounds{} }})
	s.Close()
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ended <- s.Serve(ln)
		return nil
	})
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("Serve did not return")
		_ = ln.Close()
	}
	_ = group.Wait()
}
