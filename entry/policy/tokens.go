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
	// dueEvery is how often loans ahead of demand are looked after.
	dueEvery = 50 * time.Millisecond
	// notOwnerPause is how long a request waits after its receiver said that it does not own the bucket, or not
	// yet.
	notOwnerPause = 20 * time.Millisecond
	// settled is how long a bucket must have been dry before waiting requests are refused: other entries give
	// back what they hold within twice the time in which they renew loans.
	settled = 1200 * time.Millisecond
	// quiet ends a dry spell after the last refusal.
	quiet = time.Second
	// recovery is how long at most after an owner change requests may wait up to their queue timeouts, until the
	// line is empty for the first time.
	recovery = 5 * time.Second
)

// tokens charges customers' buckets from what this entry borrowed.
type tokens struct {
	config Config

	mu       sync.Mutex
	session  uint64
	borrower *limit.Borrower
	lines    map[string]*line
	view     *control.View
	// owners is the owner of each bucket as this entry last knew it.
	owners map[string]uint64
	// told are the sessions that know, under the view of toldIndex, that all holdings were reported to them.
	told      map[uint64]bool
	toldIndex uint64
	asked     time.Time
	dueAt     time.Time
}

// line holds the requests that wait for tokens of one bucket, in their order.
type line struct {
	waiters []*waiter
	// tokens is the sum of the waiting charges.
	tokens int64
	// trouble is when the owner last failed to answer, or was not the owner, troubleFrom when that began. They
	// are zero again when the line is empty.
	trouble, troubleFrom time.Time
	// arrived is the sum of the charges that came since the line was last empty, which was at emptyAt.
	arrived int64
	emptyAt time.Time
	// dry is since when the owner has refused, refused when it last did.
	dry, refused time.Time
}

type waiter struct {
	charge int64
	limit  config.Limit
	since  time.Time
	// until is the end of the queue timeout.
	until time.Time
	// target bounds the wait in the line of a dry bucket.
	target time.Duration
	ready  chan error
	// mark is that of the charge, set before ready says that it was granted.
	mark limit.Mark
}

func (t *tokens) init(c Config) {
	t.config = c
	t.borrower = limit.NewBorrower(0)
	t.lines, t.owners, t.told = map[string]*line{}, map[string]uint64{}, map[uint64]bool{}
}

func tooLarge() error {
	return &relay.Rejection{Status: 429, Code: "request_exceeds_burst", Text: limit.ErrTooLarge.Error()}
}

func limited(retryAfter time.Duration) error {
	return &relay.Rejection{
		Status: 429, Code: "rate_limit_exceeded", Text: "the customer's token limit is used up", RetryAfter: max(retryAfter, 100*time.Millisecond),
	}
}

func unavailable() error {
	return &relay.Rejection{
		Status: 503, Code: "limit_unavailable", Text: "the customer's token limit could not be checked in time", RetryAfter: time.Second,
	}
}

// take charges a request. It waits while the owner changes, up to the queue timeout, and for a short time for
// tokens that other entries give back.
func (t *tokens) take(ctx context.Context, r *relay.Request) (mark limit.Mark, err error) {
	now := t.config.Now()
	w := &waiter{charge: r.Charge, limit: r.Limit, since: now, until: now.Add(patience), target: patience, ready: make(chan error, 1)}
	if r.Profile != nil {
		w.until = r.Arrived.Add(time.Duration(r.Profile.QueueTimeout))
		w.target = min(patience, time.Duration(r.Profile.FirstTokenTarget)/2)
	}
	t.mu.Lock()
	t.refresh(now)
	l := t.lines[r.Bucket]
	if l != nil && len(l.waiters) > 0 {
		l.arrived += w.charge
	}
	if l == nil || len(l.waiters) == 0 {
		ok, err := t.spend(now, r.Bucket, w)
		if ok || err != nil {
			if l != nil && now.Sub(l.refused) > quiet {
				delete(t.lines, r.Bucket)
			}
			t.mu.Unlock()
			return w.mark, err
		}
	} else if wait := l.wait(w); l.full(w) || !l.recovering(now) && l.dryFor(now) > settled && wait > w.target {
		t.mu.Unlock()
		return limit.Mark{}, limited(wait)
	}
	if l == nil {
		l = &line{}
		t.lines[r.Bucket] = l
	}
	if len(l.waiters) == 0 {
		l.emptyAt, l.arrived = now, w.charge
	}
	l.waiters = append(l.waiters, w)
	l.tokens += w.charge
	send, due := t.serve(now, r.Bucket, l)
	t.mu.Unlock()
	if due {
		t.send(ctx, send)
	}
	select {
	case err := <-w.ready:
		return w.mark, err
	case <-ctx.Done():
		return limit.Mark{}, t.leave(r.Bucket, w, ctx.Err())
	}
}

