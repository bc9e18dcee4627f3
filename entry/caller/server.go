// Package caller serves callers: an HTTP server, the chain of filters for requests, and responses in OpenAI's format.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/budget"
	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/tcp"
)

// Control gives the server its view of the control group.
type Control interface {
	// View returns the current state, or nil before the first state has arrived.
	View() *control.View
	// Fresh reports whether the state is recent enough to authorise requests with a key.
	Fresh() bool
	// SessionID returns the ID of the current session, and false if there is none.
	SessionID() (uint64, bool)
}

// Options configures a Server. A zero value stands for the default in brackets.
type Options struct {
	Control Control
	Relay   *relay.Relay
	Metrics *metric.Requests
	Log     *event.Logger

	// MaxHeaders is the maximum number of headers of a request [100].
	MaxHeaders int
	// MaxHeaderBytes is the maximum size of a request's header [16 KiB].
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body [4 MiB].
	MaxBodyBytes int
	// DefaultMaxTokens is the maximum number of output tokens of a request that sets no maximum [256].
	DefaultMaxTokens int
	// MaxTokensLimit is the largest maximum number of output tokens that a request may set [32768].
	MaxTokensLimit int
	// HeaderTimeout and BodyTimeout are the maximum times to receive a request's header and body [5 s, 20 s].
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open [60 s].
	IdleTimeout time.Duration
	// WriteTimeout is how long a caller may read nothing of a response before its connection is closed [10 s].
	WriteTimeout time.Duration
	// Memory bounds what is held for the bodies of requests [no bound]. MaxConnections is the maximum number of open connections [no
	// bound].
	Memory         *budget.Budget
	MaxConnections int
	// DrainDelay is the time between the end of readiness and the end of accepting. In this time, load balancers stop
	// sending requests to the entry [2 s].
	DrainDelay time.Duration
	// StaleGrace is how long admitted requests with a key continue while the entry is not fresh [5 s].
	StaleGrace time.Duration
}

func (o *Options) setDefaults() {
	number := func(n *int, value int) {
		if *n == 0 {
			*n = value
		}
	}
	duration := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	if o.Memory == nil {
		o.Memory = budget.Unlimited()
	}
	number(&o.MaxHeaders, 100)
	number(&o.MaxHeaderBytes, 16<<10)
	number(&o.MaxBodyBytes, 4<<20)
	number(&o.DefaultMaxTokens, 256)
	number(&o.MaxTokensLimit, 32768)
	duration(&o.HeaderTimeout, 5*time.Second)
	duration(&o.BodyTimeout, 20*time.Second)
	duration(&o.IdleTimeout, time.Minute)
	duration(&o.WriteTimeout, 10*time.Second)
	duration(&o.DrainDelay, 2*time.Second)
	duration(&o.StaleGrace, 5*time.Second)
}

// Server serves callers.
type Server struct {
	options    Options
	http       *fasthttp.Server
	handler    Handler
	ids        *requestIDs
	active     *activeRequests
	group      errgroup.Group
	baseCtx    context.Context
	cancelBase context.CancelCauseFunc
	draining   atomic.Bool
	listener   atomic.Pointer[tcp.Listener]
}

// New returns a server.
func New(options Options) *Server {
	options.setDefaults()
	s := &Server{options: options, ids: newRequestIDs(options.Control), active: newActiveRequests()}
	s.baseCtx, s.cancelBase = context.WithCancelCause(context.Background())
	s.handler = Chain(s.dispatch,
		s.ids,
		&headerLimits{maxHeaders: options.MaxHeaders},
		&confirmation{control: options.Control},
		&pathRouter{control: options.Control},
		&authenticator{},
		&bodyReceiver{memory: options.Memory, maxBytes: options.MaxBodyBytes},
		&bodyParser{defaultMaxTokens: options.DefaultMaxTokens, maxTokens: options.MaxTokensLimit},
		&authorizer{},
		&freshness{control: options.Control},
		&profileResolver{},
		&atMostOnce{control: options.Control},
	)
	s.http = &fasthttp.Server{
		Handler: s.serve, ErrorHandler: writeReadError,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: options.BodyTimeout}
		},
		ReadBufferSize: options.MaxHeaderBytes, MaxRequestBodySize: options.MaxBodyBytes, StreamRequestBody: true,
		ReadTimeout: options.HeaderTimeout, IdleTimeout: options.IdleTimeout,
		CloseOnShutdown: true, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true,
		Logger: discardLogger{}, SecureErrorLogMessage: true,
	}
	return s
}

