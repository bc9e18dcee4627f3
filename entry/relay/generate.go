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

// Generation is a request for output tokens.
type Generation struct {
	Request *Request
	Prompt  string
	// LinkBytesPerSecond is the rate of one engine's transfer link; 0 means unknown.
	LinkBytesPerSecond int64
	// Allowed returns an error while no new upstream work may start. It may be nil.
	Allowed func() error
	// Renumber returns the request ID to use for a new attempt: id itself while its session is the current
	// one. It may be nil.
	Renumber func(id string) string
	// Claim is set for a non-idempotent request with an idempotency key.
	Claim *Claim
}

// Stream is a running generation. It is not safe for concurrent use.
type Stream struct {
	relay     *Relay
	ctx       context.Context
	job       *Generation
	request   *Request
	series    *metric.Series
	admission Admission
	prompt    json.RawMessage
	once      bool

	// id is the request and the number of its latest attempt.
	id engine.Attempt
	// exclude names engines that failed this request, full those that had no slot.
	exclude, full []string
	// touched holds the engines that may hold memory for the request.
	touched         map[string]Upstream
	prefill, decode Upstream
	// kv is the last prefill result, made for output from kvOffset on.
	kv       *engine.KV
	kvBytes  int64
	kvOffset int
	stream   *engine.Stream
	observe  func(Outcome)
	began    time.Time
	startAt  int
	resumes  int
	// attempts counts those since the last new token.
	attempts int
	// credit is a retry that was taken from the budget but not used yet.
	credit bool

	generated    strings.Builder
	offset       int
	result       Result
	firstToken   time.Duration
	lastToken    time.Time
	promptTokens int
	finished     bool
	closed       bool
	// grant is the attempt of a claimed request whose end is not recorded yet, else 0.
	grant uint64
}

// Generate admits a request and starts its decode stream, which the caller closes. For a claimed request that ran
// before it returns the stored answer in place of a stream. Errors are of type *Error.
func (r *Relay) Generate(ctx context.Context, job *Generation) (*Stream, *Answer, error) {
	request := job.Request
	s := &Stream{
		relay: r, ctx: ctx, job: job, request: request,
		series:  r.options.Metrics.For(request.Customer, request.ProfileName),
		once:    request.Profile.RepeatRule == config.NonIdempotent,
		id:      engine.Attempt{RequestID: request.ID},
		touched: map[string]Upstream{}, result: NotRun, promptTokens: request.PromptTokens,
	}
	var err error
	if s.prompt, err = json.Marshal(job.Prompt); err != nil {
		return nil, nil, failure(fmt.Errorf("encode prompt: %w", err), NotRun)
	}
	if s.admission, err = r.admit(ctx, request, s.series); err != nil {
		return nil, nil, failure(err, NotRun)
	}
	if job.Claim != nil {
		grant, stored, err := r.claim(ctx, request, job.Claim)
		if err != nil || stored != nil {
			s.admission.Release(0)
			if err != nil {
				return nil, nil, failure(err, NotRun)
			}
			return nil, replay(stored), nil
		}
		s.grant = grant
	}
	if err := s.open(); err != nil {
		s.fail()
		s.Close()
		return nil, nil, failure(err, s.result)
	}
	return s, nil, nil
}

// admit waits for the request's turn within the profile's queue timeout.
func (r *Relay) admit(ctx context.Context, request *Request, series *metric.Series) (Admission, error) {
	began := time.Now()
	limit := request.Arrived.Add(time.Duration(request.Profile.QueueTimeout))
	waiting, cancel := context.WithDeadlineCause(ctx, limit, errQueueTimeout)
	defer cancel()
	admission, err := r.options.Policy.Admit(waiting, request)
	series.Queue.RecordDuration(time.Since(began))
	if err == nil {
		if request.Admitted != nil {
			request.Admitted()
		}
		return admission, nil
	}
	if cause := ended(ctx); cause != nil {
		return nil, cause
	}
	if waiting.Err() != nil {
		return nil, errQueueTimeout
	}
	return nil, err
}

