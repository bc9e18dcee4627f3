package conn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

func get(t *testing.T, p *Pool, call Call) (string, error) {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetRequestURI("/")
	request.Header.SetHost("h")
	call.Request = request
	err := p.Do(t.Context(), call, response)
	return string(response.Body()), err
}

// TestForeignAnswer guards against the late second answer to an earlier request that is taken for the answer to this one.
func TestForeignAnswer(t *testing.T) {
	u := listen(t, func(c net.Conn, request int) bool {
		for _, id := range []string{"old", "new"} {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\n%s", id, id); err != nil {
				return false
			}
		}
		return true
	})
	p := NewPool(Options{})
	defer p.Close()
	match := func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("Id")) == "new" }
	if got, err := get(t, p, Call{Address: u.address, Match: match}); err != nil || got != "new" {
		t.Errorf("got %q, %v, want the answer that matches", got, err)
	}
	none := func(*fasthttp.ResponseHeader) bool { return false }
	if _, err := get(t, p, Call{Address: u.address, Match: none, FirstByte: 100 * time.Millisecond}); err == nil {
		t.Error("got an answer although none matches")
	}
}

// TestOnce guards against a request that may run only once and is sent again after a kept connection broke.
func TestOnce(t *testing.T) {
	u := listen(t, func(c net.Conn, request int) bool {
		if request > 1 {
			return false
		}
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	p := NewPool(Options{})
	defer p.Close()
	if _, err := get(t, p, Call{Address: u.address, Reuse: true, Once: true}); err != nil {
		t.Fatal(err)
	}
	_, err := get(t, p, Call{Address: u.address, Reuse: true, Once: true})
	if err == nil || !Sent(err) {
		t.Errorf("got %v, want an error after the request was sent", err)
	}
	if got := u.requests.Load(); got != 2 {
		t.Errorf("got %d requests at the upstream, want 2", got)
	}
}

// TestConnectionLimit guards against more connections to an upstream than it accepts.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	u := listen(t, func(c net.Conn, _ int) bool {
		<-release
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	p := NewPool(Options{})
	defer p.Close()
	var first errgroup.Group
	first.Go(func() error {
		_, err := get(t, p, Call{Address: u.address, Limit: 1})
		return err
	})
	for u.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := get(t, p, Call{Address: u.address, Limit: 1})
	if !errors.Is(err, ErrLimit) || Sent(err) {
		t.Errorf("got %v, want ErrLimit before anything was sent", err)
	}
	close(release)
	if err := first.Wait(); err != nil {
		t.Fatal(err)
	}
	if _, err := get(t, p, Call{Address: u.address, Limit: 1, Reuse: true}); err != nil {
		t.Errorf("after the first call: got %v, want its connection reused", err)
	}
	if got := p.Open(u.address); got != 1 {
		t.Errorf("got %d open connections, want 1", got)
	}
}

// TestStatedKeepAlive guards against requests on connections that their peer is about to close.
func TestStatedKeepAlive(t *testing.T) {
	for header, wantConns := range map[string]int32{"": 2, "Keep-Alive: timeout=5\r\n": 1} {
		u := listen(t, func(c net.Conn, _ int) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", header)
			return err == nil
		})
		p := NewPool(Options{KeepAlive: 10 * time.Millisecond})
		for range 2 {
			if _, err := get(t, p, Call{Address: u.address, Reuse: true}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if got := u.conns.Load(); got != wantConns {
			t.Errorf("header %q: got %d connections, want %d", header, got, wantConns)
		}
		p.Close()
	}
}

// TestEnsure guards against prompts that are read for an engine which cannot be reached.
func TestEnsure(t *testing.T) {
	u := listen(t, func(c net.Conn, _ int) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	p := NewPool(Options{})
	defer p.Close()
	if err := p.Ensure(t.Context(), u.address, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := get(t, p, Call{Address: u.address, Reuse: true}); err != nil {
		t.Fatal(err)
	}
	if got := u.conns.Load(); got != 1 {
		t.Errorf("got %d connections, want the ensured one used", got)
	}
	if err := p.Ensure(context.Background(), "127.0.0.1:1", 0); err == nil || Sent(err) {
		t.Errorf("got %v for an address without a listener, want an error before anything was sent", err)
	}
}
