package web

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/place"
)

// trace collects the data for the log entry of one request.
type trace struct {
	// firstEvent is the time from the arrival of the request to its first event, 0 before that event.
	firstEvent time.Duration
	events     int
	// longestGap is the longest pause between forwarded events.
	longestGap time.Duration
	// lastEventAt is when the last event was forwarded.
	lastEventAt time.Time
	// silentChecks counts how often an upstream was silent and no other one could take over.
	silentChecks int
	reason       string
	attempts     []string
	// failure is the error of the last attempt that was written to an upstream, nil if it had none.
	failure error
	// placedBy is "coordinator" or "entry" once engines were chosen for a generation, and placeTime is the time that all
	// choices took, including the wait for memory.
	placedBy  string
	placeTime time.Duration
	// refusedTokens is the number of tokens that the customer's limit refused, 0 if the limit did not refuse the request.
	refusedTokens int64
	// quarantined is set if the request was refused because of a part of its prompt.
	quarantined bool
}

// addAttempt records one attempt: the upstream, its role, the outcome, the status and the duration, rounded to milliseconds.
func (t *trace) addAttempt(s *attempt) {
	var b strings.Builder
	b.WriteString(s.upstream.ID)
	if s.need.Role != "" {
		b.WriteString("/" + s.need.Role)
	}
	if s.copy {
		b.WriteString(" copy")
	}
	b.WriteString(" " + s.outcome.String())
	if s.response != nil && s.err == nil {
		b.WriteString(" " + strconv.Itoa(s.response.StatusCode()))
	}
	b.WriteString(" after " + time.Since(s.began).Round(time.Millisecond).String())
	if s.err != nil {
		b.WriteString(": " + s.err.Error())
	}
	t.attempts = append(t.attempts, b.String())
	if s.written {
		t.failure = s.err
	}
}

// maxLoggedParts bounds the prompt parts in the log entry of a request.
const maxLoggedParts = 16

// formatParts returns prompt parts for the log.
func formatParts(parts []uint64) string {
	var b strings.Builder
	for i, id := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(id, 16))
	}
	return b.String()
}

// recordEvents records forwarded events.
func (t *trace) recordEvents(now time.Time, events int) {
	if t.events > 0 {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEventAt))
	}
	t.events, t.lastEventAt = t.events+events, now
}

// finish releases the request's resources, records its metrics and logs it.
func (q *request) finish() {
	if q.cancel != nil {
		q.cancel()
	}
	q.endSearch()
	q.dropSuccessor()
	q.endHedge()
	q.refund()
	outcome := "ok"
	switch status := q.x.Status(); {
	case !q.x.Complete() && q.callerGone():
		outcome = "callerGone"
	case !q.x.Complete():
		outcome = "cut"
	case q.trace.quarantined:
		outcome = "quarantined"
	case status >= fasthttp.StatusBadRequest:
		outcome = outcomeLabel(status)
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
	cause := ""
	if q.mayHaveRun && (outcome == "cut" || q.trace.reason != "" && (outcome == "upstreamFailed" || outcome == "timeout")) {
		cause = q.unfinishedCause()
		series.Unfinished(outcome, cause)
	}
	took := time.Since(q.x.Arrived)
	series.Duration.RecordDuration(took)
	if q.trace.firstEvent > 0 {
		series.FirstToken.RecordDuration(q.trace.firstEvent)
	}
	q.router.config.Events.Write(event.RequestEnded, func(e *log.Entry) {
		e.Str("request", q.call.ID).Str("route", class).Str("customer", customer).Str("service", q.service).
			Str("outcome", outcome).Int("status", q.x.Status()).Int64("ms", took.Milliseconds()).Str("sends", strings.Join(q.trace.attempts, "; ")).
			Int64("viewAgeMs", q.viewAge.Milliseconds()).Int64("patienceMs", q.call.Timeout.Milliseconds())
		if q.document != nil {
			e.Uint64("documentVersion", q.document.Version)
		}
		if q.route != nil && q.route.Stream {
			e.Int("events", q.trace.events).Int64("firstEventMs", q.trace.firstEvent.Milliseconds()).Int64("longestGapMs", q.trace.longestGap.Milliseconds()).Str("lastEvent", q.call.LastEvent)
		}
		if q.need.SameSoftware {
			e.Str("softwareVersion", q.need.SoftwareVersion)
		}
		if q.call.Continues != "" {
			e.Str("continues", q.call.Continues)
		}
		if q.need.Work > 1 {
			e.Int("promptTokens", q.call.PromptTokens).Int("maxTokens", q.call.MaxTokens).Str("parts", formatParts(q.call.PromptParts))
		}
		if q.trace.placedBy != "" {
			e.Str("placedBy", q.trace.placedBy).Int64("placeMs", q.trace.placeTime.Milliseconds()).Int("expectedTokens", q.expectedOutput).Bool("late", q.late)
		}
		if q.trace.refusedTokens > 0 {
			e.Int64("charge", q.trace.refusedTokens).Int64("limitPerSecond", q.customer.Limit.TokensPerSecond).Int64("limitBurst", q.customer.Limit.BurstTokens)
		}
		if q.trace.silentChecks > 0 {
			e.Int("silentChecks", q.trace.silentChecks)
		}
		if cause != "" {
			e.Str("cause", cause).Uint64("endVersion", q.router.documentVersion())
		}
		if q.trace.reason != "" {
			e.Str("reason", q.trace.reason)
		}
	})
}

// unfinishedCause returns why the caller did not get the complete response of an upstream.
func (q *request) unfinishedCause() string {
	switch err := q.trace.failure; {
	case errors.Is(context.Cause(q.x.Context), http1.ErrStopping):
		return "stopping"
	case !time.Now().Before(q.deadline):
		return "deadline"
	case errors.Is(err, conn.ErrStalled), errors.Is(err, conn.ErrReadTimeout):
		return "upstreamSilent"
	case err != nil:
		return "upstreamBroken"
	}
	return "other"
}

// documentVersion returns the version of the configuration that is in force, or 0 if there is none.
func (r *Router) documentVersion() uint64 {
	if d := r.config.Control.View().Document; d != nil {
		return d.Version
	}
	return 0
}

// outcomeLabel returns the outcome label of an error status.
func outcomeLabel(status int) string {
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

// logChanges logs each upstream that was added, changed or removed since the previous view.
func (r *Router) logChanges(view *control.View) {
	before := map[string]*fleetpb.Upstream{}
	if r.lastView != nil {
		before = r.lastView.Upstreams
	}
	write := func(u *fleetpb.Upstream, state string) {
		r.config.Events.Write(event.UpstreamChanged, func(e *log.Entry) {
			e.Str("upstream", u.Id).Uint64("incarnation", u.Incarnation).Uint64("sequence", u.Sequence).Str("address", u.Address).
				Str("service", u.Pool).Str("role", u.Role).Str("softwareVersion", u.SoftwareVersion).Str("state", state).Uint64("viewIndex", view.Index)
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
	r.lastView = view
}
