package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/tcp"
)

// Pool opens connections to upstreams and keeps idle ones for reuse. A Pool is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	seed    maphash.Seed
	buffers *bodyBuffers

	mu   sync.Mutex
	idle map[string][]*pooledConn
	// open is the number of connections to each address, including the idle ones.
	open      map[string]int
	lastSweep time.Time
	closed    bool
}

// NewPool returns a Pool without connections.
func NewPool(options Options) *Pool {
	options.setDefaults()
	p := &Pool{
		options: options, seed: maphash.MakeSeed(), buffers: newBodyBuffers(options.LargeBodies),
		dialer: net.Dialer{
			Timeout:         options.ConnectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		},
		idle: map[string][]*pooledConn{}, open: map[string]int{},
	}
	if options.ReceiveBuffer > 0 {
		// The size has to be set before the connection is opened, because the peer learns the scale of its window then.
		p.dialer.Control = func(_, _ string, c syscall.RawConn) error { return tcp.SetReceiveBuffer(c, options.ReceiveBuffer) }
	}
	return p
}

// ErrLimit means that the limit of open connections to an address is reached.
var ErrLimit = errors.New("connection limit reached")

// dial opens a connection, or returns ErrLimit if limit connections to the address are open. A limit of 0 means none.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*pooledConn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, ErrLimit
	}
	p.open[address]++
	p.mu.Unlock()
	c, err := p.connect(ctx, address)
	if err != nil {
		p.decrementOpen(address)
		return nil, err
	}
	return c, nil
}

// EnsureConnection opens a connection to an address and keeps the connection idle for reuse, unless an idle connection
// exists already.
func (p *Pool) EnsureConnection(ctx context.Context, address string, limit int) error {
	c := p.takeIdle(address, 0)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address, limit); err != nil {
			return &Error{Address: address, Err: err}
		}
		c.idleUntil = time.Now().Add(p.options.KeepAliveTimeout)
	}
	p.putIdle(c)
	return nil
}

// OpenConnections returns the number of open connections to an address.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// decrementOpen subtracts one from the number of open connections to an address.
func (p *Pool) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// drop closes a connection and no longer counts it as open.
func (p *Pool) drop(c *pooledConn) {
	// Close fails only on a connection that is already closed.
	_ = c.Close()
	p.decrementOpen(c.address)
}

// keepAliveMargin is subtracted from the Keep-Alive timeout of a peer, because a request must arrive before the peer
// closes the idle connection.
const keepAliveMargin = 300 * time.Millisecond

// keepAliveTimeout returns how long a connection may stay idle after a response and still be reused.
func (p *Pool) keepAliveTimeout(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(time.Duration(seconds)*time.Second-keepAliveMargin, p.options.IdleTimeout)
		}
	}
	return p.options.KeepAliveTimeout
}

func (p *Pool) connect(ctx context.Context, address string) (*pooledConn, error) {
	dialed, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	tcpConn, ok := dialed.(*net.TCPConn)
	if !ok {
		_ = dialed.Close()
		return nil, fmt.Errorf("connect: got %T, want a TCP connection", dialed)
	}
	if err := tcp.SetUserTimeout(tcpConn, p.options.AckTimeout); err != nil {
		_ = dialed.Close()
		return nil, err
	}
	c := &pooledConn{TCPConn: tcpConn, pool: p, address: address}
	c.reader, c.writer = bufio.NewReader(c), bufio.NewWriter(c)
	return c, nil
}

// hashID returns the hash of the ID of a call, 0 for none.
func (p *Pool) hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(1, maphash.String(p.seed, id))
}

// takeIdle removes an idle connection that is still open from the pool and returns it, or nil if there is none. It passes
// over connections whose latest calls had the ID with the given hash, unless the hash is 0.
func (p *Pool) takeIdle(address string, idHash uint64) *pooledConn {
	for {
		p.mu.Lock()
		conns := p.idle[address]
		i := len(conns) - 1
		for i >= 0 && idHash != 0 && slices.Contains(conns[i].recent[:], idHash) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[i]
		p.idle[address] = slices.Delete(conns, i, i+1)
		p.mu.Unlock()
		if time.Since(c.idleSince) < p.options.IdleTimeout && time.Now().Before(c.idleUntil) && c.alive() {
			return c
		}
		p.drop(c)
	}
}

// putIdle adds a connection to the idle connections. At most once per IdleTimeout, it also closes the connections that
// were idle for too long.
func (p *Pool) putIdle(c *pooledConn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	var toDrop []*pooledConn
	if p.closed || len(p.idle[c.address]) >= p.options.MaxIdlePerAddress {
		toDrop = append(toDrop, c)
	} else {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	if now.Sub(p.lastSweep) > p.options.IdleTimeout {
		p.lastSweep = now
		toDrop = append(toDrop, p.removeExpired(now)...)
	}
	p.mu.Unlock()
	for _, c := range toDrop {
		p.drop(c)
	}
}

// dropIdle closes the idle connections to an address. It is called after a read timeout on one connection to the
// address, because the fault may affect the others as well.
func (p *Pool) dropIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		p.drop(c)
	}
}

// removeExpired removes the connections that were idle for too long from the pool and returns them. The caller holds mu.
func (p *Pool) removeExpired(now time.Time) []*pooledConn {
	var expired []*pooledConn
	for address, conns := range p.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) >= p.options.IdleTimeout {
			n++
		}
		expired = append(expired, conns[:n]...)
		if n == len(conns) {
			delete(p.idle, address)
		} else if n > 0 {
			p.idle[address] = append([]*pooledConn(nil), conns[n:]...)
		}
	}
	return expired
}

// Close closes the idle connections. Running calls continue.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]*pooledConn{}, true
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			p.drop(c)
		}
	}
}
