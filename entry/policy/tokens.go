package policy

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/limit"
	"azuredoor.example/entry/relay"
)

const (
	// maintenanceInterval is the interval between prefetches of tokens and between reports of holdings to owners.
	maintenanceInterval = 50 * time.Millisecond
	// notOwnerDelay is the delay before a request to the owner is sent again after its receiver responded that it does
	// not own the bucket, or not yet.
	notOwnerDelay = 20 * time.Millisecond
	// refusalDelay is how long a bucket must have been exhausted before waiting requests are refused. Other entries
	// return the tokens that they hold within twice the time after which they renew loans.
	refusalDelay = 1200 * time.Millisecond
	// episodeTimeout is the time without a refusal that ends a series of refusals, and the time without an owner
	// failure that ends a series of owner failures.
	episodeTimeout = time.Second
	// maxRecovery is the maximum time after an owner change during which requests may wait up to their queue timeouts.
	// The period ends early once the queue is empty.
	maxRecovery = 5 * time.Second
)

// tokenLimiter charges customers' buckets with the tokens that this entry borrowed from the bucket owners.
type tokenLimiter struct {
	config Config

	mu       sync.Mutex
	session  uint64
	borrower *limit.Borrower
	queues   map[string]*tokenQueue
	view     *control.View
	// owners is the last known owner of each bucket.
	owners map[string]uint64
	// reportedTo holds the sessions that acknowledged a message that all holdings of this entry were reported to them.
	// The messages carry reportedIndex, the index of the view.
	reportedTo    map[uint64]bool
	reportedIndex uint64
	// reportedAt is when reports were last collected.
	reportedAt time.Time
	// maintainedAt is when tokens were last prefetched.
	maintainedAt time.Time
}

// tokenQueue holds the requests that wait for tokens of one bucket, in order of arrival.
type tokenQueue struct {
	waiters []*waiter
	// queuedTokens is the sum of the charges of the waiters.
	queuedTokens int64
	// ownerFailedAt is when the owner last failed: the owner did not respond or did not own the bucket, or the session
	// of this entry was not valid. ownerFailingSince is when the present series of failures began. Both are reset to
	// zero when the queue is empty.
	ownerFailedAt, ownerFailingSince time.Time
	// arrivedTokens is the sum of the charges that arrived since the queue was last empty.
	arrivedTokens int64
	// emptyAt is when the queue was last empty.
	emptyAt time.Time
	// exhaustedSince is when the owner began to refuse requests, refusedAt when the owner last refused a request.
	exhaustedSince, refusedAt time.Time
}

type waiter struct {
	charge    int64
	limit     config.Limit
	arrivedAt time.Time
	// deadline is the end of the queue timeout.
	deadline time.Time
	// maxQueueWait bounds the expected wait in the queue while the bucket is exhausted.
	maxQueueWait time.Duration
	result       chan error
	// mark identifies when the tokens were charged. It is set before the grant is sent to result.
	mark limit.ChargeMark
}

func (t *tokenLimiter) init(c Config) {
	t.config = c
	t.borrower = limit.NewBorrower(0)
	t.queues, t.owners, t.reportedTo = map[string]*tokenQueue{}, map[string]uint64{}, map[uint64]bool{}
}

func burstExceeded() error {
	return &relay.Rejection{Status: 429, Code: "request_exceeds_burst", Text: limit.ErrTooLarge.Error()}
}

func rateLimited(retryAfter time.Duration) error {
	return &relay.Rejection{
		Status: 429, Code: "rate_limit_exceeded", Text: "the customer's token limit is used up",
		RetryAfter: max(retryAfter, 100*time.Millisecond),
	}
}

func limitUnavailable() error {
	return &relay.Rejection{
		Status: 503, Code: "limit_unavailable", Text: "the customer's token limit could not be checked in time",
		RetryAfter: time.Second,
	}
}

