package web

import (
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

const (
	// attemptTimeoutFactor is the timeout of an attempt of an idempotent request, as a factor of the target latency. After
	// the timeout, the request is retried at another upstream. A healthy upstream responds to most requests in a fraction
	// of the target.
	attemptTimeoutFactor = 2.5
	// maxRefusals bounds how many upstreams may refuse a request without running it before the caller is refused.
	maxRefusals = 4
)

// servePlain serves a request to a plain HTTP service.
func (q *request) servePlain() {
	var last *attempt
	defer func() {
		if last != nil {
			last.release()
		}
	}()
	for attempts := 0; ; attempts++ {
		until := q.x.Arrived.Add(time.Duration(float64(q.route.Target) * queueWaitShare))
		if refused := q.promptRefusal(false); refused != nil {
			q.refuse(refused)
			return
		}
		u, err := q.nextUpstream(until)
		if err != nil {
			if last != nil && last.err == nil && !last.notRun() {
				q.forwardResponse(last)
				return
			}
			q.refuse(q.unavailableRefusal(err))
			return
		}
		s := q.sendHedged(u)
		q.recordAttempt(s)
		q.recordTime(s)
		responded := s.err == nil && !s.notRun()
		if responded && (s.response.StatusCode() < fasthttp.StatusInternalServerError || !q.idempotent()) {
			if last != nil {
				last.release()
			}
			last = s
			if s.response.StatusCode() < fasthttp.StatusMultipleChoices {
				q.recordStart(s)
			}
			q.forwardResponse(s)
			return
		}
		if last == nil || responded || last.err != nil || last.notRun() {
			if last != nil {
				last.release()
			}
			last = s
		} else {
			s.release()
		}
		if q.successor == nil && attempts >= maxRefusals || !q.mayRetry() {
			q.finishFailed(last)
			return
		}
		if len(q.need.Exclude) < q.otherUpstreams() {
			q.need.Exclude = append(q.need.Exclude, s.upstream.ID)
		} else if q.successor == nil && s.notRun() && !q.pauseBeforeResend(attempts) {
			q.finishFailed(last)
			return
		}
	}
}

// pauseBeforeResend waits before a request is sent again to the only upstream left, which has refused it: 10 ms first,
// and twice as long each time. It returns false if the request ends before.
func (q *request) pauseBeforeResend(attempt int) bool {
	const shortest = 10 * time.Millisecond
	pause := shortest << min(attempt, maxRefusals)
	if !retry.InTime(time.Now(), q.deadline, pause) {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.ctx.Done():
		return false
	}
}

// nextUpstream returns the upstream that takes over from a silent one, or chooses one.
func (q *request) nextUpstream(until time.Time) (place.Upstream, error) {
	if next := q.takeSuccessor(); next != nil {
		return next.placement.decode, nil
	}
	return q.router.pick(q.ctx, q.need, until)
}

// otherUpstreams returns how many upstreams may be excluded so that at least one remains.
func (q *request) otherUpstreams() int {
	q.router.mu.Lock()
	defer q.router.mu.Unlock()
	return q.router.table.Count(time.Now(), q.need) - 1
}

// attemptTimeout returns how long to wait for the first byte of the response to this attempt.
func (q *request) attemptTimeout() time.Duration {
	left := max(time.Millisecond, time.Until(q.deadline))
	if q.mayBeRepeated() {
		return min(left, time.Duration(float64(q.route.Target)*attemptTimeoutFactor))
	}
	return left
}

// finishFailed responds to a request whose last attempt failed and that is not retried.
func (q *request) finishFailed(s *attempt) {
	switch {
	case s.err == nil && !s.notRun():
		q.forwardResponse(s)
	case q.ended():
		q.refuse(q.timeoutRefusal())
	case q.mayHaveRun:
		q.refuse(&refusal{fasthttp.StatusBadGateway, "the upstream failed", 0})
	default:
		q.refuse(&refusal{fasthttp.StatusServiceUnavailable, "no upstream took the request", q.refusedRetryAfter()})
	}
}
