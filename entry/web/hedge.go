package web

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/hedge"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

// errHedged ends an attempt because another upstream has responded.
var errHedged = errors.New("another upstream has responded")

// hedgedCopy is a copy of a plain request for a second upstream. The first good response wins; the other attempt is
// cancelled, which closes its connection.
type hedgedCopy struct {
	request *request
	cancel  context.CancelCauseFunc
	// ended is closed when the copy has no attempt any more.
	ended chan struct{}

	mu sync.Mutex
	// closed is set when no copy may be sent any more, sent once one is on its way.
	closed, sent bool
	// attempt is the ended attempt of the copy, nil if it was not sent. won is set if it ended the first one.
	attempt *attempt
	won     bool
}

// sendHedged sends the request to the upstream, and a copy to another one if the first one takes long. It returns the attempt
// whose result counts.
func (q *request) sendHedged(u place.Upstream) *attempt {
	send := func() *attempt { return q.sendTo(u, q.need, Forwarding{}, q.attemptTimeout(), false) }
	delay, ok := q.hedgeDelay()
	if !ok {
		return send()
	}
	caller := q.ctx
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	q.hedge = q.startHedge(u, delay, cancel)
	q.ctx = ctx
	first := send()
	q.ctx = caller
	if !q.hedge.close() {
		return first
	}
	good := first.good()
	if !good {
		<-q.hedge.ended
	}
	second := q.hedge.take(good)
	if second == nil {
		return first
	}
	q.recordAttempt(first)
	q.recordTime(first)
	first.release()
	q.exclude(u)
	return second
}

// good reports whether a response is final, even if the request may run again.
func (s *attempt) good() bool {
	return s.err == nil && !s.notRun() && s.response.StatusCode() < fasthttp.StatusInternalServerError
}

// hedgeDelay returns after what time a copy may be sent, and false for no copy. Only the first attempt has one.
func (q *request) hedgeDelay() (time.Duration, bool) {
	if q.router.config.HedgePercent <= 0 || !q.mayBeRepeated() || q.writtenAttempts > 0 || q.successor != nil {
		return 0, false
	}
	now := time.Now()
	q.router.mu.Lock()
	defer q.router.mu.Unlock()
	p := q.router.hedgePolicy(q.service)
	p.CountRequest(now)
	delay, ok := p.Delay(now)
	return delay, ok && delay < q.attemptTimeout() && retry.InTime(now, q.deadline, delay)
}

// hedgePolicy returns the policy of a service. The caller must hold r.mu.
func (r *Router) hedgePolicy(service string) *hedge.Policy {
	p := r.hedges[service]
	if p == nil {
		p = hedge.New(r.config.HedgePercent)
		r.hedges[service] = p
	}
	return p
}

// recordTime records how long an attempt took, for the time after which later requests are hedged.
func (q *request) recordTime(s *attempt) {
	if q.router.config.HedgePercent <= 0 || !s.written {
		return
	}
	q.router.mu.Lock()
	defer q.router.mu.Unlock()
	if s.outcome == place.Refused {
		q.router.hedgePolicy(q.service).RecordRefusal(time.Now())
		return
	}
	q.router.hedgePolicy(q.service).RecordTime(time.Since(s.began))
}

// startHedge prepares a copy that is sent after the delay. If it gets a good response first, it calls cancelFirst.
func (q *request) startHedge(first place.Upstream, delay time.Duration, cancelFirst context.CancelCauseFunc) *hedgedCopy {
	ctx, cancel := context.WithCancelCause(q.ctx)
	// The exchange may not be used by two goroutines.
	out := fasthttp.AcquireRequest()
	q.x.Request.Header.CopyTo(&out.Header)
	out.SetBodyRaw(q.x.Request.Body())
	h := &hedgedCopy{cancel: cancel, ended: make(chan struct{}), request: &request{
		router: q.router, x: &http1.Exchange{Context: q.x.Context, Request: out, Arrived: q.x.Arrived}, call: q.call, ctx: ctx,
		document: q.document, route: q.route, customer: q.customer, service: q.service, deadline: q.deadline, need: q.need, isCopy: true,
	}}
	h.request.need.Exclude = append([]string(nil), q.need.Exclude...)
	q.router.config.Background.Go(func() error {
		defer close(h.ended)
		defer fasthttp.ReleaseRequest(out)
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			h.send(first, cancelFirst)
		case <-ctx.Done():
		}
		return nil
	})
	return h
}

// send sends the copy, unless the first attempt has ended or the limit or the upstreams allow none.
func (h *hedgedCopy) send(first place.Upstream, cancelFirst context.CancelCauseFunc) {
	u, ok := h.choose(first)
	if !ok {
		return
	}
	s := h.request.sendTo(u, h.request.need, Forwarding{}, h.request.attemptTimeout(), false)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempt = s
	if h.won = s.good(); h.won {
		cancelFirst(errHedged)
	}
}

func (h *hedgedCopy) choose(first place.Upstream) (place.Upstream, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return place.Upstream{}, false
	}
	r, now := h.request.router, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.table.PickSpare(now, h.request.need, first)
	if !ok {
		return u, false
	}
	service := h.request.service
	if !r.hedgePolicy(service).Take(now) || !r.budget(service).AllowShared(now, r.config.RetryPercent, r.budgetEntries(), r.knownPart()) {
		r.table.End(now, u, h.request.need, place.Cancelled)
		return u, false
	}
	h.sent = true
	return u, true
}

// close ensures that no copy is sent any more, and reports whether one was.
func (h *hedgedCopy) close() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.sent
}

// take returns the ended attempt of the copy if it is to replace the first one, whose response may be good as well.
func (h *hedgedCopy) take(firstGood bool) *attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.attempt
	if firstGood || s == nil {
		return nil
	}
	h.attempt = nil
	return s
}

// endHedge cancels a copy that is still on its way, waits until it has ended and records it.
func (q *request) endHedge() {
	h := q.hedge
	if h == nil {
		return
	}
	q.hedge = nil
	sent := h.close()
	h.cancel(errHedged)
	<-h.ended
	if !sent {
		return
	}
	if s := h.attempt; s != nil {
		q.router.endAttempt(s.upstream, s.need, s.outcome)
		q.trace.addAttempt(s)
		s.release()
	}
	if q.router.config.Hedged != nil {
		q.router.config.Hedged(h.won && h.attempt == nil)
	}
}
