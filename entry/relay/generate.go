package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/engine"
)

// Generation is a request to generate output tokens.
type Generation struct {
	Request *Request
	Prompt  string
	// LinkBytesPerSecond is the bandwidth of an engine's link for KV transfers; 0 means unknown.
	LinkBytesPerSecond int64
	// CheckAllowed returns an error if no new upstream work may start. A nil function allows all work.
	CheckAllowed func() error
	// RenewID returns the request ID to use for a new attempt, which is id unless the session of id has ended. A nil
	// function keeps the ID.
	RenewID func(id string) string
	// Claim is set for a non-idempotent request with an idempotency key.
	Claim *Claim
}

// Stream is a running generation. It is not safe for concurrent use.
type Stream struct {
	relay      *Relay
	ctx        context.Context
	generation *Generation
	request    *Request
	series     *metric.Series
	admission  Admission
	prompt     json.RawMessage
	atMostOnce bool

	// id identifies the latest attempt of the request.
	id engine.Attempt
	// failed holds the IDs of engines on which an attempt failed; full holds the IDs of engines without a free slot.
	failed, full []string
	// engines holds the engines that may hold memory for the request, by upstream ID.
	engines         map[string]Upstream
	prefill, decode Upstream
	// kv is the last prefill result. It covers the prompt and the first kvOffset output tokens.
	kv            *engine.KV
	kvBytes       int64
	kvOffset      int
	stream        *engine.Stream
	observeDecode func(Outcome)
	decodeStart   time.Time
	// startAt is the offset at which the current decode started.
	startAt int
	// resumes is the number of resumes on the current engine since the last new token.
	resumes int
	// attempts is the number of attempts since the last new token.
	attempts int
	// retryGranted is set while a retry has been taken from the budget and not been used yet.
	retryGranted bool

	generated strings.Builder
	// offset is the number of output tokens returned to the caller.
	offset       int
	result       Result
	firstToken   time.Duration
	lastToken    time.Time
	promptTokens int
	finished     bool
	closed       bool
	// grant is the granted attempt of a claimed request whose outcome is not recorded yet, and 0 otherwise.
	grant uint64
}

// Generate admits a request and starts its decode stream, which the caller must close. For a claimed request that has
// already run, it returns the stored response instead of a stream. Errors are of type *Error.
func (r *Relay) Generate(ctx context.Context, generation *Generation) (*Stream, *Response, error) {
	request := generation.Request
	s := &Stream{
		relay: r, ctx: ctx, generation: generation, request: request,
		series:     r.options.Metrics.For(request.Customer, request.ProfileName),
		atMostOnce: request.Profile.RepeatRule == config.NonIdempotent,
		id:         engine.Attempt{RequestID: request.ID},
		engines:    map[string]Upstream{}, result: NotRun, promptTokens: request.PromptTokens,
	}
	var err error
	if s.prompt, err = json.Marshal(generation.Prompt); err != nil {
		return nil, nil, toError(fmt.Errorf("encode prompt: %w", err), NotRun)
	}
	if s.admission, err = r.admit(ctx, request, s.series); err != nil {
		return nil, nil, toError(err, NotRun)
	}
	if generation.Claim != nil {
		grant, stored, err := r.claim(ctx, request, generation.Claim)
		if err != nil || stored != nil {
			s.admission.Release(0)
			if err != nil {
				return nil, nil, toError(err, NotRun)
			}
			return nil, replay(stored), nil
		}
		s.grant = grant
	}
	if err := s.open(); err != nil {
		s.fail()
		s.Close()
		return nil, nil, toError(err, s.result)
	}
	return s, nil, nil
}

// admit waits until the policy admits the request, up to the profile's queue timeout.
func (r *Relay) admit(ctx context.Context, request *Request, series *metric.Series) (Admission, error) {
	began := time.Now()
	deadline := request.Arrived.Add(time.Duration(request.Profile.QueueTimeout))
	queueCtx, cancel := context.WithDeadlineCause(ctx, deadline, errQueueTimeout)
	defer cancel()
	admission, err := r.options.Policy.Admit(queueCtx, request)
	series.Queue.RecordDuration(time.Since(began))
	if err == nil {
		if request.OnAdmitted != nil {
			request.OnAdmitted()
		}
		return admission, nil
	}
	if cause := contextError(ctx); cause != nil {
		return nil, cause
	}
	if queueCtx.Err() != nil {
		return nil, errQueueTimeout
	}
	return nil, err
}

