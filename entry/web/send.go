package web

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/place"
)

// maxResponseBytes bounds a response that is buffered in memory.
const maxResponseBytes = 8 << 20

// attempt is one attempt to send the request to an upstream.
type attempt struct {
	upstream place.Upstream
	need     place.Need
	response *fasthttp.Response
	body     *conn.Body
	info     ResponseInfo
	began    time.Time
	outcome  place.Outcome
	// written is false only when no byte can have reached the upstream.
	written bool
	// prefill is set if the attempt is a prefill only; the router consumes the response.
	prefill bool
	// handle is the handle of a prefill's result.
	handle string
	// firstEventAt is when the first new event arrived, events the number of these. started is set once the engine has begun an
	// answer and gone on.
	firstEventAt time.Time
	events       int
	started      bool
	err          error
	// copy is set if the attempt was a copy of a running one.
	copy bool
}

// upstreamRequest builds the request for an upstream from the caller's request.
func (q *request) upstreamRequest(f Forwarding) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	q.x.Request.Header.CopyTo(&out.Header)
	http1.StripHopByHop(&out.Header)
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetProtocol("HTTP/1.1")
	q.router.config.Codec.WriteCall(&out.Header, f)
	out.SetBodyRaw(q.x.Request.Body())
	return out
}

// sendTo sends the request to the upstream and reads the response, or only its header if stream is set.
func (q *request) sendTo(u place.Upstream, need place.Need, f Forwarding, firstByteTimeout time.Duration, stream bool) *attempt {
	s := &attempt{upstream: u, need: need, began: time.Now(), response: fasthttp.AcquireResponse(), prefill: f.Prefill, copy: q.isCopy}
	if q.router.restricted(u.ID, u.Incarnation) || !q.router.maySend(u) {
		s.outcome, s.err = place.Cancelled, &conn.Error{Address: u.Address, Err: errRestricted}
		return s
	}
	f.Upstream, f.LastEvent = u, firstNonEmpty(f.LastEvent, q.call.LastEvent)
	f.Timeout = max(time.Millisecond, time.Until(q.deadline))
	if q.customer != nil {
		f.Customer = q.customer.Name
	}
	out := q.upstreamRequest(f)
	defer fasthttp.ReleaseRequest(out)
	codec := q.router.config.Codec
	call := conn.Call{
		Address: u.Address, Request: out, Reuse: q.call.ID != "", NoRetry: true, ID: q.call.ID, FirstByteTimeout: firstByteTimeout, ReadTimeout: max(firstByteTimeout, streamStallTimeout), MaxBody: maxResponseBytes,
		OnSilence: q.onSilence(s),
		Limit:     q.router.connections(q.document.Services[u.Service]),
		Match: func(r *fasthttp.Response, reused bool) bool {
			id := codec.ReadResponse(&r.Header).RequestID
			// An upstream that could not read the request does not know its ID.
			return id == q.call.ID || id == "" && !reused && r.StatusCode() == fasthttp.StatusBadRequest
		},
	}
	retryTaken := q.retryTaken
	q.retryTaken = false
	if stream {
		s.body, s.err = q.router.config.Pool.Stream(q.ctx, call, s.response)
	} else {
		s.err = q.router.config.Pool.Do(q.ctx, call, s.response)
	}
	s.classify(q, codec)
	if !s.written {
		q.retryTaken = retryTaken
	}
	return s
}

func firstNonEmpty(text, other string) string {
	if text != "" {
		return text
	}
	return other
}

// classify sets the outcome of the attempt from the response or the error.
func (s *attempt) classify(q *request, codec Codec) {
	s.written = conn.Sent(s.err)
	if s.err != nil {
		switch {
		case s.written && time.Since(s.began) > streamStallTimeout && !conn.ResponseStarted(s.err):
			// The caller may have disconnected because the upstream did not respond for this long, so the upstream counts
			// as failed.
			s.outcome = place.Broken
		case errors.Is(context.Cause(q.x.Context), http1.ErrCallerGone):
			s.outcome = place.Cancelled
		case errors.Is(s.err, conn.ErrLimit), errors.Is(context.Cause(q.ctx), errHedged):
			s.outcome = place.Cancelled
		case !s.written:
			s.outcome = place.Unreachable
		default:
			s.outcome = place.Broken
		}
		return
	}
	s.info = codec.ReadResponse(&s.response.Header)
	status := s.response.StatusCode()
	if q.call.ID != "" {
		q.router.observeNotice(s.upstream, status, s.info, q.call.ID)
	}
	switch {
	case s.info.Replaced:
		s.outcome = place.Replaced
	case s.info.NotRun && status != fasthttp.StatusBadRequest:
		s.outcome = place.Refused
	case status < 300 && !s.info.Signed && !s.prefill, len(s.response.Header.ContentEncoding()) > 0:
		s.outcome, s.err = place.Broken, errUnverifiedResponse
	case status >= fasthttp.StatusInternalServerError:
		s.outcome = place.Erred
	default:
		s.outcome = place.Served
	}
}

// errUnverifiedResponse means that the response may not be the one that the upstream produced.
var errUnverifiedResponse = errors.New("response is unsigned or was modified in transit")

// notRun reports whether the attempt certainly has not run and never will.
func (s *attempt) notRun() bool {
	return !s.written || s.err == nil && (s.info.NotRun || s.info.Replaced)
}

// recordAttempt records the attempt in the request, in its trace and in the table of upstreams.
func (q *request) recordAttempt(s *attempt) {
	if s.written {
		q.writtenAttempts++
	}
	if !s.notRun() {
		q.possibleRuns++
		q.mayHaveRun = true
	}
	q.endSearch()
	q.recordBreak(s)
	q.endGeneration()
	q.router.endAttempt(s.upstream, s.need, s.outcome)
	q.trace.addAttempt(s)
}

// release closes the body and returns the response to its pool.
func (s *attempt) release() {
	if s.body != nil {
		s.body.Close()
		s.body = nil
	}
	if s.response != nil {
		fasthttp.ReleaseResponse(s.response)
		s.response = nil
	}
}

// impliesNotRun reports whether callers take the status as a guarantee that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardResponse writes an upstream's complete response to the caller.
func (q *request) forwardResponse(s *attempt) { q.forwardBody(s, s.response.Body()) }

// forwardBody writes an upstream's response with the given complete body to the caller.
func (q *request) forwardBody(s *attempt, body []byte) {
	if impliesNotRun(s.response.StatusCode()) && !s.notRun() && !q.idempotent() {
		// The upstream may have run the request, but the status would guarantee that it has not.
		q.refuse(&refusal{fasthttp.StatusBadGateway, "the upstream failed", 0})
		return
	}
	if err := q.x.WriteResponse(&s.response.Header, body); err != nil {
		q.trace.reason = err.Error()
	}
}
