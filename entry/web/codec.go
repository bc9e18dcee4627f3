// Package web serves callers of the operators' document: plain HTTP requests and event streams that are passed on to
// upstreams unchanged. A request goes through a chain of filters, then to the upstreams that package place chooses.
package web

import (
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
)

// Call is what a caller's request header says to the router.
type Call struct {
	// ID is the caller's ID of this attempt. It is passed on as it is.
	ID string
	// Patience is how long the caller waits; 0 means that it does not say.
	Patience time.Duration
	// Key is the access key, empty when there is none.
	Key string
	// PromptTokens and MaxTokens are the sizes of a generation; HasTokens is false when the caller states none.
	PromptTokens, MaxTokens int
	HasTokens               bool
	// ExpectedTokens is the caller's estimate of the output tokens; 0 when it states none.
	ExpectedTokens int
	// LastEvent is the ID of the last event that the caller has of an earlier answer, empty for none.
	LastEvent string
}

// Forwarding is what the router tells an upstream beside the caller's request.
type Forwarding struct {
	Upstream place.Upstream
	// Customer is empty on open routes.
	Customer string
	// Patience is how long the entry waits for the answer.
	Patience time.Duration
	// Prefill asks to read the prompt only and to keep the result.
	Prefill bool
	// Source names a prefill's result: the engine's address and the handle. Empty for none.
	Source, Handle string
	// Fetch is the address of an engine that may still have read the prompt, empty for none.
	Fetch string
	// LastEvent is the ID of the last event that reached the caller, empty for none.
	LastEvent string
	// Reservation is the ID of the room that the engine keeps for the request, empty for none.
	Reservation string
}

// Marks is what an upstream's response header says to the router.
type Marks struct {
	// RequestID is the ID of the request that the response answers.
	RequestID string
	// Signed is set on responses that come from an upstream's own work.
	Signed bool
	// NotRun is set when the upstream states that the request has not run and never will.
	NotRun bool
	// Replaced is set when the process at the address is another than the one that was asked.
	Replaced bool
	// RetryAfter is when the upstream expects room; 0 when it does not say.
	RetryAfter time.Duration
}

// Codec reads and writes the headers in which callers, routers and upstreams speak of one request.
type Codec interface {
	// ReadCall reads a caller's header.
	ReadCall(h *fasthttp.RequestHeader) Call
	// WriteCall turns a copy of the caller's header into the one for an upstream. What only the router may set is
	// replaced, whatever the caller sent.
	WriteCall(h *fasthttp.RequestHeader, f Forwarding)
	// ReadMarks reads an upstream's response header.
	ReadMarks(h *fasthttp.ResponseHeader) Marks
	// ReadHandle reads the handle of a prefill's result.
	ReadHandle(body []byte) (string, error)
	// FreeHandle makes the request that frees a prefill's result.
	FreeHandle(r *fasthttp.Request, handle string)
	// Reserve makes the request that reserves room on an engine for a generation, for at most the lifetime.
	Reserve(r *fasthttp.Request, tokens int, lifetime time.Duration)
	// ReadReservation reads the ID of reserved room.
	ReadReservation(body []byte) (string, error)
	// Release makes the request that gives reserved room back.
	Release(r *fasthttp.Request, id string)
}
