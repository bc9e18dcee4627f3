// Package engine implements a client for the engine protocol: reserve, prefill, decode, cancel, list and events.
package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Attempt identifies one attempt of a request. Engines include the identification in each token message.
type Attempt struct {
	// RequestID is "<session ID>-<number>".
	RequestID string `json:"requestId"`
	// Attempt is the number of the attempt within the request, starting at 1.
	Attempt int `json:"attempt"`
}

// String returns "<request ID>.<attempt>".
func (a Attempt) String() string { return fmt.Sprintf("%s.%d", a.RequestID, a.Attempt) }

// Reserve is the request for a decode slot.
type Reserve struct {
	Attempt
	Model        string `json:"model"`
	PromptTokens int    `json:"promptTokens"`
	MaxTokens    int    `json:"maxTokens"`
	Priority     int    `json:"priority"`
}

// Reservation is a decode slot that an engine keeps free until the reservation expires.
type Reservation struct {
	Slot            json.RawMessage `json:"slot"`
	ExpiresInMillis int64           `json:"expiresInMs"`
}

// Prefill is the request to compute the KV cache of a prompt.
type Prefill struct {
	Attempt
	Model string `json:"model"`
	// Prompt is a JSON string.
	Prompt json.RawMessage `json:"prompt"`
	// StartAt is the number of output tokens in Generated.
	StartAt int `json:"startAt"`
	// Generated is the output that the caller received before an earlier attempt failed.
	Generated string `json:"generated,omitempty"`
	Priority  int    `json:"priority"`
}

// PrefillResult is the response to a Prefill request.
type PrefillResult struct {
	Handle          json.RawMessage `json:"handle"`
	PromptTokens    int             `json:"promptTokens"`
	CachedTokens    int             `json:"cachedTokens"`
	KVBytes         int64           `json:"kvBytes"`
	ExpiresInMillis int64           `json:"expiresInMs"`
}

// KV is the location from which a decode engine fetches a prefill result.
type KV struct {
	// Address is the host:port of the prefill engine.
	Address string          `json:"address"`
	Handle  json.RawMessage `json:"handle"`
}

// Decode is the request for output tokens.
type Decode struct {
	Attempt
	Model string `json:"model"`
	// Prompt is a JSON string.
	Prompt json.RawMessage `json:"prompt"`
	Slot   json.RawMessage `json:"slot,omitempty"`
	KV     *KV             `json:"kv,omitempty"`
	// Resume is set to continue a stream that the engine still holds.
	Resume bool `json:"resume,omitempty"`
	// StartAt is the offset of the first requested token.
	StartAt int `json:"startAt"`
	// MaxTokens is the maximum number of output tokens, counted from offset 0.
	MaxTokens int `json:"maxTokens"`
	Priority  int `json:"priority"`
}

// Cancel is the request to cancel work. RequestID selects a request, or one attempt of a request if it has the form
// "<request ID>.<attempt>". Owner selects all requests of a session by the session ID.
type Cancel struct {
	RequestID string `json:"requestId,omitempty"`
	Owner     string `json:"owner,omitempty"`
}

type cancelResponse struct {
	Cancelled int `json:"cancelled"`
}

// HeldRequest is a request for which an engine holds memory.
type HeldRequest struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// Kind is "reserve", "prefill", "transfer" or "decode".
	Kind    string `json:"kind"`
	KVBytes int64  `json:"kvBytes"`
}

// ErrFull is returned when the engine has no free slot.
var ErrFull = errors.New("engine has no free slot")

// ErrKVGone is returned when the prefill result no longer exists.
var ErrKVGone = errors.New("prefill result no longer exists")

// ErrNotHeld is returned when the engine does not hold the requested stream or model.
var ErrNotHeld = errors.New("engine does not hold the stream or the model")

// StatusError is the error for a response with an unexpected HTTP status. The body is left out because it may contain
// prompt text.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected HTTP status %d", e.Path, e.Status)
}

// Millis converts a number of milliseconds from a protocol field to a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
