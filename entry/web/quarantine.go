package web

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
	"azuredoor.example/entry/quarantine"
)

// sharedParts returns the parts of the prompt that other prompts may share.
func (q *request) sharedParts() []uint64 {
	if n := len(q.call.PromptParts); n > 1 {
		return q.call.PromptParts[:n-1]
	}
	return nil
}

// checkPrompt refuses a request whose prompt contains a quarantined part.
func (q *request) checkPrompt() *refusal { return q.promptRefusal(q.router.config.Placer != nil) }

// promptRefusal returns the refusal of a request whose prompt contains a quarantined part, or nil. If coordinated is set, the
// coordinator admits requests that try a part again.
func (q *request) promptRefusal(coordinated bool) *refusal {
	parts := q.sharedParts()
	if len(parts) == 0 {
		return nil
	}
	verdict := q.router.config.Guard.Check(time.Now(), q.service, parts, coordinated)
	if !verdict.Refused {
		return nil
	}
	return q.quarantineRefusal(verdict.Part, verdict.RetryAfter)
}

func (q *request) quarantineRefusal(part uint64, retryAfter time.Duration) *refusal {
	reason := "engines crash on the prompt part " + strconv.FormatUint(part, 16)
	if q.mayHaveRun {
		return &refusal{fasthttp.StatusBadGateway, reason, 0}
	}
	q.trace.quarantined = true
	return &refusal{fasthttp.StatusServiceUnavailable, reason, retryAfter}
}

// abandonPlacement ends a placement whose engine has not received the request.
func (q *request) abandonPlacement(u place.Upstream, reservation string) {
	q.releaseReservation(u.Address, reservation)
	q.endGeneration()
	q.router.endAttempt(u, q.need, place.Cancelled)
}

// recordProgress counts new events of an attempt. The second one shows that the engine has begun the answer and goes on.
func (q *request) recordProgress(s *attempt, events int) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = time.Now()
	}
	if s.events += events; s.events > 1 {
		q.recordStart(s)
	}
}

// recordStart records that an engine has begun an answer and goes on, or has completed it.
func (q *request) recordStart(s *attempt) {
	if s.started || s.need.Role != place.RoleDecode {
		return
	}
	s.started = true
	at := s.firstEventAt
	if at.IsZero() {
		at = s.began
	}
	q.router.config.Guard.Started(time.Now(), q.service, q.sharedParts(), at)
}

// recordBreak records an attempt whose engine may have crashed.
func (q *request) recordBreak(s *attempt) {
	if s.outcome != place.Broken || s.need.Role != place.RoleDecode || !connectionLost(s.err) {
		return
	}
	b := quarantine.Break{
		Service: q.service, Upstream: s.upstream.ID, Incarnation: s.upstream.Incarnation, Sent: s.began, At: time.Now(),
	}
	if !s.started {
		b.Parts = q.sharedParts()
	}
	q.suspected = !q.router.config.Guard.MayRepeat(b)
	q.router.config.Guard.Broke(b)
	if q.router.config.Placer != nil {
		q.router.config.Placer.Changed()
	}
}

// connectionLost reports whether the upstream or its VM ended the connection. A timeout does not count.
func connectionLost(err error) bool {
	return slices.ContainsFunc(connectionErrors, func(lost error) bool { return errors.Is(err, lost) })
}

var connectionErrors = []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedStream, errNoEvent, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT}
