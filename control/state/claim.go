package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

// MaxAnswerBytes is the size of the largest answer body that is stored.
const MaxAnswerBytes = 64 << 10

type claimKey struct{ customer, key string }

// claim grants the right to send a non-idempotent request, or returns the outcome of an earlier request with the same
// idempotency key.
func (m *Machine) claim(c *fleetpb.ClaimRequest) *fleetpb.Result {
	if _, ok := m.sessions[c.SessionId]; !ok {
		result := claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_SESSION_ENDED, 0, nil)
		result.Code = fleetpb.ResultCode_RESULT_CODE_SESSION_ENDED
		return result
	}
	if c.Customer == "" || len(c.Customer) > maxTextBytes ||
		c.IdempotencyKey == "" || len(c.IdempotencyKey) > maxTextBytes ||
		len(c.BodyHash) == 0 || len(c.BodyHash) > maxTextBytes ||
		len(c.RequestId) > maxTextBytes || c.RetentionSeconds > maxRetentionSeconds {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID,
			"a claim needs a customer, an idempotency key and a body hash of at most %d bytes each, and a retention of at most 30 days", maxTextBytes)
	}
	key := claimKey{c.Customer, c.IdempotencyKey}
	if known, ok := m.claims[key]; ok {
		return existingClaimResult(known, c)
	}
	m.putClaim(key, &fleetpb.ClaimRecord{
		Customer: c.Customer, IdempotencyKey: c.IdempotencyKey, BodyHash: c.BodyHash,
		State: fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS, SessionId: c.SessionId, Attempt: m.applied,
		RequestId: c.RequestId, RetentionSeconds: max(c.RetentionSeconds, 1),
	})
	return claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED, m.applied, nil)
}

const maxRetentionSeconds = uint32(30 * 24 * time.Hour / time.Second)

func claimResult(outcome fleetpb.ClaimOutcome, attempt uint64, answer *fleetpb.StoredAnswer) *fleetpb.Result {
	return &fleetpb.Result{Claim: &fleetpb.ClaimResponse{Outcome: outcome, Attempt: attempt, Answer: answer}}
}

func existingClaimResult(known *fleetpb.ClaimRecord, c *fleetpb.ClaimRequest) *fleetpb.Result {
	if string(known.BodyHash) != string(c.BodyHash) {
		return claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_CONFLICT, 0, nil)
	}
	switch known.State {
	case fleetpb.ClaimState_CLAIM_STATE_DONE:
		return claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_DONE, known.Attempt, known.Answer)
	case fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS:
		if known.SessionId == c.SessionId && known.RequestId == c.RequestId && c.RequestId != "" {
			return claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED, known.Attempt, nil)
		}
		return claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_IN_PROGRESS, 0, nil)
	case fleetpb.ClaimState_CLAIM_STATE_UNKNOWN, fleetpb.ClaimState_CLAIM_STATE_NOT_RUN, fleetpb.ClaimState_CLAIM_STATE_UNSPECIFIED:
	}
	return claimResult(fleetpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, known.Attempt, nil)
}

// complete records the end of an attempt. Only an attempt in progress can end as not run: once the state is unknown, a
// later claim of the same key may already have returned the outcome unknown.
func (m *Machine) complete(c *fleetpb.CompleteRequest) *fleetpb.Result {
	key := claimKey{c.Customer, c.IdempotencyKey}
	known, ok := m.claims[key]
	if !ok {
		return failure(fleetpb.ResultCode_RESULT_CODE_NOT_FOUND, "there is no such claim")
	}
	if known.Attempt != c.Attempt {
		return failure(fleetpb.ResultCode_RESULT_CODE_STALE, "the claim belongs to another attempt")
	}
	inProgress := known.State == fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS
	switch c.State {
	case fleetpb.ClaimState_CLAIM_STATE_DONE:
		if known.State == fleetpb.ClaimState_CLAIM_STATE_DONE {
			return success()
		}
		m.finishClaim(key, known, c.State, OmitLargeBody(c.Answer))
		return success()
	case fleetpb.ClaimState_CLAIM_STATE_UNKNOWN:
		if inProgress {
			m.finishClaim(key, known, c.State, nil)
			return success()
		}
		if known.State == fleetpb.ClaimState_CLAIM_STATE_UNKNOWN {
			return success()
		}
	case fleetpb.ClaimState_CLAIM_STATE_NOT_RUN:
		if inProgress {
			m.deleteClaim(key)
			return success()
		}
	case fleetpb.ClaimState_CLAIM_STATE_UNSPECIFIED, fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "a claim ends as done, unknown or notRun")
	}
	return failure(fleetpb.ResultCode_RESULT_CODE_STALE, "the attempt has already ended otherwise")
}

