package engine

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/standin/answer"
	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/journal"
	"azuredoor.example/standin/link"
)

const tokenBuffer = 64

var (
	errFull      = errors.New("no free slot or not enough KV memory")
	errNoStream  = errors.New("no active stream for the request")
	errRunning   = errors.New("the attempt is already running")
	errBeyondEnd = errors.New("startAt is beyond the next token of the stream")
)

type reserveRequest struct {
	RequestID    string `json:"requestId"`
	Attempt      int    `json:"attempt"`
	Model        string `json:"model"`
	PromptTokens int    `json:"promptTokens"`
	MaxTokens    int    `json:"maxTokens"`
	Priority     int    `json:"priority"`
}

type reserveResponse struct {
	Slot        uint64 `json:"slot"`
	ExpiresInMs int64  `json:"expiresInMs"`
}

// reserve reserves a slot. A repeated reservation for the same attempt returns the same slot.
func (e *Engine) reserve(r reserveRequest) (reserveResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.activeWork {
		if w.kind == workReserve && w.requestID == r.RequestID && w.attempt == r.Attempt {
			return reserveResponse{Slot: w.id, ExpiresInMs: e.config.ReserveTTL.Milliseconds()}, nil
		}
	}
	slots, bytes := e.usage()
	need := int64(r.PromptTokens+r.MaxTokens) * e.config.KVBytesPerToken
	if slots >= e.config.Slots || e.config.KVCapacity > 0 && bytes+need > e.config.KVCapacity {
		return reserveResponse{}, errFull
	}
	w := e.addWork(&work{kind: workReserve, requestID: r.RequestID, attempt: r.Attempt, model: r.Model, priority: r.Priority, slot: true})
	w.timer = time.AfterFunc(e.config.ReserveTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if w.kind == workReserve {
			e.removeWork(w)
		}
	})
	e.countStart()
	return reserveResponse{Slot: w.id, ExpiresInMs: e.config.ReserveTTL.Milliseconds()}, nil
}

type decodeRequest struct {
	RequestID string   `json:"requestId"`
	Attempt   int      `json:"attempt"`
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Slot      uint64   `json:"slot"`
	KV        kvSource `json:"kv"`
	StartAt   int      `json:"startAt"`
	MaxTokens int      `json:"maxTokens"`
	Priority  int      `json:"priority"`
	Resume    bool     `json:"resume"`
}

// stream is a running decode.
type stream struct {
	*work
	output answer.Stream
	// fullLength is the length of the output without the limit of maxTokens.
	fullLength int
	// The stream produces the tokens at the offsets from next up to, but not including, end.
	next, end int
	// lastStep is the last step of the decode loop in which the stream advanced.
	lastStep uint64
	// attached is nil while the stream has no connection.
	attached *attachment
}

// attachment connects a stream to the response that its tokens are written to.
type attachment struct {
	// tokens carries the offsets of the produced tokens, in order.
	tokens chan int
	// closed is closed when the stream is cancelled or attached to another connection.
	closed chan struct{}
}

func newAttachment() *attachment {
	return &attachment{tokens: make(chan int, tokenBuffer), closed: make(chan struct{})}
}

// takeSlot turns the reservation of the attempt into a decode. Without a reservation, takeSlot first reserves a slot.
func (e *Engine) takeSlot(r decodeRequest, stop func()) (*work, error) {
	if _, err := e.reserve(reserveRequest{RequestID: r.RequestID, Attempt: r.Attempt, Model: r.Model, MaxTokens: r.MaxTokens, Priority: r.Priority}); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var own *work
	for _, w := range e.activeWork {
		if w.requestID != r.RequestID || w.attempt != r.Attempt {
			continue
		}
		switch w.kind {
		case workReserve:
			own = w
		case workDecode:
			return nil, errRunning
		}
	}
	if own == nil {
		return nil, errFull
	}
	own.timer.Stop()
	own.kind, own.stop, own.timer = workDecode, stop, nil
	e.stats.Decodes++
	return own, nil
}

// startStream starts the stream of a decode whose KV cache has arrived. It returns nil if the decode has been cancelled.
func (e *Engine) startStream(w *work, r decodeRequest) (*stream, *attachment) {
	end := answer.Length(r.Prompt, r.MaxTokens)
	s := &stream{
		work: w, output: answer.NewStream(r.Model, r.Prompt), fullLength: answer.Length(r.Prompt, 0),
		next: min(r.StartAt, end), end: end, attached: newAttachment(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activeWork[w.id] != w {
		return nil, nil
	}
	w.stop = func() { e.cancelStream(s) }
	e.streams = append(e.streams, s)
	e.wakeDecode()
	return s, s.attached
}

// resume attaches an active stream to a new connection, from the offset r.StartAt.
func (e *Engine) resume(r decodeRequest) (*stream, *attachment, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.requestID != r.RequestID {
			continue
		}
		if r.StartAt > s.next {
			return nil, nil, errBeyondEnd
		}
		if s.attached != nil {
			close(s.attached.closed)
		}
		if s.timer != nil {
			s.timer.Stop()
		}
		s.attached, s.next, s.attempt = newAttachment(), r.StartAt, r.Attempt
		e.stats.Resumes++
		e.wakeDecode()
		return s, s.attached, nil
	}
	return nil, nil, errNoStream
}

// detach removes the broken connection from the stream. The stream ends unless a request resumes it within ResumeTTL.
func (e *Engine) detach(s *stream, a *attachment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.attached != a || e.activeWork[s.id] != s.work {
		return
	}
	s.attached = nil
	s.timer = time.AfterFunc(e.config.ResumeTTL, func() {
		e.mu.Lock()
		gone := s.attached == nil && e.removeWork(s.work)
		e.mu.Unlock()
		if gone {
			e.endStream(s, true)
		}
	})
}

// finish ends a stream after its last token has been written.
func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	active := e.removeWork(s.work)
	e.mu.Unlock()
	if active {
		e.endStream(s, false)
	}
}

