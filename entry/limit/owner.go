// Package limit implements rate limits of customers across entries.
//
// One entry owns the token bucket of a customer and lends tokens to the entries. The owner keeps the level of the bucket
// and the tokens lent to each session; their sum never exceeds the burst. An entry admits work only from tokens that it
// holds, so the tokens admitted in any window of length t are at most rate*t + burst, however many messages are lost.
// The algorithm is a token bucket (Turner, "New Directions in Communications", IEEE Communications 24(10), 1986) whose
// tokens are spent by the borrowers.
//
// The types of this package are not safe for concurrent use.
package limit

import (
	"errors"
	"math"
	"time"

	"azuredoor.example/core/config"
)

const (
	// MaxClockDrift is the largest relative error of the rate of a clock.
	MaxClockDrift = 0.01
	// LoanLifetime is how long a borrower may spend a loan, counted from when the borrower first sent the request.
	LoanLifetime = 6 * time.Second
	// OwnerLifetime is how long the owner counts a loan as lent, from when the owner received the request. A borrower
	// with the slowest clock stops spending before an owner with the fastest clock counts the loan as spent.
	OwnerLifetime = LoanLifetime * (1000 + 21) / 1000
	// recordLifetime is how long the owner keeps a borrower's last sequence after its loan expired, so that late
	// duplicates of requests are recognised.
	recordLifetime = 30 * time.Second
	// claimLifetime is how long tokens stay reserved for a refused request after its last copy; a borrower with waiting
	// work repeats the request at least every 100 ms.
	claimLifetime = 300 * time.Millisecond
)

// ErrTooLarge is returned for a charge above the burst, which the bucket can never cover.
var ErrTooLarge = errors.New("the request needs more tokens than the customer's burst")

// Request is a borrower's request to the owner of a bucket.
type Request struct {
	// Session identifies the borrower. Sequence increases with each new request of the session; a duplicate has the
	// same sequence and the same fields.
	Session, Sequence uint64
	Bucket            string
	// Unspent is the number of tokens that the borrower still holds from earlier loans.
	Unspent int64
	// Want is the number of tokens requested. It is granted in full or not at all, so that two borrowers never each
	// hold half of the tokens that they need.
	Want int64
	// Returned is the number of lent tokens that the borrower returns unspent.
	Returned int64
	// Refund is the number of charged but unused tokens.
	Refund int64
	// Charged is a sequence: the refunded tokens were charged after the response to that request arrived.
	Charged uint64
}

// Response is the owner's response to a Request.
type Response struct {
	Sequence uint64
	// Held is the number of tokens that the borrower may spend. Tokens charged since the request was sent count against
	// Held.
	Held int64
	// RetryAfter is the estimated time until Want can be granted, or 0 if it was granted. If Want is 0, a RetryAfter
	// above 0 means that another entry waits for tokens and the borrower should return unused ones.
	RetryAfter time.Duration
}

// Start describes a bucket when an owner takes it over without its state.
type Start struct {
	// Full is set if no tokens of the bucket can have been used before.
	Full bool
	// EmptyAt is a time at which the level was at least 0; the bucket has been refilled since. It is ignored if Full
	// is set.
	EmptyAt time.Time
	// UnknownUntil is when the last loan that is unknown to the owner expires. The level stays 0 until then, because
	// unknown loans can add up to the burst.
	UnknownUntil time.Time
}

// Loan is the tokens of a bucket that are lent to one session.
type Loan struct {
	Session, Sequence uint64
	Tokens            int64
	// Expires is measured by the owner's clock.
	Expires time.Time

	steps chargeSteps
}

// State is the state of a bucket during a handover to another owner.
type State struct {
	Bucket string
	// Level is the number of tokens that are not lent.
	Level float64
	Loans []Loan
}

type bucket struct {
	limit        config.Limit
	level        float64
	refilledAt   time.Time
	unknownUntil time.Time
	lent         int64
	loans        []Loan
	headroom     headroom
	claims       claims
}

// Owner holds the buckets that one entry owns.
type Owner struct {
	buckets map[string]*bucket
}

// NewOwner returns an owner without buckets.
func NewOwner() *Owner { return &Owner{buckets: map[string]*bucket{}} }

// Has reports whether the owner has state for the bucket.
func (o *Owner) Has(name string) bool { return o.buckets[name] != nil }

