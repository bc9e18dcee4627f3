package limit

import (
	"math"
	"time"

	"azuredoor.example/core/config"
)

const (
	// LoanCoverage is how long a loan lasts at the recent rate of use. A change of owner takes about 3.5 s; the rest
	// covers the tokens spent before the loan is topped up.
	LoanCoverage = 4500 * time.Millisecond
	// topUpThreshold is the fraction of the target balance below which the entry borrows more; 0.8 of 4.5 s is 3.6 s.
	topUpThreshold = 0.8
	// renewAfter is the age at which a loan in use is renewed, so that at least 5.5 s of its lifetime remain
	// when its owner fails. Renewals also bound the time until other entries learn that tokens are scarce.
	renewAfter = 500 * time.Millisecond
	// scarcityPeriod is how long an entry holds no tokens ahead of demand after the owner reported that tokens are scarce.
	scarcityPeriod = 500 * time.Millisecond
	// resendAfter is how long a request may stay without a response before the entry resends it.
	resendAfter = 250 * time.Millisecond
	// useTimeConstant is the time constant of the exponential average of use.
	useTimeConstant = 2 * time.Second
	// idleUseFraction is the use in tokens per second, as a fraction of this entry's fair share of the burst, below which
	// an account counts as idle.
	idleUseFraction = 0.001
)

// account holds the tokens that an entry borrowed from one bucket.
type account struct {
	limit   config.Limit
	balance int64
	// expiresAt is when the balance can no longer be spent. The balance was requested at borrowedAt.
	expiresAt, borrowedAt time.Time
	// refund counts tokens that were charged but not used and are not yet in a request.
	refund int64
	// chargedAfter is a sequence: the refunded charges were made after the response to that request. lastResponded is the
	// sequence of the last request that received a response.
	chargedAfter, lastResponded uint64
	// use is the average rate of use at usedAt, in tokens per second.
	use    float64
	usedAt time.Time
	// demand is the largest charge that exceeded the balance since the last request.
	demand int64
	// outstanding is the last request.
	outstanding Request
	// pending is set while the last request has no response.
	pending bool
	// sentAt is when the last request was first sent, lastSentAt when the same request was last sent.
	sentAt, lastSentAt time.Time
	// spentSinceSent counts the tokens charged since sentAt.
	spentSinceSent int64
	// refusals counts consecutive refusals by the owner.
	refusals int
	// notBefore is the earliest time of the next request, except for a report of the balance.
	notBefore time.Time
	// reportDue is set when the owner needs a report of the balance, reportPending while the report has no response.
	reportDue, reportPending bool
	// retryUntil is when the retry delay of the owner's last refusal ends.
	retryUntil time.Time
	// Until scarceUntil, no tokens are held ahead of demand. Until noPrefetchUntil, none are borrowed ahead of demand.
	scarceUntil, noPrefetchUntil time.Time
}

// Borrower holds the tokens that one entry borrowed from the owners of buckets.
type Borrower struct {
	session  uint64
	sequence uint64
	accounts map[string]*account
	// burstShare is the fraction of a burst that this entry may borrow ahead of demand.
	burstShare float64
}

// NewBorrower returns a borrower without tokens for a session. Loans do not outlive the session.
func NewBorrower(session uint64) *Borrower {
	return &Borrower{session: session, accounts: map[string]*account{}, burstShare: 0.25}
}

// SetEntries sets the number of entries that share the buckets. For up to eight entries, all loans ahead of demand
// together stay within the burst; larger fleets route each customer to few entries.
func (b *Borrower) SetEntries(n int) { b.burstShare = 1 / float64(min(max(n, 2), 8)) }

// Len returns the number of buckets in use.
func (b *Borrower) Len() int { return len(b.accounts) }

// Balance returns the number of tokens of a bucket that may be spent now.
func (b *Borrower) Balance(now time.Time, bucket string) int64 {
	a := b.accounts[bucket]
	if a == nil {
		return 0
	}
	a.expire(now)
	return a.balance
}

func (a *account) expire(now time.Time) {
	if a.balance > 0 && !now.Before(a.expiresAt) {
		a.balance = 0
	}
}

func (a *account) useAt(now time.Time) float64 {
	if d := now.Sub(a.usedAt); d > 0 && a.use > 0 {
		return a.use * math.Exp(-d.Seconds()/useTimeConstant.Seconds())
	}
	return a.use
}

func (b *Borrower) account(now time.Time, bucket string, limit config.Limit) *account {
	a := b.accounts[bucket]
	if a == nil {
		a = &account{usedAt: now}
		b.accounts[bucket] = a
	}
	a.limit = limit
	a.expire(now)
	return a
}

