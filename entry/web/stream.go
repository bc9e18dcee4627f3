package web

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/entry/place"
)

const (
	// streamStall is the longest pause in a stream before another upstream takes over: well beyond the pause that callers
	// notice, and below the one at which they leave.
	streamStall = 1200 * time.Millisecond
	// firstEventSlack is added to three times the expected time to the first event before another upstream takes over.
	firstEventSlack = 900 * time.Millisecond
	// roomShare is the part of the target that a generation may wait for room on an engine.
	roomShare = 0.4
	// goOnShare times the target is how long a stream that broke waits for room on another engine. Callers leave after a
	// pause of four times the target.
	goOnShare = 2
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// handleMargin is kept from the end of a handle's life: the request must arrive before.
	handleMargin = 60 * time.Millisecond
	// maxPrefills bounds the prefill engines that one request is offered to.
	maxPrefills = 2
	// maxUnreached bounds the engines that a request finds gone: a failure domain may have a dozen of them.
	maxUnreached = 12
	// freeTimeout bounds the call that frees a prefill's result or reserved room.
	freeTimeout = 500 * time.Millisecond
	// prefillSlack is added to three times the expected reading time before a prefill counts as lost.
	prefillSlack = 500 * time.Millisecond
)

// errCut means that a stream ended before its last event.
var errCut = errors.New("the stream ended in the middle of an event")

