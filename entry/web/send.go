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

// maxAnswerBytes bounds an answer that is held in memory.
const maxAnswerBytes = 8 << 20

// send is one send of the request to an upstream.
type send struct {
	upstream place.Upstream
	need     place.Need
	response *fasthttp.Response
	body     *conn.Body
	marks    Marks
	began    time.Time
	outcome  place.Outcome
	// written is false only when no byte can have reached the upstream.
	written bool
	// prefill is set when only the prompt is to be read; the answer is for the router.
	prefill bool
	// handle names the result of a prefill.
	handle string
	err    error
}

// prepare makes the request for an upstream from the caller's.
func (q *request) prepare(f Forwarding) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	q.x.Request.Header.CopyTo(&out.Header)
	http1.StripHopByHop(&out.Header)
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetProtocol("HTTP/1.1")
	q.router.config.Codec.WriteCall(&out.Header, f)
	out.SetBodyRaw(q.x.Request.Body())
	return out
}

// send sends the request to an upstream that was picked, and reads the response, or its header in a stream. Bound
// limits the wait for the first byte.
func (q *request) send(u place.Upstream, need place.Need, f Forwarding, bound time.Duration, stream bool) *send {
	s := &send{upstream: u, need: need, began: time.Now(), response: fasthttp.AcquireResponse(), prefill: f.Prefill}
	f.Upstream, f.LastEvent = u, orElse(f.LastEvent, q.call.LastEvent)
	f.Patience = max(time.Millisecond, time.Until(q.deadline))
	if q.customer != nil {
		f.Customer = q.customer.Name
	}
	out := q.prepare(f)
	defer fasthttp.ReleaseRequest(out)
	codec := q.router.config.Codec
	call := conn.Call{
		Address: u.Address, Request: out, Reuse: true, Once: true, FirstByte: bound, Silence: max(bound, streamStall), MaxBody: maxAnswerBytes,
		Limit: q.router.connections(q.document.Services[u.Service]),
		Match: func(h *fasthttp.ResponseHeader) bool {
			id := codec.ReadMarks(h).RequestID
			return id == "" && h.StatusCode() == fasthttp.StatusBadRequest || id == q.call.ID
		},
	}
	if stream {
		s.body, s.err = q.router.config.Pool.Stream(q.ctx, call, s.response)
	} else {
		s.err = q.router.config.Pool.Do(q.ctx, call, s.response)
	}
	s.judge(q, codec)
	return s
}

func orElse(text, other string) string {
	if text != "" {
		return text
	}
	return other
}

// judge decides what the response, or its absence, says of the request and of the upstream.
func (s *send) judge(q *request, codec Codec) {
	s.written = conn.Sent(s.err)
	if s.err != nil {
		switch {
		case s.written && time.Since(s.began) > streamStall && !conn.Answered(s.err):
			// A caller that left after so long says something of the upstream.
			s.outcome = place.Broken
		case errors.Is(context.Cause(q.x.Context), http1.ErrCallerGone):
			s.outcome = place.Cancelled
		case errors.Is(s.err, conn.ErrLimit):
			s.outcome = place.Cancelled
		case !s.written:
			s.outcome = place.Unreachable
		default:
			s.outcome = place.Broken
		}
		return
	}
	s.marks = codec.ReadMarks(&s.response.Header)
	status := s.response.StatusCode()
	switch {
	case s.marks.Replaced:
		s.outcome = place.Replaced
	case s.marks.NotRun && status != fasthttp.StatusBadRequest:
		s.outcome = place.Refused
	case status < 300 && !s.marks.Signed && !s.prefill, len(s.response.Header.ContentEncoding()) > 0:
		s.outcome, s.err = place.Broken, errNotWhole
	case status >= fasthttp.StatusInternalServerError:
		s.outcome = place.Erred
	default:
		s.outcome = place.Served
	}
}

// errNotWhole means that a response is not what the upstream made.
var errNotWhole = errors.New("the response is unsigned or was changed on its way")

// notRun says whether it is certain that the send did not run and never will.
func (s *send) notRun() bool {
	return !s.written || s.err == nil && (s.marks.NotRun || s.marks.Replaced)
}

// count notes the send in the request's record and in the table of upstreams.
func (q *request) count(s *send) {
	if s.written {
		q.sends++
	}
	if !s.notRun() {
		q.runs++
		q.ran = true
	}
	q.router.end(s.upstream, s.need, s.outcome)
	q.log.add(s)
}

// release returns the response to its pool.
func (s *send) release() {
	if s.body != nil {
		s.body.Close()
		s.body = nil
	}
	if s.response != nil {
		fasthttp.ReleaseResponse(s.response)
		s.response = nil
	}
}

// promises are statuses by which an answer would promise that the request has not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// passOn writes an upstream's whole answer to the caller.
func (q *request) passOn(s *send) { q.passBody(s, s.response.Body()) }

// passBody writes an upstream's answer with a body that was read as a whole.
func (q *request) passBody(s *send, body []byte) {
	if promises(s.response.StatusCode()) && !s.notRun() && !q.idempotent() {
		// The upstream may have run the request, but the status would promise the opposite.
		q.refuse(&refusal{fasthttp.StatusBadGateway, "the upstream failed", 0})
		return
	}
	if err := q.x.WriteResponse(&s.response.Header, body); err != nil {
		q.log.reason = err.Error()
	}
}
