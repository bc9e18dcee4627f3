package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/engine"
)

// maxResumes is the maximum number of times that a stream is resumed on the same engine without a new token.
const maxResumes = 2

// Next returns the text of the next token, and io.EOF after the last token. Other errors are of type *Error and end the
// stream.
func (s *Stream) Next() (string, error) {
	if s.finished {
		return "", io.EOF
	}
	for {
		text, err := s.stream.Next()
		if err == nil {
			s.recordToken(text)
			return text, nil
		}
		if err == io.EOF { //nolint:errorlint // engine.Reader returns io.EOF bare
			s.finished = true
			s.series.Duration.RecordDuration(time.Since(s.request.Arrived))
			return "", io.EOF
		}
		if err := s.recover(err); err != nil {
			s.fail()
			return "", toError(err, s.result)
		}
	}
}

// recordToken records a token that is returned to the caller.
func (s *Stream) recordToken(text string) {
	now := time.Now()
	s.result = Ran
	if s.offset == 0 {
		s.series.FirstToken.RecordDuration(now.Sub(s.request.Arrived))
	} else {
		s.series.TokenGap.RecordDuration(now.Sub(s.lastToken))
	}
	if s.offset == s.startAt {
		s.firstToken = now.Sub(s.decodeStart)
		if s.offset == s.kvOffset {
			s.series.Transfer.RecordDuration(s.firstToken)
		}
		s.stream.SetStallTimeout(s.relay.options.TokenStallTimeout)
	}
	s.lastToken = now
	s.offset++
	s.resumes, s.attempts = 0, 0
	s.generated.WriteString(text)
}

// recover resumes a broken stream: on the same engine over a new connection, on another decode engine with the same
// prefill result, or with a new prefill on other engines. It returns nil if s.stream continues at the next token.
func (s *Stream) recover(cause error) error {
	if err := contextError(s.ctx); err != nil {
		s.endDecode(outcomeKind(s.ctx, err))
		return err
	}
	s.endDecode(Failed)
	s.relay.options.Log.Write(event.RelayStreamBroken, func(e *log.Entry) {
		e.Str("request", s.id.String()).Str("upstream", s.decode.ID).Int("offset", s.offset).Err(cause)
	})
	for !errors.Is(cause, conn.ErrStalled) && s.resumes < maxResumes {
		if err := s.checkAllowed(); err != nil {
			return err
		}
		s.resumes++
		s.nextAttempt()
		err := s.decodeFrom(&engine.Decode{Resume: true}, s.relay.options.TokenStallTimeout)
		if err == nil {
			return nil
		}
		if err := contextError(s.ctx); err != nil {
			return err
		}
		if !isConnError(err) || errors.Is(err, conn.ErrReadTimeout) {
			// If an engine sends no data on a new connection either, the engine counts as hung.
			break
		}
	}
	if s.atMostOnce {
		return cause
	}
	moved, err := s.moveDecode(cause)
	if moved {
		return nil
	}
	if cause := contextError(s.ctx); cause != nil {
		return cause
	}
	s.abandonEngine(s.decode)
	s.resumes = 0
	if err := s.takeRetry(err); err != nil {
		return err
	}
	return s.open()
}

// moveDecode tries other decode engines while the prefill result exists and no token has been decoded from it. It
// reports whether an engine started the decode; if not, it returns the last error, and a new prefill is needed.
func (s *Stream) moveDecode(cause error) (bool, error) {
	for s.canMoveDecode(cause) && s.takeRetry(cause) == nil {
		if !errors.Is(cause, engine.ErrFull) {
			s.abandonEngine(s.decode)
		}
		decode, err := s.relay.options.Policy.PickDecode(s.request, s.prefill, s.excludedEngines())
		if err != nil {
			break
		}
		s.decode = decode
		slot, err := s.reserve()
		if err == nil {
			err = s.startDecode(slot)
		}
		if err == nil {
			return true, nil
		}
		cause = err
	}
	return false, cause
}

// canMoveDecode reports whether another engine may still decode from the prefill result.
func (s *Stream) canMoveDecode(cause error) bool {
	return s.kv != nil && s.offset == s.kvOffset && !s.atMostOnce && !errors.Is(cause, engine.ErrKVGone) && s.checkAllowed() == nil
}

// fail cancels the remaining work of a request that has failed.
func (s *Stream) fail() {
	s.endDecode(outcomeKind(s.ctx, contextError(s.ctx)))
	s.finished = true
	s.cancelAll()
}

// cancelAll frees the memory that engines hold for the request.
func (s *Stream) cancelAll() {
	for _, upstream := range s.engines {
		s.relay.cancel(s.ctx, upstream, s.id.RequestID)
	}
	s.engines = nil
}

// Close closes the stream and cancels the remaining work of a stream that was not read to its end.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	if s.finished && s.stream != nil {
		s.endDecode(Succeeded)
	} else if !s.finished {
		s.endDecode(Cancelled)
		s.cancelAll()
	}
	s.recordOutcome(nil)
	s.series.Tokens.Inc(int64(s.offset))
	s.admission.Release(s.chargedTokens())
}

// Store records the complete response of a claimed request. If Store is not called, Close records that the request did
// not run or that its outcome is unknown.
func (s *Stream) Store(status int, contentType string, body []byte) {
	if s.grant != 0 {
		s.recordOutcome(newStoredAnswer(status, contentType, body))
	}
}

func (s *Stream) recordOutcome(answer *fleetpb.StoredAnswer) {
	if s.grant == 0 {
		return
	}
	s.relay.recordOutcome(s.ctx, s.request, s.generation.Claim, s.grant, answer, s.result)
	s.grant = 0
}

// chargedTokens returns the number of tokens for which the customer is charged.
func (s *Stream) chargedTokens() int64 {
	if s.result == NotRun {
		return 0
	}
	return int64(s.request.PromptTokens + s.offset)
}

// Buffered reports whether a message of the stream is buffered. Next may still block.
func (s *Stream) Buffered() bool { return s.stream != nil && !s.finished && s.stream.Buffered() }

// FinishReason returns "stop" or "length" after Next has returned io.EOF.
func (s *Stream) FinishReason() string {
	if s.stream == nil {
		return ""
	}
	return s.stream.FinishReason()
}

// Usage returns the number of prompt tokens and the current number of output tokens.
func (s *Stream) Usage() (prompt, output int) { return s.promptTokens, s.offset }

// Upstream returns the ID of the current decode engine.
func (s *Stream) Upstream() string { return s.decode.ID }

// mayHaveRun reports whether an engine may have started the work that failed with err.
func mayHaveRun(err error) bool {
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrFull), errors.Is(err, engine.ErrNotHeld):
		return false
	case errors.As(err, &status):
		return status.Status >= http.StatusInternalServerError || status.Status == http.StatusConflict
	}
	return conn.Sent(err)
}
