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

// maxResumes bounds the resumptions on one engine without a new token.
const maxResumes = 2

// Next returns the text of the next token, and io.EOF after the whole answer. Other errors are of type
// *Error and final.
func (s *Stream) Next() (string, error) {
	if s.finished {
		return "", io.EOF
	}
	for {
		text, err := s.stream.Next()
		if err == nil {
			s.accept(text)
			return text, nil
		}
		if err == io.EOF { //nolint:errorlint // engine.Reader returns io.EOF bare
			s.finished = true
			s.series.Whole.RecordDuration(time.Since(s.request.Arrived))
			return "", io.EOF
		}
		if err := s.recover(err); err != nil {
			s.fail()
			return "", failure(err, s.result)
		}
	}
}

// accept notes a token that goes to the caller.
func (s *Stream) accept(text string) {
	now := time.Now()
	s.result = Ran
	if s.offset == 0 {
		s.series.FirstToken.RecordDuration(now.Sub(s.request.Arrived))
	} else {
		s.series.TokenGap.RecordDuration(now.Sub(s.lastToken))
	}
	if s.offset == s.startAt {
		s.firstToken = now.Sub(s.began)
		if s.offset == s.kvOffset {
			s.series.Transfer.RecordDuration(s.firstToken)
		}
		s.stream.SetStallTimeout(s.relay.options.TokenStall)
	}
	s.lastToken = now
	s.offset++
	s.resumes, s.attempts = 0, 0
	s.generated.WriteString(text)
}

// recover brings the stream back after a failure: on the same engine over a new connection, on another decode
// engine with the same prefill result, or with a new prefill elsewhere. It returns nil when s.stream goes on
// at the next token.
func (s *Stream) recover(cause error) error {
	if err := ended(s.ctx); err != nil {
		s.endDecode(kindOf(s.ctx, err))
		return err
	}
	s.endDecode(Failed)
	s.relay.options.Log.Write(event.RelayStreamBroken, func(e *log.Entry) {
		e.Str("request", s.id.String()).Str("upstream", s.decode.ID).Int("offset", s.offset).Err(cause)
	})
	for !errors.Is(cause, conn.ErrStalled) && s.resumes < maxResumes {
		if err := s.allowed(); err != nil {
			return err
		}
		s.resumes++
		s.next()
		err := s.decodeFrom(&engine.Decode{Resume: true}, s.relay.options.TokenStall)
		if err == nil {
			return nil
		}
		if err := ended(s.ctx); err != nil {
			return err
		}
		if !lost(err) || errors.Is(err, conn.ErrSilent) {
			// An engine that is silent on a new connection as well is frozen.
			break
		}
	}
	if s.once {
		return cause
	}
	moved, err := s.moveDecode(cause)
	if moved {
		return nil
	}
	if cause := ended(s.ctx); cause != nil {
		return cause
	}
	s.drop(s.decode)
	s.resumes = 0
	if err := s.mayRetry(err); err != nil {
		return err
	}
	return s.open()
}

// moveDecode tries other decode engines while the prefill result lives and no token has come of it. It returns
// the last error when a new prefill is needed.
func (s *Stream) moveDecode(cause error) (bool, error) {
	for s.movable(cause) && s.mayRetry(cause) == nil {
		if !errors.Is(cause, engine.ErrFull) {
			s.drop(s.decode)
		}
		decode, err := s.relay.options.Policy.PickDecode(s.request, s.prefill, s.excluded())
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

// movable says whether the prefill result may still be there for another engine.
func (s *Stream) movable(cause error) bool {
	return s.kv != nil && s.offset == s.kvOffset && !s.once && !errors.Is(cause, engine.ErrKVGone) && s.allowed() == nil
}

// fail cancels what is left of a request that failed for good.
func (s *Stream) fail() {
	s.endDecode(kindOf(s.ctx, ended(s.ctx)))
	s.finished = true
	s.cancelAll()
}

// cancelAll frees what engines hold for the request.
func (s *Stream) cancelAll() {
	for _, upstream := range s.touched {
		s.relay.cancel(s.ctx, upstream, s.id.RequestID)
	}
	s.touched = nil
}

// Close ends the stream. A stream that has not come to its end is cancelled on its engines.
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
	s.settle(nil)
	s.series.Tokens.Inc(int64(s.offset))
	s.admission.Release(s.used())
}

// Store records the whole answer of a claimed request; without it, Close records that its outcome is unknown.
func (s *Stream) Store(status int, contentType string, body []byte) {
	if s.grant != 0 {
		s.settle(store(status, contentType, body))
	}
}

func (s *Stream) settle(answer *fleetpb.StoredAnswer) {
	if s.grant == 0 {
		return
	}
	s.relay.settle(s.ctx, s.request, s.job.Claim, s.grant, answer, s.result)
	s.grant = 0
}

// used is the number of tokens that the request is charged for.
func (s *Stream) used() int64 {
	if s.result == NotRun {
		return 0
	}
	return int64(s.request.PromptTokens + s.offset)
}

// Buffered says whether Next can return without waiting, as far as known.
func (s *Stream) Buffered() bool { return s.stream != nil && !s.finished && s.stream.Buffered() }

// FinishReason is "stop" or "length" after Next returned io.EOF.
func (s *Stream) FinishReason() string {
	if s.stream == nil {
		return ""
	}
	return s.stream.FinishReason()
}

// Usage returns the numbers of prompt tokens and of output tokens so far.
func (s *Stream) Usage() (prompt, output int) { return s.promptTokens, s.offset }

// Upstream is the decode engine in use.
func (s *Stream) Upstream() string { return s.decode.ID }

// mayHaveRun says whether an engine may have started work that failed with err.
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
