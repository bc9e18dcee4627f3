package caller

import (
	"errors"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/budget"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/tcp"
)

// bodyReceiver reads the bodies of requests whose headers were accepted, of the memory for all callers.
type bodyReceiver struct {
	memory   *budget.Budget
	maxBytes int
}

// Serve implements Filter.
func (f *bodyReceiver) Serve(x *Exchange, next Handler) *relay.Error {
	source := x.HTTP.RequestBodyStream()
	if source == nil {
		return next(x)
	}
	conn := x.HTTP.Conn()
	lease := f.memory.Lease("requests", func() {
		// The deadline ends the read in progress. Setting one fails only on a closed connection.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer lease.Release()
	body, err := budget.ReadBody(source, x.HTTP.Request.Header.ContentLength(), f.maxBytes, lease)
	if err == nil {
		// The parsed body takes up as much again.
		err = lease.Grow(int64(len(body)))
	}
	if err == nil {
		err = lease.Keep()
	}
	if err == nil {
		x.HTTP.Request.SetBodyRaw(body)
		return next(x)
	}
	x.HTTP.SetConnectionClose()
	if c, ok := conn.(*tcp.Conn); ok {
		c.Linger = true
	}
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return rejection(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "The request body is too large.")
	case errors.Is(err, budget.ErrFull):
		e := rejection(fasthttp.StatusServiceUnavailable, "memory", "Too many large requests are being received.")
		e.RetryAfter = time.Second
		return e
	case lease.Evicted(), errors.Is(err, os.ErrDeadlineExceeded):
		return rejection(fasthttp.StatusRequestTimeout, "request_timeout", "The request did not arrive in time.")
	}
	return rejection(fasthttp.StatusBadRequest, "malformed_request", "The request is not valid HTTP.")
}