// charge charges a request to its bucket. It waits up to the queue timeout while the bucket owner changes, and
// otherwise up to maxTokenWait for tokens that other entries return.
func (t *tokenLimiter) charge(ctx context.Context, r *relay.Request) (mark limit.ChargeMark, err error) {
	now := t.config.Now()
	w := &waiter{
		charge: r.Charge, limit: r.Limit, arrivedAt: now, deadline: now.Add(maxTokenWait), maxQueueWait: maxTokenWait,
		result: make(chan error, 1),
	}
	if r.Profile != nil {
		w.deadline = r.Arrived.Add(time.Duration(r.Profile.QueueTimeout))
		w.maxQueueWait = min(maxTokenWait, time.Duration(r.Profile.FirstTokenTarget)/2)
	}
	t.mu.Lock()
	t.applyView(now)
	q := t.queues[r.Bucket]
	if q != nil && len(q.waiters) > 0 {
		q.arrivedTokens += w.charge
	}
	if q == nil || len(q.waiters) == 0 {
		ok, err := t.tryCharge(now, r.Bucket, w)
		if ok || err != nil {
			if q != nil && now.Sub(q.refusedAt) > episodeTimeout {
				delete(t.queues, r.Bucket)
			}
			t.mu.Unlock()
			return w.mark, err
		}
	} else if wait := q.refillTime(w); q.full(w) ||
		!q.recovering(now) && q.exhaustedFor(now) > refusalDelay && wait > w.maxQueueWait {
		t.mu.Unlock()
		return limit.ChargeMark{}, rateLimited(wait)
	}
	if q == nil {
		q = &tokenQueue{}
		t.queues[r.Bucket] = q
	}
	if len(q.waiters) == 0 {
		q.emptyAt, q.arrivedTokens = now, w.charge
	}
	q.waiters = append(q.waiters, w)
	q.queuedTokens += w.charge
	send, due := t.serve(now, r.Bucket, q)
	t.mu.Unlock()
	if due {
		t.send(ctx, send)
	}
	select {
	case err := <-w.result:
		return w.mark, err
	case <-ctx.Done():
		return limit.ChargeMark{}, t.abandon(r.Bucket, w, ctx.Err())
	}
}

// abandon removes a waiter whose context ended, and refunds its charge if it was granted in the meantime.
func (t *tokenLimiter) abandon(bucket string, w *waiter, contextError error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case err := <-w.result:
		if err == nil {
			t.borrower.Refund(t.config.Now(), bucket, w.limit, w.mark, w.charge)
		}
		return contextError
	default:
	}
	if q := t.queues[bucket]; q != nil {
		for i, other := range q.waiters {
			if other == w {
				q.remove(i)
				break
			}
		}
	}
	return contextError
}

func (q *tokenQueue) remove(i int) {
	q.queuedTokens -= q.waiters[i].charge
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
}

func (q *tokenQueue) exhaustedFor(now time.Time) time.Duration {
	if q.exhaustedSince.IsZero() {
		return 0
	}
	return now.Sub(q.exhaustedSince)
}

func (q *tokenQueue) ownerFailed(now time.Time) {
	if now.Sub(q.ownerFailedAt) > episodeTimeout {
		q.ownerFailingSince = now
	}
	q.ownerFailedAt = now
}

// recovering reports whether requests that queued up during an owner change may still wait for the refill. A customer
// that uses half its rate catches up in the time that the change took. A customer closer to its rate needs longer: the
// requests of such a customer may wait until the queue is empty, as long as the arrived charges stay within the
// customer's rate plus a quarter of its burst.
func (q *tokenQueue) recovering(now time.Time) bool {
	if q.ownerFailedAt.IsZero() {
		return false
	}
	if now.Sub(q.ownerFailedAt) < min(maxRecovery, 2*q.ownerFailedAt.Sub(q.ownerFailingSince)+refusalDelay/4) {
		return true
	}
	if len(q.waiters) == 0 {
		return false
	}
	headLimit := q.waiters[0].limit
	return float64(q.arrivedTokens) <=
		float64(headLimit.TokensPerSecond)*now.Sub(q.emptyAt).Seconds()+float64(headLimit.BurstTokens)/4
}

// full reports whether w would make the queue longer than a customer within its rate can cause.
func (q *tokenQueue) full(w *waiter) bool {
	maxTokens := float64(w.limit.BurstTokens) + float64(w.limit.TokensPerSecond)*w.deadline.Sub(w.arrivedAt).Seconds()
	return float64(q.queuedTokens+w.charge) > maxTokens
}

// refillTime returns the time in which the tokens for all waiters refill at the rate of the limit of w.
func (q *tokenQueue) refillTime(w *waiter) time.Duration {
	return time.Duration(float64(q.queuedTokens) / float64(max(1, w.limit.TokensPerSecond)) * float64(time.Second))
}

