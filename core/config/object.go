// Package config defines the configuration objects that operators edit.
package config

import (
	"encoding/json"
	"time"
)

// Kinds of objects.
const (
	KindProfile  = "profile"
	KindCustomer = "customer"
	KindKey      = "key"
	KindRoute    = "route"
	KindPool     = "pool"
	KindFleet    = "fleet"
)

// FleetName is the name of the single object of kind fleet.
const FleetName = "fleet"

// Duration is a time.Duration that is encoded as text, such as "350ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// RepeatRule is the rule for repeated executions of a request.
type RepeatRule string

// Repeat rules.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RepeatRule = "idempotent"
	// NonIdempotent requests are executed at most once.
	NonIdempotent RepeatRule = "nonIdempotent"
)

// Limit configures a token bucket. The charge of a request is its prompt tokens plus its maximum output tokens.
type Limit struct {
	// TokensPerSecond is the refill rate, at least 1.
	TokensPerSecond int64 `json:"tokensPerSecond"`
	// BurstTokens is the capacity of the bucket, at least 1.
	BurstTokens int64 `json:"burstTokens"`
}

// Profile holds the targets and limits for the requests of a route.
type Profile struct {
	// FirstTokenTarget is the target for the time to the first token, or to the complete response of a
	// plain service. The value is positive.
	FirstTokenTarget Duration `json:"firstTokenTarget"`
	// TokenGapTarget is the target for the time between tokens; 0 means none.
	TokenGapTarget Duration `json:"tokenGapTarget,omitempty"`
	// RequestTimeout bounds the whole request. The value is at least FirstTokenTarget.
	RequestTimeout Duration `json:"requestTimeout"`
	// QueueTimeout bounds the wait for a slot. The value is at most RequestTimeout.
	QueueTimeout Duration `json:"queueTimeout"`
	// Priority ranges from 0 (deferrable) to 9 (urgent).
	Priority   int        `json:"priority"`
	RepeatRule RepeatRule `json:"repeatRule"`
	// AnswerRetention is how long the record of an at-most-once request is kept. The value is positive if RepeatRule
	// is NonIdempotent.
	AnswerRetention Duration `json:"answerRetention,omitempty"`
	// RequestTokens is the charge for one call of a plain service.
	RequestTokens int64 `json:"requestTokens,omitempty"`
	// CustomerLimit applies separately to each customer without a Limit.
	CustomerLimit Limit `json:"customerLimit"`
}

// Customer is the owner of requests; all requests with one of its keys share its weight and limit.
type Customer struct {
	// Weight is the customer's relative share of the capacity under contention, from 1 to 1000.
	Weight int `json:"weight"`
	// Limit, if set, replaces the limits of the profiles with a single bucket for the requests of all profiles.
	Limit *Limit `json:"limit,omitempty"`
}

// Key is an access key of a customer. Deleting the object withdraws the key.
type Key struct {
	// Customer is the name of an existing customer.
	Customer string `json:"customer"`
	// SHA256 is the hash of the key as 64 lower-case hex digits. No two keys have the same hash.
	SHA256 string `json:"sha256"`
}

// Route maps requests to a pool and a profile.
type Route struct {
	// Models holds the models of an engine route. Exactly one of Models and PathPrefix is set.
	Models []string `json:"models,omitempty"`
	// PathPrefix starts with a slash. The route with the longest matching prefix serves a request.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Methods restricts a route with a path prefix to the listed HTTP methods; empty means all methods.
	Methods []string `json:"methods,omitempty"`
	// Profile is the name of an existing profile.
	Profile string `json:"profile"`
	// Pool is the name of an existing pool.
	Pool string `json:"pool"`
	// Open is set for routes that need no key.
	Open bool `json:"open,omitempty"`
}

// Pool is a group of upstreams that serve the same purpose.
type Pool struct {
	// Kind is PoolEngine or PoolService.
	Kind string `json:"kind"`
	// Models holds the models that the engines of the pool must load, the most important first.
	Models []string `json:"models,omitempty"`
	// PrefillEngines is the number of engines with the role prefill; 0 leaves the roles as announced.
	PrefillEngines int `json:"prefillEngines,omitempty"`
	// ModelBytes is the size of the weights of one model, used to pace model loads; 0 means unknown.
	ModelBytes int64 `json:"modelBytes,omitempty"`
	// LinkBytesPerSecond is the rate of one engine's transfer link; 0 means unknown.
	LinkBytesPerSecond int64 `json:"linkBytesPerSecond,omitempty"`
}

// Pool kinds.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// Objective is the measure that has precedence where two measures conflict.
type Objective string

// Objectives.
const (
	// WorstServed favours the worst-served customer.
	WorstServed Objective = "worstServed"
	// Goodput favours the number of requests that meet their targets.
	Goodput Objective = "goodput"
)

// Fleet holds the settings of the whole fleet.
type Fleet struct {
	Objective Objective `json:"objective"`
	// RetryPercent bounds the retries as a percentage of the fleet's requests, from 0 to 100.
	RetryPercent int `json:"retryPercent"`
	// WeightStoreBytesPerSecond is the total rate of all concurrent model loads; 0 means unlimited.
	WeightStoreBytesPerSecond int64 `json:"weightStoreBytesPerSecond,omitempty"`
}

// DefaultFleet applies while no object of kind fleet exists.
var DefaultFleet = Fleet{Objective: WorstServed, RetryPercent: 10}