// Take charges tokens to a bucket. It returns false if the entry holds too few; Due then requests more. It returns
// ErrTooLarge if the charge exceeds the burst.
func (b *Borrower) Take(now time.Time, bucket string, limit config.Limit, tokens int64) (bool, error) {
	if tokens > limit.BurstTokens {
		return false, ErrTooLarge
	}
	if tokens <= 0 {
		return true, nil
	}
	a := b.account(now, bucket, limit)
	if tokens > a.balance {
		a.demand = max(a.demand, tokens)
		return false, nil
	}
	a.balance -= tokens
	a.use = a.useAt(now) + float64(tokens)/useTimeConstant.Seconds()
	a.usedAt = now
	if a.pending {
		a.spentSinceSent += tokens
	}
	return true, nil
}

// RaiseDemand increases the demand to cover several waiting charges. After a refusal by the owner, an entry requests
// only the next charge, so RaiseDemand does nothing.
func (b *Borrower) RaiseDemand(bucket string, tokens int64) {
	if a := b.accounts[bucket]; a != nil && a.refusals == 0 && a.demand > 0 {
		a.demand = max(a.demand, min(tokens, a.limit.BurstTokens))
	}
}

// ChargeMark records when a charge was made, as the session and the last request that had received a response.
type ChargeMark struct{ session, sequence uint64 }

// Mark returns the mark that Refund needs for a charge made now.
func (b *Borrower) Mark(bucket string) ChargeMark {
	if a := b.accounts[bucket]; a != nil {
		return ChargeMark{b.session, a.lastResponded}
	}
	return ChargeMark{session: b.session}
}

// Refund returns charged tokens that were not used, given the mark of their charge. The next request sends them back to
// the owner. They are lost if the session or the owner changed since the charge, because the owner then cannot compute
// how many of them the bucket would have kept.
func (b *Borrower) Refund(now time.Time, bucket string, limit config.Limit, mark ChargeMark, tokens int64) {
	if tokens <= 0 || mark.session != b.session {
		return
	}
	a := b.account(now, bucket, limit)
	if a.refund == 0 || mark.sequence < a.chargedAfter {
		a.chargedAfter = mark.sequence
	}
	a.refund += tokens
}

// OwnerChanged abandons the pending request to the former owner and schedules a report of the balance to the new owner.
// No tokens are borrowed ahead of demand for scarcityPeriod, because the new owner may start at level 0.
// Refunds in the pending request are lost, because the former owner may have counted them.
func (b *Borrower) OwnerChanged(now time.Time, bucket string) {
	if a := b.accounts[bucket]; a != nil {
		a.abandon()
		a.reportDue, a.reportPending = true, false
		a.notBefore, a.refusals = time.Time{}, 0
		a.noPrefetchUntil = now.Add(scarcityPeriod)
	}
}

func (a *account) abandon() {
	a.pending = false
}

// HandleNotOwner handles a response from a receiver that does not own the bucket and did not count the request. The
// request is resent unchanged after a pause.
func (b *Borrower) HandleNotOwner(now time.Time, bucket string, sequence uint64, pause time.Duration) {
	if a := b.accounts[bucket]; a != nil && a.pending && a.outstanding.Sequence == sequence {
		a.lastSentAt = now.Add(pause - resendAfter)
	}
}

// Unanswered returns how long the pending request for a bucket has been without a response, or 0.
func (b *Borrower) Unanswered(now time.Time, bucket string) time.Duration {
	if a := b.accounts[bucket]; a != nil && a.pending {
		return now.Sub(a.sentAt)
	}
	return 0
}

// RetryAfter returns the remaining time of the retry delay in the owner's last refusal for the bucket.
func (b *Borrower) RetryAfter(now time.Time, bucket string) time.Duration {
	if a := b.accounts[bucket]; a != nil && a.retryUntil.After(now) {
		return a.retryUntil.Sub(now)
	}
	return 0
}

// Buckets calls f for each bucket in use; unreported is set while the owner has not confirmed a report of the balance.
func (b *Borrower) Buckets(f func(bucket string, unreported bool)) {
	for name, a := range b.accounts {
		f(name, a.reportDue || a.reportPending)
	}
}

// Due appends the requests to send now to out and removes idle accounts. The caller sends each request to the owner of
// its bucket.
func (b *Borrower) Due(now time.Time, out []Request) []Request {
	for name, a := range b.accounts {
		if r, ok := b.due(now, name, a); ok {
			out = append(out, r)
		} else if a.idle(now, b.burstShare) {
			delete(b.accounts, name)
		}
	}
	return out
}

