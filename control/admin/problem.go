package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/control/member"
	"azuredoor.example/core/budget"
	"azuredoor.example/core/fleetpb"
)

// problem is an error response. The codes are unauthorized, forbidden, invalid, notFound, conflict, inGroup (the member
// already belongs to a group), majority (the change would leave the group without a majority of reachable voters),
// notLeader (the change was certainly not made) and unavailable (the change may have been made).
type problem struct {
	status  int
	code    string
	message string
	field   string
	current []objectBody
}

type problemBody struct {
	Error struct {
		Code    string       `json:"code"`
		Message string       `json:"message"`
		Field   string       `json:"field,omitempty"`
		Current []objectBody `json:"current,omitempty"`
	} `json:"error"`
}

func (c *call) fail(p problem) {
	var body problemBody
	body.Error.Code, body.Error.Message, body.Error.Field, body.Error.Current = p.code, p.message, p.field, p.current
	c.respond(p.status, body)
}

func (c *call) respond(status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetBody(append(data, '\n'))
}

func notFound(message string) problem {
	return problem{status: fasthttp.StatusNotFound, code: "notFound", message: message}
}

func invalid(field, message string) problem {
	return problem{status: fasthttp.StatusBadRequest, code: "invalid", field: field, message: message}
}

// decode decodes the body as one JSON value without unknown fields. On failure, decode sends the error response and
// returns false.
func (c *call) decode(target any) bool {
	decoder := json.NewDecoder(bytes.NewReader(c.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		c.fail(invalid("", strings.TrimPrefix(err.Error(), "json: ")))
		return false
	}
	if decoder.More() {
		c.fail(invalid("", "more than one JSON value"))
		return false
	}
	return true
}

// readBody reads the body of a call whose token was accepted. It returns the memory that the body takes up, or nil, and whether it
// succeeded; otherwise it sends the error response.
func (s *Server) readBody(c *call) (*budget.Lease, bool) {
	source := c.RequestBodyStream()
	if source == nil {
		return nil, true
	}
	conn := c.Conn()
	lease := s.memory.Lease("calls", func() {
		// The deadline ends the read in progress. Setting one fails only on a closed connection.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := budget.ReadBody(source, c.Request.Header.ContentLength(), maxBodyBytes, lease)
	if err == nil {
		err = lease.Keep()
	}
	if err == nil {
		c.Request.SetBodyRaw(body)
		return lease, true
	}
	c.SetConnectionClose()
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		c.fail(problem{status: fasthttp.StatusRequestEntityTooLarge, code: "invalid", message: "the body is too large"})
	case errors.Is(err, budget.ErrFull), lease.Evicted():
		c.fail(problem{status: fasthttp.StatusServiceUnavailable, code: "busy", message: "too much is being received"})
	default:
		c.fail(invalid("", "the body could not be read"))
	}
	return lease, false
}

// requestID returns the request ID of a write. If the ID is missing or too long, requestID sends the error response
// and returns false.
func (c *call) requestID() (string, bool) {
	id := string(c.Request.Header.Peek(requestIDHeader))
	if id == "" || len(id) > 128 {
		c.fail(invalid(requestIDHeader, "a write needs this header with 1 to 128 bytes"))
		return "", false
	}
	return id, true
}

// failWithError sends the error response for an error from the group.
func (c *call) failWithError(err error) {
	var notLeader *member.NotLeaderError
	p := problem{status: fasthttp.StatusServiceUnavailable, code: "unavailable", message: err.Error()}
	switch {
	case errors.As(err, &notLeader), errors.Is(err, member.ErrNotApplied):
		p.code = "notLeader"
	case errors.Is(err, member.ErrMemberInvalid):
		p = invalid("", err.Error())
	case errors.Is(err, member.ErrUnknownMember):
		p = notFound(err.Error())
	case errors.Is(err, member.ErrInGroup):
		p.status, p.code = fasthttp.StatusConflict, "inGroup"
	case errors.Is(err, member.ErrMajority):
		p.status, p.code = fasthttp.StatusConflict, "majority"
	}
	c.fail(p)
}

// failWithResult sends the error response for a command that the state machine refused.
func (c *call) failWithResult(result *fleetpb.Result) {
	switch result.Code {
	case fleetpb.ResultCode_RESULT_CODE_CONFLICT:
		p := problem{status: fasthttp.StatusConflict, code: "conflict", message: result.Error}
		for _, object := range result.Current {
			p.current = append(p.current, newObjectBody(object))
		}
		c.fail(p)
	case fleetpb.ResultCode_RESULT_CODE_NOT_FOUND:
		c.fail(notFound(result.Error))
	default:
		// The state machine puts the path of an invalid field before the first colon.
		field, message, ok := strings.Cut(result.Error, ": ")
		if !ok || !strings.Contains(field, "/") || strings.Contains(field, " ") {
			field, message = "", result.Error
		}
		c.fail(invalid(field, message))
	}
}
