package web

import (
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/place"
)

// trace is what the log says of one request.
type trace struct {
	firstEvent time.Duration
	events     int
	// longestGap is the longest pause between events that were passed on, lastEventAt when the last one was.
	longestGap  time.Duration
	lastEventAt time.Time
	reason      string
	sends       []string
	// charge is set when the customer's limit refused the request.
	charge int64
}

// add notes one send: the upstream, its part, how it ended and after how many milliseconds.
func (t *trace) add(s *send) {
	var b strings.Builder
	b.WriteString(s.upstream.ID)
	if s.need.Role != "" {
		b.WriteString("/" + s.need.Role)
	}
	b.WriteString(" " + s.outcome.String())
	if s.response != nil && s.err == nil {
		b.WriteString(" " + strconv.Itoa(s.response.StatusCode()))
	}
	b.WriteString(" after " + time.Since(s.began).Round(time.Millisecond).String())
	if s.err != nil {
		b.WriteString(": " + s.err.Error())
	}
	t.sends = append(t.sends, b.String())
}

// passed notes events that were passed on.
func (t *trace) passed(now time.Time, events int) {
	if t.events > 0 {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEventAt))
	}
	t.events, t.lastEventAt = t.events+events, now
}

// finish logs and measures the request.
func (q *request) finish() {
	if q.cancel != nil {
		q.cancel()
	}
	q.refund()
	outcome := "ok"
	switch status := q.x.Status(); {
	case !q.x.Complete() && q.callerGone():
		outcome = "callerGone"
	case !q.x.Complete():
		outcome = "cut"
	case status >= fasthttp.StatusBadRequest:
		outcome = statusClass(status)
	}
	customer, class := "", ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	if q.route != nil {
		class = q.route.Name
	}
	series := q.router.config.Metrics.For(customer, class)
	series.Outcome(outcome)
	took := time.Since(q.x.Arrived)
	series.Whole.RecordDuration(took)
	if q.log.firstEvent > 0 {
		series.FirstToken.RecordDuration(q.log.firstEvent)
	}
	q.router.config.Events.Write(event.RequestEnded, func(e *log.Entry) {
		e.Str("request", q.call.ID).Str("route", class).Str("customer", customer).Str("service", q.service).
			Str("outcome", outcome).Int("status", q.x.Status()).Int64("ms", took.Milliseconds()).Str("sends", strings.Join(q.log.sends, "; ")).
			Int64("viewAgeMs", q.age.Milliseconds()).Int64("patienceMs", q.call.Patience.Milliseconds())
		if q.document != nil {
			e.Uint64("documentVersion", q.document.Version)
		}
		if q.route != nil && q.route.Stream {
			e.Int("events", q.log.events).Int64("firstEventMs", q.log.firstEvent.Milliseconds()).Int64("longestGapMs", q.log.longestGap.Milliseconds()).Str("lastEvent", q.call.LastEvent)
		}
		if q.need.Work > 1 {
			e.Int("promptTokens", q.call.PromptTokens).Int("maxTokens", q.call.MaxTokens)
		}
		if q.log.charge > 0 {
			e.Int64("charge", q.log.charge).Int64("limitPerSecond", q.customer.Limit.TokensPerSecond).Int64("limitBurst", q.customer.Limit.BurstTokens)
		}
		if q.log.reason != "" {
			e.Str("reason", q.log.reason)
		}
	})
}

// statusClass names a failure by its status for counters.
func statusClass(status int) string {
	switch status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusNotFound:
		return "notAllowed"
	case fasthttp.StatusTooManyRequests:
		return "overLimit"
	case fasthttp.StatusServiceUnavailable:
		return "unavailable"
	case fasthttp.StatusGatewayTimeout:
		return "timeout"
	case fasthttp.StatusBadGateway:
		return "upstreamFailed"
	}
	return "failed"
}

func (r *Router) logEjected(u place.Upstream, outcome place.Outcome, d time.Duration) {
	r.config.Events.Write(event.UpstreamEjected, func(e *log.Entry) {
		e.Str("upstream", u.ID).Uint64("incarnation", u.Incarnation).Str("address", u.Address).Str("outcome", outcome.String()).Int64("ms", d.Milliseconds())
	})
}

// logChanges writes a line for each upstream that came, changed or left since the last view.
func (r *Router) logChanges(view *control.View) {
	before := map[string]*fleetpb.Upstream{}
	if r.seen != nil {
		before = r.seen.Upstreams
	}
	write := func(u *fleetpb.Upstream, state string) {
		r.config.Events.Write(event.UpstreamChanged, func(e *log.Entry) {
			e.Str("upstream", u.Id).Uint64("incarnation", u.Incarnation).Uint64("sequence", u.Sequence).Str("address", u.Address).
				Str("service", u.Pool).Str("role", u.Role).Str("state", state).Uint64("viewIndex", view.Index)
		})
	}
	for id, u := range view.Upstreams {
		if u != before[id] {
			write(u, u.State.String())
		}
	}
	for id, u := range before {
		if view.Upstreams[id] == nil {
			write(u, "forgotten")
		}
	}
	r.seen = view
}
