package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// Claims stores the records of at-most-once requests in the control group.
type Claims interface {
	Claim(ctx context.Context, request *fleetpb.ClaimRequest) (*fleetpb.ClaimResponse, error)
	Complete(ctx context.Context, request *fleetpb.CompleteRequest) error
}

// Claim describes the record of an at-most-once request.
type Claim struct {
	SessionID uint64
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is the SHA-256 of method, path, query and body.
	BodyHash []byte
}

// MaxStoredBytes is the largest response body that a record stores, in bytes. Of a larger response, only the
// status and content type are stored.
const MaxStoredBytes = 64 << 10

const (
	// claimTimeout is the timeout of a claim. It covers the election of a new leader, which takes about 1.5 s.
	claimTimeout = 4 * time.Second
	// completeTimeout is the timeout for recording the outcome of a request, with all retries.
	completeTimeout = 30 * time.Second
	// completeWait is the maximum time that a response is delayed until its record is stored.
	completeWait = time.Second
)

// claim claims the idempotency key of a request. It returns the number of the granted attempt, or the stored response of
// an earlier request, or an error.
func (r *Relay) claim(ctx context.Context, request *Request, claim *Claim) (uint64, *fleetpb.StoredAnswer, error) {
	claimRequest := &fleetpb.ClaimRequest{
		SessionId: claim.SessionID, Customer: request.Customer, IdempotencyKey: claim.Key, BodyHash: claim.BodyHash, RequestId: request.ID,
		RetentionSeconds: uint32(time.Duration(request.Profile.AnswerRetention) / time.Second),
	}
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := r.options.Claims.Claim(limited, claimRequest)
	if err != nil {
		r.options.Log.Write(event.RelayClaimFailed, func(e *log.Entry) { e.Str("request", request.ID).Err(err) })
		r.undoClaim(ctx, claimRequest)
		if cause := contextError(ctx); cause != nil {
			return 0, nil, cause
		}
		return 0, nil, &Error{
			Status: http.StatusServiceUnavailable, Code: "not_ready", Text: "The request could not be recorded; it was not sent.",
			Result: NotRun, RetryAfter: time.Second, Err: err,
		}
	}
	switch response.Outcome {
	case fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return response.Attempt, nil, nil
	case fleetpb.ClaimOutcome_CLAIM_OUTCOME_DONE:
		return 0, response.Answer, nil
	}
	return 0, nil, claimError(response.Outcome)
}

func claimError(outcome fleetpb.ClaimOutcome) error {
	switch outcome {
	case fleetpb.ClaimOutcome_CLAIM_OUTCOME_CONFLICT:
		return &Error{Status: http.StatusUnprocessableEntity, Code: "idempotency_conflict", Text: "The idempotency key was used for another request.", Result: NotRun}
	case fleetpb.ClaimOutcome_CLAIM_OUTCOME_IN_PROGRESS:
		return &Error{Status: http.StatusConflict, Code: "idempotency_in_progress", Text: "The request with this idempotency key is still running.", Result: Unknown, RetryAfter: time.Second}
	case fleetpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN:
		return &Error{Status: http.StatusConflict, Code: "idempotency_unknown", Text: "Whether the request with this idempotency key ran is unknown.", Result: Unknown}
	default:
		return &Error{Status: http.StatusServiceUnavailable, Code: "not_ready", Text: "The router is renewing its session.", Result: NotRun, RetryAfter: time.Second}
	}
}

// undoClaim records notRun for a claim that returned an error and may still have been granted, because the request is
// not sent.
func (r *Relay) undoClaim(ctx context.Context, request *fleetpb.ClaimRequest) {
	r.runDetached(ctx, completeTimeout, func(ctx context.Context) {
		for {
			// A repeated claim with the same request ID returns the same grant.
			response, err := r.options.Claims.Claim(ctx, request)
			if err == nil {
				if response.Outcome == fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
					r.complete(ctx, &fleetpb.CompleteRequest{
						Customer: request.Customer, IdempotencyKey: request.IdempotencyKey, Attempt: response.Attempt,
						State: fleetpb.ClaimState_CLAIM_STATE_NOT_RUN,
					})
				}
				return
			}
			if sleep(ctx, time.Second) != nil {
				return
			}
		}
	})
}

// complete records the outcome of a claimed request and retries until ctx ends.
func (r *Relay) complete(ctx context.Context, request *fleetpb.CompleteRequest) {
	for {
		err := r.options.Claims.Complete(ctx, request)
		if err == nil {
			return
		}
		if sleep(ctx, 200*time.Millisecond) != nil {
			r.options.Log.Error(event.RelayCompleteFailed, err)
			return
		}
	}
}

// recordOutcome records the outcome of a claimed request in the background. It waits up to completeWait for the record,
// so that a repeated request finds the outcome.
func (r *Relay) recordOutcome(ctx context.Context, request *Request, claim *Claim, attempt uint64, answer *fleetpb.StoredAnswer, result Result) {
	completion := &fleetpb.CompleteRequest{Customer: request.Customer, IdempotencyKey: claim.Key, Attempt: attempt}
	switch {
	case answer != nil:
		completion.State = fleetpb.ClaimState_CLAIM_STATE_DONE
		completion.Answer = answer
	case result == NotRun:
		completion.State = fleetpb.ClaimState_CLAIM_STATE_NOT_RUN
	default:
		completion.State = fleetpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
	done := make(chan struct{})
	r.runDetached(ctx, completeTimeout, func(ctx context.Context) {
		defer close(done)
		r.complete(ctx, completion)
	})
	timer := time.NewTimer(completeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// newStoredAnswer returns a response in the form that a record stores.
func newStoredAnswer(status int, contentType string, body []byte) *fleetpb.StoredAnswer {
	stored := &fleetpb.StoredAnswer{Status: uint32(status), ContentType: contentType}
	if len(body) > MaxStoredBytes {
		stored.BodyOmitted = true
	} else {
		stored.Body = append([]byte(nil), body...)
	}
	return stored
}