// errQueueTimeout means that no slot became free in time.
var errQueueTimeout = &Rejection{
	Status: 503, Code: "overloaded", Text: "No capacity became free within the time the profile allows.", RetryAfter: time.Second,
}

func (s *Stream) allowed() error {
	if err := ended(s.ctx); err != nil {
		return err
	}
	if s.job.Allowed != nil {
		return s.job.Allowed()
	}
	return nil
}

// open runs attempts until one has a decode stream.
func (s *Stream) open() error {
	for {
		err := s.attempt()
		if err == nil {
			return nil
		}
		if cause := ended(s.ctx); cause != nil {
			return cause
		}
		var final *Error
		if errors.As(err, &final) {
			return err
		}
		if errors.Is(err, engine.ErrFull) {
			continue
		}
		if retryErr := s.mayRetry(err); retryErr != nil {
			return retryErr
		}
	}
}

// mayRetry returns err when no other attempt is allowed. An answer that has begun goes on whatever the budget: an
// engine that dies breaks up to all its streams at once, and their number is bounded by its slots.
func (s *Stream) mayRetry(err error) error {
	if s.once && s.result != NotRun || s.attempts >= maxAttempts {
		return err
	}
	if !s.credit && !s.relay.options.Policy.AllowRetry(s.request) && s.offset == 0 {
		return err
	}
	s.credit = true
	return nil
}

// attempt reserves a decode slot, runs the prefill and starts the decode.
func (s *Stream) attempt() error {
	if err := s.allowed(); err != nil {
		return failure(err, s.result)
	}
	s.renumber()
	if err := s.pick(); err != nil {
		return failure(err, s.result)
	}
	slot, err := s.reserve()
	if err != nil {
		if !errors.Is(err, engine.ErrFull) {
			s.drop(s.decode)
		}
		return err
	}
	if err := s.runPrefill(); err != nil {
		s.drop(s.prefill)
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
		s.drop(s.decode)
	}
	return err
}

// renumber takes a new request ID when the session has changed, because other entries cancel the work of an
// ended session.
func (s *Stream) renumber() {
	if s.job.Renumber == nil {
		return
	}
	if id := s.job.Renumber(s.id.RequestID); id != s.id.RequestID {
		s.cancelAll()
		s.touched = map[string]Upstream{}
		s.id = engine.Attempt{RequestID: id}
	}
}

// midStreamWait bounds how long a broken stream waits for an upstream.
const midStreamWait = 5 * time.Second

// pick chooses the engines. While all are full it waits within the queue timeout.
func (s *Stream) pick() error {
	limit := s.request.Arrived.Add(time.Duration(s.request.Profile.QueueTimeout))
	if s.offset > 0 {
		limit = time.Now().Add(midStreamWait)
	}
	for {
		var err error
		s.prefill, s.decode, err = s.relay.options.Policy.PickEngines(s.request, s.excluded())
		if err == nil || !errors.Is(err, ErrNoUpstream) || time.Now().After(limit) {
			return err
		}
		if len(s.full)+len(s.exclude) == 0 && s.offset == 0 {
			return err
		}
		// An engine that failed the request may serve a new attempt: cancels name the attempt.
		s.full, s.exclude = nil, nil
		if err := sleep(s.ctx, s.relay.options.FullRetry); err != nil {
			return err
		}
	}
}

func (s *Stream) excluded() []string {
	return append(s.exclude[:len(s.exclude):len(s.exclude)], s.full...)
}

func (s *Stream) next() engine.Attempt {
	s.id.Attempt++
	return s.id
}

