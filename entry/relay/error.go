package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Result describes whether an upstream ran a failed request. It is part of each error response.
type Result string

// Values of Result.
const (
	// NotRun means that no upstream started the request.
	NotRun Result = "notRun"
	// Unknown means that an upstream may have run the request.
	Unknown Result = "unknown"
	// Ran means that an upstream ran the request, at least in part.
	Ran Result = "ran"
)

// Error describes a failed request and the error response that the caller receives.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Code is the error code of the OpenAI API.
	Code string
	// Text is the message for the caller.
	Text string
	// Result describes whether an upstream ran the request.
	Result Result
	// RetryAfter is the time after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
	// Err is the cause. Its text is not sent to the caller.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Text, e.Err)
	}
	return e.Text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// Causes with which the context of a running request is cancelled.
var (
	// ErrCallerGone means that the caller disconnected.
	ErrCallerGone = errors.New("caller closed the connection")
	// ErrKeyWithdrawn means that the API key was withdrawn while the request ran.
	ErrKeyWithdrawn = errors.New("API key was withdrawn while the request ran")
	// ErrControlUnreachable means that the entry has lost contact with the control group.
	ErrControlUnreachable = errors.New("entry has lost contact with the control group")
	// ErrTimeout means that the request exceeded its profile's request timeout.
	ErrTimeout = errors.New("request exceeded the timeout of its profile")
	// ErrStopping means that the entry stops without waiting for running requests.
	ErrStopping = errors.New("entry is stopping")
)

// toError converts err to an *Error. An *Error is returned unchanged, and a *Rejection keeps its status.
func toError(err error, result Result) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return &Error{
			Status: rejection.Status, Code: rejection.Code, Text: rejection.Text, RetryAfter: rejection.RetryAfter, Result: result,
		}
	}
	e := &Error{Status: http.StatusBadGateway, Code: "upstream_error", Text: "The upstream failed.", Result: result, Err: err}
	switch {
	case errors.Is(err, ErrCallerGone):
		e.Status, e.Code, e.Text = 499, "caller_gone", "The caller closed the connection."
	case errors.Is(err, ErrKeyWithdrawn):
		e.Status, e.Code, e.Text = http.StatusUnauthorized, "invalid_api_key", "The API key was withdrawn."
	case errors.Is(err, ErrControlUnreachable):
		e.Status, e.Code, e.Text, e.RetryAfter = http.StatusServiceUnavailable, "not_ready", "The router has lost contact with its control group.", time.Second
	case errors.Is(err, ErrTimeout):
		e.Status, e.Code, e.Text = http.StatusGatewayTimeout, "timeout", "The request did not end within the time its profile allows."
	case errors.Is(err, ErrStopping):
		e.Status, e.Code, e.Text, e.RetryAfter = http.StatusServiceUnavailable, "stopping", "The router is stopping.", time.Second
	case errors.Is(err, ErrNoUpstream):
		e.Status, e.Code, e.Text, e.RetryAfter = http.StatusServiceUnavailable, "overloaded", "No upstream accepts work at the moment.", time.Second
	}
	return e
}
