package relay

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/engine"
	"azuredoor.example/entry/service"
)

// Options configures a Relay. A duration of zero selects the default in brackets.
type Options struct {
	Policy   Policy
	Engines  *engine.Client
	Services *service.Client
	Claims   Claims
	Metrics  *metric.Requests
	Log      *event.Logger
	// Background runs work that continues after its request has ended, such as cancels and completions.
	Background *errgroup.Group

	// TokenStallTimeout is the maximum time between two tokens of a stream whose connection is alive [10 s].
	TokenStallTimeout time.Duration
	// TransferBaseTimeout is the fixed part of the timeout from the start of a decode to its first token [1 s]. The other
	// part is four times the expected transfer time.
	TransferBaseTimeout time.Duration
	// FullRetryDelay is the delay before engines that were full are tried again [20 ms].
	FullRetryDelay time.Duration
	// CancelTimeout is the timeout of each cancel call for abandoned work [2 s].
	CancelTimeout time.Duration
}

// Relay runs requests on upstreams. It is safe for concurrent use.
type Relay struct {
	options Options
}

// New returns a Relay with the given options.
func New(options Options) *Relay {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setDefault(&options.TokenStallTimeout, 10*time.Second)
	setDefault(&options.TransferBaseTimeout, time.Second)
	setDefault(&options.FullRetryDelay, 20*time.Millisecond)
	setDefault(&options.CancelTimeout, 2*time.Second)
	return &Relay{options: options}
}

// maxAttempts is the maximum number of attempts of a request, regardless of the retry budget. A stream counts attempts
// from its last new token.
const maxAttempts = 6

// maxCancelAttempts is the maximum number of cancel calls for abandoned work. After the last call, the engine's timeouts
// free the memory.
const maxCancelAttempts = 3

// cancelRetryDelay is the delay before the second cancel. The delay doubles with each further cancel.
const cancelRetryDelay = 300 * time.Millisecond

// runDetached runs work in the background with its own timeout, regardless of the cancellation of ctx.
func (r *Relay) runDetached(ctx context.Context, timeout time.Duration, work func(ctx context.Context)) {
	ctx = context.WithoutCancel(ctx)
	r.options.Background.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		work(ctx)
		return nil
	})
}

// cancel frees the memory that an engine holds for a request or an attempt.
func (r *Relay) cancel(ctx context.Context, upstream Upstream, id string) {
	r.runDetached(ctx, (maxCancelAttempts+1)*r.options.CancelTimeout, func(ctx context.Context) {
		var err error
		for try := range maxCancelAttempts {
			var n int
			if n, err = r.cancelOnce(ctx, upstream, id); n > 0 {
				return
			}
			// An engine that held nothing, or did not respond, may not have read the request from its connection yet,
			// so the cancel is repeated after a delay.
			if try+1 < maxCancelAttempts && sleep(ctx, cancelRetryDelay<<try) != nil {
				return
			}
		}
		if err == nil {
			return
		}
		r.options.Log.Write(event.RelayCancelFailed, func(e *log.Entry) {
			e.Str("request", id).Str("upstream", upstream.ID).Err(err)
		})
	})
}

func (r *Relay) cancelOnce(ctx context.Context, upstream Upstream, id string) (int, error) {
	ctx, stop := context.WithTimeout(ctx, r.options.CancelTimeout)
	defer stop()
	return r.options.Engines.Cancel(ctx, upstream.Address, id)
}

// startStage reports to the policy that a stage starts on an upstream. The caller passes the outcome of the stage to the
// returned function.
func (r *Relay) startStage(request *Request, upstream Upstream, stage Stage) func(o Outcome) {
	r.options.Policy.Started(request, upstream, stage)
	began := time.Now()
	return func(o Outcome) {
		o.Request, o.Upstream, o.Stage = request, upstream, stage
		o.Elapsed = time.Since(began)
		r.options.Policy.Observe(o)
	}
}

// outcomeKind returns the kind of outcome of a stage that returned err.
func outcomeKind(ctx context.Context, err error) OutcomeKind {
	switch {
	case err == nil:
		return Succeeded
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout):
		return Cancelled
	case errors.Is(err, engine.ErrFull):
		return Full
	default:
		return Failed
	}
}

// contextError returns nil while ctx is active, then the cause of its end, with ErrTimeout for an exceeded deadline.
func contextError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.DeadlineExceeded) {
		return cause //nolint:wrapcheck // the causes are this project's own
	}
	return ErrTimeout
}

// sleep waits for d, or returns the error of contextError if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

// isConnError reports whether err is a failure of the connection, such as a break or a stall, rather than an error
// response.
func isConnError(err error) bool {
	var failed *conn.Error
	return errors.As(err, &failed)
}