// tryCharge charges w if this entry holds enough tokens and its session is valid. Tokens held under
// an ended session must not be spent.
func (t *tokenLimiter) tryCharge(now time.Time, bucket string, w *waiter) (bool, error) {
	if !t.config.LeaseValid() {
		if w.charge > w.limit.BurstTokens {
			return false, burstExceeded()
		}
		return false, nil
	}
	ok, err := t.borrower.Take(now, bucket, w.limit, w.charge)
	w.mark = t.borrower.Mark(bucket)
	if errors.Is(err, limit.ErrTooLarge) {
		return false, burstExceeded()
	}
	return ok, err
}

// serve grants waiters in order while the held tokens cover them, and refuses waiters that have waited too long.
// It returns the request to the owner that is due, if any.
func (t *tokenLimiter) serve(now time.Time, bucket string, q *tokenQueue) (limit.Request, bool) {
	if t.borrower.Unanswered(now, bucket) > notOwnerDelay || !t.config.LeaseValid() {
		q.ownerFailed(now)
	}
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		ok, err := t.tryCharge(now, bucket, w)
		if !ok && err == nil {
			break
		}
		q.remove(0)
		w.result <- err
	}
	t.refuseExpired(now, bucket, q)
	if len(q.waiters) == 0 {
		return limit.Request{}, false
	}
	t.borrower.RaiseDemand(bucket, q.queuedTokens)
	return t.borrower.DueFor(now, bucket)
}

// refuseExpired refuses waiters that have reached their deadline. Unless the queue is recovering, it also refuses
// waiters that have waited longer than maxTokenWait and, if the bucket is exhausted, waiters whose expected wait
// exceeds maxQueueWait.
func (t *tokenLimiter) refuseExpired(now time.Time, bucket string, q *tokenQueue) {
	retryAfter := t.borrower.RetryAfter(now, bucket)
	exhausted := q.exhaustedFor(now) > refusalDelay
	aheadTokens := int64(0)
	kept := q.waiters[:0]
	recovering := q.recovering(now)
	for _, w := range q.waiters {
		wait := time.Duration(float64(aheadTokens) / float64(max(1, w.limit.TokensPerSecond)) * float64(time.Second))
		switch {
		case !now.Before(w.deadline) && recovering:
			w.result <- limitUnavailable()
		case !now.Before(w.deadline),
			!recovering && (now.Sub(w.arrivedAt) > maxTokenWait || exhausted && wait > w.maxQueueWait):
			w.result <- rateLimited(retryAfter + wait)
		default:
			aheadTokens += w.charge
			kept = append(kept, w)
			continue
		}
		q.queuedTokens -= w.charge
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	if len(kept) == 0 {
		q.ownerFailedAt, q.ownerFailingSince = time.Time{}, time.Time{}
	}
}

func (t *tokenLimiter) refund(bucket string, bucketLimit config.Limit, mark limit.ChargeMark, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.borrower.Refund(t.config.Now(), bucket, bucketLimit, mark, tokens)
}

// applyView applies changes of the session and the view: a new session starts without tokens, and the holdings of a
// bucket whose owner changed are reported to the new owner.
func (t *tokenLimiter) applyView(now time.Time) {
	if session := t.config.Session(); session != t.session {
		t.session = session
		t.borrower = limit.NewBorrower(session)
		t.view = nil
		clear(t.owners)
	}
	view := t.config.View()
	if view == t.view {
		return
	}
	sameSessions := t.view != nil && len(t.view.Sessions) == len(view.Sessions)
	if sameSessions {
		for id := range view.Sessions {
			if t.view.Sessions[id] == nil {
				sameSessions = false
				break
			}
		}
	}
	t.view = view
	if sameSessions {
		return
	}
	t.borrower.SetEntries(len(view.Sessions))
	t.reportedTo, t.reportedIndex = map[uint64]bool{}, view.Index
	t.borrower.Buckets(func(bucket string, _ bool) {
		if owner := t.config.Peers.Owner(bucket); t.owners[bucket] != owner {
			t.owners[bucket] = owner
			t.borrower.OwnerChanged(now, bucket)
		}
	})
}

// send sends a request to the bucket owner and handles the response, and repeats this until no request is due.
func (t *tokenLimiter) send(ctx context.Context, r limit.Request) {
	for due := true; due && ctx.Err() == nil; {
		owner := t.config.Peers.Owner(r.Bucket)
		if r, due = t.recordOwner(r, owner); !due {
			return
		}
		var response *fleetpb.BorrowResponse
		var err error
		if owner != 0 {
			response, err = t.config.Peers.Borrow(ctx, owner, toBorrowRequest(r))
		}
		r, due = t.handleResponse(r, response, err)
	}
}

// recordOwner records the owner that a request goes to. If the owner changed, recordOwner returns a report of the
// holdings in place of the request. It returns false if there is nothing to send.
func (t *tokenLimiter) recordOwner(r limit.Request, owner uint64) (limit.Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Session != t.session {
		return r, false
	}
	previous, ok := t.owners[r.Bucket]
	t.owners[r.Bucket] = owner
	if !ok || previous == owner {
		return r, true
	}
	t.borrower.OwnerChanged(t.config.Now(), r.Bucket)
	return t.borrower.DueFor(t.config.Now(), r.Bucket)
}

func (t *tokenLimiter) handleResponse(r limit.Request, response *fleetpb.BorrowResponse, err error) (limit.Request, bool) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Session != t.session {
		return limit.Request{}, false
	}
	q := t.queues[r.Bucket]
	if err != nil || response == nil || response.NotOwner {
		// The borrower repeats a request that got no response.
		if q != nil {
			q.ownerFailed(now)
		}
		if response != nil && response.NotOwner {
			t.borrower.HandleNotOwner(now, r.Bucket, r.Sequence, notOwnerDelay)
		}
		return limit.Request{}, false
	}
	t.borrower.HandleResponse(now, r.Bucket, fromBorrowResponse(response))
	if q == nil {
		return limit.Request{}, false
	}
	if response.RetryAfterMillis > 0 && r.Want > 0 {
		if q.exhaustedSince.IsZero() || now.Sub(q.refusedAt) > episodeTimeout {
			q.exhaustedSince = now
		}
		q.refusedAt = now
	}
	return t.serve(now, r.Bucket, q)
}

