// Package proxy implements a TCP proxy that injects faults into the connections between processes under test.
package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Fault is a fault that a proxy injects into connections.
type Fault int

// Faults.
const (
	// Pass forwards all data unchanged.
	Pass Fault = iota
	// Stall keeps connections open and accepts new ones, but forwards no data in either direction.
	Stall
	// Refuse resets open connections, and new ones as soon as they are accepted.
	Refuse
	// BlockResponses forwards data from the client to the target and holds back data from the target.
	BlockResponses
	// Slow delays each chunk of data by slowDelay.
	Slow
)

const (
	// slowDelay is a few times the network delay between two regions.
	slowDelay    = 80 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

// Proxy is a TCP proxy in front of one address of one process. Faults are set for each source IP, which identifies a VM,
// so that a test can partition one VM from others.
type Proxy struct {
	target   string
	listener net.Listener
	cancel   context.CancelFunc
	group    errgroup.Group

	mu          sync.Mutex
	connections map[*connection]struct{}
	// faults holds the fault for each source IP; the key "" applies to all other sources.
	faults map[string]Fault
}

// connection is one proxied connection.
type connection struct {
	source         string
	client, server net.Conn
	mu             sync.Mutex
	stalled        bool
}

// Start listens on an address and forwards connections to the target until Close is called.
func Start(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen on the proxy address")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{target: target, listener: listener, cancel: cancel, connections: map[*connection]struct{}{}, faults: map[string]Fault{}}
	p.group.Go(func() error { return p.serve(ctx) })
	return p, nil
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() error {
	p.cancel()
	// Close fails only if the listener is already closed.
	_ = p.listener.Close()
	p.closeAll(func(*connection) bool { return true })
	return p.group.Wait()
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault for connections from a source IP. The source "" stands for all sources without their own setting.
func (p *Proxy) SetFault(source string, f Fault) {
	p.mu.Lock()
	p.faults[source] = f
	p.mu.Unlock()
	if f == Refuse {
		p.closeAll(func(c *connection) bool { return source == "" || c.source == source })
	}
}

// StallOpen permanently stops forwarding on the connections that are open now; new connections are unaffected. It
// returns the number of stopped connections.
func (p *Proxy) StallOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.mu.Lock()
		c.stalled = true
		c.mu.Unlock()
	}
	return len(p.connections)
}

func (p *Proxy) faultFor(source string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[source]; ok {
		return f
	}
	return p.faults[""]
}

func (p *Proxy) closeAll(match func(*connection) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if match(c) {
			c.reset()
		}
	}
}

func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) serve(ctx context.Context) error {
	for {
		client, err := p.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept a proxy connection")
		}
		p.group.Go(func() error {
			p.forward(ctx, client)
			return nil
		})
	}
}

func (p *Proxy) forward(ctx context.Context, client net.Conn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	if p.faultFor(source) == Refuse {
		(&connection{client: client, server: client}).reset()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{source: source, client: client, server: server}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	if ctx.Err() != nil {
		c.reset()
	}
	var group errgroup.Group
	group.Go(func() error {
		p.copy(ctx, c, server, client, false)
		return nil
	})
	group.Go(func() error {
		p.copy(ctx, c, client, server, true)
		return nil
	})
	_ = group.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// copy forwards one direction. While forwarding is blocked, copy holds back the data last read and any end of stream.
func (p *Proxy) copy(ctx context.Context, c *connection, to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buffer)
		if !p.waitForward(ctx, c, fromTarget) {
			c.reset()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if errors.Is(readErr, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if readErr != nil {
			c.reset()
			return
		}
	}
}

// waitForward waits until the connection may forward data. It returns false if the connection is to be reset or the
// proxy closes.
func (p *Proxy) waitForward(ctx context.Context, c *connection, fromTarget bool) bool {
	began := time.Now()
	for {
		c.mu.Lock()
		stalled := c.stalled
		c.mu.Unlock()
		f := p.faultFor(c.source)
		if f == Refuse {
			return false
		}
		if !stalled && (f == Pass || f == BlockResponses && !fromTarget || f == Slow && time.Since(began) >= slowDelay) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}
