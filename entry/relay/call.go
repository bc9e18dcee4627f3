package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/conn"
)

// Call is a request to a plain service.
type Call struct {
	Request *Request
	// HTTP is the request to send, without the API key and hop-by-hop headers. The caller must not reuse HTTP, because
	// a claimed call may continue after Relay.Call has returned.
	HTTP *fasthttp.Request
	// Claim is set for a non-idempotent request with an idempotency key.
	Claim *Claim
	// CheckAllowed returns an error if no new upstream work may start. A nil function allows all work.
	CheckAllowed func() error
}

// Response is the response to a request, from a service or from the record of an earlier request.
type Response struct {
	HTTP     *fasthttp.Response
	Upstream string
	// Replayed is set for a stored response. The body of a stored response is empty if it was too large to store.
	Replayed bool
}

// Call admits a request and sends it to a service of its pool. Errors are of type *Error. A claimed request continues
// after its caller has disconnected, so that the response is recorded, until the profile's request timeout.
func (r *Relay) Call(ctx context.Context, call *Call) (*Response, error) {
	request := call.Request
	series := r.options.Metrics.For(request.Customer, request.ProfileName)
	admission, err := r.admit(ctx, request, series)
	if err != nil {
		return nil, toError(err, NotRun)
	}
	usedTokens := int64(0)
	defer func() { admission.Release(usedTokens) }()
	var response *Response
	if call.Claim != nil {
		response, err = r.callClaimed(ctx, call)
	} else {
		response, err = r.send(ctx, call)
	}
	if err != nil {
		failed := toError(err, Unknown)
		if failed.Result != NotRun {
			usedTokens = request.Charge
		}
		return nil, failed
	}
	if !response.Replayed {
		usedTokens = request.Charge
	}
	series.Duration.RecordDuration(time.Since(request.Arrived))
	return response, nil
}

func (r *Relay) callClaimed(ctx context.Context, call *Call) (*Response, error) {
	attempt, stored, err := r.claim(ctx, call.Request, call.Claim)
	if err != nil {
		return nil, toError(err, NotRun)
	}
	if stored != nil {
		return replay(stored), nil
	}
	if cause := contextError(ctx); cause != nil {
		err := toError(cause, NotRun)
		r.recordOutcome(ctx, call.Request, call.Claim, attempt, nil, NotRun)
		return nil, err
	}
	timeout := time.Until(call.Request.Arrived.Add(time.Duration(call.Request.Profile.RequestTimeout)))
	done := make(chan struct{})
	var response *Response
	r.runDetached(ctx, timeout, func(detached context.Context) {
		defer close(done)
		response, err = r.send(detached, call)
		var stored *fleetpb.StoredAnswer
		result := Unknown
		if err == nil {
			stored = newStoredAnswer(response.HTTP.StatusCode(), string(response.HTTP.Header.ContentType()), response.HTTP.Body())
		} else {
			result = toError(err, Unknown).Result
		}
		r.recordOutcome(ctx, call.Request, call.Claim, attempt, stored, result)
	})
	select {
	case <-done:
		return response, err
	case <-ctx.Done():
		return nil, toError(contextError(ctx), Unknown)
	}
}

func replay(stored *fleetpb.StoredAnswer) *Response {
	response := fasthttp.AcquireResponse()
	response.SetStatusCode(int(stored.Status))
	response.Header.SetContentType(stored.ContentType)
	response.SetBody(stored.Body)
	return &Response{HTTP: response, Replayed: true}
}

// send tries one upstream after another. A non-idempotent request is retried only if no byte of the previous attempt can
// have been sent.
func (r *Relay) send(ctx context.Context, call *Call) (*Response, error) {
	atMostOnce := call.Request.Profile.RepeatRule == config.NonIdempotent
	var exclude []string
	result := NotRun
	for attempts := 1; ; attempts++ {
		if err := r.checkAllowed(ctx, call); err != nil {
			return nil, toError(err, result)
		}
		upstream, err := r.options.Policy.PickService(call.Request, exclude)
		if errors.Is(err, ErrNoUpstream) && len(exclude) > 0 {
			exclude = nil
			upstream, err = r.options.Policy.PickService(call.Request, nil)
		}
		if err != nil {
			return nil, toError(err, result)
		}
		response, err := r.sendAttempt(ctx, call, upstream, atMostOnce)
		if err == nil && (atMostOnce || !isUnavailable(response.StatusCode())) {
			return &Response{HTTP: response, Upstream: upstream.ID}, nil
		}
		sent := err == nil || conn.Sent(err)
		if sent {
			result = Unknown
		}
		exclude = append(exclude, upstream.ID)
		if cause := contextError(ctx); cause != nil {
			return nil, toError(cause, result)
		}
		if atMostOnce && sent || attempts >= maxAttempts || !r.options.Policy.AllowRetry(call.Request) {
			if err == nil {
				return &Response{HTTP: response, Upstream: upstream.ID}, nil
			}
			return nil, toError(err, result)
		}
		if err == nil {
			fasthttp.ReleaseResponse(response)
		}
	}
}

func (r *Relay) checkAllowed(ctx context.Context, call *Call) error {
	if err := contextError(ctx); err != nil {
		return err
	}
	if call.CheckAllowed != nil {
		return call.CheckAllowed()
	}
	return nil
}

// isUnavailable reports whether the status is one after which an idempotent request may succeed on another upstream.
func isUnavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (r *Relay) sendAttempt(ctx context.Context, call *Call, upstream Upstream, atMostOnce bool) (*fasthttp.Response, error) {
	deadline := call.Request.Arrived.Add(time.Duration(call.Request.Profile.RequestTimeout))
	firstByte := max(time.Until(deadline), time.Millisecond)
	if !atMostOnce {
		// Half of the remaining time is reserved for an attempt on another upstream.
		firstByte = max(firstByte/2, min(firstByte, time.Duration(call.Request.Profile.FirstTokenTarget)))
	}
	observe := r.startStage(call.Request, upstream, StageService)
	response := fasthttp.AcquireResponse()
	err := r.options.Services.Do(ctx, upstream.Address, call.HTTP, response, firstByte, atMostOnce)
	kind := outcomeKind(ctx, err)
	if err == nil && response.StatusCode() >= http.StatusInternalServerError {
		kind = Failed
		if response.StatusCode() == http.StatusServiceUnavailable {
			kind = Full
		}
	}
	observe(Outcome{Kind: kind})
	if err != nil {
		fasthttp.ReleaseResponse(response)
		if kind == Failed && errors.Is(err, context.DeadlineExceeded) {
			err = ErrTimeout
		}
		return nil, err
	}
	return response, nil
}
