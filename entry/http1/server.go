// Package http1 implements an HTTP/1.1 server. Messages are parsed by fasthttp, but the package manages connections
// itself: a truncated response never looks complete, a caller's disconnect is detected while its request runs, and a
// draining server closes each connection after the next response.
package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/budget"
	"azuredoor.example/entry/tcp"
)

const (
	// minReadBufferBytes is the smallest size of a connection's read buffer, used while no header bound is configured.
	minReadBufferBytes = 16 << 10
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 4 << 10
	// writeTimeout bounds how long a caller may go without reading any of a response.
	writeTimeout = 5 * time.Second
	// idlePollInterval is how often an idle connection checks whether the server is closing.
	idlePollInterval = 500 * time.Millisecond
	// idleMargin is added to the advertised idle timeout, so that a request sent just before the timeout is still read.
	idleMargin = 1500 * time.Millisecond
	// closeTimeout bounds how long Close waits for responses to be written.
	closeTimeout = 200 * time.Millisecond
)

// Bounds limits what callers may send. Zero means unlimited.
type Bounds struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler serves one request and writes the response through the exchange.
type Handler interface {
	Serve(x *Exchange)
}

// Config configures a Server.
type Config struct {
	Handler Handler
	// Bounds returns the currently configured bounds.
	Bounds func() Bounds
	// Check, if set, decides from the header of a request, whose body is not read yet, whether to go on. Otherwise it has written a
	// refusal, and the connection closes.
	Check func(x *Exchange) bool
	// Memory bounds what is held for callers; the default is no bound. MaxConnections bounds their open connections; 0 means no bound.
	Memory         *budget.Budget
	MaxConnections int
	// Dropped is called with the reason when the server closes a connection before the response to a request that it has
	// read is complete. It may be nil.
	Dropped func(reason string)
}

// Server is an HTTP/1.1 server. It is created with New.
type Server struct {
	config      Config
	group       errgroup.Group
	baseContext context.Context
	cancel      context.CancelCauseFunc
	draining    atomic.Bool
	// exitAt is when a draining process exits, in nanoseconds since the Unix epoch.
	exitAt atomic.Int64
	// openConns counts open connections, activeRequests the requests being served.
	openConns, activeRequests atomic.Int64

	mu       sync.Mutex
	listener *tcp.Listener
}

// ErrStopping is the cancellation cause of requests that are still running when the server closes.
var ErrStopping = errors.New("server closed while the request was running")

// ErrCallerGone is the cancellation cause of requests whose caller disconnected.
var ErrCallerGone = errors.New("caller closed the connection")

// New returns a server that does not accept connections until Serve is called.
func New(c Config) *Server {
	if c.Memory == nil {
		c.Memory = budget.Unlimited()
	}
	s := &Server{config: c}
	s.baseContext, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	listener := &tcp.Listener{Listener: ln, WriteTimeout: writeTimeout, MaxOpen: s.config.MaxConnections}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	if s.baseContext.Err() != nil {
		// Close may have been called before the listener was known. An error means that it is closed already.
		_ = ln.Close()
		return nil
	}
	for {
		c, err := listener.Accept()
		if err != nil {
			if s.baseContext.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept connection: %w", err)
		}
		s.openConns.Add(1)
		s.group.Go(func() error {
			defer s.openConns.Add(-1)
			s.serveConn(c.(*tcp.Conn))
			return nil
		})
	}
}

// Drain makes the server close each connection after the next response. The process exits after untilExit.
func (s *Server) Drain(untilExit time.Duration) {
	s.exitAt.Store(time.Now().Add(untilExit).UnixNano())
	s.draining.Store(true)
}

// timeUntilExit returns the time until the process exits. The second result reports whether the server is draining.
func (s *Server) timeUntilExit() (time.Duration, bool) {
	if !s.draining.Load() {
		return 0, false
	}
	return time.Until(time.Unix(0, s.exitAt.Load())), true
}

// Draining reports whether Drain or Close was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.openConns.Load() }

// ActiveRequests returns the number of requests being served.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// Close cancels the running requests with ErrStopping, waits up to closeTimeout for their responses to be written, and
// closes the listener and all connections.
func (s *Server) Close() {
	s.draining.Store(true)
	s.cancel(ErrStopping)
	for limit := time.Now().Add(closeTimeout); s.activeRequests.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(closeTimeout / 20)
	}
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		// Close fails only if the listener is already closed.
		_ = listener.Close()
		listener.CloseAll()
	}
	_ = s.group.Wait()
}

