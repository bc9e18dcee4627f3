package web

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/place"
)

// request is the state of one request in the router.
type request struct {
	router *Router
	x      *http1.Exchange
	call   Call
	// ctx is cancelled when the caller disconnects or the deadline passes.
	ctx    context.Context
	cancel context.CancelFunc

	document *document.Document
	// viewAge is the age of the view when the document was looked up, or more.
	viewAge  time.Duration
	route    *document.Route
	customer *document.Customer
	service  string
	// deadline is set by the shorter of the caller's and the route's timeout, less responseMargin.
	deadline time.Time
	need     place.Need
	// late is set if the caller was refused before and can no longer be served within the target.
	late bool
	// expectedOutput is the expected number of output tokens.
	expectedOutput int
	// search looks for another upstream while the current one is silent; nil if it is not. successor is set once another one
	// is about to take over.
	search    *search
	successor *successor
	// hedge is the copy that another upstream may get while the first has not responded, nil for none. isCopy is set in the
	// copy.
	hedge  *hedgedCopy
	isCopy bool
	// generation is the current generation on a decode engine; its ID is 0 without one.
	generation place.Generation

	chargedTokens int64
	// possibleRuns counts the attempts that may have run. writtenAttempts counts all attempts that were written to an
	// upstream.
	possibleRuns, writtenAttempts int
	// prefillAddress is the address of the prefill engine that processed the prompt, empty for none.
	prefillAddress string
	// prefilledAt is when the prefill ended.
	prefilledAt time.Time
	// retryTaken is set while the retry budget has counted an attempt that is not written to an upstream yet.
	retryTaken bool
	// budgetExhausted is set when the retry budget refused another attempt.
	budgetExhausted bool
	// mayHaveRun is set when an upstream may have started the request.
	mayHaveRun bool
	// streamType is the media type of a stream that has begun.
	streamType string
	// positionUnknown is set while the last event that was forwarded has data but no ID, so that no upstream can go on after it.
	positionUnknown bool
	// suspected is set when the request broke an engine and a part of its prompt had been in crashes before.
	suspected bool
	trace     trace
}

// refusal is an error response that the router generates itself.
type refusal struct {
	status int
	// reason is the text for the caller and the log.
	reason     string
	retryAfter time.Duration
}

const (
	// minStartupRetry is the shortest Retry-After of an entry without a current configuration, and the Retry-After of a
	// service without upstreams.
	minStartupRetry = 250 * time.Millisecond
	// startupDuration is how long an entry takes to become ready if the control group starts at the same time.
	startupDuration = 1500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping entry. It is short, as the caller can use another entry.
	stoppingRetryAfter = 20 * time.Millisecond
	// busyRetryAfter is the Retry-After when all upstreams are busy: a few service times.
	busyRetryAfter = 200 * time.Millisecond
	// defaultTimeout bounds a request whose caller states no timeout.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from the deadline, so that the response reaches the caller in time.
	responseMargin = 15 * time.Millisecond
	// queueWaitShare is the share of the target latency that a request may wait for a busy service.
	queueWaitShare = 0.7
	// latePatienceShare is the share of the longest patience of a route's callers below which a caller has returned after a
	// refusal. The patience of callers varies by a seventh; a refused caller retries after up to a third of it.
	latePatienceShare = 0.8
	// placedOutputShare is the share of a generation's expected output that counts as its work on an engine. Generations
	// on an engine are at different stages, so few reach their full length at the same time.
	placedOutputShare = 0.7
)

func (q *request) findDocument() *refusal {
	// The age is read first, so that it is never that of a newer view.
	q.viewAge = q.router.config.Control.Age()
	q.document = q.router.config.Control.View().Document
	if q.document == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, "this entry has no configuration yet", q.router.startupRetryAfter()}
	}
	return nil
}

// findRoute sets the route, or refuses a request that matches none.
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
	return q.unknownRefusal(fasthttp.StatusNotFound, "no route matches the host and path")
}

// unknownRefusal refuses a request whose route or key the view does not have. If the view may lack a change that has taken effect,
// the refusal is a 503, after which callers try again.
func (q *request) unknownRefusal(status int, reason string) *refusal {
	if q.viewAge > q.router.config.CurrentFor {
		return q.staleRefusal()
	}
	return &refusal{status, reason, 0}
}

func (q *request) staleRefusal() *refusal {
	return &refusal{fasthttp.StatusServiceUnavailable, "this entry cannot confirm that its configuration is current", q.router.startupRetryAfter()}
}