// leave takes a waiter out whose caller went away. Its charge goes back if it was granted meanwhile.
func (t *tokens) leave(bucket string, w *waiter, cause error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case err := <-w.ready:
		if err == nil {
			t.borrower.Refund(t.config.Now(), bucket, w.limit, w.mark, w.charge)
		}
		return cause
	default:
	}
	if l := t.lines[bucket]; l != nil {
		for i, other := range l.waiters {
			if other == w {
				l.remove(i)
				break
			}
		}
	}
	return cause
}

func (l *line) remove(i int) {
	l.tokens -= l.waiters[i].charge
	l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
}

func (l *line) dryFor(now time.Time) time.Duration {
	if l.dry.IsZero() {
		return 0
	}
	return now.Sub(l.dry)
}

func (l *line) fail(now time.Time) {
	if now.Sub(l.trouble) > quiet {
		l.troubleFrom = now
	}
	l.trouble = now
}

// recovering says whether what piled up in an owner change may still wait for the refill. A customer at half its
// rate catches up in the time that the change took. One that is nearer to its rate takes longer: it may wait until
// its line is empty, as long as no more arrived than its rate and a fair part of its burst allow.
func (l *line) recovering(now time.Time) bool {
	if l.trouble.IsZero() {
		return false
	}
	if now.Sub(l.trouble) < min(recovery, 2*l.trouble.Sub(l.troubleFrom)+settled/4) {
		return true
	}
	if len(l.waiters) == 0 {
		return false
	}
	within := l.waiters[0].limit
	return float64(l.arrived) <= float64(within.TokensPerSecond)*now.Sub(l.emptyAt).Seconds()+float64(within.BurstTokens)/4
}

// full bounds the line by what a customer within its rate can have waiting.
func (l *line) full(w *waiter) bool {
	most := float64(w.limit.BurstTokens) + float64(w.limit.TokensPerSecond)*w.until.Sub(w.since).Seconds()
	return float64(l.tokens+w.charge) > most
}

// wait is how long the tokens for the whole line take to refill.
func (l *line) wait(w *waiter) time.Duration {
	return time.Duration(float64(l.tokens) / float64(max(1, w.limit.TokensPerSecond)) * float64(time.Second))
}

// spend charges held tokens, while the own session is valid: the tokens of an ended session are void.
func (t *tokens) spend(now time.Time, bucket string, w *waiter) (bool, error) {
	if !t.config.LeaseValid() {
		if w.charge > w.limit.BurstTokens {
			return false, tooLarge()
		}
		return false, nil
	}
	ok, err := t.borrower.Take(now, bucket, w.limit, w.charge)
	w.mark = t.borrower.Mark(bucket)
	if errors.Is(err, limit.ErrTooLarge) {
		return false, tooLarge()
	}
	return ok, err
}

// serve grants what the held tokens cover, in order, and ends waits. It returns a request that is due.
func (t *tokens) serve(now time.Time, bucket string, l *line) (limit.Request, bool) {
	if t.borrower.Unanswered(now, bucket) > notOwnerPause || !t.config.LeaseValid() {
		l.fail(now)
	}
	for len(l.waiters) > 0 {
		w := l.waiters[0]
		ok, err := t.spend(now, bucket, w)
		if !ok && err == nil {
			break
		}
		l.remove(0)
		w.ready <- err
	}
	t.trim(now, bucket, l)
	if len(l.waiters) == 0 {
		return limit.Request{}, false
	}
	t.borrower.Raise(bucket, l.tokens)
	return t.borrower.DueFor(now, bucket)
}