// cancelStream ends a stream whose work has been cancelled.
func (e *Engine) cancelStream(s *stream) {
	e.mu.Lock()
	if s.attached != nil {
		close(s.attached.closed)
		s.attached = nil
	}
	e.mu.Unlock()
	e.endStream(s, true)
}

// endStream removes a stream from the running streams and logs its end.
func (e *Engine) endStream(s *stream, cancelled bool) {
	e.mu.Lock()
	e.streams = slices.DeleteFunc(e.streams, func(other *stream) bool { return other == s })
	line := journal.Line{Event: "end", Work: string(workDecode), RequestID: s.requestID, Attempt: s.attempt, Tokens: s.next, Cancelled: cancelled}
	e.mu.Unlock()
	_ = e.config.Log.Write(line)
}

// wakeDecode wakes the decode loop. The caller must hold e.mu.
func (e *Engine) wakeDecode() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runDecode runs the decode loop, which advances the streams of the batch by one token per step.
func (e *Engine) runDecode(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		}
		due, step := time.Now(), uint64(0)
		for {
			step++
			running := e.advance(step)
			if running == 0 {
				break
			}
			due = due.Add(e.stepTime(running))
			if late := time.Since(due); late > 0 {
				due = due.Add(late)
			}
			if err := link.Sleep(ctx, time.Until(due)); err != nil {
				return nil //nolint:nilerr // the end of the context ends the loop
			}
		}
	}
}

// stepTime returns the duration of a step, which grows linearly with the number of running streams.
func (e *Engine) stepTime(running int) time.Duration {
	share := float64(running-1) / float64(max(1, e.config.Slots-1))
	return e.config.Faults.Scale(time.Duration(float64(e.config.TokenGap) * (1 + e.config.BatchCost*share)))
}

// advance produces one token for each stream of the batch and returns the number of running streams. Streams whose
// attachment is full are not in the batch.
func (e *Engine) advance(step uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []*stream
	running := 0
	for _, s := range e.streams {
		if s.attached == nil || s.next >= s.end {
			continue
		}
		running++
		if len(s.attached.tokens) < cap(s.attached.tokens) {
			batch = append(batch, s)
		}
	}
	slices.SortStableFunc(batch, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.lastStep, b.lastStep))
	})
	if _, frozen := e.config.Faults.Active(fault.Freeze); frozen {
		return running
	}
	for _, s := range batch[:min(len(batch), e.config.Batch)] {
		s.attached.tokens <- s.next
		s.next++
		s.lastStep = step
		s.kvBytes += e.config.KVBytesPerToken
		e.stats.OutputTokens++
	}
	return running
}

// serveDecode serves POST /v1/decode.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, d decodeRequest) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	out := newSSE(w, e.config.Faults)
	if d.Resume && d.KV.Handle == "" {
		s, a, err := e.resume(d)
		if err != nil {
			refuseDecode(w, err)
			return
		}
		e.relay(ctx, out, s, a)
		return
	}
	decode, err := e.takeSlot(d, cancel)
	if err != nil {
		refuseDecode(w, err)
		return
	}
	p, err := e.openPull(ctx, d.KV)
	if err != nil {
		_ = e.abandon(decode, err)
		refuseDecode(w, err)
		return
	}
	e.mu.Lock()
	decode.kvBytes = p.bytes
	e.mu.Unlock()
	if err := e.awaitTransfer(ctx, out, p); err != nil {
		_ = e.abandon(decode, err)
		_ = out.data(r.Context(), []byte(`{"error":"the KV transfer failed","reason":"transferFailed"}`))
		return
	}
	line := journal.Line{Event: "start", Work: string(workDecode), RequestID: d.RequestID, Attempt: d.Attempt}
	if err := e.config.Log.Write(line); err != nil {
		_ = e.abandon(decode, err)
		return
	}
	s, a := e.startStream(decode, d)
	if s == nil {
		_ = out.data(r.Context(), cancelledEvent)
		return
	}
	e.relay(ctx, out, s, a)
}

// awaitTransfer receives the KV cache and sends heartbeats meanwhile.
func (e *Engine) awaitTransfer(ctx context.Context, out *sse, p *pull) error {
	group, ctx := errgroup.WithContext(ctx)
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		return e.receive(ctx, p)
	})
	group.Go(func() error {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return nil
			case <-ticker.C:
				if err := out.comment(ctx, "transfer"); err != nil {
					return err
				}
			}
		}
	})
	return group.Wait()
}
