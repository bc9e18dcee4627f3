// Package relay runs requests on upstreams and relays the responses.
package relay

import (
	"context"
	"errors"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
)

// Request holds the properties of a request on which the policy bases its decisions.
type Request struct {
	// ID has the form "<session ID>-<number>" and is unique in the fleet.
	ID string
	// Customer is empty on public routes.
	Customer string
	// Weight is the customer's relative share under contention, at least 1.
	Weight int
	// Bucket is the name of the token bucket that is charged.
	Bucket string
	// Limit is the rate and burst of the token bucket.
	Limit config.Limit
	// Pool, Model and ProfileName are names from the configuration. Model is empty for plain services.
	Pool, Model, ProfileName string
	Profile                  *config.Profile
	// PromptTokens and MaxTokens are set for requests to engines only.
	PromptTokens, MaxTokens int
	// PrefixHashes holds the hashes of the prompt's prefixes in whole cache blocks, the longest prefix last.
	PrefixHashes []uint64
	// Charge is the number of tokens to charge at admission.
	Charge int64
	// Arrived is the time when the request was read.
	Arrived time.Time
	// OnAdmitted is called when the request has been admitted. It may be nil.
	OnAdmitted func()
}

// Upstream identifies the upstream of an attempt.
type Upstream struct {
	ID            string
	Incarnation   uint64
	Address       string
	FailureDomain string
}

// Rejection is the error for a request that is refused before any byte is sent to an upstream.
type Rejection struct {
	// Status is the HTTP status, 429 or 503.
	Status int
	// Code is the error code of the OpenAI API, such as "rate_limit_exceeded".
	Code string
	// Text is the message for the caller.
	Text string
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Rejection) Error() string { return r.Text }

// ErrNoUpstream is returned when no upstream of a pool accepts work.
var ErrNoUpstream = errors.New("no upstream of the pool accepts work")

// OutcomeKind describes how a stage of a request on an upstream ended.
type OutcomeKind int

// Values of OutcomeKind.
const (
	// Succeeded means that the response was complete.
	Succeeded OutcomeKind = iota
	// Failed means that the connection broke or stalled, or that the upstream returned a server error.
	Failed
	// Full means that the upstream had no free slot.
	Full
	// Cancelled means that the request was cancelled, for example by its caller. The upstream is not at fault.
	Cancelled
)

// Stage is a part of a request that runs on one upstream.
type Stage int

// Values of Stage.
const (
	StageReserve Stage = iota
	StagePrefill
	StageDecode
	StageService
)

// Outcome is the result of one stage on one upstream.
type Outcome struct {
	Request  *Request
	Upstream Upstream
	Stage    Stage
	Kind     OutcomeKind
	// Elapsed is the duration of the stage, for StageDecode until the end of the stream.
	Elapsed time.Duration
	// FirstToken is the time from the start of StageDecode to its first token.
	FirstToken time.Duration
	// Tokens is the number of output tokens for StageDecode, and of processed tokens for StagePrefill.
	Tokens int
	// CachedTokens is the number of tokens that the engine found in its prefix cache (StagePrefill).
	CachedTokens int
	// KVBytes is the size of the prefill result in bytes (StagePrefill).
	KVBytes int64
}

// Load is an engine's report of its load. The report is out of date by at least Lag.
type Load struct {
	Running, Waiting, FreeSlots int
	// Lag is the age of the report on arrival, as far as the engine knows.
	Lag time.Duration
}

// CacheEvent reports that blocks were added to or evicted from an engine's prefix cache.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation; a gap means that events were lost.
	Sequence uint64
	Added    bool
	Hashes   []uint64
}

// Admission is the permission of a request to use its pool.
type Admission interface {
	// Release ends the admission and must be called only once. The parameter used is the number of tokens that the
	// request used; the rest of the charge is returned to the customer.
	Release(used int64)
}

// Policy makes the decisions for requests. It is safe for concurrent use.
type Policy interface {
	// Admit charges the customer's limit and waits until the request may start. The error is a *Rejection or the
	// error of ctx.
	Admit(ctx context.Context, r *Request) (Admission, error)
	// PickEngines chooses a prefill and a decode engine. The IDs in exclude are of upstreams that were already tried.
	PickEngines(r *Request, exclude []string) (prefill, decode Upstream, err error)
	// PickDecode chooses another decode engine for a prefill result that still exists.
	PickDecode(r *Request, prefill Upstream, exclude []string) (Upstream, error)
	// PickService chooses an upstream of a pool of plain services.
	PickService(r *Request, exclude []string) (Upstream, error)
	// Started records that a stage starts on an upstream. A call of Observe with the same request, upstream and stage
	// follows.
	Started(r *Request, upstream Upstream, stage Stage)
	// Observe records the outcome of a stage.
	Observe(o Outcome)
	// AllowRetry takes one retry from the budget and reports whether one was left.
	AllowRetry(r *Request) bool
	// SetUpstreams replaces the upstreams and the configuration.
	SetUpstreams(upstreams map[string]*fleetpb.Upstream, set *config.Set)
	// ObserveLoad records a load report of an engine.
	ObserveLoad(upstreamID string, load Load)
	// ObserveCache records a cache event of an engine.
	ObserveCache(upstreamID string, incarnation uint64, event CacheEvent)
}
