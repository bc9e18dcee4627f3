package order

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/httpread"
)

// HTTP sends orders over HTTP.
type HTTP struct {
	Dialer net.Dialer
	// Write encodes an order into a request to the engine; the default is POST /v1/orders with the order as JSON.
	Write func(request *fasthttp.Request, o Order) error
}

// ErrLeaseEnding is returned by Send when guard rejects the order because the lease ends too soon.
var ErrLeaseEnding = eris.New("the order lease ends too soon")

// Send opens a new connection for each order. The whole order is written at once, right after the call of guard, so
// that a process that was suspended while it prepared the order sends nothing.
func (h *HTTP) Send(ctx context.Context, o Order, guard func() bool) error {
	var message bytes.Buffer
	if err := h.writeRequest(&message, o); err != nil {
		return err
	}
	connection, err := h.Dialer.DialContext(ctx, "tcp", o.Address)
	if err != nil {
		return eris.Wrap(err, "connect to the engine to send an order")
	}
	defer connection.Close() //nolint:errcheck // nothing is lost by it
	if deadline, ok := ctx.Deadline(); ok {
		if err := connection.SetDeadline(deadline); err != nil {
			return eris.Wrap(err, "set the deadline of the connection to the engine")
		}
	}
	if !guard() {
		return ErrLeaseEnding
	}
	if _, err := connection.Write(message.Bytes()); err != nil {
		return eris.Wrap(err, "send the order")
	}
	return readResponse(connection)
}

func (h *HTTP) writeRequest(message *bytes.Buffer, o Order) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetHost(o.Address)
	request.Header.SetRequestURI("/v1/orders")
	request.Header.SetContentType("application/json")
	request.SetConnectionClose()
	if h.Write != nil {
		if err := h.Write(request, o); err != nil {
			return eris.Wrap(err, "write the order")
		}
	} else {
		body, err := json.Marshal(o)
		if err != nil {
			return eris.Wrap(err, "encode the order")
		}
		request.SetBody(body)
	}
	if _, err := request.WriteTo(message); err != nil {
		return eris.Wrap(err, "write the order")
	}
	return nil
}

func readResponse(connection net.Conn) error {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := httpread.Response(bufio.NewReader(connection), response, maxResponseBytes); err != nil {
		return eris.Wrap(err, "read the engine's response to the order")
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK && code != fasthttp.StatusAccepted {
		return eris.Errorf("engine responded to the order with status %d, want 200 or 202", response.StatusCode())
	}
	return nil
}

const maxResponseBytes = 64 << 10

// DialTimeout is a value for Dialer.Timeout that is shorter than the time limit of one order.
const DialTimeout = 500 * time.Millisecond