// run prefetches tokens, repeats requests, refuses expired waiters and reports holdings, until the context ends.
func (t *tokenLimiter) run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxPeerCalls)
	err := runEvery(ctx, tickInterval, func() {
		requests, reports := t.collectDue()
		for _, r := range requests {
			// The borrower repeats a request that is dropped here because of maxPeerCalls.
			group.TryGo(func() error {
				t.send(ctx, r)
				return nil
			})
		}
		for session, index := range reports {
			group.TryGo(func() error {
				t.sendReport(ctx, session, index)
				return nil
			})
		}
	})
	if waitErr := group.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}

// collectDue returns the requests that are due, and the sessions to notify that all holdings were reported to them,
// with the view index for each.
func (t *tokenLimiter) collectDue() (requests []limit.Request, reports map[uint64]uint64) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyView(now)
	for bucket, q := range t.queues {
		if r, due := t.serve(now, bucket, q); due {
			requests = append(requests, r)
		}
		if len(q.waiters) == 0 && now.Sub(q.refusedAt) > episodeTimeout {
			delete(t.queues, bucket)
		}
	}
	if now.Sub(t.maintainedAt) >= maintenanceInterval {
		t.maintainedAt = now
		requests = t.borrower.Due(now, requests)
	}
	return requests, t.dueReports(now)
}

func (t *tokenLimiter) dueReports(now time.Time) map[uint64]uint64 {
	if t.session == 0 || t.view == nil || len(t.reportedTo) >= len(t.view.Sessions) ||
		now.Sub(t.reportedAt) < maintenanceInterval {
		return nil
	}
	t.reportedAt = now
	unreported := map[uint64]bool{}
	t.borrower.Buckets(func(bucket string, pending bool) {
		if pending {
			unreported[t.owners[bucket]] = true
		}
	})
	reports := map[uint64]uint64{}
	for session := range t.view.Sessions {
		if !t.reportedTo[session] && !unreported[session] {
			reports[session] = t.reportedIndex
		}
	}
	return reports
}

// sendReport notifies a session that this entry has reported all its holdings of the buckets that the session owns.
func (t *tokenLimiter) sendReport(ctx context.Context, session, index uint64) {
	ownSession := t.config.Session()
	response, err := t.config.Peers.Borrow(ctx, session, &fleetpb.BorrowRequest{SessionId: ownSession, Sequence: index})
	if err != nil || response.NotOwner {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reportedIndex == index && t.session == ownSession {
		t.reportedTo[session] = true
	}
}
