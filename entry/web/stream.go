package web

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/entry/place"
)

const (
	// streamStallTimeout is the longest pause in a stream before another upstream takes over. It is well above the pause that
	// callers notice and below the pause after which they disconnect.
	streamStallTimeout = 1200 * time.Millisecond
	// firstEventSlack is added to three times the expected time to the first event; after that time another upstream
	// takes over.
	firstEventSlack = 900 * time.Millisecond
	// reserveWaitShare is the share of the target latency that a generation may wait for free memory on an engine.
	reserveWaitShare = 0.4
	// lateWaitFactor is how long a caller that returned too late for the target waits for free memory, as a factor of the
	// target. Callers disconnect after four times the target without an event.
	lateWaitFactor = 2.5
	// resumeWaitFactor is how long an interrupted stream waits for free memory on another engine, as a factor of the
	// target latency. Callers disconnect after a pause of four times the target.
	resumeWaitFactor = 2
	// handleMargin is subtracted from the lifetime of a handle, so that the request reaches the decode engine before the
	// handle expires.
	handleMargin = 60 * time.Millisecond
	// maxPrefills bounds the prefill engines that one request is sent to.
	maxPrefills = 2
	// maxUnreachable bounds the unreachable engines that a request tries. A failure domain that is down may contain a
	// dozen engines.
	maxUnreachable = 12
	// freeTimeout bounds the call that frees a prefill's result or releases a reservation.
	freeTimeout = 500 * time.Millisecond
	// prefillSlack is added to three times the expected prefill time; after that time the prefill counts as failed.
	prefillSlack = 500 * time.Millisecond
)

// errNoProgress means that maxEventBytes came without an event that has a new ID.
var errNoProgress = errors.New("too many bytes came without a new event")

// errRetryBudget means that the retry budget is used up.
var errRetryBudget = errors.New("retry budget is used up")

// serveStream serves a request whose response is an event stream.
func (q *request) serveStream() {
	lastID := ""
	promptSent := false
	var unusedPrefill Forwarding
	defer func() { q.freePrefill(unusedPrefill) }()
	for refusals, unreachable := 0, 0; ; {
		s, refused := q.openStream(lastID, promptSent, &unusedPrefill)
		if refused != nil {
			q.refuse(refused)
			return
		}
		// A prompt that no decode engine has received may still go to a prefill engine.
		promptSent = promptSent || s.written
		if q.continuesStream(s) {
			done := q.relay(s, &lastID)
			q.recordAttempt(s)
			s.release()
			if done || q.callerGone() {
				return
			}
			if q.positionUnknown {
				q.refuse(&refusal{fasthttp.StatusBadGateway, "the stream broke off after an event without an ID", 0})
				return
			}
		} else {
			body := q.readNonStream(s)
			q.recordAttempt(s)
			responded := s.err == nil && !s.notRun() && !q.x.HeaderWritten()
			if responded && (s.response.StatusCode() < fasthttp.StatusInternalServerError || !q.idempotent() || !q.mayRetry()) {
				q.forwardBody(s, body)
				s.release()
				return
			} else if responded {
				s.release()
				q.exclude(s.upstream)
				continue
			}
			if s.written {
				refusals++
			} else {
				unreachable++
			}
			s.release()
			if q.ctx.Err() == nil && !q.mayHaveRun && (refusals > maxRefusals || unreachable > maxUnreachable) {
				q.refuse(&refusal{fasthttp.StatusServiceUnavailable, "no upstream took the request", q.refusedRetryAfter()})
				return
			}
		}
		if q.successor == nil && (refusals > maxRefusals || unreachable > maxUnreachable) || !q.mayRetry() {
			q.refuse(q.unavailableRefusal(place.ErrBusy))
			return
		}
		q.exclude(s.upstream)
	}
}

func (q *request) exclude(u place.Upstream) {
	if len(q.need.Exclude) < q.otherUpstreams() {
		q.need.Exclude = append(q.need.Exclude, u.ID)
	}
}

