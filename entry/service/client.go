// Package service is the client of plain services.
package service

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/conn"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 32 << 20

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
	call.SetID(string(request.Header.Peek(conn.RequestIDHeader)), isSuccess)
	return c.pool.Do(ctx, call, response)
}

// isSuccess reports whether a connection is used again after a response without an ID. Such a response may come a second time
// without being noticed, so a refusal or an error ends its connection.
func isSuccess(status int) bool { return status < fasthttp.StatusBadRequest }
