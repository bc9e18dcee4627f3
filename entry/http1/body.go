package http1

import (
	"errors"
	"io"
	"math"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/budget"
	"azuredoor.example/entry/tcp"
)

const (
	// bodyTimeout bounds the time to receive a body after its header, beyond what minBodyRate allows for what has arrived.
	bodyTimeout = 10 * time.Second
	// minBodyRate is the rate in bytes per second below which a body takes too long. Slow mobile lines are faster.
	minBodyRate = 16 << 10
	// fullRetryAfter is the Retry-After of a request whose body found no memory.
	fullRetryAfter = time.Second
	// smallBodyBytes is the size up to which a body is read before the request is checked, so that its connection can be kept if the
	// check refuses the request.
	smallBodyBytes = 16 << 10
)

// bodyIsSmall reports whether the header states a body that is read at once.
func (x *Exchange) bodyIsSmall() bool {
	length := x.Request.Header.ContentLength()
	return length >= 0 && length <= smallBodyBytes || length == identityBody
}

// identityBody is the content length by which fasthttp marks a message without a stated length. A request has no body then.
const identityBody = -2

// readBody reads the body of the request. It takes up memory only for bytes that have arrived, and of the budget of the process.
func (x *Exchange) readBody(limit int) *refusal {
	h := &x.Request.Header
	length := h.ContentLength()
	if length == identityBody || length == 0 {
		return nil
	}
	x.lease = x.server.config.Memory.Lease("requests", func() {
		// The deadline ends the read in progress. Setting one fails only on a closed connection.
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	})
	x.input.lease, x.input.began, x.input.received = x.lease, time.Now(), 0
	defer func() { x.input.lease = nil }()
	most := limit
	if most == 0 {
		most = math.MaxInt
	}
	var body []byte
	err := x.Request.ContinueReadBodyStream(x.reader, most, false)
	if err == nil {
		body, err = budget.ReadBody(x.Request.BodyStream(), length, limit, x.lease)
	}
	if err == nil {
		err = x.lease.Keep()
	}
	if err != nil {
		if x.lease.Evicted() {
			err = budget.ErrEvicted
		}
		return bodyRefusal(err)
	}
	x.Request.SetBodyRaw(body)
	h.SetContentLength(len(body))
	return nil
}

// input reads from a connection. While a body is received, it bounds how long that takes.
type input struct {
	conn *tcp.Conn
	// lease is set while a body is received: since began, and of received bytes so far.
	lease    *budget.Lease
	began    time.Time
	received int
}

// Read implements io.Reader.
func (in *input) Read(p []byte) (int, error) {
	if in.lease != nil {
		if err := in.prepare(); err != nil {
			return 0, err
		}
	}
	n, err := in.conn.Read(p)
	in.received += n
	return n, err
}

// prepare sets the deadline of the next read of a body.
func (in *input) prepare() error {
	in.lease.Moved()
	deadline := in.began.Add(bodyTimeout + time.Duration(float64(in.received)/minBodyRate*float64(time.Second)))
	if err := in.conn.SetReadDeadline(deadline); err != nil {
		return err //nolint:wrapcheck // the connection is closed
	}
	// A lease that was taken back before has set an earlier deadline.
	if in.lease.Evicted() {
		return budget.ErrEvicted
	}
	return nil
}

func bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, budget.ErrTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, text: "the body is too large"}
	case errors.Is(err, budget.ErrEvicted):
		return &refusal{status: fasthttp.StatusRequestTimeout, text: "the body came too slowly while memory was short"}
	case errors.Is(err, budget.ErrFull):
		return &refusal{status: fasthttp.StatusServiceUnavailable, text: "too many large requests are being received", retryAfter: fullRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: fasthttp.StatusRequestTimeout, text: "the body took too long"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return &refusal{}
	}
	return &refusal{status: fasthttp.StatusBadRequest, text: "the body is malformed"}
}