// errQueueTimeout is returned when the request was not admitted within the queue timeout.
var errQueueTimeout = &Rejection{
	Status: 503, Code: "overloaded", Text: "No capacity became free within the time the profile allows.", RetryAfter: time.Second,
}

func (s *Stream) checkAllowed() error {
	if err := contextError(s.ctx); err != nil {
		return err
	}
	if s.generation.CheckAllowed != nil {
		return s.generation.CheckAllowed()
	}
	return nil
}

// open makes attempts until one of them starts a decode stream.
func (s *Stream) open() error {
	for {
		err := s.attempt()
		if err == nil {
			return nil
		}
		if cause := contextError(s.ctx); cause != nil {
			return cause
		}
		var final *Error
		if errors.As(err, &final) {
			return err
		}
		if errors.Is(err, engine.ErrFull) {
			continue
		}
		if retryErr := s.takeRetry(err); retryErr != nil {
			return retryErr
		}
	}
}

// takeRetry takes a retry from the budget. It returns err if no further attempt is allowed. A response that has begun is
// continued even if the budget is exhausted, because a failing engine may break all its streams at once, and their
// number is limited by its slots.
func (s *Stream) takeRetry(err error) error {
	if s.atMostOnce && s.result != NotRun || s.attempts >= maxAttempts {
		return err
	}
	if !s.retryGranted && !s.relay.options.Policy.AllowRetry(s.request) && s.offset == 0 {
		return err
	}
	s.retryGranted = true
	return nil
}

// attempt reserves a decode slot, runs the prefill and starts the decode.
func (s *Stream) attempt() error {
	if err := s.checkAllowed(); err != nil {
		return toError(err, s.result)
	}
	s.renewID()
	if err := s.pickEngines(); err != nil {
		return toError(err, s.result)
	}
	slot, err := s.reserve()
	if err != nil {
		if !errors.Is(err, engine.ErrFull) {
			s.abandonEngine(s.decode)
		}
		return err
	}
	if err := s.runPrefill(); err != nil {
		s.abandonEngine(s.prefill)
		if s.decode.ID != s.prefill.ID {
			s.relay.cancel(s.ctx, s.decode, s.id.String())
		}
		return err
	}
	if err = s.startDecode(slot); err == nil {
		return nil
	}
	moved, err := s.moveDecode(err)
	if !moved {
		s.abandonEngine(s.decode)
	}
	return err
}

// renewID changes the request ID if the session has changed, because other entries cancel the work of an ended session.
func (s *Stream) renewID() {
	if s.generation.RenewID == nil {
		return
	}
	if id := s.generation.RenewID(s.id.RequestID); id != s.id.RequestID {
		s.cancelAll()
		s.engines = map[string]Upstream{}
		s.id = engine.Attempt{RequestID: id}
	}
}

// midStreamTimeout is the maximum time that a stream which broke after its first token waits for an engine.
const midStreamTimeout = 5 * time.Second

// pickEngines chooses a prefill and a decode engine. While all engines are full or failed, it retries until the queue
// timeout, or until midStreamTimeout for a response that has begun.
func (s *Stream) pickEngines() error {
	deadline := s.request.Arrived.Add(time.Duration(s.request.Profile.QueueTimeout))
	if s.offset > 0 {
		deadline = time.Now().Add(midStreamTimeout)
	}
	for {
		var err error
		s.prefill, s.decode, err = s.relay.options.Policy.PickEngines(s.request, s.excludedEngines())
		if err == nil || !errors.Is(err, ErrNoUpstream) || time.Now().After(deadline) {
			return err
		}
		if len(s.full)+len(s.failed) == 0 && s.offset == 0 {
			return err
		}
		// An engine on which an attempt failed may serve a new attempt, because a cancel call affects only the attempt that
		// the call names.
		s.full, s.failed = nil, nil
		if err := sleep(s.ctx, s.relay.options.FullRetryDelay); err != nil {
			return err
		}
	}
}

func (s *Stream) excludedEngines() []string {
	return append(s.failed[:len(s.failed):len(s.failed)], s.full...)
}

func (s *Stream) nextAttempt() engine.Attempt {
	s.id.Attempt++
	return s.id
}

