package server

import (
	"io"
	"net"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
)

// proxy forwards TCP connections to target. Stalled connections stay open and carry no more data; connections opened later
// work.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	conns []net.Conn
	// stalled is closed when the connections opened so far are stalled.
	stalled chan struct{}
}

func newProxy(t testing.TB) *proxy {
	t.Helper()
	p := &proxy{listener: listen(t, "127.0.0.1:0"), stalled: make(chan struct{})}
	p.group.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		p.mu.Lock()
		target, stalled := p.target, p.stalled
		p.mu.Unlock()
		server, err := net.Dial("tcp", target)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		p.group.Go(func() error { return forward(client, server, stalled) })
		p.group.Go(func() error { return forward(server, client, stalled) })
	}
}

func forward(from, to net.Conn, stalled chan struct{}) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stalled:
			// Further data is read and dropped, so that both sides keep the connection open.
			_, _ = io.Copy(io.Discard, from)
			return nil
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			from.Close()
			to.Close()
			return nil
		}
	}
}

func (p *proxy) stallConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	_ = p.group.Wait()
}

// advertisedListener is a listener whose Addr returns another address, at which clients connect.
type advertisedListener struct {
	net.Listener
	address net.Addr
}

func (a advertisedListener) Addr() net.Addr { return a.address }
