package web

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/place"
)

// request is one request on its way through the router.
type request struct {
	router *Router
	x      *http1.Exchange
	call   Call
	// ctx ends when the caller hangs up or the time is over.
	ctx    context.Context
	cancel context.CancelFunc

	document *document.Document
	// age is that of the view when the request was authorised.
	age      time.Duration
	route    *document.Route
	customer *document.Customer
	service  string
	// deadline is when the caller or the route's timeout ends the request, whichever is first.
	deadline time.Time
	need     place.Need
	// expected is the expected number of output tokens.
	expected int

	charged int64
	// runs counts the sends that may have run, sends all that were written to an upstream.
	runs, sends int
	// reader is the address of the prefill engine that read the prompt, at readAt; empty for none.
	reader string
	readAt time.Time
	// noBudget is set when the retry budget refused another send.
	noBudget bool
	// ran is set when an upstream may have begun to work on the request.
	ran bool
	log trace
}

// refusal is an answer of the router's own.
type refusal struct {
	status int
	// reason says why, in words for callers and logs.
	reason     string
	retryAfter time.Duration
}

const (
	// startRetry is the shortest time after which a caller may return to an entry that knows no current configuration, or
	// no upstream.
	startRetry = 250 * time.Millisecond
	// startTakes is how long an entry needs until it serves when the control group starts with it.
	startTakes = 1500 * time.Millisecond
	// stopRetry is when a caller may turn to another entry.
	stopRetry = 20 * time.Millisecond
	// busyRetry is when a caller may return after all upstreams were busy: a few service times.
	busyRetry = 200 * time.Millisecond
	// defaultPatience bounds a request whose caller states none.
	defaultPatience = 30 * time.Second
	// answerMargin is kept from the time that upstreams get, so that the answer reaches the caller in time.
	answerMargin = 15 * time.Millisecond
	// queueShare is the part of the target that a request may wait for tokens or a busy service.
	queueShare = 0.7
	// outputShare is the part of a generation's expected output for which room is kept: requests are at all stages of
	// their answers, so that few are at their end at once.
	outputShare = 0.7
	// lengthGain is the weight of one answer in the average length of a route's answers.
	lengthGain = 0.05
)

func (q *request) findDocument() *refusal {
	q.document = q.router.config.Control.View().Document
	q.age = q.router.config.Control.Age()
	if q.document == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, "this entry has no configuration yet", q.router.startsIn()}
	}
	return nil
}

// findRoute refuses a request without a route. While the view is not fresh the route may have been added meanwhile, so
// that the refusal leaves the question open.
func (q *request) findRoute() *refusal {
	h := &q.x.Request.Header
	path := string(h.RequestURI())
	for i := range len(path) {
		if path[i] == '?' {
			path = path[:i]
			break
		}
	}
	if q.route = q.document.Route(string(h.Host()), path); q.route != nil {
		return nil
	}
	if q.age > q.router.config.FreshFor {
		return q.stale()
	}
	return &refusal{fasthttp.StatusNotFound, "no route matches the host and path", 0}
}

func (q *request) stale() *refusal {
	return &refusal{fasthttp.StatusServiceUnavailable, "this entry cannot confirm that its configuration is current", q.router.startsIn()}
}

func (q *request) findCustomer() *refusal {
	if q.route.Open || len(q.document.Customers) == 0 {
		return nil
	}
	if q.age > q.router.config.FreshFor {
		return q.stale()
	}
	if q.customer = q.document.Holder(q.call.Key); q.customer == nil {
		return &refusal{fasthttp.StatusUnauthorized, "the access key is missing or unknown", 0}
	}
	return nil
}

// bound sets the end of the request and chooses its service.
func (q *request) bound() *refusal {
	patience := q.call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	q.deadline = q.x.Arrived.Add(min(patience, q.route.Timeout) - answerMargin)
	q.ctx, q.cancel = context.WithDeadline(q.x.Context, q.deadline)
	q.service = q.route.Service(rand.Uint64())
	q.need = place.Need{Service: q.service, Work: 1, FailureDomain: q.router.config.FailureDomain}
	if s := q.document.Services[q.service]; s.Engine != nil {
		q.need.Role = place.RoleDecode
		q.expected = q.router.expect(q.route.Name, q.call)
		q.need.Work = max(1, q.call.PromptTokens+int(float64(q.expected)*outputShare))
	}
	if left, ending := q.x.TimeUntilExit(); ending && left < q.route.Timeout && !place.Stopping(q.router.config.Grace, left, q.router.lasts(q.service, q.expected)) {
		return &refusal{fasthttp.StatusServiceUnavailable, "this entry is stopping", stopRetry}
	}
	return nil
}

