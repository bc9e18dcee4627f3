// Package proxy carries TCP connections between processes of a test and injects faults into them.
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

// Fault is what a proxy does to a connection.
type Fault int

// Faults.
const (
	Pass Fault = iota
	// Silent keeps connections open and carries nothing; new ones are accepted and carry nothing either.
	Silent
	// Refuse resets connections and new ones.
	Refuse
	// Mute carries what the near end sends and holds back what the far end answers.
	Mute
	// Slow holds each piece of data back for slowBy.
	Slow
)

const (
	// slowBy is a few times the delay between two regions.
	slowBy = 80 * time.Millisecond
	poll   = 5 * time.Millisecond
)

// Proxy is a TCP proxy in front of one address of one process. It tells VMs apart by their source IP, so that one VM can
// be cut off from others.
type Proxy struct {
	target   string
	listener net.Listener
	cancel   context.CancelFunc
	group    errgroup.Group

	mu    sync.Mutex
	links map[*link]struct{}
	// faults holds the fault for each source IP; the key "" stands for all others.
	faults map[string]Fault
}

// link is one proxied connection.
type link struct {
	source    string
	near, far net.Conn
	mu        sync.Mutex
	silenced  bool
}

// Start listens and carries connections to the target until Close is called.
func Start(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{target: target, listener: listener, cancel: cancel, links: map[*link]struct{}{}, faults: map[string]Fault{}}
	p.group.Go(func() error { return p.serve(ctx) })
	return p, nil
}

// Close ends all connections.
func (p *Proxy) Close() error {
	p.cancel()
	// Closing fails only on a listener that is closed already.
	_ = p.listener.Close()
	p.closeAll(func(*link) bool { return true })
	return p.group.Wait()
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault for connections from a source IP, or from all sources without a fault of their own.
func (p *Proxy) Set(source string, f Fault) {
	p.mu.Lock()
	p.faults[source] = f
	p.mu.Unlock()
	if f == Refuse {
		p.closeAll(func(l *link) bool { return source == "" || l.source == source })
	}
}

// SilenceOpen makes the connections that are open now carry nothing for good, while new ones work. It returns their
// number.
func (p *Proxy) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silenced = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (p *Proxy) faultFor(source string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[source]; ok {
		return f
	}
	return p.faults[""]
}

func (p *Proxy) closeAll(match func(*link) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if match(l) {
			l.reset()
		}
	}
}

func (l *link) reset() {
	for _, conn := range []net.Conn{l.near, l.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) serve(ctx context.Context) error {
	for {
		near, err := p.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept for a proxy")
		}
		p.group.Go(func() error {
			p.carry(ctx, near)
			return nil
		})
	}
}

func (p *Proxy) carry(ctx context.Context, near net.Conn) {
	source, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	if p.faultFor(source) == Refuse {
		(&link{near: near, far: near}).reset()
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{source: source, near: near, far: far}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	if ctx.Err() != nil {
		l.reset()
	}
	var group errgroup.Group
	group.Go(func() error {
		p.copy(ctx, l, far, near, false)
		return nil
	})
	group.Go(func() error {
		p.copy(ctx, l, near, far, true)
		return nil
	})
	_ = group.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy carries one direction. While the link is silent it neither reads nor passes on an end of the stream.
func (p *Proxy) copy(ctx context.Context, l *link, to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buffer)
		if !p.waitOpen(ctx, l, answers) {
			l.reset()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				l.reset()
				return
			}
		}
		if errors.Is(readErr, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if readErr != nil {
			l.reset()
			return
		}
	}
}

// waitOpen waits until the link carries data. It returns false when the link or the proxy ends.
func (p *Proxy) waitOpen(ctx context.Context, l *link, answers bool) bool {
	began := time.Now()
	for {
		l.mu.Lock()
		silenced := l.silenced
		l.mu.Unlock()
		f := p.faultFor(l.source)
		if f == Refuse {
			return false
		}
		if !silenced && (f == Pass || f == Mute && !answers || f == Slow && time.Since(began) >= slowBy) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(poll):
		}
	}
}