func (q *request) findCustomer() *refusal {
	if q.route.Open || len(q.document.Customers) == 0 {
		return nil
	}
	if q.viewAge > q.router.config.FreshFor {
		return q.staleRefusal()
	}
	if q.customer = q.document.CustomerByKey(q.call.Key); q.customer == nil {
		return q.unknownRefusal(fasthttp.StatusUnauthorized, "the access key is missing or unknown")
	}
	return nil
}

// chooseService sets the deadline and the service of the request.
func (q *request) chooseService() *refusal {
	patience := q.call.Timeout
	if patience <= 0 {
		patience = defaultTimeout
	}
	q.deadline = q.x.Arrived.Add(min(patience, q.route.Timeout) - responseMargin)
	q.ctx, q.cancel = context.WithDeadline(q.x.Context, q.deadline)
	q.service = q.route.PickService(rand.Uint64())
	q.need = place.Need{
		Work: 1, FailureDomain: q.router.config.FailureDomain, Regions: document.AllowedRegions(q.route, q.customer), Repeatable: q.idempotent(),
	}
	if refused := q.findOrigin(); refused != nil {
		return refused
	}
	q.need.Service = q.service
	if s := q.document.Services[q.service]; s.Engine != nil {
		q.need.Role = place.RoleDecode
		q.expectedOutput = q.router.expectedOutput(q.service, q.call)
		q.late = q.router.isLate(q.route.Name, patience) && !q.interrupted()
		q.need.Work = max(1, q.call.PromptTokens+int(float64(q.expectedOutput)*placedOutputShare))
	}
	if left, ending := q.x.TimeUntilExit(); ending && left < q.route.Timeout && !place.AcceptWhileStopping(q.router.config.Grace, left, q.router.generationDuration(q.service, q.expectedOutput)) {
		return &refusal{fasthttp.StatusServiceUnavailable, "this entry is stopping", stoppingRetryAfter}
	}
	return nil
}

// interrupted reports whether the caller may have part of the response, which is useless unless an upstream continues it.
func (q *request) interrupted() bool { return q.mayHaveRun || q.call.LastEvent != "" }

// charge takes the request's tokens from the customer's token bucket.
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
		q.trace.refusedTokens = tokens
		return &refusal{fasthttp.StatusTooManyRequests, "the customer's token limit is used up", retryAfter}
	}
	q.chargedTokens = tokens
	return nil
}

// refund gives the charged tokens back to the customer if the request has not run.
func (q *request) refund() {
	if q.chargedTokens > 0 && !q.mayHaveRun {
		q.router.config.Limiter.Refund(q.customer.Name, q.customer.Limit, q.chargedTokens)
		q.chargedTokens = 0
	}
}

// ended reports whether the caller has disconnected or the deadline has passed. A read may time out at the deadline before the
// context ends.
func (q *request) ended() bool { return q.ctx.Err() != nil || !time.Now().Before(q.deadline) }

// timeoutRefusal returns the refusal at the deadline. Its status is 503 only if the request has not run.
func (q *request) timeoutRefusal() *refusal {
	if q.mayHaveRun {
		return &refusal{fasthttp.StatusGatewayTimeout, "no whole answer came in time", 0}
	}
	return &refusal{fasthttp.StatusServiceUnavailable, "the request could not be passed on in time", busyRetryAfter}
}

