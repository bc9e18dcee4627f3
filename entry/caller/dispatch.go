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

// dispatch is the last step: it runs the request.
func (s *Server) dispatch(x *Exchange) *relay.Error {
	if x.Kind == KindModels {
		return s.models(x)
	}
	ctx, end := s.begin(x)
	series := s.options.Metrics.For(x.Customer, x.ProfileName)
	finish := sync.OnceFunc(end)
	var e *relay.Error
	if e = s.recheck(x); e == nil {
		if x.Kind == KindService {
			e = s.call(ctx, x)
		} else {
			e = s.generate(ctx, x, func(outcome string) {
				series.Outcome(outcome)
				finish()
			})
			if e == nil {
				return nil // generate ends the request
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

// begin returns the context of the request and a function that ends it. The context ends with the caller's
// connection, the profile's timeout, the withdrawal of the key and the end of the server.
func (s *Server) begin(x *Exchange) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(s.base)
	limit := x.Arrived.Add(time.Duration(x.Profile.RequestTimeout))
	ctx, stopTimer := context.WithDeadlineCause(ctx, limit, relay.ErrTimeout)
	r := &run{keyHash: x.KeyHash, customer: x.Customer, cancel: cancel}
	x.admitted = func() { r.admitted.Store(true) }
	s.runs.add(r)
	stopWatch := func() {}
	if c, ok := x.HTTP.Conn().(*tcp.Conn); ok {
		stopWatch = c.WatchDisconnect(&s.group, func() { cancel(relay.ErrCallerGone) })
	}
	return ctx, func() {
		stopWatch()
		s.runs.remove(r)
		stopTimer()
		cancel(nil)
	}
}

// recheck looks at the key again now that OnChange can find the request: the key may have been withdrawn after
// the filter's look.
func (s *Server) recheck(x *Exchange) *relay.Error {
	if x.KeyHash == "" {
		return nil
	}
	r := run{keyHash: x.KeyHash, customer: x.Customer}
	if !r.valid(s.options.Control.View()) {
		return errKey
	}
	return nil
}

func (s *Server) request(x *Exchange) *relay.Request {
	bucket, limit := x.View.Config.LimitFor(x.Customer, x.ProfileName)
	r := &relay.Request{
		ID: x.ID, Customer: x.Customer, Weight: 1, Bucket: bucket, Limit: limit,
		Pool: x.Route.Pool, ProfileName: x.ProfileName, Profile: x.Profile, Charge: x.Profile.RequestTokens, Arrived: x.Arrived,
		Admitted: x.admitted,
	}
	if c := x.View.Config.Customers[x.Customer]; c != nil {
		r.Weight = max(1, c.Weight)
	}
	return r
}

// allowed returns a check that no new upstream work starts for a key that can't be checked. A request that was
// authorised before waits for a while: an entry that was frozen is fresh again soon after it wakes.
func (s *Server) allowed(ctx context.Context, x *Exchange) func() error {
	if x.KeyHash == "" {
		return nil
	}
	return func() error {
		if err := s.awaitFresh(ctx); err != nil {
			return err
		}
		if e := s.recheck(x); e != nil {
			return relay.ErrKeyWithdrawn
		}
		return nil
	}
}

// awaitFresh waits until the entry is fresh, for at most Options.StaleGrace.
func (s *Server) awaitFresh(ctx context.Context) error {
	for began := time.Now(); !s.options.Control.Fresh(); {
		if time.Since(began) > s.options.StaleGrace {
			return relay.ErrNotFresh
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until the entry is fresh: %w", context.Cause(ctx))
		case <-time.After(allowedPoll):
		}
	}
	return nil
}

// allowedPoll is how often a waiting request looks whether the entry is fresh again.
const allowedPoll = 20 * time.Millisecond

// call runs a request to a plain service.
func (s *Server) call(ctx context.Context, x *Exchange) *relay.Error {
	answer, err := s.options.Relay.Call(ctx, &relay.Call{
		Request: s.request(x), HTTP: upstreamRequest(x), Claim: x.Claim, Allowed: s.allowed(ctx, x),
	})
	if err != nil {
		return asError(err)
	}
	writeAnswer(x, answer)
	return nil
}

// writeAnswer passes on a service's answer or a stored one.
func writeAnswer(x *Exchange, answer *relay.Answer) {
	defer fasthttp.ReleaseResponse(answer.Response)
	response := &x.HTTP.Response
	copyResponse(response, answer.Response)
	response.Header.Set(headerRequestID, x.ID)
	if answer.Upstream != "" {
		response.Header.Set(headerUpstream, answer.Upstream)
	}
	if answer.Replayed {
		response.Header.Set(headerReplayed, "true")
	}
	if answer.Response.StatusCode() >= fasthttp.StatusBadRequest {
		response.Header.Set(headerOutcome, string(relay.Ran))
	}
}
