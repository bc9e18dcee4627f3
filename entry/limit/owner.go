// Package limit keeps a customer's token bucket at one owner and lends parts of it to entries.
//
// The owner keeps a level and, per borrowing session, the tokens that are lent; their sum never exceeds
// the burst. An entry admits work only from tokens that it holds, so the tokens admitted in any window
// of length t are at most rate*t + burst, however many messages are lost. It is a token bucket (Turner,
// "New Directions in Communications", IEEE Communications 24(10), 1986) whose tokens are spent elsewhere.
//
// Nothing here is safe for concurrent use.
package limit

import (
	"errors"
	"math"
	"time"

	"azuredoor.example/core/config"
)

const (
	// Drift bounds how much faster or slower than true time a clock runs.
	Drift = 0.01
	// LoanLifetime is how long a borrower may spend a loan, from the time it sent the request.
	LoanLifetime = 6 * time.Second
	// OwnerLifetime is how long the owner counts a loan, from the time it received the request. A borrower
	// with the slowest clock stops before an owner with the fastest clock counts the loan as spent.
	OwnerLifetime = LoanLifetime * (1000 + 21) / 1000
	// recordLifetime is how long a borrower's last sequence is kept after its loan ended, so that a late
	// copy of a request is recognised.
	recordLifetime = 30 * time.Second
	// reserveFor is how long the level is kept for a refused request after it last asked; a borrower with
	// waiting work asks at least every 100 ms.
	reserveFor = 300 * time.Millisecond
)

// ErrTooLarge refuses a charge that the bucket can never cover.
var ErrTooLarge = errors.New("the request needs more tokens than the customer's burst")

// Request asks the owner for tokens.
type Request struct {
	// Session is the borrower; Sequence grows with each of its requests. A copy of a request has the same
	// sequence and the same fields.
	Session, Sequence uint64
	Bucket            string
	// Unspent is what the borrower still holds of earlier loans.
	Unspent int64
	// Want is granted whole or not at all, so that two borrowers never each hold half of what they need.
	Want int64
	// Returned is the number of lent tokens that the borrower gives back.
	Returned int64
	// Refund is the number of charged but unused tokens. Their charges were made after the response to the request
	// Charged arrived.
	Refund  int64
	Charged uint64
}

// Response answers a Request.
type Response struct {
	Sequence uint64
	// Held is the number of tokens that the borrower may spend, counted from the time it sent the request.
	Held int64
	// RetryAfter estimates when Want can be granted; 0 when it was granted. With a Want of 0 it tells that
	// another entry waits for tokens, so that unused ones should be given back.
	RetryAfter time.Duration
}

// Start is what an owner knows of a bucket when it begins to own it.
type Start struct {
	// Full is set when nobody can have used the bucket before.
	Full bool
	// EmptyAt is when the level was 0 at the lowest; the bucket filled since. Unused when Full is set.
	EmptyAt time.Time
	// UnknownUntil is when the last loan that the owner does not know of ends. The level stays 0 until then,
	// because such loans can add up to the burst.
	UnknownUntil time.Time
}

// Loan is what one session holds.
type Loan struct {
	Session, Sequence uint64
	Tokens            int64
	// Expires is by the owner's clock.
	Expires time.Time

	marks marks
}

// State is a bucket on its way to another owner.
type State struct {
	Bucket string
	// Level is in tokens.
	Level float64
	Loans []Loan
}

type bucket struct {
	limit        config.Limit
	level        float64
	at           time.Time
	unknownUntil time.Time
	lent         int64
	loans        []Loan
	headroom     headroom
	claims       claims
}

// Owner keeps the buckets that one entry owns.
type Owner struct {
	buckets map[string]*bucket
}

// NewOwner returns an owner without buckets.
func NewOwner() *Owner { return &Owner{buckets: map[string]*bucket{}} }

// Has says whether the owner has a state for the bucket.
func (o *Owner) Has(name string) bool { return o.buckets[name] != nil }

// Len is the number of buckets.
func (o *Owner) Len() int { return len(o.buckets) }

