package caller

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
)

func contextWithTimeout(t testing.TB, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(t.Context()), d)
}

func (c *fakeClaims) Claim(_ context.Context, r *fleetpb.ClaimRequest) (*fleetpb.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records, c.hashes = map[string]*fleetpb.CompleteRequest{}, map[string][]byte{}
	}
	id := r.Customer + "/" + r.IdempotencyKey
	old := c.records[id]
	outcome := fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
	switch {
	case old == nil || old.State == fleetpb.ClaimState_CLAIM_STATE_NOT_RUN:
		c.records[id] = &fleetpb.CompleteRequest{State: fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS}
		c.hashes[id] = r.BodyHash
	case !bytes.Equal(c.hashes[id], r.BodyHash):
		outcome = fleetpb.ClaimOutcome_CLAIM_OUTCOME_CONFLICT
	case old.State == fleetpb.ClaimState_CLAIM_STATE_DONE:
		return &fleetpb.ClaimResponse{Outcome: fleetpb.ClaimOutcome_CLAIM_OUTCOME_DONE, Answer: old.Answer}, nil
	case old.State == fleetpb.ClaimState_CLAIM_STATE_UNKNOWN:
		outcome = fleetpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	case c.loseResponses < 0:
		c.loseResponses = 0 // the resent claim whose first response was lost
	default:
		outcome = fleetpb.ClaimOutcome_CLAIM_OUTCOME_IN_PROGRESS
	}
	if c.loseResponses > 0 {
		c.loseResponses = -1
		return nil, errors.New("connection lost")
	}
	return &fleetpb.ClaimResponse{Outcome: outcome, Attempt: 1}, nil
}

func (c *fakeClaims) Complete(_ context.Context, r *fleetpb.CompleteRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[r.Customer+"/"+r.IdempotencyKey] = r
	return nil
}

func (c *fakeClaims) state(id string) fleetpb.ClaimState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records[id].GetState()
}
