package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/tcp"
)

// dispatch is the last handler of the chain. It runs the request and records its outcome.
func (s *Server) dispatch(x *Exchange) *relay.Error {
	if x.Kind == KindModels {
		return s.models(x)
	}
	ctx, end := s.startRequest(x)
	series := s.options.Metrics.For(x.Customer, x.ProfileName)
	finish := sync.OnceFunc(end)
	var e *relay.Error
	if e = s.recheckKey(x); e == nil {
		if x.Kind == KindService {
			e = s.callService(ctx, x)
		} else {
			e = s.generate(ctx, x, func(outcome string) {
				series.Outcome(outcome)
				finish()
			})
			if e == nil {
				return nil // generate calls finish
			}
		}
	}
	finish()
	outcome := "ok"
	if e != nil {
		outcome = e.Code
	}
	series.Outcome(outcome)
	return e
}

// startRequest registers the request as active. It returns the request's context and the function to call at its end.
// The context is cancelled when the caller disconnects, the profile's request timeout passes, the key is withdrawn or
// the server stops.
func (s *Server) startRequest(x *Exchange) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(s.baseCtx)
	deadline := x.Arrived.Add(time.Duration(x.Profile.RequestTimeout))
	ctx, stopTimer := context.WithDeadlineCause(ctx, deadline, relay.ErrTimeout)
	r := &activeRequest{keyHash: x.KeyHash, customer: x.Customer, cancel: cancel}
	x.onAdmitted = func() { r.admitted.Store(true) }
	s.active.add(r)
	stopWatch := func() {}
	if c, ok := x.HTTP.Conn().(*tcp.Conn); ok {
		stopWatch = c.WatchDisconnect(&s.group, func() { cancel(relay.ErrCallerGone) })
	}
	return ctx, func() {
		stopWatch()
		s.active.remove(r)
		stopTimer()
		cancel(nil)
	}
}

// recheckKey checks the key against the current view once the request is active and OnChange can cancel it. Without
// this second check, a request whose key is withdrawn between the filter's check and its registration would go on.
func (s *Server) recheckKey(x *Exchange) *relay.Error {
	if x.KeyHash == "" {
		return nil
	}
	r := activeRequest{keyHash: x.KeyHash, customer: x.Customer}
	if !r.keyValid(s.options.Control.View()) {
		return errInvalidKey
	}
	return nil
}

func (s *Server) relayRequest(x *Exchange) *relay.Request {
	bucket, limit := x.View.Config.LimitFor(x.Customer, x.ProfileName)
	r := &relay.Request{
		ID: x.ID, Customer: x.Customer, Weight: 1, Bucket: bucket, Limit: limit,
		Pool: x.Route.Pool, ProfileName: x.ProfileName, Profile: x.Profile, Charge: x.Profile.RequestTokens, Arrived: x.Arrived,
		OnAdmitted: x.onAdmitted,
	}
	if c := x.View.Config.Customers[x.Customer]; c != nil {
		r.Weight = max(1, c.Weight)
	}
	return r
}

// keyCheck returns a function to call before any work starts on an upstream. The function fails if the key is withdrawn
// or cannot be checked. While the entry is not fresh, an authorised request waits before it fails: after a process
// pause the entry is soon fresh again. The function is nil for requests without a key.
func (s *Server) keyCheck(ctx context.Context, x *Exchange) func() error {
	if x.KeyHash == "" {
		return nil
	}
	return func() error {
		if err := s.awaitFresh(ctx); err != nil {
			return err
		}
		if e := s.recheckKey(x); e != nil {
			return relay.ErrKeyWithdrawn
		}
		return nil
	}
}

// awaitFresh waits until the entry is fresh, for at most Options.StaleGrace.
func (s *Server) awaitFresh(ctx context.Context) error {
	for start := time.Now(); !s.options.Control.Fresh(); {
		if time.Since(start) > s.options.StaleGrace {
			return relay.ErrControlUnreachable
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for fresh control state: %w", context.Cause(ctx))
		case <-time.After(awaitFreshInterval):
		}
	}
	return nil
}

// awaitFreshInterval is the interval at which a waiting request checks whether the entry is fresh again.
const awaitFreshInterval = 20 * time.Millisecond

// callService sends a request to a plain HTTP service and writes the response.
func (s *Server) callService(ctx context.Context, x *Exchange) *relay.Error {
	response, err := s.options.Relay.Call(ctx, &relay.Call{
		Request: s.relayRequest(x), HTTP: upstreamRequest(x), Claim: x.Claim, CheckAllowed: s.keyCheck(ctx, x),
	})
	if err != nil {
		return toRelayError(err)
	}
	writeResponse(x, response)
	return nil
}

// writeResponse copies the response of a service, or a stored response, to the caller.
func writeResponse(x *Exchange, from *relay.Response) {
	defer fasthttp.ReleaseResponse(from.HTTP)
	to := &x.HTTP.Response
	copyResponse(to, from.HTTP)
	to.Header.Set(headerRequestID, x.ID)
	if from.Upstream != "" {
		to.Header.Set(headerUpstream, from.Upstream)
	}
	if from.Replayed {
		to.Header.Set(headerReplayed, "true")
	}
	if from.HTTP.StatusCode() >= fasthttp.StatusBadRequest {
		to.Header.Set(headerOutcome, string(relay.Ran))
	}
}
