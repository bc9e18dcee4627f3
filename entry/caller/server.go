// Package caller serves callers: an HTTP server, the filters that a request passes, and the answers in OpenAI's
// format.
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

	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/tcp"
)

// Control is what the server needs to know of the control group.
type Control interface {
	// View returns the current state; it is nil at start.
	View() *control.View
	// Fresh says whether requests with a key may be authorised.
	Fresh() bool
	// SessionID returns the current session, and false while there is none.
	SessionID() (uint64, bool)
}

// Options configure a Server. Each zero value gets the default in brackets.
type Options struct {
	Control Control
	Relay   *relay.Relay
	Metrics *metric.Requests
	Log     *event.Logger

	// MaxHeaders bounds the number of headers of a request [100].
	MaxHeaders int
	// MaxHeaderBytes bounds the size of a request's header [16 KiB].
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request's body [4 MiB].
	MaxBodyBytes int
	// DefaultMaxTokens is used when a request names no maximum [256].
	DefaultMaxTokens int
	// MaxMaxTokens is the largest maximum that a request may name [32768].
	MaxMaxTokens int
	// HeaderTimeout and BodyTimeout bound how long a request's header and body may take to arrive [5 s, 20 s].
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout bounds how long a connection is kept without a request [60 s].
	IdleTimeout time.Duration
	// WriteTimeout bounds how long a caller may read nothing of an answer [10 s].
	WriteTimeout time.Duration
	// DrainDelay is the time between the end of readiness and the end of accepting, in which the load balancer
	// takes the entry out [2 s].
	DrainDelay time.Duration
	// StaleGrace is how long running requests with a key go on while the entry is not fresh [5 s].
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
	number(&o.MaxHeaders, 100)
	number(&o.MaxHeaderBytes, 16<<10)
	number(&o.MaxBodyBytes, 4<<20)
	number(&o.DefaultMaxTokens, 256)
	number(&o.MaxMaxTokens, 32768)
	duration(&o.HeaderTimeout, 5*time.Second)
	duration(&o.BodyTimeout, 20*time.Second)
	duration(&o.IdleTimeout, time.Minute)
	duration(&o.WriteTimeout, 10*time.Second)
	duration(&o.DrainDelay, 2*time.Second)
	duration(&o.StaleGrace, 5*time.Second)
}

// Server serves callers.
type Server struct {
	options  Options
	http     *fasthttp.Server
	handler  Handler
	ids      *requestIDs
	runs     *runs
	group    errgroup.Group
	base     context.Context
	end      context.CancelCauseFunc
	draining atomic.Bool
	listener atomic.Pointer[tcp.Listener]
}

// New returns a server.
func New(options Options) *Server {
	options.setDefaults()
	s := &Server{options: options, ids: newRequestIDs(options.Control), runs: newRuns()}
	s.base, s.end = context.WithCancelCause(context.Background())
	s.handler = Chain(s.dispatch,
		s.ids,
		&limits{headers: options.MaxHeaders},
		&paths{control: options.Control},
		&keys{},
		&bodies{defaultMaxTokens: options.DefaultMaxTokens, maxTokens: options.MaxMaxTokens},
		&access{},
		&freshness{control: options.Control},
		&profiles{},
		&atMostOnce{control: options.Control},
	)
	s.http = &fasthttp.Server{
		Handler: s.serve, ErrorHandler: refuse,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: options.BodyTimeout}
		},
		ReadBufferSize: options.MaxHeaderBytes, MaxRequestBodySize: options.MaxBodyBytes,
		ReadTimeout: options.HeaderTimeout, IdleTimeout: options.IdleTimeout,
		CloseOnShutdown: true, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true,
		Logger: silent{}, SecureErrorLogMessage: true,
	}
	return s
}

// silent drops the HTTP server's own messages, which may quote what callers sent.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Serve accepts callers until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	s.options.Log.Write(event.CallerServing, func(e *log.Entry) { e.Str("address", ln.Addr().String()) })
	s.group.Go(func() error {
		s.runs.endStale(s.base, s.options.Control, s.options.StaleGrace, s.reportEnded)
		return nil
	})
	own := &tcp.Listener{Listener: ln, WriteTimeout: s.options.WriteTimeout}
	s.listener.Store(own)
	if err := s.http.Serve(own); err != nil {
		s.options.Log.Error(event.CallerAcceptFailed, err)
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// OnChange ends the requests whose key is not valid in the new view. It is called after View returns the view.
func (s *Server) OnChange(view *control.View) {
	if n := s.runs.endWithdrawn(view); n > 0 {
		s.reportEnded(n)
	}
}

func (s *Server) reportEnded(n int) {
	s.options.Log.Write(event.CallerRequestsEnded, func(e *log.Entry) { e.Int("requests", n) })
}

// Ready says whether a load balancer may send requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.options.Control.View() != nil && s.options.Control.Fresh()
}

// endGrace is the time that ended requests have to tell their callers.
const (
	endGrace = time.Second
	endPoll  = 20 * time.Millisecond
)

// Shutdown stops gracefully: the entry is not ready, after DrainDelay it stops accepting, and running requests
// come to their end. When ctx ends, running requests are ended at once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	timer := time.NewTimer(s.options.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.http.ShutdownWithContext(ctx)
	s.end(relay.ErrStopping)
	if err != nil && ctx.Err() != nil {
		err = nil
		s.awaitEnded()
	}
	if ln := s.listener.Load(); ln != nil {
		ln.CloseAll()
	}
	s.options.Log.Write(event.CallerDrainEnded, func(e *log.Entry) { e.Int("requests", s.runs.count()) })
	if err != nil {
		return fmt.Errorf("stop serving callers: %w", err)
	}
	return s.group.Wait()
}

// awaitEnded gives ended requests the time to tell their callers.
func (s *Server) awaitEnded() {
	for limit := time.Now().Add(endGrace); time.Now().Before(limit); time.Sleep(endPoll) {
		if s.runs.count() == 0 {
			// An answer that is not streamed is written after its request ended.
			time.Sleep(endPoll)
			return
		}
	}
}

// serve answers one request.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	defer func() {
		if p := recover(); p != nil {
			s.options.Log.Write(event.CallerPanic, func(e *log.Entry) { e.Stack() })
			writeProblem(&ctx.Response, &relay.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Text: "Internal error.", Result: relay.Unknown})
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
		writeProblem(&ctx.Response, e)
		if errors.Is(e, relay.ErrCallerGone) {
			ctx.SetConnectionClose()
		}
	}
}
