package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/budget"
)

// TestCheckBeforeBody guards against bodies of requests that are refused by their header and are read first, and against connections
// whose next request is taken for a part of such a body.
func TestCheckBeforeBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{
		Handler: handlerFunc(echo), Bounds: func() Bounds { return Bounds{BodyBytes: 1 << 20} },
		Check: func(x *Exchange) bool {
			if string(x.Request.Header.Peek("Key")) == "good" {
				return true
			}
			x.Refuse(401, "no key", 0)
			return false
		},
	})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ln) })
	defer func() {
		s.Close()
		_ = group.Wait()
	}()
	long := strings.Repeat("a", smallBodyBytes+1)
	for name, test := range map[string]struct {
		raw    string
		want   []int
		closed bool
	}{
		"chunked, refused":            {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", []int{401}, true},
		"chunked, refused, body sent": {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []int{401}, true},
		"long, refused":               {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(long)), []int{401}, true},
		"long, accepted":              {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nKey: good\r\nContent-Length: %d\r\n\r\n%s", len(long), long), []int{200}, false},
		"chunked, accepted, twice":    {strings.Repeat("POST /a HTTP/1.1\r\nHost: h\r\nKey: good\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\nX: trailer\r\n\r\n", 2), []int{200, 200}, false},
		"short, left to the handler":  {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 200}, false},
		"Expect, refused":             {"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n", []int{401}, true},
		"Expect, too large":           {"POST /a HTTP/1.1\r\nHost: h\r\nKey: good\r\nExpect: 100-continue\r\nContent-Length: 10000000\r\n\r\n", []int{413}, true},
		"trailers without end":        {"POST /a HTTP/1.1\r\nHost: h\r\nKey: good\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: 1\r\n", 4000), []int{400}, true},
	} {
		if got, closed := sendRaw(t, ln.Addr().String(), test.raw); fmt.Sprint(got) != fmt.Sprint(test.want) || closed != test.closed {
			t.Errorf("%s: got statuses %v, closed %v, want %v, %v", name, got, closed, test.want, test.closed)
		}
	}
}

// TestBodiesShareMemory guards against bodies that stop short and keep the memory of the process from a request that arrives whole.
func TestBodiesShareMemory(t *testing.T) {
	memory := budget.New(1 << 20)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: handlerFunc(echo), Bounds: func() Bounds { return Bounds{BodyBytes: 1 << 19} }, Memory: memory})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ln) })
	defer func() {
		s.Close()
		_ = group.Wait()
	}()
	body := strings.Repeat("a", 1<<18)
	head := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	for range 8 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, head+body[1:]); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if got, _ := sendRaw(t, ln.Addr().String(), head+body); fmt.Sprint(got) != "[200]" {
		t.Errorf("a whole request beside bodies that stopped short: got %v, want 200", got)
	}
	for _, use := range memory.Uses() {
		if use.Bytes > 1<<20 || use.Kind == "requests" && use.Evictions == 0 {
			t.Errorf("got %+v held, want at most 1 MiB, and a body that stopped evicted", use)
		}
	}
}

// FuzzRequest guards against requests that are read in another way than by another reader of HTTP, so that what follows is taken for
// another request, and against a head or a body that ends the process.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"GET / HTTP/1.0\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nX:", "\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s := New(Config{Handler: handlerFunc(echo), Bounds: func() Bounds { return Bounds{HeaderBytes: 4096, BodyBytes: 1 << 16} }, Memory: budget.New(1 << 20)})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ln) })
	f.Cleanup(func() {
		s.Close()
		_ = group.Wait()
	})
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write(text); err != nil {
			return
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return
		}
		if response.StatusCode != 200 {
			_ = response.Body.Close()
			return
		}
		got, err := io.ReadAll(response.Body)
		if closeErr := response.Body.Close(); err != nil || closeErr != nil {
			return
		}
		other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			// The other reader is stricter in the first line.
			return
		}
		body, err := io.ReadAll(other.Body)
		if err != nil || !bytes.HasSuffix(got, body) || len(got) < len(body) {
			t.Errorf("got %q, another reader has the body %q, %v", got, body, err)
		}
	})
}