// openStream places the request on a decode engine and sends it there, after a prefill on a separate engine if the
// placement names one. The decode engine is chosen first, so that no prompt is processed without memory for the
// generation.
func (q *request) openStream(lastID string, promptSent bool, unusedPrefill *Forwarding) (*attempt, *refusal) {
	f := Forwarding{LastEvent: lastID}
	if refused := q.promptRefusal(true); refused != nil {
		return nil, refused
	}
	p, failed, refused := q.reserveDecodeEngine(&f)
	if failed != nil || refused != nil {
		return failed, refused
	}
	expected, usePrefill := p.prefillTime, p.prefill != ""
	if !p.coordinated {
		forecast := q.router.forecast(p.decode, q.need, q.call.PromptTokens)
		usePrefill = !promptSent && forecast.UsePrefill(q.route.Target) || promptSent && forecast.HasSplit
		expected = forecast.Best(q.route.Target)
	}
	switch {
	case unusedPrefill.Handle != "" && time.Since(q.prefilledAt) < q.handleLifetime():
		// The previous decode engine was unreachable or did not run the request, so the prefill's result may still exist.
		f.Source, f.Handle = unusedPrefill.Source, unusedPrefill.Handle
	case q.prefillAddress != "":
		// The prefill engine may still have the prompt's KV cache, but no longer under the handle.
		f.Fetch = q.prefillAddress
	case usePrefill:
		var allowed bool
		if f.Source, f.Handle, allowed = q.prefill(p, expected); !allowed && !q.mayHaveRun {
			q.endGeneration()
			q.router.endAttempt(p.decode, q.need, place.Cancelled)
			q.releaseReservation(p.decode.Address, f.Reservation)
			return nil, q.unavailableRefusal(errRetryBudget)
		}
	}
	if f.Handle != "" {
		expected = place.TransferOverhead
	}
	if refused := q.promptRefusal(true); refused != nil {
		*unusedPrefill = f
		q.abandonPlacement(p.decode, f.Reservation)
		return nil, refused
	}
	s := q.sendTo(p.decode, q.need, f, q.firstEventTimeout(expected), true)
	*unusedPrefill = Forwarding{}
	if !s.written || s.outcome == place.Refused {
		*unusedPrefill = f
		q.releaseReservation(p.decode.Address, f.Reservation)
	}
	return s, nil
}

// reserveDecodeEngine finds a decode engine and reserves memory on it for the request. If the reservation fails for a
// reason other than lack of memory, the engine is returned as a failed attempt.
func (q *request) reserveDecodeEngine(f *Forwarding) (p placement, failed *attempt, refused *refusal) {
	if next := q.takeSuccessor(); next != nil {
		f.Reservation = next.reservation
		return next.placement, nil, nil
	}
	until, maxCalls := q.x.Arrived.Add(time.Duration(float64(q.route.Target)*reserveWaitShare)), maxReserves
	if q.late {
		until = q.x.Arrived.Add(time.Duration(float64(q.route.Target) * lateWaitFactor))
	}
	if q.interrupted() {
		// Callers disconnect after a longer pause.
		until, maxCalls = time.Now().Add(resumeWaitFactor*q.route.Target), maxResumeReserves
	}
	var full []string
	for range maxCalls {
		p, refused = q.findEngines(until, full)
		if refused != nil {
			return p, nil, refused
		}
		s := &attempt{upstream: p.decode, need: q.need, began: time.Now()}
		f.Reservation, s.outcome, s.err = q.reserve(p)
		switch s.outcome {
		case place.Served:
			return p, nil, nil
		case place.Full:
			full = append(full, p.decode.ID)
			q.recordAttempt(s)
		default:
			return p, s, nil
		}
	}
	return p, nil, q.unavailableRefusal(place.ErrBusy)
}

func (r *Router) forecast(u place.Upstream, need place.Need, prompt int) place.Forecast {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Forecast(time.Now(), u, need, prompt)
}

