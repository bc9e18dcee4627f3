package web

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// tryShare is the part of the target after which an idempotent request that got no answer is tried elsewhere. An
	// upstream that works answers most requests in a fraction of the target.
	tryShare = 2.5
	// maxRefused bounds the upstreams that may refuse one request without running it.
	maxRefused = 4
)

// plain serves a request to a plain service.
func (q *request) plain() {
	var last *send
	defer func() {
		if last != nil {
			last.release()
		}
	}()
	for tries := 0; ; tries++ {
		until := q.x.Arrived.Add(time.Duration(float64(q.route.Target) * queueShare))
		u, err := q.router.pick(q.ctx, q.need, until)
		if err != nil {
			if last != nil && last.err == nil && !last.notRun() {
				q.passOn(last)
				return
			}
			q.refuse(q.unavailable(err))
			return
		}
		s := q.send(u, q.need, Forwarding{}, q.tryBound(), false)
		q.count(s)
		answered := s.err == nil && !s.notRun()
		if answered && (s.response.StatusCode() < fasthttp.StatusInternalServerError || !q.idempotent()) {
			if last != nil {
				last.release()
			}
			last = s
			q.passOn(s)
			return
		}
		if last == nil || answered || last.err != nil || last.notRun() {
			if last != nil {
				last.release()
			}
			last = s
		} else {
			s.release()
		}
		if tries >= maxRefused || !q.maySendAgain() {
			q.giveUp(last)
			return
		}
		if len(q.need.Exclude) < q.otherUpstreams() {
			q.need.Exclude = append(q.need.Exclude, u.ID)
		}
	}
}

// otherUpstreams is how many upstreams may be left out before all would be.
func (q *request) otherUpstreams() int {
	q.router.mu.Lock()
	defer q.router.mu.Unlock()
	return q.router.table.Count(q.need.Service, q.need.Role) - 1
}

// tryBound is how long to wait for the first byte of this try.
func (q *request) tryBound() time.Duration {
	left := max(time.Millisecond, time.Until(q.deadline))
	if q.idempotent() && q.runs+1 < q.route.Attempts {
		return min(left, time.Duration(float64(q.route.Target)*tryShare))
	}
	return left
}

// giveUp answers a request whose last send failed.
func (q *request) giveUp(s *send) {
	switch {
	case s.err == nil && !s.notRun():
		q.passOn(s)
	case q.ctx.Err() != nil:
		q.refuse(q.timedOut())
	case q.ran:
		q.refuse(&refusal{fasthttp.StatusBadGateway, "the upstream failed", 0})
	default:
		q.refuse(&refusal{fasthttp.StatusServiceUnavailable, "no upstream took the request", max(s.marks.RetryAfter, busyRetry)})
	}
}