func (s *Stream) reserve() (*engine.Reservation, error) {
	s.attempts++
	s.retryGranted = false
	observe := s.relay.startStage(s.request, s.decode, StageReserve)
	s.engines[s.decode.ID] = s.decode
	reservation, err := s.relay.options.Engines.Reserve(s.ctx, s.decode.Address, &engine.Reserve{
		Attempt: s.nextAttempt(), Model: s.request.Model, PromptTokens: s.request.PromptTokens + s.offset,
		MaxTokens: s.request.MaxTokens - s.offset, Priority: s.request.Profile.Priority,
	})
	observe(Outcome{Kind: outcomeKind(s.ctx, err)})
	if errors.Is(err, engine.ErrFull) {
		s.full = append(s.full, s.decode.ID)
		s.attempts--
	}
	return reservation, err
}

func (s *Stream) runPrefill() error {
	if err := s.checkAllowed(); err != nil {
		return toError(err, s.result)
	}
	observe := s.relay.startStage(s.request, s.prefill, StagePrefill)
	s.engines[s.prefill.ID] = s.prefill
	tokens := s.request.PromptTokens + s.offset
	s.kv = nil
	result, err := s.relay.options.Engines.Prefill(s.ctx, s.prefill.Address, &engine.Prefill{
		Attempt: s.id, Model: s.request.Model, Prompt: s.prompt, StartAt: s.offset, Generated: s.generated.String(),
		Priority: s.request.Profile.Priority,
	}, tokens, s.atMostOnce)
	if err != nil {
		if s.result == NotRun && mayHaveRun(err) {
			s.result = Unknown
		}
		if errors.Is(err, engine.ErrFull) {
			s.full = append(s.full, s.prefill.ID)
		}
		observe(Outcome{Kind: outcomeKind(s.ctx, err)})
		return err
	}
	s.result = Ran
	s.kv = &engine.KV{Address: s.prefill.Address, Handle: result.Handle}
	s.kvBytes, s.kvOffset = result.KVBytes, s.offset
	if result.PromptTokens > 0 && s.offset == 0 {
		s.promptTokens = result.PromptTokens
	}
	observe(Outcome{Kind: Succeeded, Tokens: tokens, CachedTokens: result.CachedTokens, KVBytes: result.KVBytes})
	return nil
}

// startDecode starts a decode that fetches the prefill result.
func (s *Stream) startDecode(slot *engine.Reservation) error {
	return s.decodeFrom(&engine.Decode{Slot: slot.Slot, KV: s.kv}, s.transferTimeout())
}

// transferTimeout returns the timeout for the KV transfer and the first token.
func (s *Stream) transferTimeout() time.Duration {
	timeout := s.relay.options.TransferBaseTimeout
	if rate := s.generation.LinkBytesPerSecond; rate > 0 && s.prefill.ID != s.decode.ID {
		timeout += time.Duration(4 * float64(s.kvBytes) / float64(rate) * float64(time.Second))
	}
	return min(timeout, s.relay.options.TokenStallTimeout)
}

func (s *Stream) decodeFrom(d *engine.Decode, firstToken time.Duration) error {
	d.Attempt, d.Model, d.Prompt, d.StartAt = s.id, s.request.Model, s.prompt, s.offset
	d.MaxTokens, d.Priority = s.request.MaxTokens, s.request.Profile.Priority
	s.observeDecode = s.relay.startStage(s.request, s.decode, StageDecode)
	s.engines[s.decode.ID] = s.decode
	s.decodeStart, s.startAt, s.firstToken = time.Now(), s.offset, 0
	stream, err := s.relay.options.Engines.Decode(s.ctx, s.decode.Address, d, s.atMostOnce)
	if err != nil {
		s.endDecode(outcomeKind(s.ctx, err))
		return err
	}
	stream.SetStallTimeout(firstToken)
	s.stream = stream
	return nil
}

// endDecode closes the current stream and reports the outcome to the policy.
func (s *Stream) endDecode(kind OutcomeKind) {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
	if s.observeDecode != nil {
		if kind == Failed && s.offset > s.startAt && s.ctx.Err() != nil {
			// A request timeout while tokens arrived does not count as a failure of the engine.
			kind = Cancelled
		}
		s.observeDecode(Outcome{Kind: kind, FirstToken: s.firstToken, Tokens: s.offset - s.startAt})
		s.observeDecode = nil
	}
}

// abandonEngine excludes an engine from the next attempts and cancels the current attempt on it.
func (s *Stream) abandonEngine(upstream Upstream) {
	if slices.Contains(s.failed, upstream.ID) {
		return
	}
	s.failed = append(s.failed, upstream.ID)
	s.relay.cancel(s.ctx, upstream, s.id.String())
}