// DueFor returns the request to send now for one bucket, if any.
func (b *Borrower) DueFor(now time.Time, bucket string) (Request, bool) {
	if a := b.accounts[bucket]; a != nil {
		return b.due(now, bucket, a)
	}
	return Request{}, false
}

func (a *account) idle(now time.Time, share float64) bool {
	return !a.pending && a.balance == 0 && a.refund == 0 && a.demand == 0 && !a.reportDue &&
		a.useAt(now) < idleUseFraction*share*float64(a.limit.BurstTokens)
}

func (b *Borrower) due(now time.Time, name string, a *account) (Request, bool) {
	a.expire(now)
	if a.pending {
		switch {
		case now.Sub(a.sentAt) >= LoanLifetime:
			// A loan granted by a late response would already have expired.
			a.abandon()
			a.reportDue, a.reportPending = a.reportDue || a.reportPending, false
		case now.Sub(a.lastSentAt) >= resendAfter:
			a.lastSentAt = now
			return a.outstanding, true
		default:
			return Request{}, false
		}
	}
	want, returned, send := a.plan(now, b.burstShare)
	if !send {
		return Request{}, false
	}
	a.balance -= returned
	b.sequence++
	a.outstanding = Request{
		Session: b.session, Sequence: b.sequence, Bucket: name, Unspent: a.balance, Want: want, Returned: returned,
		Refund: a.refund, Charged: a.chargedAfter,
	}
	a.refund = 0
	a.pending, a.sentAt, a.lastSentAt, a.spentSinceSent = true, now, now, 0
	a.reportPending, a.reportDue = a.reportDue, false
	a.demand = 0
	return a.outstanding, true
}

// plan returns how many tokens to request, how much of the balance to return, and whether to send a request now.
func (a *account) plan(now time.Time, share float64) (want, returned int64, send bool) {
	if a.reportDue {
		return 0, 0, true
	}
	burst := float64(a.limit.BurstTokens)
	use := a.useAt(now)
	if use < idleUseFraction*share*burst {
		use = 0
	}
	target := int64(math.Ceil(min(use*LoanCoverage.Seconds(), share*burst)))
	prefetch := target
	if now.Before(a.noPrefetchUntil) {
		prefetch = 0
	}
	if now.Before(a.scarceUntil) {
		target, prefetch = 0, 0
	}
	if a.demand > a.balance {
		if now.Before(a.notBefore) {
			return 0, 0, false
		}
		if a.refusals > 0 {
			// The balance does not cover the charge, and other entries may need these tokens: return the balance
			// and request the whole charge.
			return a.demand, a.balance, true
		}
		return min(a.demand-a.balance+prefetch, a.limit.BurstTokens-a.balance), 0, true
	}
	if now.Before(a.notBefore) {
		return 0, 0, false
	}
	if a.balance > 2*target {
		// The rate of use fell, or a larger charge was cancelled.
		return 0, a.balance - target, true
	}
	age := now.Sub(a.borrowedAt)
	short := max(0, prefetch-a.balance)
	switch {
	case target > 0 && (float64(a.balance) < topUpThreshold*float64(target) || age >= renewAfter):
		return short, 0, true
	case a.refund > 0 && age >= renewAfter/4:
		return 0, 0, true
	}
	return 0, 0, false
}

// HandleResponse applies a response. Responses to any request but the last are ignored.
func (b *Borrower) HandleResponse(now time.Time, bucket string, r Response) {
	a := b.accounts[bucket]
	if a == nil || !a.pending || r.Sequence != a.outstanding.Sequence {
		return
	}
	a.pending, a.reportPending, a.lastResponded = false, false, r.Sequence
	a.balance = max(0, r.Held-a.spentSinceSent)
	a.borrowedAt, a.expiresAt = a.sentAt, a.sentAt.Add(LoanLifetime)
	a.expire(now)
	if a.outstanding.Want == 0 && r.RetryAfter > 0 {
		a.scarceUntil = now.Add(scarcityPeriod)
	}
	if r.RetryAfter <= 0 || a.outstanding.Want == 0 {
		a.refusals, a.retryUntil = 0, time.Time{}
		a.notBefore = time.Time{}
		if a.outstanding.Want == 0 {
			a.notBefore = now.Add(renewAfter / 10)
		}
		return
	}
	a.refusals++
	a.noPrefetchUntil = now.Add(scarcityPeriod)
	a.retryUntil = now.Add(r.RetryAfter)
	// Other entries may return tokens before the bucket refills, so the next request is sent after at most 100 ms.
	a.notBefore = now.Add(min(max(r.RetryAfter, 5*time.Millisecond), 100*time.Millisecond))
}