// Len returns the number of buckets.
func (o *Owner) Len() int { return len(o.buckets) }

// Open creates a bucket. It does nothing if the bucket exists.
func (o *Owner) Open(now time.Time, name string, limit config.Limit, start Start) {
	if o.buckets[name] != nil {
		return
	}
	b := &bucket{limit: limit, refilledAt: now, unknownUntil: start.UnknownUntil}
	switch {
	case start.Full:
		b.level = float64(limit.BurstTokens)
	case now.After(start.EmptyAt) && !now.Before(start.UnknownUntil):
		since := start.EmptyAt
		if start.UnknownUntil.After(since) {
			since = start.UnknownUntil
		}
		b.level = min(float64(limit.BurstTokens), now.Sub(since).Seconds()*refillRate(limit))
	}
	o.buckets[name] = b
}

// MarkLoansKnown records that every session that can hold tokens of the bucket has reported its loans, so that no
// unknown loans remain.
func (o *Owner) MarkLoansKnown(now time.Time, name string) {
	if b := o.buckets[name]; b != nil && now.Before(b.unknownUntil) {
		b.settle(now)
		b.unknownUntil = now
	}
}

// HasUnknownLoans reports whether unknown loans of the bucket may exist.
func (o *Owner) HasUnknownLoans(now time.Time, name string) bool {
	b := o.buckets[name]
	return b != nil && now.Before(b.unknownUntil)
}

// Drop removes a bucket.
func (o *Owner) Drop(name string) { delete(o.buckets, name) }

// RemoveIdle removes the buckets that are full and have no loans, if the function full reports that the bucket would be
// full when opened again.
func (o *Owner) RemoveIdle(now time.Time, full func(name string, limit config.Limit) bool) {
	for name, b := range o.buckets {
		b.settle(now)
		if len(b.loans) == 0 && b.level >= float64(b.limit.BurstTokens) && full(name, b.limit) {
			delete(o.buckets, name)
		}
	}
}

// Names calls f with the name of each bucket.
func (o *Owner) Names(f func(name string)) {
	for name := range o.buckets {
		f(name)
	}
}

// refillRate returns the refill rate in tokens per second of the owner's clock. It is lower than the configured rate by
// the drift, so that a fast clock does not refill the bucket faster than the rate.
func refillRate(limit config.Limit) float64 {
	return float64(limit.TokensPerSecond) / (1 + MaxClockDrift)
}