// charge takes the request's tokens from its customer's bucket.
func (q *request) charge() *refusal {
	if q.customer == nil || q.customer.Limit.BurstTokens <= 0 {
		return nil
	}
	tokens := int64(q.call.PromptTokens + q.call.MaxTokens)
	if !q.call.HasTokens {
		tokens = q.customer.RequestTokens
	}
	ok, retryAfter := q.router.config.Limiter.Take(q.customer.Name, q.customer.Limit, tokens)
	if !ok {
		q.log.charge = tokens
		return &refusal{fasthttp.StatusTooManyRequests, "the customer's token limit is used up", retryAfter}
	}
	q.charged = tokens
	return nil
}

// refund gives the tokens of a request back that has not run.
func (q *request) refund() {
	if q.charged > 0 && !q.ran {
		q.router.config.Limiter.Refund(q.customer.Name, q.customer.Limit, q.charged)
		q.charged = 0
	}
}

// timedOut is the refusal at the deadline. It promises that the request has not run where that is so.
func (q *request) timedOut() *refusal {
	if q.ran {
		return &refusal{fasthttp.StatusGatewayTimeout, "no whole answer came in time", 0}
	}
	return &refusal{fasthttp.StatusServiceUnavailable, "the request could not be passed on in time", busyRetry}
}

// refuse answers the caller, unless it is gone or the answer has begun.
func (q *request) refuse(r *refusal) {
	q.log.reason = r.reason
	q.refund()
	if q.callerGone() {
		return
	}
	if q.x.HeaderWritten() {
		return
	}
	q.x.Refuse(r.status, r.reason, r.retryAfter)
}

func (q *request) callerGone() bool {
	return q.ctx != nil && errors.Is(context.Cause(q.x.Context), http1.ErrCallerGone)
}

// idempotent says whether the request may run more than once.
func (q *request) idempotent() bool { return q.route.RepeatRule == config.Idempotent }

// maySendAgain says whether another upstream may get the request after a send that failed.
func (q *request) maySendAgain() bool {
	if q.ctx.Err() != nil || q.runs >= q.route.Attempts || q.ran && !q.idempotent() {
		return false
	}
	q.noBudget = q.sends > 0 && !q.router.allowRepeat(q.service)
	return !q.noBudget
}

// endsHere says why no other upstream takes over a request that has run.
func (q *request) endsHere() string {
	switch {
	case !q.idempotent():
		return "an upstream failed, and the request must not run again"
	case q.runs >= q.route.Attempts:
		return "an upstream failed, and the route allows no further one"
	case q.noBudget:
		return "an upstream failed, and the retry budget is used up"
	}
	return "an upstream failed, and no other could take over"
}

// unavailable is the refusal of a request that found no upstream.
func (q *request) unavailable(err error) *refusal {
	switch {
	case q.ctx.Err() != nil:
		return q.timedOut()
	case q.ran:
		return &refusal{fasthttp.StatusBadGateway, q.endsHere(), 0}
	case errors.Is(err, place.ErrNone):
		return &refusal{fasthttp.StatusServiceUnavailable, "the service has no upstream that accepts requests", startRetry}
	default:
		return &refusal{fasthttp.StatusServiceUnavailable, "all upstreams of the service are busy", q.router.refusedFor(q.service, q.route.Target, time.Until(q.deadline))}
	}
}

// expect returns the expected number of output tokens of a generation.
func (r *Router) expect(route string, call Call) int {
	if call.ExpectedTokens > 0 {
		return min(call.ExpectedTokens, call.MaxTokens)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if mean := r.lengths[route]; mean > 0 {
		return min(int(mean), call.MaxTokens)
	}
	return call.MaxTokens / 2
}

// learn takes the length of a whole answer into account.
func (r *Router) learn(q *request, tokens int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand(q.service).Add(q.call.PromptTokens, tokens, took)
	route := q.route.Name
	mean := r.lengths[route]
	if mean == 0 {
		mean = float64(tokens)
	}
	r.lengths[route] = mean + lengthGain*(float64(tokens)-mean)
}

// lasts returns how long an answer of that many output tokens lasts, or 0 while that is not known.
func (r *Router) lasts(service string, output int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.demands[service]; d != nil {
		return d.Lasts(output)
	}
	return 0
}

// startsIn returns when an entry that knows no current configuration is expected to have one.
func (r *Router) startsIn() time.Duration {
	return min(max(startTakes-time.Since(r.started), startRetry), startTakes)
}

// refusedFor returns when a caller that found no room should return.
func (r *Router) refusedFor(service string, target, patience time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.returnsOf(service).Refused(time.Now(), target, patience)
}

// returnsOf returns the record of a service's refused callers. The caller holds the lock.
func (r *Router) returnsOf(service string) *place.Returns {
	one := r.returns[service]
	if one == nil {
		one = &place.Returns{}
		r.returns[service] = one
	}
	return one
}