func (s *Stream) reserve() (*engine.Reservation, error) {
	s.attempts++
	s.credit = false
	observe := s.relay.step(s.request, s.decode, StageReserve)
	s.touched[s.decode.ID] = s.decode
	reservation, err := s.relay.options.Engines.Reserve(s.ctx, s.decode.Address, &engine.Reserve{
		Attempt: s.next(), Model: s.request.Model, PromptTokens: s.request.PromptTokens + s.offset,
		MaxTokens: s.request.MaxTokens - s.offset, Priority: s.request.Profile.Priority,
	})
	observe(Outcome{Kind: kindOf(s.ctx, err)})
	if errors.Is(err, engine.ErrFull) {
		s.full = append(s.full, s.decode.ID)
		s.attempts--
	}
	return reservation, err
}

func (s *Stream) runPrefill() error {
	if err := s.allowed(); err != nil {
		return failure(err, s.result)
	}
	observe := s.relay.step(s.request, s.prefill, StagePrefill)
	s.touched[s.prefill.ID] = s.prefill
	tokens := s.request.PromptTokens + s.offset
	s.kv = nil
	result, err := s.relay.options.Engines.Prefill(s.ctx, s.prefill.Address, &engine.Prefill{
		Attempt: s.id, Model: s.request.Model, Prompt: s.prompt, StartAt: s.offset, Generated: s.generated.String(),
		Priority: s.request.Profile.Priority,
	}, tokens, s.once)
	if err != nil {
		if s.result == NotRun && mayHaveRun(err) {
			s.result = Unknown
		}
		if errors.Is(err, engine.ErrFull) {
			s.full = append(s.full, s.prefill.ID)
		}
		observe(Outcome{Kind: kindOf(s.ctx, err)})
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

// startDecode starts a decode that pulls the prefill result.
func (s *Stream) startDecode(slot *engine.Reservation) error {
	return s.decodeFrom(&engine.Decode{Slot: slot.Slot, KV: s.kv}, s.transferBound())
}

// transferBound is the time that a transfer and the first token may take.
func (s *Stream) transferBound() time.Duration {
	bound := s.relay.options.TransferBase
	if rate := s.job.LinkBytesPerSecond; rate > 0 && s.prefill.ID != s.decode.ID {
		bound += time.Duration(4 * float64(s.kvBytes) / float64(rate) * float64(time.Second))
	}
	return min(bound, s.relay.options.TokenStall)
}

func (s *Stream) decodeFrom(d *engine.Decode, firstToken time.Duration) error {
	d.Attempt, d.Model, d.Prompt, d.StartAt = s.id, s.request.Model, s.prompt, s.offset
	d.MaxTokens, d.Priority = s.request.MaxTokens, s.request.Profile.Priority
	s.observe = s.relay.step(s.request, s.decode, StageDecode)
	s.touched[s.decode.ID] = s.decode
	s.began, s.startAt, s.firstToken = time.Now(), s.offset, 0
	stream, err := s.relay.options.Engines.Decode(s.ctx, s.decode.Address, d, s.once)
	if err != nil {
		s.endDecode(kindOf(s.ctx, err))
		return err
	}
	stream.SetStallTimeout(firstToken)
	s.stream = stream
	return nil
}

// endDecode closes the current stream and tells the policy.
func (s *Stream) endDecode(kind OutcomeKind) {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
	if s.observe != nil {
		if kind == Failed && s.offset > s.startAt && s.ctx.Err() != nil {
			// A request that ran out of time while tokens came says nothing of the engine.
			kind = Cancelled
		}
		s.observe(Outcome{Kind: kind, FirstToken: s.firstToken, Tokens: s.offset - s.startAt})
		s.observe = nil
	}
}

// drop gives up an engine for this request and cancels the current attempt there.
func (s *Stream) drop(upstream Upstream) {
	if slices.Contains(s.exclude, upstream.ID) {
		return
	}
	s.exclude = append(s.exclude, upstream.ID)
	s.relay.cancel(s.ctx, upstream, s.id.String())
}