// firstEventTimeout returns how long to wait for the response and its first event before another engine is tried. Another
// engine has to process the prompt again, so each engine gets several times the expected time.
func (q *request) firstEventTimeout(expected time.Duration) time.Duration {
	left := max(time.Millisecond, time.Until(q.deadline))
	if q.mayBeRepeated() {
		return min(left, 3*expected+firstEventSlack)
	}
	return left
}

// prefill runs the prefill on the prefill engine of the placement, or on another one if it names none or that one fails. If the prefill fails,
// prefill returns empty strings, and the decode engine processes the prompt itself. The retry budget counts that as a retry;
// allowed is false if the budget is used up.
func (q *request) prefill(p placement, expected time.Duration) (source, handle string, allowed bool) {
	need, engine := q.need, p.prefill
	need.Role, need.Work, need.Exclude, need.GrantedUntil = place.RolePrefill, max(1, q.call.PromptTokens), nil, p.grantedUntil
	need.SameSoftware = false
	sent := false
	for range maxPrefills {
		s := q.tryPrefill(&need, engine, expected)
		engine = ""
		if s == nil {
			break
		}
		source, handle = s.upstream.Address, s.handle
		sent = sent || s.written
		s.release()
		if handle != "" {
			return source, handle, true
		}
		if !s.notRun() || !q.mayRetry() {
			break
		}
	}
	return "", "", !sent || q.takeRetry()
}

// tryPrefill sends the prompt to the given prefill engine, or to the best one if it is empty. It returns nil if no engine is
// available.
func (q *request) tryPrefill(need *place.Need, engine string, expected time.Duration) *attempt {
	u, assigned := q.router.assign(engine, 0, *need)
	if !assigned {
		var err error
		if u, err = q.router.pick(q.ctx, *need, time.Now()); err != nil {
			return nil
		}
	}
	need.Exclude = append(need.Exclude, u.ID)
	bound := min(max(time.Millisecond, time.Until(q.deadline)), 3*expected+prefillSlack)
	s := q.sendTo(u, *need, Forwarding{Prefill: true}, bound, false)
	if s.err == nil && s.outcome == place.Served && s.response.StatusCode() == fasthttp.StatusOK {
		var err error
		if s.handle, err = q.router.config.Codec.ReadHandle(s.response.Body()); err != nil {
			s.outcome, s.err = place.Broken, err
		}
	} else if s.outcome == place.Served {
		s.outcome = place.Erred
	}
	q.router.endAttempt(u, *need, s.outcome)
	q.trace.addAttempt(s)
	if s.handle == "" {
		// For the retry budget, a failed prefill that was written counts as an attempt. A successful prefill does not count.
		if s.written {
			q.writtenAttempts++
		}
		return s
	}
	q.prefillAddress, q.prefilledAt = s.upstream.Address, time.Now()
	q.router.observePrefill(q.call.PromptTokens, time.Since(s.began))
	return s
}

func (r *Router) observePrefill(tokens int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.ObservePrefill(tokens, took)
}

// handleLifetime returns how long after a prefill its handle may be passed to a decode engine.
func (q *request) handleLifetime() time.Duration {
	if e := q.document.Services[q.service].Engine; e != nil {
		return e.HandleLifetime - handleMargin
	}
	return 0
}

// freePrefill frees the result of a prefill that no decode engine fetched.
func (q *request) freePrefill(f Forwarding) {
	if f.Handle != "" {
		q.router.callInBackground(f.Source, event.HandleNotFreed, func(out *fasthttp.Request) { q.router.config.Codec.FreeHandle(out, f.Handle) })
	}
}