// refuse writes the refusal, unless the caller has disconnected or a response has been started.
func (q *request) refuse(r *refusal) {
	q.trace.reason = r.reason
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

// idempotent reports whether the request may run more than once.
func (q *request) idempotent() bool { return q.route.RepeatRule == config.Idempotent }

// mayRetry reports whether the request may be sent to another upstream after a failed attempt.
func (q *request) mayRetry() bool {
	if q.ended() || q.possibleRuns >= q.route.MaxAttempts || q.mayHaveRun && !q.idempotent() || q.suspected {
		return false
	}
	return q.writtenAttempts == 0 || q.takeRetry()
}

// takeRetry takes one retry from the retry budget, unless the last one that was taken is unused, and reports whether the
// request has one.
func (q *request) takeRetry() bool {
	if !q.retryTaken {
		q.retryTaken = q.router.allowRetry(q.service)
		q.budgetExhausted = !q.retryTaken
	}
	return q.retryTaken
}

// noFailoverReason returns why a request that may have run is not sent to another upstream.
func (q *request) noFailoverReason() string {
	switch {
	case !q.idempotent():
		return "an upstream failed, and the request must not run again"
	case q.suspected:
		return "an upstream failed, and a part of the prompt may be the cause"
	case q.possibleRuns >= q.route.MaxAttempts:
		return "an upstream failed, and the route allows no further one"
	case q.budgetExhausted:
		return "an upstream failed, and the retry budget is used up"
	}
	return "an upstream failed, and no other could take over"
}

// unavailableRefusal returns the refusal of a request for which no upstream was found.
func (q *request) unavailableRefusal(err error) *refusal {
	var paused *place.PausedError
	switch {
	case q.ended():
		return q.timeoutRefusal()
	case q.mayHaveRun:
		return &refusal{fasthttp.StatusBadGateway, q.noFailoverReason(), 0}
	case errors.As(err, &paused) && paused.Retry > 0:
		delay := max(place.ResumeRetryDelay(paused.Retry, time.Until(q.deadline)), busyRetryAfter)
		return &refusal{fasthttp.StatusServiceUnavailable, "all upstreams of the service have asked for a pause", delay}
	case errors.Is(err, place.ErrNone):
		return q.noneRefusal()
	default:
		reason := "all upstreams of the service are busy"
		if errors.Is(err, errRetryBudget) {
			reason = "the prefill failed, and the retry budget is used up"
		}
		return &refusal{fasthttp.StatusServiceUnavailable, reason, q.router.estimateRetryAfter(q.service, q.route.Target, time.Until(q.deadline))}
	}
}

// noneRefusal returns the refusal of a request that no upstream of its service accepts.
func (q *request) noneRefusal() *refusal {
	q.router.mu.Lock()
	err := q.router.table.WhyNone(q.need)
	q.router.mu.Unlock()
	switch {
	case errors.Is(err, place.ErrEvacuated):
		return &refusal{fasthttp.StatusServiceUnavailable, "all failure domains with upstreams of the service are evacuated", q.latestRetry()}
	case errors.Is(err, place.ErrSoftware):
		return &refusal{fasthttp.StatusServiceUnavailable, "the service has no upstream of the software version at which the stream began", minStartupRetry}
	case errors.Is(err, place.ErrRegion):
		return &refusal{fasthttp.StatusServiceUnavailable, "the service has no upstream in a region where the request may run", q.latestRetry()}
	}
	return &refusal{fasthttp.StatusServiceUnavailable, "the service has no upstream that accepts requests", minStartupRetry}
}

// latestRetry returns the Retry-After of a request that only an operator can help.
func (q *request) latestRetry() time.Duration {
	return place.ResumeRetryDelay(math.MaxInt64, time.Until(q.deadline))
}

// expectedOutput returns the expected number of output tokens of a generation: the caller's estimate, the average of the
// service over all entries, or half the limit. An entry of a large fleet sees too few generations for an average of its own,
// and the first ones that end are short.
func (r *Router) expectedOutput(service string, call Call) int {
	if call.ExpectedTokens > 0 {
		return min(call.ExpectedTokens, call.MaxTokens)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.demands[service]; d != nil && d.Known() {
		return min(int(d.Output), call.MaxTokens)
	}
	return call.MaxTokens / 2
}

// isLate reports whether a caller with the given patience has returned after a refusal, as far as its patience shows, so that
// the target has passed.
func (r *Router) isLate(route string, patience time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestPatience[route] = max(r.longestPatience[route], patience)
	return patience < time.Duration(latePatienceShare*float64(r.longestPatience[route]))
}

// recordGeneration adds a complete generation to the service's demand and to the route's average output length.
func (r *Router) recordGeneration(q *request, tokens int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand(q.service).Add(q.call.PromptTokens, tokens, took)
}

// generationDuration returns how long a generation with the given number of output tokens takes, or 0 while no estimate
// exists.
func (r *Router) generationDuration(service string, output int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.demands[service]; d != nil {
		return d.ExpectedDuration(output)
	}
	return 0
}

// startupRetryAfter returns the expected time until the entry has a current configuration.
func (r *Router) startupRetryAfter() time.Duration {
	return min(max(startupDuration-time.Since(r.started), minStartupRetry), startupDuration)
}

// estimateRetryAfter records a caller that is refused because all upstreams are busy, and returns the time after which
// the caller should retry.
func (r *Router) estimateRetryAfter(service string, target, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryEstimator(service).RetryDelay(time.Now(), place.RefusedCaller{Target: target, Patience: timeout})
}

// retryEstimator returns the estimator of when refused callers of a service retry. The caller must hold r.mu.
func (r *Router) retryEstimator(service string) *place.RetryEstimator {
	record := r.retryEstimators[service]
	if record == nil {
		record = &place.RetryEstimator{}
		r.retryEstimators[service] = record
	}
	return record
}
