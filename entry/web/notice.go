package web

import (
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/entry/place"
)

// errRestricted means that, after the upstream was chosen for this request, it stated that it wants no requests, its failure domain was
// evacuated, or it is cold and the request was not counted in time.
var errRestricted = errors.New("upstream wants no requests now")

// observeNotice records what the response of an upstream states about further requests. RequestID is the ID of the request that
// the response must name, or empty for a call without an ID; any other response may be of another process or garbled, and is
// ignored.
func (r *Router) observeNotice(u place.Upstream, status int, info ResponseInfo, requestID string) {
	notice := place.Notice{Leaving: info.Leaving}
	if status == fasthttp.StatusServiceUnavailable {
		notice.Pause = info.RetryAfter
	}
	if info.RequestID != requestID || info.Replaced || notice == (place.Notice{}) && info.Cold == 0 {
		return
	}
	r.mu.Lock()
	leaving, pause := r.table.RecordNotice(time.Now(), u, notice)
	r.table.RecordCold(time.Now(), u, info.Cold)
	if leaving || pause > 0 {
		r.notifyWaiters()
	}
	r.mu.Unlock()
	write := func(id event.ID, pause time.Duration) {
		r.config.Events.Write(id, func(e *log.Entry) {
			e.Str("upstream", u.ID).Uint64("incarnation", u.Incarnation).Str("address", u.Address).Str("service", u.Service).Str("request", requestID)
			if pause > 0 {
				e.Int64("ms", pause.Milliseconds())
			}
		})
	}
	if leaving {
		if r.config.Placer != nil {
			r.config.Placer.Changed()
		}
		write(event.UpstreamLeaving, 0)
	}
	if pause > 0 {
		write(event.UpstreamPaused, pause)
	}
}

// restricted reports whether an incarnation of an upstream has stated that it wants no requests of this entry now.
func (r *Router) restricted(id string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Restricted(time.Now(), id, incarnation)
}

// maySend reports whether a request may still be sent to the upstream that was chosen for it.
func (r *Router) maySend(u place.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !u.GrantedUntil.IsZero() && r.awake.Paused() {
		// The grant is measured with a clock that stops while the VM is suspended.
		u.GrantedUntil = time.Time{}
	}
	return r.table.MaySend(time.Now(), u)
}

// mayBeCold reports whether an incarnation of an upstream may be cold.
func (r *Router) mayBeCold(id string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.MayBeCold(time.Now(), place.Upstream{ID: id, Incarnation: incarnation})
}

// ColdWanted implements usage.Loads.
func (r *Router) ColdWanted() []place.ColdUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.ColdWanted()
}

// GrantCold implements usage.Loads.
func (r *Router) GrantCold(until time.Time, uses []place.ColdUse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.GrantCold(until, uses); len(uses) > 0 {
		r.notifyWaiters()
	}
}

// RunningEvacuated returns how many requests of this entry still run in each evacuated failure domain.
func (r *Router) RunningEvacuated() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.RunningEvacuated()
}

// resumeDelay returns the time until an upstream of the request's service accepts requests again, or 0 if one does now.
func (q *request) resumeDelay() time.Duration {
	q.router.mu.Lock()
	defer q.router.mu.Unlock()
	return q.router.table.ResumeDelay(time.Now(), q.need)
}

// refusedRetryAfter returns the Retry-After of a request that all upstreams it was sent to refused without running it.
func (q *request) refusedRetryAfter() time.Duration {
	return max(place.ResumeRetryDelay(q.resumeDelay(), time.Until(q.deadline)), busyRetryAfter)
}

// Leaving returns the engines, with their incarnations, that have told this entry that they leave and have not announced it yet.
func (r *Router) Leaving() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Leaving()
}
