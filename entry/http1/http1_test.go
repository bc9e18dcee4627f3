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

// serve starts a server and returns its address.
func serve(t *testing.T, bounds Bounds, h handlerFunc) (*Server, string) {
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
	_ = x.Whole(h, fmt.Appendf(nil, "%s %s %s", x.Request.Header.Method(), x.Request.Header.RequestURI(), x.Request.Body()))
}

// exchange sends raw bytes and returns the statuses of the answers until the connection ends or is quiet.
func exchange(t *testing.T, address, raw string) (statuses []int, closed bool) {
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

// TestAmbiguousRequests guards against requests that hide another request behind a length on which two parties disagree.
func TestAmbiguousRequests(t *testing.T) {
	var served atomic.Int64
	_, address := serve(t, Bounds{HeaderBytes: 4096, BodyBytes: 1000}, func(x *Exchange) {
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
		got, closed := exchange(t, address, test.raw)
		if fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: got answers %v, want %v", name, got, test.want)
		}
		if refused := test.want[0] != 200; refused && (!closed || served.Load() > 0) {
			t.Errorf("%s: got closed %v and %d requests served, want a closed connection and none", name, closed, served.Load())
		}
	}
}

// TestCutAnswer guards against an answer that ended early and looks complete.
func TestCutAnswer(t *testing.T) {
	_, address := serve(t, Bounds{}, func(x *Exchange) {
		h := &fasthttp.ResponseHeader{}
		h.SetStatusCode(200)
		if err := x.Begin(h); err != nil {
			return
		}
		_ = x.Part([]byte("id: 1\n\n"))
		if string(x.Request.Header.RequestURI()) == "/whole" {
			_ = x.End()
		}
	})
	for path, whole := range map[string]bool{"/whole": true, "/cut": false} {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if closing := response.Body.Close(); closing != nil {
			t.Fatal(closing)
		}
		if string(body) != "id: 1\n\n" || (err == nil) != whole {
			t.Errorf("%s: got %q, %v, want the part and complete %v", path, body, err, whole)
		}
	}
}

// TestCallerGone guards against work that goes on after its caller has hung up.
func TestCallerGone(t *testing.T) {
	ended := make(chan error, 1)
	_, address := serve(t, Bounds{}, func(x *Exchange) {
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
		t.Error("the request went on after its caller had hung up")
	}
}

// TestDrain guards against a stop that cuts requests, or that keeps callers on a process that ends.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	s, address := serve(t, Bounds{}, func(x *Exchange) {
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
	for s.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Drain(time.Minute)
	if left, ending := s.Left(); !ending || left < 50*time.Second {
		t.Errorf("got %v left, ending %v, want about a minute", left, ending)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != 200 || !response.Close {
		t.Errorf("got status %d, close %v, want 200 and the connection's end announced", response.StatusCode, response.Close)
	}
}

// TestRetryAfter guards against a time of return that is rounded to 0 or to whole seconds.
func TestRetryAfter(t *testing.T) {
	_, address := serve(t, Bounds{}, func(x *Exchange) { x.Refuse(503, "busy", 1234500*time.Microsecond) })
	response, err := http.Get("http://" + address + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := response.Header.Get("Retry-After"); got != "1.235" {
		t.Errorf("got %q, want 1.235", got)
	}
}

// TestStripHop guards against fields of one connection that reach the next one.
func TestStripHop(t *testing.T) {
	var h fasthttp.RequestHeader
	for name, value := range map[string]string{
		"Connection": "keep-alive, X-Local", "X-Local": "1", "Keep-Alive": "timeout=5", "Te": "trailers", "Upgrade": "h2c", "X-Kept": "1",
	} {
		h.Set(name, value)
	}
	StripHop(&h)
	for _, name := range []string{"X-Local", "Keep-Alive", "Te", "Upgrade"} {
		if len(h.Peek(name)) > 0 {
			t.Errorf("%s was kept", name)
		}
	}
	if string(h.Peek("X-Kept")) != "1" {
		t.Error("X-Kept was dropped")
	}
}