// stream serves a request whose answer is an event stream.
func (q *request) stream() {
	last := ""
	again := false
	var kept Forwarding
	defer func() { q.free(kept) }()
	for refusals, unreached := 0, 0; ; {
		s, refused := q.open(last, again, &kept)
		if refused != nil {
			q.refuse(refused)
			return
		}
		// A prompt that no engine has received is still read on a prefill engine.
		again = again || s.written
		if s.err == nil && s.outcome == place.Served && s.response.StatusCode() < 300 {
			done := q.relay(s, &last)
			q.count(s)
			s.release()
			if done || q.callerGone() {
				return
			}
		} else {
			q.count(s)
			whole := s.err == nil && !s.notRun()
			if whole && last == "" && (s.response.StatusCode() < fasthttp.StatusInternalServerError || !q.idempotent()) {
				q.passWhole(s)
				return
			}
			if whole && last == "" && !q.maySendAgain() {
				q.passWhole(s)
				return
			} else if whole && last == "" {
				s.release()
				q.exclude(s.upstream)
				continue
			}
			if s.written {
				refusals++
			} else {
				unreached++
			}
			retry := s.marks.RetryAfter
			s.release()
			if q.ctx.Err() == nil && !q.ran && (refusals > maxRefused || unreached > maxUnreached) {
				q.refuse(&refusal{fasthttp.StatusServiceUnavailable, "no upstream took the request", max(retry, busyRetry)})
				return
			}
		}
		if refusals > maxRefused || unreached > maxUnreached || !q.maySendAgain() {
			q.refuse(q.unavailable(place.ErrBusy))
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

// passWhole passes on a response to a stream's request that is no stream.
func (q *request) passWhole(s *send) {
	defer s.release()
	body, err := io.ReadAll(io.LimitReader(s.body, maxAnswerBytes))
	if err != nil {
		q.refuse(&refusal{fasthttp.StatusBadGateway, "the upstream's answer was cut", 0})
		return
	}
	q.passBody(s, body)
}

// open places the request on a decode engine and sends it there, after a prefill engine has read its prompt where that is
// better. The decode engine comes first, so that no prompt is read for which there is no room.
func (q *request) open(last string, again bool, kept *Forwarding) (*send, *refusal) {
	f := Forwarding{LastEvent: last}
	u, failed, refused := q.room(&f)
	if failed != nil || refused != nil {
		return failed, refused
	}
	forecast := q.router.forecast(u, q.need, q.call.PromptTokens)
	target := q.route.Target
	switch {
	case kept.Handle != "" && time.Since(q.readAt) < q.handleLifetime():
		// The engine before was not reached or did not run the request: the result of the prefill may still be there.
		f.Source, f.Handle = kept.Source, kept.Handle
		forecast.HasSplit = true
	case q.reader != "":
		// The prefill engine may still have what it read, though not under the handle.
		f.Fetch = q.reader
	case !again && forecast.Separate(target), again && forecast.HasSplit:
		f.Source, f.Handle = q.prefill(forecast)
		forecast.HasSplit = f.Handle != ""
	}
	expected := forecast.Best(target)
	if f.Handle != "" {
		expected = place.HandOver
	}
	s := q.send(u, q.need, f, q.firstBound(expected), true)
	*kept = Forwarding{}
	if !s.written || s.outcome == place.Refused {
		*kept = f
		q.giveBack(u.Address, f.Reservation)
	}
	return s, nil
}

// room picks a decode engine that has room for the request and keeps it. An engine that could not be asked is returned as
// a failed send.
func (q *request) room(f *Forwarding) (u place.Upstream, failed *send, refused *refusal) {
	until, most := q.x.Arrived.Add(time.Duration(float64(q.route.Target)*roomShare)), maxReserves
	if q.ran {
		// The caller has part of the answer: that is lost unless an engine takes over before it leaves.
		until, most = time.Now().Add(goOnShare*q.route.Target), maxGoOnReserves
	}
	for range most {
		u, err := q.router.pick(q.ctx, q.need, until)
		if err != nil {
			return u, nil, q.unavailable(err)
		}
		s := &send{upstream: u, need: q.need, began: time.Now()}
		f.Reservation, s.outcome, s.err = q.reserve(u)
		switch s.outcome {
		case place.Served:
			return u, nil, nil
		case place.Full:
			q.count(s)
		default:
			return u, s, nil
		}
	}
	return u, nil, q.unavailable(place.ErrBusy)
}

func (r *Router) forecast(u place.Upstream, need place.Need, prompt int) place.Forecast {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Forecast(time.Now(), u, need, prompt)
}

// firstBound is how long to wait for the response and its first event before another engine is tried. Trying another one
// means reading the prompt again, so an engine gets several times the expected time.
func (q *request) firstBound(expected time.Duration) time.Duration {
	left := max(time.Millisecond, time.Until(q.deadline))
	if q.idempotent() && q.runs+1 < q.route.Attempts {
		return min(left, 3*expected+firstEventSlack)
	}
	return left
}

// prefill lets a prefill engine read the prompt. It returns empty strings when that failed; the decode engine then reads
// the prompt itself.
func (q *request) prefill(forecast place.Forecast) (source, handle string) {
	need := q.need
	need.Role, need.Work, need.Exclude = place.RolePrefill, max(1, q.call.PromptTokens), nil
	for range maxPrefills {
		s := q.prefillOn(&need, forecast)
		if s == nil {
			return "", ""
		}
		source, handle = s.upstream.Address, s.handle
		s.release()
		if handle != "" || !s.notRun() || !q.maySendAgain() {
			break
		}
	}
	if handle == "" {
		return "", ""
	}
	return source, handle
}

// prefillOn lets one prefill engine read the prompt. It returns nil when there is none.
func (q *request) prefillOn(need *place.Need, forecast place.Forecast) *send {
	u, err := q.router.pick(q.ctx, *need, time.Now())
	if err != nil {
		return nil
	}
	need.Exclude = append(need.Exclude, u.ID)
	bound := min(max(time.Millisecond, time.Until(q.deadline)), 3*forecast.Split+prefillSlack)
	s := q.send(u, *need, Forwarding{Prefill: true}, bound, false)
	if s.err == nil && s.outcome == place.Served && s.response.StatusCode() == fasthttp.StatusOK {
		if s.handle, err = q.router.config.Codec.ReadHandle(s.response.Body()); err != nil {
			s.outcome, s.err = place.Broken, err
		}
	} else if s.outcome == place.Served {
		s.outcome = place.Erred
	}
	q.router.end(u, *need, s.outcome)
	q.log.add(s)
	if s.handle == "" {
		// A prefill that was sent counts as a send; one that was accepted does not.
		if s.written {
			q.sends++
		}
		return s
	}
	q.reader, q.readAt = s.upstream.Address, time.Now()
	q.router.observeRead(q.call.PromptTokens, time.Since(s.began))
	return s
}

func (r *Router) observeRead(tokens int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.ObserveRead(tokens, took)
}

// handleLifetime is how long the result of a prefill may be passed to a decode engine.
func (q *request) handleLifetime() time.Duration {
	if e := q.document.Services[q.service].Engine; e != nil {
		return e.HandleLifetime - handleMargin
	}
	return 0
}

// free drops a prefill's result that no engine took.
func (q *request) free(f Forwarding) {
	if f.Handle != "" {
		q.router.tell(f.Source, event.HandleNotFreed, func(out *fasthttp.Request) { q.router.config.Codec.FreeHandle(out, f.Handle) })
	}
}

// relay passes the events of an upstream on to the caller. Last is the ID of the last event that was passed on. It
// returns true when the answer is complete.
func (q *request) relay(s *send, last *string) bool {
	reader := bufio.NewReaderSize(s.body, 8<<10)
	first := true
	if q.idempotent() && q.runs+1 < q.route.Attempts {
		s.body.Until(time.Now().Add(streamStall))
	} else {
		s.body.Until(q.deadline)
	}
	for {
		event, err := readEvent(reader)
		if err != nil {
			return q.endRelay(s, err)
		}
		if first {
			first = false
			if *last == "" && q.log.firstEvent == 0 {
				q.log.firstEvent = time.Since(q.x.Arrived)
			}
			s.body.Until(time.Time{})
		}
		id := eventID(event)
		if id != "" && !newer(id, *last) {
			continue
		}
		if !q.x.HeaderWritten() {
			if err := q.x.WriteHeader(&s.response.Header); err != nil {
				return q.endRelay(s, err)
			}
		}
		for reader.Buffered() > 0 && id != "" {
			more, ok := bufferedEvent(reader)
			if !ok {
				break
			}
			event = append(event, more...)
			id = orElse(eventID(more), id)
		}
		if err := q.x.WriteChunk(event); err != nil {
			s.err = err
			return q.endRelay(s, err)
		}
		q.grow(s, event)
		if id != "" {
			*last = id
		}
	}
}

// grow counts the events that were passed on, and the room that a longer answer than expected takes.
func (q *request) grow(s *send, events []byte) {
	q.log.passed(time.Now(), bytes.Count(events, []byte("\n\n")))
	service := q.document.Services[q.service]
	if service.Engine == nil {
		return
	}
	needed := q.call.PromptTokens + q.log.events*service.Engine.EventTokens
	if extra := needed - s.need.Work; extra > 0 {
		s.need.Work += extra
		q.router.grow(s.upstream, extra)
	}
}

func (r *Router) grow(u place.Upstream, work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Grow(u, work)
}

// endRelay judges the end of a stream.
func (q *request) endRelay(s *send, err error) bool {
	switch {
	case err == io.EOF: //nolint:errorlint // readEvent returns io.EOF bare
		if !q.x.HeaderWritten() {
			if err := q.x.WriteHeader(&s.response.Header); err != nil {
				return false
			}
		}
		if err := q.x.Finish(); err != nil {
			q.log.reason = err.Error()
		}
		if engine := q.document.Services[q.service].Engine; engine != nil {
			q.router.learn(q, q.log.events*engine.EventTokens, time.Since(s.began))
		}
		return true
	case q.x.Context.Err() != nil:
		s.outcome, s.err = place.Cancelled, err
	default:
		s.outcome, s.err = place.Broken, err
	}
	return false
}

// readEvent reads up to the blank line that ends an event. It returns io.EOF only between events.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes:
			continue
		case err == io.EOF && len(event) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errCut
		case err != nil:
			return nil, eris.Wrap(err, "read an event")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// bufferedEvent returns the next event if it has arrived as a whole.
func bufferedEvent(r *bufio.Reader) ([]byte, bool) {
	// Peeking at what is buffered never fails.
	data, _ := r.Peek(r.Buffered())
	end := bytes.Index(data, []byte("\n\n"))
	if end < 0 {
		return nil, false
	}
	event := bytes.Clone(data[:end+2])
	_, _ = r.Discard(len(event))
	return event, true
}

// eventID returns the value of an event's id field, empty when it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// newer says whether an event's ID comes after another one. IDs that are no numbers only differ.
func newer(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
