// Package service is the client of plain services.
package service

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/conn"
)

// RequestIDHeader is the header that carries the ID of the request. A service may repeat the header in its response, so
// that the client can detect a response that belongs to another request.
const RequestIDHeader = "Azuredoor-Request-Id"

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 32 << 20

// ErrMismatchedResponse means that the response carries the ID of another request.
var ErrMismatchedResponse = errors.New("response belongs to another request")

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	pool *conn.Pool
}

// NewClient returns a client that sends requests over the connections of pool.
func NewClient(pool *conn.Pool) *Client { return &Client{pool: pool} }

// Do sends a request and reads the complete response. If atMostOnce is set, Do opens a new connection and writes the
// request at most once. The parameter firstByteTimeout bounds the wait for the first byte of the response. Given the
// error, conn.Sent reports whether any byte may have reached the service.
func (c *Client) Do(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response,
	firstByteTimeout time.Duration, atMostOnce bool,
) error {
	request.SetHost(address)
	response.SkipBody = request.Header.IsHead()
	call := conn.Call{
		Address: address, Request: request, Reuse: !atMostOnce,
		FirstByteTimeout: firstByteTimeout, MaxBody: maxResponseBytes,
	}
	if err := c.pool.Do(ctx, call, response); err != nil {
		return err
	}
	sentID, gotID := request.Header.Peek(RequestIDHeader), response.Header.Peek(RequestIDHeader)
	if len(gotID) > 0 && string(gotID) != string(sentID) {
		return &conn.Error{Address: address, Sent: true, ResponseStarted: true, Err: ErrMismatchedResponse}
	}
	return nil
}
