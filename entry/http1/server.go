// Package http1 serves callers over HTTP/1.1 and leaves the answer to a handler. Parsing is fasthttp's; the package keeps
// each connection in its own hands, so that an answer that ends early never looks complete, a caller that hangs up is
// noticed, and a process that stops gives each open connection its last answer.
package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/entry/tcp"
)

const (
	// minHeaderBytes is the size of read buffers while no bound on headers is known.
	minHeaderBytes = 16 << 10
	// writeTimeout bounds how long a caller may read nothing of an answer.
	writeTimeout = 5 * time.Second
	// pollIdle is how often a connection without a request looks whether the server drains.
	pollIdle = 500 * time.Millisecond
	// idleMargin is kept beyond the stated idle time, so that a request sent just before its end is still read.
	idleMargin = 1500 * time.Millisecond
	// finalWait bounds the wait for callers' answers to be written when the server ends.
	finalWait = 200 * time.Millisecond
)

// Bounds are what callers may send. A zero value means no bound.
type Bounds struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler answers one request through the exchange.
type Handler interface {
	Serve(x *Exchange)
}

// Config configures a Server.
type Config struct {
	Handler Handler
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// Dropped is told of a connection that ended although its request had been read, with the reason. It may be nil.
	Dropped func(reason string)
}

// Server serves callers.
type Server struct {
	config   Config
	group    errgroup.Group
	base     context.Context
	end      context.CancelCauseFunc
	listener *tcp.Listener
	draining atomic.Bool
	// ends is when a draining process ends, in nanoseconds since the Unix epoch.
	ends atomic.Int64
	// open counts connections, active those with a request.
	open, active atomic.Int64
}

// ErrStopping ends the requests that still run when the process must end.
var ErrStopping = errors.New("the entry is stopping")

// ErrCallerGone ends the requests whose caller hung up.
var ErrCallerGone = errors.New("the caller closed the connection")

// New returns a server.
func New(c Config) *Server {
	s := &Server{config: c}
	s.base, s.end = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.listener = &tcp.Listener{Listener: ln, WriteTimeout: writeTimeout}
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.base.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept callers: %w", err)
		}
		s.open.Add(1)
		s.group.Go(func() error {
			defer s.open.Add(-1)
			s.serveConn(c.(*tcp.Conn))
			return nil
		})
	}
}

// Drain makes each further answer the last one on its connection. The process ends after the time left.
func (s *Server) Drain(left time.Duration) {
	s.ends.Store(time.Now().Add(left).UnixNano())
	s.draining.Store(true)
}

// Left returns how long the process goes on, and false while no end is planned.
func (s *Server) Left() (time.Duration, bool) {
	if !s.draining.Load() {
		return 0, false
	}
	return time.Until(time.Unix(0, s.ends.Load())), true
}

// Draining says whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Open returns the number of connections.
func (s *Server) Open() int64 { return s.open.Load() }

// Active returns the number of running requests.
func (s *Server) Active() int64 { return s.active.Load() }

// Close ends the running requests with ErrStopping, gives their answers time to leave and closes what is open.
func (s *Server) Close() {
	s.draining.Store(true)
	s.end(ErrStopping)
	for limit := time.Now().Add(finalWait); s.active.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(finalWait / 20)
	}
	if s.listener != nil {
		// Closing fails only on a listener that is closed already.
		_ = s.listener.Close()
		s.listener.CloseAll()
	}
	_ = s.group.Wait()
}

// serveConn serves the requests of one connection in order.
func (s *Server) serveConn(c *tcp.Conn) {
	// Closing fails only on a connection that the caller has reset.
	defer func() { _ = c.Close() }()
	bounds := s.config.Bounds()
	reader := bufio.NewReaderSize(c, max(minHeaderBytes, bounds.HeaderBytes))
	writer := bufio.NewWriterSize(c, 4<<10)
	for {
		if !s.awaitRequest(c, reader) {
			return
		}
		x := &Exchange{server: s, conn: c, reader: reader, writer: writer, Arrived: time.Now()}
		if !s.exchange(x) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false when the connection is to be closed.
func (s *Server) awaitRequest(c *tcp.Conn, reader *bufio.Reader) bool {
	if reader.Buffered() > 0 {
		return true
	}
	idle := s.config.Bounds().IdleTimeout
	began := time.Now()
	for {
		if s.base.Err() != nil || idle > 0 && time.Since(began) > idle+idleMargin {
			return false
		}
		if err := c.SetReadDeadline(time.Now().Add(pollIdle)); err != nil {
			return false
		}
		if _, err := reader.Peek(1); err == nil {
			return true
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// exchange reads and answers one request. It returns false when the connection is to be closed.
func (s *Server) exchange(x *Exchange) bool {
	s.active.Add(1)
	defer s.active.Add(-1)
	if refusal := x.read(s.config.Bounds()); refusal != nil {
		if refusal.status == 0 {
			return false
		}
		x.conn.Linger = true
		x.last = true
		x.Refuse(refusal.status, refusal.text, 0)
		return false
	}
	defer fasthttp.ReleaseRequest(x.Request)
	ctx, cancel := context.WithCancelCause(s.base)
	defer cancel(nil)
	stop := x.conn.Watch(&s.group, func() { cancel(ErrCallerGone) })
	x.Context = ctx
	s.config.Handler.Serve(x)
	stop()
	gone := errors.Is(context.Cause(ctx), ErrCallerGone)
	if !x.ended && !gone && s.config.Dropped != nil {
		s.config.Dropped("the answer could not be completed")
	}
	return x.ended && !x.last && !gone
}
