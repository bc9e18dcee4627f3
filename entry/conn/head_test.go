package conn

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"
)

// nameBytes are the bytes that the name of a field may consist of (RFC 9110, section 5.6.2).
const nameBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// TestFieldNames guards against a response that counts although the name of a field in its head, or in that of an interim
// response, holds a byte that no name may hold, and against sound responses with odd names that do not.
func TestFieldNames(t *testing.T) {
	const body = "\r\nContent-Length: 4\r\n\r\nbody"
	s, p := startRaw(t), NewPool(Options{})
	defer p.Close()
	for b := range 256 {
		c := string([]byte{byte(b)})
		for place, name := range map[string]string{"first": c + "xy", "inside": "x" + c + "y", "last": "xy" + c} {
			// A line break before a line ends the head, and what follows is the body. A colon ends a name.
			if c == "\n" && place == "first" {
				continue
			}
			want := strings.Contains(nameBytes, c) || c == ":" && place != "first"
			for head, text := range map[string]string{
				"response": "HTTP/1.1 200 X\r\nid: 1\r\n" + name + ": 1" + body,
				"interim":  "HTTP/1.1 103 X\r\nid: 1\r\n" + name + ": 1\r\n\r\nHTTP/1.1 200 X" + body,
			} {
				for _, stream := range []bool{false, true} {
					status, got, err := s.get(t, p, rawText{text, false}, stream)
					if whole := err == nil && status == 200 && got == "body"; whole != want || err == nil && !whole {
						t.Errorf("byte %#02x %s in a name, %s, stream %v: got %d, %q, %v, want the response: %v", b, place, head, stream, status, got, err, want)
					}
				}
			}
		}
	}
}

// TestMalformedNames guards against a response that counts although a blank stands before, in or after the name of a field, whichever field
// and whatever response it is.
func TestMalformedNames(t *testing.T) {
	s, p := startRaw(t), NewPool(Options{})
	defer p.Close()
	for _, name := range []string{
		"Content-Length", "content-length", "Transfer-Encoding", "Connection", "Keep-Alive", "Content-Type", "Content-Encoding", "Server", "Date",
		"Set-Cookie", "Trailer", "Upgrade", "Retry-After", RequestIDHeader, "X",
	} {
		for _, malformed := range []string{name + " ", name + "  ", name + "\t", name + " x", " " + name, "\t" + name} {
			for _, form := range []string{
				"HTTP/1.1 200 X\r\nid: 1\r\n%s: 4\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 X\r\nContent-Length: 4\r\n%s: close\r\n\r\nbody",
				"HTTP/1.1 200 X\r\n%s: 4\r\n\r\nbody", "HTTP/1.0 200 X\r\n%s: chunked\r\n\r\nbody", "HTTP/1.1 204 X\r\nid: 1\r\n%s: 0\r\n\r\n",
				"HTTP/1.1 503 X\r\nid: 1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n%s: 1\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
				"HTTP/1.1 200 X\nid: 1\n%s: 1\r\nContent-Length: 4\r\n\r\nbody",
			} {
				text := fmt.Sprintf(form, malformed)
				for _, stream := range []bool{false, true} {
					if status, got, err := s.get(t, p, rawText{text, false}, stream); err == nil {
						t.Errorf("%q, stream %v: got %d, %q without an error", text, stream, status, got)
					}
				}
			}
		}
	}
}

// TestTrailers guards against a response that counts although a trailer is malformed, and against a connection that is kept after it.
func TestTrailers(t *testing.T) {
	long := strings.Repeat("X-Long: 0123456789\r\n", 300)
	for trailers, want := range map[string]bool{
		"":                          true,
		"X-Sum: 1\r\n":              true,
		"X-Sum: 1\r\nx-sum:\r\n":    true,
		nameBytes + ": 1\r\n":       true,
		"X-Sum: 1\r\n X-Sum: 2\r\n": false,
		" X-Sum: 1\r\n":             false,
		"X-Sum : 1\r\n":             false,
		"X Sum: 1\r\n":              false,
		"X-Sum\t: 1\r\n":            false,
		"X-\x00Sum: 1\r\n":          false,
		"X-Sum\r\n":                 false,
		": 1\r\n":                   false,
		"X-Sum: 1\n\n":              false,
		long:                        false,
		"0\r\n":                     false,
	} {
		for _, stream := range []bool{false, true} {
			s, p := startRaw(t), NewPool(Options{})
			status, got, err := s.get(t, p, rawText{"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailers + "\r\n", false}, stream)
			if whole := err == nil && status == 200 && got == "body"; whole != want || err == nil && !whole {
				t.Errorf("trailers %.40q, stream %v: got %d, %q, %v, want the response: %v", trailers, stream, status, got, err, want)
			}
			if kept := p.OpenConnections(s.address) == 1; kept != want {
				t.Errorf("trailers %.40q, stream %v: got the connection kept: %v, want %v", trailers, stream, kept, want)
			}
			p.Close()
		}
	}
}

// TestChunksInPieces guards against chunks whose bytes are taken for trailers, or are lost, when they arrive or are read one by one.
func TestChunksInPieces(t *testing.T) {
	const text = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n0\r\n\r\n00b;x=0\r\n0\r\nX Y: 1\r\n\r\nC\r\n0123456789ab\r\n000;x\r\nX-Sum: 1\r\n\r\n"
	const want = "0\r\n0\r\nX Y: 1\r\n0123456789ab"
	u := startUpstream(t, func(c net.Conn, _ int) bool {
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return false
			}
			time.Sleep(100 * time.Microsecond)
		}
		return true
	})
	p := NewPool(Options{})
	defer p.Close()
	response := &fasthttp.Response{}
	if err := p.Do(t.Context(), u.call(true), response); err != nil || string(response.Body()) != want {
		t.Errorf("got %q, %v, want %q", response.Body(), err, want)
	}
	body, err := p.Stream(t.Context(), u.call(true), &fasthttp.Response{})
	if err != nil {
		t.Fatal(err)
	}
	defer body.Close()
	if got, err := io.ReadAll(iotest.OneByteReader(body)); err != nil || string(got) != want {
		t.Errorf("streamed: got %q, %v, want %q", got, err, want)
	}
	if got := u.conns.Load(); got != 1 {
		t.Errorf("got %d connections, want one for both calls", got)
	}
}