// Open begins a bucket. It does nothing when the bucket exists.
func (o *Owner) Open(now time.Time, name string, limit config.Limit, start Start) {
	if o.buckets[name] != nil {
		return
	}
	b := &bucket{limit: limit, at: now, unknownUntil: start.UnknownUntil}
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

// Known says that the owner has heard from every session that can hold tokens of the bucket: no unknown
// loan exists from now on.
func (o *Owner) Known(now time.Time, name string) {
	if b := o.buckets[name]; b != nil && now.Before(b.unknownUntil) {
		b.settle(now)
		b.unknownUntil = now
	}
}

// Unknown says whether unknown loans of the bucket may exist.
func (o *Owner) Unknown(now time.Time, name string) bool {
	b := o.buckets[name]
	return b != nil && now.Before(b.unknownUntil)
}

// Drop forgets a bucket.
func (o *Owner) Drop(name string) { delete(o.buckets, name) }

// Idle removes the buckets that are full and lent to nobody, if full says that the bucket would be full when
// it is opened again.
func (o *Owner) Idle(now time.Time, full func(name string, limit config.Limit) bool) {
	for name, b := range o.buckets {
		b.settle(now)
		if len(b.loans) == 0 && b.level >= float64(b.limit.BurstTokens) && full(name, b.limit) {
			delete(o.buckets, name)
		}
	}
}

// Names calls f for each bucket.
func (o *Owner) Names(f func(name string)) {
	for name := range o.buckets {
		f(name)
	}
}

// refillRate is in tokens per second by the owner's clock. It is lower than the rate by the drift, so that
// a clock that runs fast does not fill the bucket faster than the rate.
func refillRate(limit config.Limit) float64 { return float64(limit.TokensPerSecond) / (1 + Drift) }

func (b *bucket) refill(now time.Time) {
	from := b.at
	if b.unknownUntil.After(from) {
		from = b.unknownUntil
	}
	if now.After(from) {
		room := max(0, float64(b.limit.BurstTokens-b.lent))
		b.level = min(max(b.level, 0)+now.Sub(from).Seconds()*refillRate(b.limit), max(room, 0))
	}
	if now.After(b.at) {
		b.at = now
	}
}

// settle brings the bucket to the time now: it refills and counts ended loans as spent, in their order.
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

// Borrow settles one request against a bucket that was opened before. The limit in force is given with
// each call, because operators change it while tokens are lent.
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
	b.giveBack(loan, float64(max(0, returned)), r)
	ahead := b.claims.ahead(now, r.Session)
	response := Response{Sequence: r.Sequence}
	switch {
	case r.Want > 0 && float64(r.Want) <= b.level-float64(ahead):
		b.level -= float64(r.Want)
		b.lent += r.Want
		loan.Tokens += r.Want
		b.claims.drop(r.Session)
	case r.Want > 0:
		b.claims.put(claim{r.Session, r.Want, now.Add(reserveFor)})
		response.RetryAfter = b.retryAfter(now, r.Want+ahead)
	default:
		b.claims.drop(r.Session)
		// Without a claim of its own the session is behind all others.
		response.RetryAfter = b.retryAfter(now, b.claims.ahead(now, r.Session))
	}
	response.Held = loan.Tokens
	return response
}

// giveBack adds what a borrower returned and what it had charged but not used. The room is recorded first: what
// the borrower spent since its last request makes room from now on at the latest.
func (b *bucket) giveBack(loan *Loan, returned float64, r Request) {
	burst := float64(b.limit.BurstTokens)
	b.level = max(0, min(b.level+returned, burst-float64(b.lent)))
	b.headroom.record(burst - b.level - float64(b.lent))
	if step, ok := loan.marks.find(r.Charged); ok && r.Refund > 0 {
		refund := min(float64(r.Refund), b.headroom.lowest(step))
		b.level += refund
		b.headroom.credit(refund)
	}
	loan.marks.add(r.Sequence, b.headroom.step)
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

// Total returns the level and the sum of the loans of a bucket at a time, in tokens.
func (o *Owner) Total(now time.Time, name string) (level float64, lent int64) {
	b := o.buckets[name]
	if b == nil {
		return 0, 0
	}
	b.settle(now)
	return b.level, b.lent
}

// Export removes a bucket and returns its state for another owner. It returns false for a bucket with
// unknown loans, which cannot be described, and for an unknown bucket; the former is removed as well.
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

// Import takes a bucket over. It replaces what the owner knew of it.
func (o *Owner) Import(now time.Time, limit config.Limit, s State) {
	b := &bucket{limit: limit, at: now, loans: s.Loans}
	for _, loan := range s.Loans {
		b.lent += loan.Tokens
	}
	b.level = max(0, min(s.Level, float64(limit.BurstTokens-b.lent)))
	o.buckets[s.Bucket] = b
}
