package client

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Kind classifies errors by what the operator can do about them.
type Kind int

// Kinds of errors.
const (
	// Failed means that a member refused the request for a reason that no other kind covers.
	Failed Kind = iota
	// Conflict means that the change contradicts the present state, such as the version of an object.
	Conflict
	// NotFound means that the object, upstream or member does not exist.
	NotFound
	// Unavailable means that no member could process the request in time.
	Unavailable
)

// Error is an error response of a member, or the failure to get a response from any member.
type Error struct {
	Kind Kind
	// Code is the error code in the response, such as "invalid".
	Code    string
	Message string
	// Field is the path of the invalid field of a document.
	Field string
	// Current holds the present versions of the objects in conflict.
	Current []Object
	// OutcomeUnknown is true if the change may have been made in spite of the error.
	OutcomeUnknown bool
}

// Object is a configuration object.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return e.Field + ": " + e.Message
	}
	return e.Message
}

// newError returns the error for an error response. The body has the form
// {"error":{"code","message","field","current"}}; any other body is quoted in the message.
func newError(member string, status int, body []byte) *Error {
	var decoded struct {
		Error struct {
			Code, Message, Field string
			Current              []Object
		}
	}
	e := &Error{Message: fmt.Sprintf("%s responded with status %d: %.200q", member, status, body)}
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.Message != "" {
		e.Code, e.Message, e.Field, e.Current = decoded.Error.Code, decoded.Error.Message, decoded.Error.Field, decoded.Error.Current
	}
	switch status {
	case http.StatusConflict:
		e.Kind = Conflict
	case http.StatusNotFound:
		e.Kind = NotFound
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		e.Kind = Unavailable
	}
	return e
}