// OmitLargeBody returns answer, without the body if the body is larger than MaxAnswerBytes.
func OmitLargeBody(answer *fleetpb.StoredAnswer) *fleetpb.StoredAnswer {
	if len(answer.GetBody()) <= MaxAnswerBytes {
		return answer
	}
	return &fleetpb.StoredAnswer{Status: answer.Status, ContentType: answer.ContentType, BodyOmitted: true}
}

func (m *Machine) putClaim(key claimKey, record *fleetpb.ClaimRecord) {
	m.claims[key] = record
	if record.State != fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS {
		m.removeSessionClaim(record.SessionId, key)
		heap.Push(&m.expiries, expiry{atMillis: record.ExpiresAtMillis, key: key, attempt: record.Attempt})
		return
	}
	if m.claimsBySession[record.SessionId] == nil {
		m.claimsBySession[record.SessionId] = map[claimKey]bool{}
	}
	m.claimsBySession[record.SessionId][key] = true
}

func (m *Machine) finishClaim(key claimKey, known *fleetpb.ClaimRecord, state fleetpb.ClaimState, answer *fleetpb.StoredAnswer) {
	next := proto.CloneOf(known)
	next.State = state
	next.Answer = answer
	next.ExpiresAtMillis = m.timeMillis + int64(known.RetentionSeconds)*1000
	m.putClaim(key, next)
}

func (m *Machine) deleteClaim(key claimKey) {
	if record, ok := m.claims[key]; ok {
		m.removeSessionClaim(record.SessionId, key)
		delete(m.claims, key)
	}
}

func (m *Machine) removeSessionClaim(session uint64, key claimKey) {
	delete(m.claimsBySession[session], key)
	if len(m.claimsBySession[session]) == 0 {
		delete(m.claimsBySession, session)
	}
}

// markClaimsUnknown sets the claims in progress of an ended session to unknown.
func (m *Machine) markClaimsUnknown(session uint64) {
	keys := make([]claimKey, 0, len(m.claimsBySession[session]))
	for key := range m.claimsBySession[session] {
		keys = append(keys, key)
	}
	for _, key := range keys {
		m.finishClaim(key, m.claims[key], fleetpb.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	}
}

// expireClaims deletes ended claims whose retention period is over. A claim in progress does not expire, because its
// request may still be running.
func (m *Machine) expireClaims() {
	for len(m.expiries) > 0 && m.expiries[0].atMillis <= m.timeMillis {
		due := heap.Pop(&m.expiries).(expiry)
		record, ok := m.claims[due.key]
		if ok && record.Attempt == due.attempt && record.ExpiresAtMillis == due.atMillis &&
			record.State != fleetpb.ClaimState_CLAIM_STATE_IN_PROGRESS {
			m.deleteClaim(due.key)
		}
	}
}

// expiry is the planned deletion of an ended claim. It has no effect if the key has since been claimed again or the claim
// now has another expiry time.
type expiry struct {
	atMillis int64
	key      claimKey
	attempt  uint64
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].atMillis < h[j].atMillis }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// ClaimCount returns the number of stored claims.
func (m *Machine) ClaimCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.claims)
}

func sortClaims(claims []*fleetpb.ClaimRecord) {
	slices.SortFunc(claims, func(a, b *fleetpb.ClaimRecord) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.IdempotencyKey, b.IdempotencyKey))
	})
}
