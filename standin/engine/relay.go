package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/link"
)

type tokenEvent struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	Offset    int    `json:"offset"`
	Text      string `json:"text"`
}

type doneEvent struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	Done      bool   `json:"done"`
	// FinishReason is "stop", or "length" if maxTokens truncated the output.
	FinishReason string `json:"finishReason"`
	// Tokens is the number of output tokens from offset 0.
	Tokens int `json:"tokens"`
}

var cancelledEvent = []byte(`{"error":"the request was cancelled","reason":"cancelled"}`)

// relay writes the tokens of a stream to its attached connection until the stream or the connection ends.
func (e *Engine) relay(ctx context.Context, out *sse, s *stream, a *attachment) {
	e.mu.Lock()
	attempt, next, end := s.attempt, s.next, s.end
	e.mu.Unlock()
	if out.comment(ctx, "decode") != nil {
		e.detach(s, a)
		return
	}
	if next >= end {
		e.writeEnd(ctx, out, s, a, attempt)
		return
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for sent := 0; ; {
		var err error
		select {
		case <-ctx.Done():
			e.detach(s, a)
			return
		case <-a.closed:
			_ = out.data(ctx, cancelledEvent)
			return
		case <-ticker.C:
			err = out.comment(ctx, "heartbeat")
		case offset := <-a.tokens:
			if e.shouldDrop(sent) {
				e.detach(s, a)
				panic(http.ErrAbortHandler)
			}
			if err = e.writeToken(ctx, out, s, attempt, offset); err == nil {
				sent++
				if offset+1 == end {
					e.writeEnd(ctx, out, s, a, attempt)
					return
				}
			}
		}
		if err != nil {
			e.detach(s, a)
			return
		}
	}
}

// shouldDrop reports whether the fault DropStream breaks the connection now, after a number of sent tokens.
func (e *Engine) shouldDrop(sent int) bool {
	f, ok := e.config.Faults.Active(fault.DropStream)
	if !ok || sent < f.Tokens {
		return false
	}
	_, ok = e.config.Faults.Trigger(fault.DropStream)
	return ok
}

// writeToken writes the token at an offset, after the delay and the foreign token of active faults.
func (e *Engine) writeToken(ctx context.Context, out *sse, s *stream, attempt, offset int) error {
	if err := link.Sleep(ctx, e.config.Faults.Delay()); err != nil {
		return err
	}
	if _, ok := e.config.Faults.Trigger(fault.CrossAnswers); ok {
		if err := writeJSONEvent(ctx, out, e.foreignToken(s, offset)); err != nil {
			return err
		}
	}
	return writeJSONEvent(ctx, out, tokenEvent{RequestID: s.requestID, Attempt: attempt, Offset: offset, Text: s.output.Token(offset)})
}

// foreignToken returns a token of another stream, or of an invented request if there is no other stream.
func (e *Engine) foreignToken(s *stream, offset int) tokenEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.streams {
		if other.requestID != s.requestID {
			return tokenEvent{RequestID: other.requestID, Attempt: other.attempt, Offset: offset, Text: other.output.Token(offset)}
		}
	}
	return tokenEvent{RequestID: s.owner() + "-0", Attempt: 1, Offset: offset, Text: " foreign"}
}

// writeEnd writes the end message and ends the stream.
func (e *Engine) writeEnd(ctx context.Context, out *sse, s *stream, a *attachment, attempt int) {
	reason := "stop"
	if s.end < s.fullLength {
		reason = "length"
	}
	if err := writeJSONEvent(ctx, out, doneEvent{RequestID: s.requestID, Attempt: attempt, Done: true, FinishReason: reason, Tokens: s.end}); err != nil {
		e.detach(s, a)
		return
	}
	e.finish(s)
}

func writeJSONEvent(ctx context.Context, out *sse, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err //nolint:wrapcheck // plain structs always encode
	}
	return out.data(ctx, data)
}