// trim refuses waiters whose time is over.
func (t *tokens) trim(now time.Time, bucket string, l *line) {
	retryAfter := t.borrower.RetryAfter(now, bucket)
	dry := l.dryFor(now) > settled
	ahead := int64(0)
	kept := l.waiters[:0]
	recovering := l.recovering(now)
	for _, w := range l.waiters {
		wait := time.Duration(float64(ahead) / float64(max(1, w.limit.TokensPerSecond)) * float64(time.Second))
		switch {
		case !now.Before(w.until) && recovering:
			w.ready <- unavailable()
		case !now.Before(w.until), !recovering && (now.Sub(w.since) > patience || dry && wait > w.target):
			w.ready <- limited(retryAfter + wait)
		default:
			ahead += w.charge
			kept = append(kept, w)
			continue
		}
		l.tokens -= w.charge
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
	if len(kept) == 0 {
		l.trouble, l.troubleFrom = time.Time{}, time.Time{}
	}
}

func (t *tokens) refund(bucket string, l config.Limit, mark limit.Mark, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.borrower.Refund(t.config.Now(), bucket, l, mark, tokens)
}

// refresh follows the view: a new session begins without tokens, and the holdings of a bucket whose owner
// changed are reported to the new one.
func (t *tokens) refresh(now time.Time) {
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
	same := t.view != nil && len(t.view.Sessions) == len(view.Sessions)
	if same {
		for id := range view.Sessions {
			if t.view.Sessions[id] == nil {
				same = false
				break
			}
		}
	}
	t.view = view
	if same {
		return
	}
	t.borrower.SetEntries(len(view.Sessions))
	t.told, t.toldIndex = map[uint64]bool{}, view.Index
	t.borrower.Buckets(func(bucket string, _ bool) {
		if owner := t.config.Peers.Owner(bucket); t.owners[bucket] != owner {
			t.owners[bucket] = owner
			t.borrower.OwnerChanged(now, bucket)
		}
	})
}

// send sends a request to the bucket's owner and takes the response into account, until no request is due.
func (t *tokens) send(ctx context.Context, r limit.Request) {
	for due := true; due && ctx.Err() == nil; {
		owner := t.config.Peers.Owner(r.Bucket)
		if r, due = t.route(r, owner); !due {
			return
		}
		var response *fleetpb.BorrowResponse
		var err error
		if owner != 0 {
			response, err = t.config.Peers.Borrow(ctx, owner, borrowRequest(r))
		}
		r, due = t.answer(r, response, err)
	}
}

// route notes who is asked. When that is another owner than before, the request is replaced by a report of what
// is held.
func (t *tokens) route(r limit.Request, owner uint64) (limit.Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Session != t.session {
		return r, false
	}
	known, ok := t.owners[r.Bucket]
	t.owners[r.Bucket] = owner
	if !ok || known == owner {
		return r, true
	}
	t.borrower.OwnerChanged(t.config.Now(), r.Bucket)
	return t.borrower.DueFor(t.config.Now(), r.Bucket)
}

func (t *tokens) answer(r limit.Request, response *fleetpb.BorrowResponse, err error) (limit.Request, bool) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Session != t.session {
		return limit.Request{}, false
	}
	l := t.lines[r.Bucket]
	if err != nil || response == nil || response.NotOwner {
		// A request without a response is sent again by the borrower's own timer.
		if l != nil {
			l.fail(now)
		}
		if response != nil && response.NotOwner {
			t.borrower.NotOwner(now, r.Bucket, r.Sequence, notOwnerPause)
		}
		return limit.Request{}, false
	}
	t.borrower.Answer(now, r.Bucket, fromResponse(response))
	if l == nil {
		return limit.Request{}, false
	}
	if response.RetryAfterMillis > 0 && r.Want > 0 {
		if l.dry.IsZero() || now.Sub(l.refused) > quiet {
			l.dry = now
		}
		l.refused = now
	}
	return t.serve(now, r.Bucket, l)
}

// run borrows ahead of demand, repeats requests, ends waits and reports holdings, until the context ends.
func (t *tokens) run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxCalls)
	err := every(ctx, tick, func() {
		requests, reports := t.work()
		for _, r := range requests {
			// Without room the request is repeated by the borrower's timer.
			group.TryGo(func() error {
				t.send(ctx, r)
				return nil
			})
		}
		for session, index := range reports {
			group.TryGo(func() error {
				t.report(ctx, session, index)
				return nil
			})
		}
	})
	if waited := group.Wait(); waited != nil {
		return waited
	}
	return err
}

// work returns the requests that are due and the sessions to tell that all holdings were reported.
func (t *tokens) work() (requests []limit.Request, reports map[uint64]uint64) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for bucket, l := range t.lines {
		if r, due := t.serve(now, bucket, l); due {
			requests = append(requests, r)
		}
		if len(l.waiters) == 0 && now.Sub(l.refused) > quiet {
			delete(t.lines, bucket)
		}
	}
	if now.Sub(t.dueAt) >= dueEvery {
		t.dueAt = now
		requests = t.borrower.Due(now, requests)
	}
	return requests, t.reportsDue(now)
}

func (t *tokens) reportsDue(now time.Time) map[uint64]uint64 {
	if t.session == 0 || t.view == nil || len(t.told) >= len(t.view.Sessions) || now.Sub(t.asked) < dueEvery {
		return nil
	}
	t.asked = now
	unreported := map[uint64]bool{}
	t.borrower.Buckets(func(bucket string, open bool) {
		if open {
			unreported[t.owners[bucket]] = true
		}
	})
	reports := map[uint64]uint64{}
	for session := range t.view.Sessions {
		if !t.told[session] && !unreported[session] {
			reports[session] = t.toldIndex
		}
	}
	return reports
}

// report tells a session that it knows all that this entry holds of its buckets.
func (t *tokens) report(ctx context.Context, session, index uint64) {
	own := t.config.Session()
	response, err := t.config.Peers.Borrow(ctx, session, &fleetpb.BorrowRequest{SessionId: own, Sequence: index})
	if err != nil || response.NotOwner {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.toldIndex == index && t.session == own {
		t.told[session] = true
	}
}