// serveConn serves the requests of one connection in order.
func (s *Server) serveConn(c *tcp.Conn) {
	// Close fails only on a connection that the caller has reset.
	defer func() { _ = c.Close() }()
	in := &input{conn: c}
	var b *buffers
	defer func() { b.release() }()
	for {
		if b != nil && b.reader.Buffered() == 0 {
			// A connection that rests needs no buffers.
			b.release()
			b = nil
		}
		if b == nil && !s.awaitRequest(c) {
			return
		}
		b = b.enlarge(in, c, s.config.Bounds().HeaderBytes)
		x := &Exchange{server: s, conn: c, input: in, reader: b.reader, writer: b.writer, Arrived: time.Now()}
		if !s.serveExchange(x) {
			if x.complete && s.draining.Load() {
				c.AwaitPeerClose()
			}
			return
		}
	}
}

// buffers are the read and write buffers of a connection with a request.
type buffers struct {
	reader *bufio.Reader
	writer *bufio.Writer
}

var bufferPool = sync.Pool{New: func() any {
	return &buffers{bufio.NewReaderSize(nil, minReadBufferBytes), bufio.NewWriterSize(nil, writeBufferBytes)}
}}

// enlarge returns buffers for a connection, of which the read buffer has at least the given size, because a header has to fit in it.
// The buffers may be nil.
func (b *buffers) enlarge(in *input, c *tcp.Conn, size int) *buffers {
	if b == nil {
		b = bufferPool.Get().(*buffers)
		b.reader.Reset(in)
		b.writer.Reset(c)
	}
	if size > b.reader.Size() {
		b.reader = bufio.NewReaderSize(b.reader, size)
	}
	return b
}

// release gives the buffers back for other connections. Those of an unusual size, or with unread bytes, are dropped.
func (b *buffers) release() {
	if b != nil && b.reader.Size() == minReadBufferBytes {
		b.reader.Reset(nil)
		b.writer.Reset(nil)
		bufferPool.Put(b)
	}
}

// awaitRequest waits for the first byte of a request and reports whether one arrived. Otherwise the connection must be
// closed.
func (s *Server) awaitRequest(c *tcp.Conn) bool {
	idle := s.config.Bounds().IdleTimeout
	began := time.Now()
	for {
		idle = longerTimeout(idle, s.config.Bounds().IdleTimeout)
		if s.baseContext.Err() != nil && !c.HasInput() || idle > 0 && time.Since(began) > idle+idleMargin {
			return false
		}
		if err := c.SetReadDeadline(time.Now().Add(idlePollInterval)); err != nil {
			return false
		}
		if err := c.AwaitInput(); err == nil {
			return true
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// longerTimeout returns the longer of two timeouts, of which 0 is none. Callers may rely on each value that was in force while
// their connection was idle.
func longerTimeout(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// receive reads the request, unless the check refuses it by its header.
func (s *Server) receive(x *Exchange) *refusal {
	bounds := s.config.Bounds()
	if refusal := x.readHeader(bounds); refusal != nil {
		return refusal
	}
	if s.config.Check != nil && !x.bodyIsSmall() {
		x.Context = s.baseContext
		closes := x.closeAfter
		x.closeAfter = true
		if !s.config.Check(x) {
			return nil
		}
		x.closeAfter = closes
	}
	if refusal := x.invite(); refusal != nil {
		return refusal
	}
	return x.readBody(bounds.BodyBytes)
}

// serveExchange reads and serves one request and reports whether the connection can serve another request.
func (s *Server) serveExchange(x *Exchange) bool {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	defer func() { x.lease.Release() }()
	if refusal := s.receive(x); refusal != nil {
		if refusal.status == 0 {
			return false
		}
		x.conn.Linger = true
		x.closeAfter = true
		x.Refuse(refusal.status, refusal.text, refusal.retryAfter)
		return false
	}
	if x.headerWritten {
		// The check has refused the request.
		x.conn.Linger = true
		return false
	}
	defer fasthttp.ReleaseRequest(x.Request)
	x.conn.SetBusy(true)
	defer x.conn.SetBusy(false)
	ctx, cancel := context.WithCancelCause(s.baseContext)
	defer cancel(nil)
	stop := x.conn.WatchDisconnect(&s.group, func() { cancel(ErrCallerGone) })
	x.Context = ctx
	s.config.Handler.Serve(x)
	stop()
	gone := errors.Is(context.Cause(ctx), ErrCallerGone)
	if x.headerWritten && !x.complete && !x.chunked {
		// Only a reset shows to a caller without chunks that its response is cut. It fails only on a closed connection.
		_ = x.conn.SetLinger(0)
	}
	if !x.complete && !gone && s.config.Dropped != nil {
		s.config.Dropped("response was not completed")
	}
	return x.complete && !x.closeAfter && !gone
}
