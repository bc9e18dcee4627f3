package conn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// rawServer answers each connection with the next of the texts that are sent to it, and then closes it.
type rawServer struct {
	address string
	texts   chan rawText
}

type rawText struct {
	text  string
	reset bool
}

func startRaw(t testing.TB) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: ln.Addr().String(), texts: make(chan rawText, 1)}
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
			var request fasthttp.Request
			if request.Read(bufio.NewReader(c)) == nil {
				text := <-s.texts
				_, _ = io.WriteString(c, text.text)
				if text.reset {
					// The bytes are read before the reset discards them.
					time.Sleep(time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}
			_ = c.Close()
		}
	})
	return s
}

// get makes a call, streamed or not, whose response is the text, and returns the body.
func (s *rawServer) get(t testing.TB, p *Pool, text rawText, stream bool) (int, string, error) {
	t.Helper()
	s.texts <- text
	call := Call{
		Address: s.address, Request: &fasthttp.Request{}, MaxBody: 1 << 16,
		FirstByteTimeout: time.Second, ReadTimeout: time.Second,
	}
	call.Request.SetRequestURI("/")
	call.Request.SetHost(s.address)
	response := &fasthttp.Response{}
	if !stream {
		err := p.Do(t.Context(), call, response)
		return response.StatusCode(), string(response.Body()), err
	}
	body, err := p.Stream(t.Context(), call, response)
	if err != nil {
		return 0, "", err
	}
	defer body.Close()
	data, err := io.ReadAll(body)
	return response.StatusCode(), string(data), err
}

// TestCutAtEachByte guards against a response that counts as complete although it was cut, at whichever byte, in its head or
// body, by a close or by a reset.
func TestCutAtEachByte(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		// atEnd is set if a close marks the end of the body.
		atEnd bool
	}{
		"length":          {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\ndata: word\n\n", false},
		"chunks":          {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n6\r\nword\n\n\r\n0\r\n\r\n", false},
		"trailer":         {"HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ndata: word\n\n\r\n0\r\nSum: 1\r\n\r\n", false},
		"interim":         {"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ndata: word\n\n", false},
		"no length":       {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\ndata: word\n\n", true},
		"HTTP/1.0":        {"HTTP/1.0 200 OK\r\nId: 1\r\n\r\ndata: word\n\n", true},
		"no reason":       {"HTTP/1.1 200\r\nContent-Length: 12\r\n\r\ndata: word\n\n", false},
		"bare line feeds": {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 12\n\ndata: word\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, p := startRaw(t), NewPool(Options{})
			defer p.Close()
			const want = "data: word\n\n"
			headEnd := max(strings.LastIndex(test.text, "\r\n\r\ndata"), strings.LastIndex(test.text, "\n\ndata"))
			kept := 0
			for _, stream := range []bool{false, true} {
				_, body, err := s.get(t, p, rawText{test.text, false}, stream)
				if err == nil && !test.atEnd {
					kept++
				}
				if name != "bare line feeds" && (err != nil || body != want) {
					t.Errorf("whole, stream %v: got %q, %v, want %q", stream, body, err, want)
				}
				for cut := range len(test.text) {
					for _, reset := range []bool{false, true} {
						status, body, err := s.get(t, p, rawText{test.text[:cut], reset}, stream)
						if test.atEnd && !reset && cut > headEnd+3 {
							if err != nil || !strings.HasPrefix(want, body) {
								t.Errorf("cut after %q, stream %v: got %q, %v, want what came", test.text[:cut], stream, body, err)
							}
							continue
						}
						if err == nil {
							t.Errorf("cut after %q, reset %v, stream %v: got %d, %q without an error", test.text[:cut], reset, stream, status, body)
						}
					}
				}
			}
			if got := p.OpenConnections(s.address); got != kept {
				t.Errorf("got %d connections kept, want %d, those of the whole responses", got, kept)
			}
		})
	}
}

// FuzzResponse guards against bytes that count as a complete response here, but as one that was cut, or with another body,
// for another reader of HTTP.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nSum: 1\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.1 200 OK\r\nId: ",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", "\r\nHTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", "HTTP/1.2 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/0.0 000 00000000000000000\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	s, p := startRaw(f), NewPool(Options{})
	f.Cleanup(p.Close)
	f.Fuzz(func(t *testing.T, text []byte) {
		status, body, err := s.get(t, p, rawText{string(text), false}, false)
		streamStatus, streamBody, streamErr := s.get(t, p, rawText{string(text), false}, true)
		if err == nil && streamErr == nil && (status != streamStatus || body != streamBody) {
			t.Errorf("got %d, %q, streamed %d, %q", status, body, streamStatus, streamBody)
		}
		if err != nil {
			return
		}
		if status < 200 || !bytes.Contains(text, []byte("\n\r\n")) && !bytes.Contains(text, []byte("\n\n")) {
			t.Errorf("got %d, %q without an error", status, body)
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		for {
			other, err := http.ReadResponse(reader, nil)
			if errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got %d, %q, another reader finds the head cut", status, body)
			}
			if err != nil {
				return
			}
			data, err := io.ReadAll(other.Body)
			_ = other.Body.Close()
			if other.StatusCode < 200 && other.StatusCode != 101 {
				continue
			}
			if errors.Is(err, io.ErrUnexpectedEOF) || err == nil && (other.StatusCode != status || string(data) != body) {
				t.Errorf("got %d, %q, another reader %d, %q, %v", status, body, other.StatusCode, data, err)
			}
			return
		}
	})
}