// discardLogger drops the HTTP server's own log messages, which may quote data of callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts and serves connections of callers until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	s.options.Log.Write(event.CallerServing, func(e *log.Entry) { e.Str("address", ln.Addr().String()) })
	s.group.Go(func() error {
		s.active.cancelStale(s.baseCtx, s.options.Control, s.options.StaleGrace, s.logCancelled)
		return nil
	})
	listener := &tcp.Listener{Listener: ln, WriteTimeout: s.options.WriteTimeout, MaxOpen: s.options.MaxConnections}
	s.listener.Store(listener)
	if err := s.http.Serve(listener); err != nil {
		s.options.Log.Error(event.CallerAcceptFailed, err)
		return fmt.Errorf("serving callers: %w", err)
	}
	return nil
}

// OnChange cancels the active requests whose key is not valid in the new view. Control.View must return the new view
// before OnChange is called.
func (s *Server) OnChange(view *control.View) {
	if n := s.active.cancelWithdrawn(view); n > 0 {
		s.logCancelled(n)
	}
}

func (s *Server) logCancelled(n int) {
	s.options.Log.Write(event.CallerRequestsEnded, func(e *log.Entry) { e.Int("requests", n) })
}

// Ready reports whether load balancers may send requests to the entry.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.options.Control.View() != nil && s.options.Control.Fresh()
}

const (
	// finalWriteTimeout is how long cancelled requests may take to write the error to their callers.
	finalWriteTimeout = time.Second
	// finalWriteInterval is the interval of the check for requests that have not written the error yet.
	finalWriteInterval = 20 * time.Millisecond
)

// Shutdown stops the server gracefully: Ready returns false, the server stops accepting after DrainDelay, and active
// requests run to their end. When ctx ends, the remaining requests are cancelled.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	timer := time.NewTimer(s.options.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.http.ShutdownWithContext(ctx)
	s.cancelBase(relay.ErrStopping)
	if err != nil && ctx.Err() != nil {
		err = nil
		s.awaitFinalResponses()
	}
	if ln := s.listener.Load(); ln != nil {
		ln.CloseAll()
	}
	s.options.Log.Write(event.CallerDrainEnded, func(e *log.Entry) { e.Int("requests", s.active.count()) })
	if err != nil {
		return fmt.Errorf("stopping the caller server: %w", err)
	}
	return s.group.Wait()
}

// awaitFinalResponses waits until the cancelled requests have written the error to their callers, for at most
// finalWriteTimeout.
func (s *Server) awaitFinalResponses() {
	for deadline := time.Now().Add(finalWriteTimeout); time.Now().Before(deadline); time.Sleep(finalWriteInterval) {
		if s.active.count() == 0 {
			// A response that is not streamed is written after the request is removed from the active requests.
			time.Sleep(finalWriteInterval)
			return
		}
	}
}

// serve handles one request.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	if conn, ok := ctx.Conn().(*tcp.Conn); ok {
		conn.SetBusy(true)
		defer conn.SetBusy(false)
	}
	defer func() {
		if p := recover(); p != nil {
			s.options.Log.Write(event.CallerPanic, func(e *log.Entry) { e.Stack() })
			writeError(&ctx.Response, &relay.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Text: "Internal error.", Result: relay.Unknown})
		}
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
	}()
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		if !s.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return
		}
		ctx.SetBodyString("ready\n")
		return
	}
	if e := s.handler(&Exchange{HTTP: ctx, Arrived: arrived}); e != nil {
		writeError(&ctx.Response, e)
		if errors.Is(e, relay.ErrCallerGone) {
			ctx.SetConnectionClose()
		}
	}
}