// relay forwards the events of an upstream to the caller and sets lastID to the ID of the last event forwarded. Events
// up to lastID are skipped. The result reports whether the response is complete.
func (q *request) relay(s *attempt, lastID *string) bool {
	reader := bufio.NewReaderSize(s.body, 8<<10)
	first, anyEvent := true, false
	// Forwarding the header replaces its fields for the transfer.
	endsWithConnection := s.response.Header.ContentLength() == identityLength
	q.expectEvent(s)
	withoutProgress := 0
	for {
		event, err := readEvent(reader)
		if withoutProgress += len(event); err == nil && withoutProgress > maxEventBytes {
			err = errNoProgress
		}
		if err == io.EOF && !anyEvent && endsWithConnection { //nolint:errorlint // readEvent returns io.EOF bare
			err = errNoEvent
		}
		if err != nil {
			return q.endRelay(s, err)
		}
		if first {
			first = false
			if *lastID == "" && q.trace.firstEvent == 0 {
				q.trace.firstEvent = time.Since(q.x.Arrived)
			}
		}
		id := eventID(event)
		anyEvent = anyEvent || id != "" || hasData(event)
		if id != "" && !isNewer(id, *lastID) {
			continue
		}
		if id != "" || hasData(event) {
			q.positionUnknown = id == ""
			withoutProgress = 0
			q.expectEvent(s)
		}
		if !q.x.HeaderWritten() {
			q.recordOrigin(s.upstream)
			if err := q.beginStream(s); err != nil {
				return q.endRelay(s, err)
			}
		}
		for reader.Buffered() > 0 && id != "" {
			more, ok := bufferedEvent(reader)
			if !ok {
				break
			}
			moreID := eventID(more)
			if moreID != "" && !isNewer(moreID, id) {
				withoutProgress += len(more)
				continue
			}
			if moreID != "" || hasData(more) {
				q.positionUnknown = moreID == ""
			}
			event = append(event, more...)
			id = firstNonEmpty(moreID, id)
		}
		if err := q.x.WriteChunk(event); err != nil {
			s.err = err
			return q.endRelay(s, err)
		}
		events := bytes.Count(event, []byte("\n\n"))
		if id != "" || hasData(event) {
			q.recordProgress(s, events)
		}
		q.recordEvents(s, events)
		if id != "" {
			*lastID = id
		}
	}
}

// expectEvent sets the time by which the next event with a new ID must arrive. Bytes that are no such event, such as comments,
// do not extend it. If no other engine can take over, only the deadline of the request bounds the stream.
func (q *request) expectEvent(s *attempt) {
	q.endSearch()
	if q.mayBeRepeated() {
		s.body.SetProgressDeadline(time.Now().Add(streamStallTimeout))
	} else {
		s.body.SetProgressDeadline(q.deadline)
	}
}

// recordEvents counts forwarded events, and adds work to the upstream if the generation exceeds its expected length.
func (q *request) recordEvents(s *attempt, events int) {
	q.trace.recordEvents(time.Now(), events)
	service := q.document.Services[q.service]
	if service.Engine == nil {
		return
	}
	needed := q.call.PromptTokens + q.trace.events*service.Engine.EventTokens
	if g := q.generation; g.ID != 0 {
		g.Prompt, g.Output = q.call.PromptTokens, q.trace.events*service.Engine.EventTokens
		q.router.generations.put(g)
	}
	if extra := needed - s.need.Work; extra > 0 {
		s.need.Work += extra
		q.router.addWork(s.upstream, extra)
	}
}

func (r *Router) addWork(u place.Upstream, work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.AddWork(u, work)
}

// endRelay handles the end of a stream: a complete response, a disconnected caller or a failed upstream. It reports
// whether the response is complete.
func (q *request) endRelay(s *attempt, err error) bool {
	switch {
	case err == io.EOF: //nolint:errorlint // readEvent returns io.EOF bare
		if !q.x.HeaderWritten() {
			if err := q.beginStream(s); err != nil {
				return false
			}
		}
		if err := q.x.Finish(); err != nil {
			q.trace.reason = err.Error()
		}
		q.recordStart(s)
		if engine := q.document.Services[q.service].Engine; engine != nil {
			q.router.recordGeneration(q, q.trace.events*engine.EventTokens, time.Since(s.began))
		}
		return true
	case q.x.Context.Err() != nil:
		s.outcome, s.err = place.Cancelled, err
	default:
		s.outcome, s.err = place.Broken, err
	}
	return false
}
