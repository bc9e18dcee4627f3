// Package web routes callers' requests by the routing document that operators maintain. It forwards plain HTTP requests
// and event streams unchanged. A request passes a chain of filters, then goes to upstreams chosen by package place.
package web

import (
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
)

// Call holds the routing data in the header of a caller's request.
type Call struct {
	// ID is the caller's ID of this attempt. It is forwarded unchanged.
	ID string
	// Timeout is the caller's timeout; 0 if the caller states none.
	Timeout time.Duration
	// Key is the access key, empty if the request has none.
	Key string
	// PromptTokens and MaxTokens are the prompt length and the output limit of a generation.
	PromptTokens, MaxTokens int
	// HasTokens is false if the caller states no token counts.
	HasTokens bool
	// ExpectedTokens is the caller's estimate of the output tokens; 0 if the caller states none.
	ExpectedTokens int
	// LastEvent is the ID of the last event that the caller received in an earlier response, empty for none.
	LastEvent string
	// Continues is the ID of the attempt whose response brought the caller the first event of the stream; empty if the caller
	// names none.
	Continues string
	// PromptParts identify the parts of the prompt, in order. Requests share parts; the last one belongs to the request or its
	// session. There are at most MaxPromptParts.
	PromptParts []uint64
}

// MaxPromptParts bounds the parts of a prompt that are read.
const MaxPromptParts = 256

// Forwarding holds the data that the router adds to a request for an upstream.
type Forwarding struct {
	Upstream place.Upstream
	// Customer is empty on open routes.
	Customer string
	// Timeout is how long the entry waits for the response.
	Timeout time.Duration
	// Prefill requests a prefill only: the engine processes the prompt and keeps the KV cache.
	Prefill bool
	// Source and Handle identify the result of a prefill: the engine's address and the handle there. Empty for none.
	Source, Handle string
	// Fetch is the address of an engine that may still have the prompt's KV cache, empty for none.
	Fetch string
	// LastEvent is the ID of the last event that reached the caller, empty for none.
	LastEvent string
	// Reservation is the ID of the engine's memory reservation for the request, empty for none.
	Reservation string
}

// ResponseInfo holds the routing data in the header of an upstream's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response answers.
	RequestID string
	// Signed is set if the upstream itself produced the response.
	Signed bool
	// NotRun is set if the upstream guarantees that the request has not run and never will.
	NotRun bool
	// Replaced is set if the process at the address is not the one that the request was meant for.
	Replaced bool
	// RetryAfter is how long the upstream wants no requests of this entry after status 503; 0 if it states no time.
	RetryAfter time.Duration
	// Leaving is set if the upstream states that it is about to stop.
	Leaving bool
	// Cold is how long the upstream states that it stays cold; 0 if it states no time.
	Cold time.Duration
}

// Codec reads and writes the headers and control calls of the protocol between callers, routers and upstreams.
type Codec interface {
	// ReadCall reads the header of a caller's request.
	ReadCall(h *fasthttp.RequestHeader) Call
	// WriteCall turns a copy of the caller's header into the header for an upstream. Fields that only the router may
	// set are overwritten or removed.
	WriteCall(h *fasthttp.RequestHeader, f Forwarding)
	// ReadResponse reads the header of an upstream's response.
	ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// ReadHandle reads the handle from the response to a prefill.
	ReadHandle(body []byte) (string, error)
	// FreeHandle writes the request that frees the result of a prefill.
	FreeHandle(r *fasthttp.Request, handle string)
	// Reserve writes the request that reserves an engine's memory for the tokens of a generation. The reservation
	// expires after the lifetime.
	Reserve(r *fasthttp.Request, tokens int, lifetime time.Duration)
	// ReadReservation reads the ID from the response to a reservation.
	ReadReservation(body []byte) (string, error)
	// Release writes the request that releases a reservation.
	Release(r *fasthttp.Request, id string)
}