func (b *bucket) refill(now time.Time) {
	from := b.refilledAt
	if b.unknownUntil.After(from) {
		from = b.unknownUntil
	}
	if now.After(from) {
		maxLevel := max(0, float64(b.limit.BurstTokens-b.lent))
		b.level = min(max(b.level, 0)+now.Sub(from).Seconds()*refillRate(b.limit), max(maxLevel, 0))
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// settle advances the bucket to now: it refills the bucket and counts expired loans as spent, in order of expiry.
func (b *bucket) settle(now time.Time) {
	for {
		next := -1
		for i := range b.loans {
			if b.loans[i].Tokens > 0 && !b.loans[i].Expires.After(now) &&
				(next < 0 || b.loans[i].Expires.Before(b.loans[next].Expires)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		b.refill(b.loans[next].Expires)
		b.lent -= b.loans[next].Tokens
		b.loans[next].Tokens = 0
	}
	b.refill(now)
	kept := b.loans[:0]
	for _, loan := range b.loans {
		if now.Sub(loan.Expires) < recordLifetime {
			kept = append(kept, loan)
		}
	}
	b.loans = kept
}

func (b *bucket) setLimit(limit config.Limit) {
	b.limit = limit
	b.level = min(b.level, max(0, float64(limit.BurstTokens-b.lent)))
}

func (b *bucket) loan(session uint64) *Loan {
	for i := range b.loans {
		if b.loans[i].Session == session {
			return &b.loans[i]
		}
	}
	b.loans = append(b.loans, Loan{Session: session})
	return &b.loans[len(b.loans)-1]
}

// Borrow handles one request for a bucket that was opened before. Each call passes the current limit, because operators
// can change it while tokens are lent.
func (o *Owner) Borrow(now time.Time, limit config.Limit, r Request) Response {
	b := o.buckets[r.Bucket]
	if b == nil {
		return Response{Sequence: r.Sequence, RetryAfter: time.Second}
	}
	b.settle(now)
	if b.limit != limit {
		b.setLimit(limit)
	}
	loan := b.loan(r.Session)
	if r.Sequence < loan.Sequence {
		return Response{Sequence: r.Sequence, RetryAfter: time.Second}
	}
	if r.Sequence == loan.Sequence {
		return Response{Sequence: r.Sequence, Held: loan.Tokens, RetryAfter: b.retryAfter(now, r.Want)}
	}
	unknown := now.Before(b.unknownUntil)
	unspent := max(0, r.Unspent)
	if !unknown {
		unspent = min(unspent, loan.Tokens)
	}
	returned := min(max(0, r.Returned), loan.Tokens-unspent)
	b.lent += unspent - loan.Tokens
	loan.Sequence, loan.Tokens, loan.Expires = r.Sequence, unspent, now.Add(OwnerLifetime)
	if unknown {
		return Response{Sequence: r.Sequence, Held: unspent, RetryAfter: b.retryAfter(now, r.Want)}
	}
	b.creditReturns(loan, float64(max(0, returned)), r)
	reserved := b.claims.tokensBefore(now, r.Session)
	response := Response{Sequence: r.Sequence}
	switch {
	case r.Want > 0 && float64(r.Want) <= b.level-float64(reserved):
		b.level -= float64(r.Want)
		b.lent += r.Want
		loan.Tokens += r.Want
		b.claims.remove(r.Session)
	case r.Want > 0:
		b.claims.add(claim{r.Session, r.Want, now.Add(claimLifetime)})
		response.RetryAfter = b.retryAfter(now, r.Want+reserved)
	default:
		b.claims.remove(r.Session)
		// A session without a claim is behind all others.
		response.RetryAfter = b.retryAfter(now, b.claims.tokensBefore(now, r.Session))
	}
	response.Held = loan.Tokens
	return response
}

// creditReturns adds the tokens that a borrower returns and refunds to the level. The headroom is recorded before the
// refund is credited: tokens that the borrower spent since its last request add headroom from this step at the latest.
func (b *bucket) creditReturns(loan *Loan, returned float64, r Request) {
	burst := float64(b.limit.BurstTokens)
	b.level = max(0, min(b.level+returned, burst-float64(b.lent)))
	b.headroom.record(burst - b.level - float64(b.lent))
	if step, ok := loan.steps.find(r.Charged); ok && r.Refund > 0 {
		refund := min(float64(r.Refund), b.headroom.minimumAfter(step))
		b.level += refund
		b.headroom.credit(refund)
	}
	loan.steps.add(r.Sequence, b.headroom.step)
}

func (b *bucket) retryAfter(now time.Time, want int64) time.Duration {
	if want <= 0 {
		return 0
	}
	wait := time.Duration(math.Ceil(max(0, float64(want)-b.level) / refillRate(b.limit) * float64(time.Second)))
	if b.unknownUntil.After(now) {
		wait += b.unknownUntil.Sub(now)
	}
	return max(wait, time.Millisecond)
}

// Total returns the level and the sum of the loans of a bucket, in tokens.
func (o *Owner) Total(now time.Time, name string) (level float64, lent int64) {
	b := o.buckets[name]
	if b == nil {
		return 0, 0
	}
	b.settle(now)
	return b.level, b.lent
}

// Export removes a bucket and returns its state for another owner. It returns false if the bucket does not exist, or if
// it may have unknown loans, which the state cannot describe; such a bucket is removed too.
func (o *Owner) Export(now time.Time, name string) (State, bool) {
	b := o.buckets[name]
	if b == nil {
		return State{}, false
	}
	delete(o.buckets, name)
	if now.Before(b.unknownUntil) {
		return State{}, false
	}
	b.settle(now)
	return State{Bucket: name, Level: b.level, Loans: b.loans}, true
}

// Import takes over a bucket from another owner and replaces any earlier state of the bucket.
func (o *Owner) Import(now time.Time, limit config.Limit, s State) {
	b := &bucket{limit: limit, refilledAt: now, loans: s.Loans}
	for _, loan := range s.Loans {
		b.lent += loan.Tokens
	}
	b.level = max(0, min(s.Level, float64(limit.BurstTokens-b.lent)))
	o.buckets[s.Bucket] = b
}
