package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/tcp"
)

// Names of headers that the router sets.
const (
	headerOutcome   = "Azuredoor-Outcome"
	headerRequestID = "Azuredoor-Request-Id"
	headerUpstream  = "Azuredoor-Upstream"
	headerReplayed  = "Azuredoor-Replayed"
	headerCustomer  = "Azuredoor-Customer"
)

// rejection returns the error for a request that is rejected without being run, because of a fault in the request.
func rejection(status int, code, text string) *relay.Error {
	return &relay.Error{Status: status, Code: code, Text: text, Result: relay.NotRun}
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Param   *string      `json:"param"`
	Code    string       `json:"code"`
	Outcome relay.Result `json:"outcome"`
}

// encodeError returns e as JSON in OpenAI's format. The underlying error is left out, so that it stays inside the process.
func encodeError(e *relay.Error) []byte {
	kind := "invalid_request_error"
	switch {
	case e.Status == fasthttp.StatusTooManyRequests:
		kind = "rate_limit_error"
	case e.Status >= fasthttp.StatusInternalServerError:
		kind = "server_error"
	}
	data, err := json.Marshal(errorResponse{errorBody{Message: e.Text, Type: kind, Code: e.Code, Outcome: e.Result}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","param":null,"code":"internal","outcome":"unknown"}}`)
	}
	return data
}

func writeError(response *fasthttp.Response, e *relay.Error) {
	response.ResetBody()
	response.SetStatusCode(e.Status)
	response.Header.SetContentType("application/json")
	response.Header.Set(headerOutcome, string(e.Result))
	if e.RetryAfter > 0 {
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Status == fasthttp.StatusUnauthorized {
		response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	response.SetBodyRaw(encodeError(e))
}

// writeReadError writes the response to a request that could not be read.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*tcp.Conn); ok {
		c.Linger = true
	}
	var (
		small   *fasthttp.ErrSmallBuffer
		timeout net.Error
		e       = rejection(fasthttp.StatusBadRequest, "malformed_request", "The request is not valid HTTP.")
	)
	switch {
	case errors.As(err, &small):
		e = rejection(fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large", "The request header is too large.")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = rejection(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "The request body is too large.")
	case errors.As(err, &timeout) && timeout.Timeout():
		e = rejection(fasthttp.StatusRequestTimeout, "request_timeout", "The request did not arrive in time.")
	}
	writeError(&ctx.Response, e)
}

// notReadyError returns the error for a request that the entry cannot authorise or route at present.
func notReadyError(text string) *relay.Error {
	return &relay.Error{
		Status: fasthttp.StatusServiceUnavailable, Code: "not_ready", Text: text, Result: relay.NotRun, RetryAfter: time.Second,
	}
}
