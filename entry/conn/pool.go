package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/tcp"
)

// Pool opens connections and keeps idle ones for idempotent work.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*link
	// open counts the connections to each address, idle ones included.
	open   map[string]int
	swept  time.Time
	closed bool
}

// NewPool returns a pool.
func NewPool(options Options) *Pool {
	options.setDefaults()
	return &Pool{
		options: options,
		dialer: net.Dialer{
			Timeout:         options.Connect,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		},
		idle: map[string][]*link{}, open: map[string]int{},
	}
}

// ErrLimit means that the bound on connections to an address is reached.
var ErrLimit = errors.New("the bound on connections is reached")

// dial opens a connection unless limit connections to the address are open.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*link, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, ErrLimit
	}
	p.open[address]++
	p.mu.Unlock()
	l, err := p.connect(ctx, address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	return l, nil
}

// Ensure makes sure that an open connection to an address is at hand.
func (p *Pool) Ensure(ctx context.Context, address string, limit int) error {
	l := p.take(address)
	if l == nil {
		var err error
		if l, err = p.dial(ctx, address, limit); err != nil {
			return &Error{Address: address, Err: err}
		}
		l.idleUntil = time.Now().Add(p.options.KeepAlive)
	}
	p.put(l)
	return nil
}

// Open returns the number of open connections to an address.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// drop closes a connection.
func (p *Pool) drop(l *link) {
	// Closing fails only on a connection that is closed already.
	_ = l.Close()
	p.forget(l.address)
}

// keepAliveMargin is kept before the end that a peer stated for idle connections: the request must arrive before.
const keepAliveMargin = 300 * time.Millisecond

// keepAlive returns how long a connection may be reused after a response.
func (p *Pool) keepAlive(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(time.Duration(seconds)*time.Second-keepAliveMargin, p.options.Idle)
		}
	}
	return p.options.KeepAlive
}

func (p *Pool) connect(ctx context.Context, address string) (*link, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	socket, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, fmt.Errorf("connect: got %T, want a TCP connection", c)
	}
	if err := tcp.SetUserTimeout(socket, p.options.Unacknowledged); err != nil {
		_ = c.Close()
		return nil, err
	}
	l := &link{TCPConn: socket, pool: p, address: address}
	l.reader, l.writer = bufio.NewReader(l), bufio.NewWriter(l)
	return l, nil
}

// take returns an idle connection that is still open, or nil.
func (p *Pool) take(address string) *link {
	for {
		p.mu.Lock()
		links := p.idle[address]
		if len(links) == 0 {
			p.mu.Unlock()
			return nil
		}
		l := links[len(links)-1]
		p.idle[address] = links[:len(links)-1]
		p.mu.Unlock()
		if time.Since(l.idleSince) < p.options.Idle && time.Now().Before(l.idleUntil) && l.alive() {
			return l
		}
		p.drop(l)
	}
}

func (p *Pool) put(l *link) {
	now := time.Now()
	l.idleSince = now
	p.mu.Lock()
	var drop []*link
	if p.closed || len(p.idle[l.address]) >= p.options.IdlePerAddress {
		drop = append(drop, l)
	} else {
		p.idle[l.address] = append(p.idle[l.address], l)
	}
	if now.Sub(p.swept) > p.options.Idle {
		p.swept = now
		drop = append(drop, p.expired(now)...)
	}
	p.mu.Unlock()
	for _, l := range drop {
		p.drop(l)
	}
}

// dropIdle closes the idle connections to an address of which one connection went silent: what silenced that one
// may have silenced them as well.
func (p *Pool) dropIdle(address string) {
	p.mu.Lock()
	links := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range links {
		p.drop(l)
	}
}

func (p *Pool) expired(now time.Time) []*link {
	var drop []*link
	for address, links := range p.idle {
		n := 0
		for n < len(links) && now.Sub(links[n].idleSince) >= p.options.Idle {
			n++
		}
		drop = append(drop, links[:n]...)
		if n == len(links) {
			delete(p.idle, address)
		} else if n > 0 {
			p.idle[address] = append([]*link(nil), links[n:]...)
		}
	}
	return drop
}

// Close closes the idle connections; calls that run go on.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]*link{}, true
	p.mu.Unlock()
	for _, links := range idle {
		for _, l := range links {
			p.drop(l)
		}
	}
}
