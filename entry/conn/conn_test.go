package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// upstream is a test server that counts its connections and requests.
type upstream struct {
	address         string
	conns, requests atomic.Int32
	closed          chan time.Time
}

// startUpstream starts a server that passes each request to respond, which returns false to close the connection.
func startUpstream(t *testing.T, respond func(c net.Conn, request int) bool) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{address: ln.Addr().String(), closed: make(chan time.Time, 100)}
	var group errgroup.Group
	t.Cleanup(func() {
		ln.Close()
		group.Wait()
	})
	group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			u.conns.Add(1)
			group.Go(func() error {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					var request fasthttp.Request
					if err := request.Read(r); err != nil {
						u.closed <- time.Now()
						return nil
					}
					if !respond(c, int(u.requests.Add(1))) {
						return nil
					}
				}
			})
		}
	})
	return u
}

func (u *upstream) call(reuse bool) Call {
	request := &fasthttp.Request{}
	request.SetRequestURI("/")
	request.SetHost(u.address)
	request.Header.SetMethod("POST")
	return Call{Address: u.address, Request: request, Reuse: reuse}
}

func writeOK(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

// TestKeptAliveConnectionClosed covers a kept-alive connection that the upstream closes when the next request arrives.
// An idempotent call must be retried on a new connection. A non-idempotent call must use a new connection from the start
// and must not be sent twice.
func TestKeptAliveConnectionClosed(t *testing.T) {
	for _, reuse := range []bool{true, false} {
		// The upstream closes the connection of the second request without a response.
		u := startUpstream(t, func(c net.Conn, request int) bool {
			if request == 2 {
				return false
			}
			writeOK(c)
			return true
		})
		p := NewPool(Options{})
		defer p.Close()
		if err := p.Do(t.Context(), u.call(true), &fasthttp.Response{}); err != nil {
			t.Fatal(err)
		}
		err := p.Do(t.Context(), u.call(reuse), &fasthttp.Response{})
		if reuse && (err != nil || u.requests.Load() != 3) {
			t.Errorf("idempotent: got error %v and %d requests, want a retry and 3 requests", err, u.requests.Load())
		}
		if !reuse && (err == nil || !Sent(err) || u.requests.Load() != 2 || u.conns.Load() != 2) {
			t.Errorf("not idempotent: got error %v, %d requests on %d connections, want a Sent error, 2 requests on 2 connections", err, u.requests.Load(), u.conns.Load())
		}
	}
}

// TestIdleConnectionClosed guards against the use of an idle connection that the upstream has closed.
func TestIdleConnectionClosed(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, _ int) bool {
		writeOK(c)
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	for range 3 {
		if err := p.Do(t.Context(), u.call(true), &fasthttp.Response{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := u.requests.Load(); got != 3 {
		t.Errorf("got %d requests, want 3", got)
	}
}

// TestContextEnd guards against a connection that stays open after the context of its call has ended, which lets the
// upstream continue to work on the request.
func TestContextEnd(t *testing.T) {
	u := startUpstream(t, func(net.Conn, int) bool { return true })
	p := NewPool(Options{FirstByteTimeout: 10 * time.Second})
	reason := errors.New("test deadline reached")
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, reason)
	defer cancel()
	began := time.Now()
	err := p.Do(ctx, u.call(false), &fasthttp.Response{})
	if !errors.Is(err, reason) || !Sent(err) {
		t.Errorf("got error %v, Sent %v, want the cause of the context and true", err, Sent(err))
	}
	select {
	case at := <-u.closed:
		if d := at.Sub(began); d > 200*time.Millisecond {
			t.Errorf("connection closed after %v, want about 50 ms", d)
		}
	case <-time.After(time.Second):
		t.Error("connection stayed open for 1 s")
	}
	if err := p.Do(ctx, u.call(false), &fasthttp.Response{}); Sent(err) {
		t.Errorf("context already ended: got %v with Sent, want an error without Sent", err)
	}
}

// TestTimeouts guards against unlimited waits on a connection without data, and against errors without Sent for
// requests that were written.
func TestTimeouts(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, request int) bool {
		if request == 2 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}
		return true
	})
	p := NewPool(Options{FirstByteTimeout: 50 * time.Millisecond, ReadTimeout: 50 * time.Millisecond})
	err := p.Do(t.Context(), u.call(true), &fasthttp.Response{})
	if !errors.Is(err, ErrReadTimeout) || !Sent(err) {
		t.Errorf("first byte: got %v, want a read timeout with Sent", err)
	}
	body, err := p.Stream(t.Context(), u.call(true), &fasthttp.Response{})
	if err != nil {
		t.Fatal(err)
	}
	defer body.Close()
	buf := make([]byte, 10)
	if n, err := body.Read(buf); n != 2 || err != nil {
		t.Fatalf("got %d bytes, error %v, want 2 bytes", n, err)
	}
	body.SetProgressDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := body.Read(buf); !errors.Is(err, ErrStalled) {
		t.Errorf("progress deadline: got %v, want ErrStalled", err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	u.address = ln.Addr().String()
	if err := p.Do(t.Context(), u.call(false), &fasthttp.Response{}); err == nil || Sent(err) {
		t.Errorf("connection refused: got %v, want an error without Sent", err)
	}
}
