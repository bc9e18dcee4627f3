package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/conn"
)

// maxResponseBytes is the largest response body that is read into memory, in bytes.
const maxResponseBytes = 16 << 20

// Options configures a Client. A zero value selects the default in brackets.
type Options struct {
	// The timeout of a prefill is PrefillBase plus PrefillPerToken for each prompt token [2 s and 1 ms].
	PrefillBase, PrefillPerToken time.Duration
	// ReadTimeout is the read timeout of streams, the maximum time without any data [2 s]. Engines send a comment line as
	// a heartbeat every 500 ms.
	ReadTimeout time.Duration
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	pool    *conn.Pool
	options Options
}

// NewClient returns a Client that uses the connections of pool.
func NewClient(pool *conn.Pool, options Options) *Client {
	if options.PrefillBase == 0 {
		options.PrefillBase = 2 * time.Second
	}
	if options.PrefillPerToken == 0 {
		options.PrefillPerToken = time.Millisecond
	}
	if options.ReadTimeout == 0 {
		options.ReadTimeout = 2 * time.Second
	}
	return &Client{pool: pool, options: options}
}

// Reserve reserves a decode slot. It returns ErrFull if no slot is free.
func (c *Client) Reserve(ctx context.Context, address string, r *Reserve) (*Reservation, error) {
	var result Reservation
	if err := c.call(ctx, address, "/v1/reserve", r.String(), r, &result, c.options.ReadTimeout/2, true); err != nil {
		return nil, err
	}
	return &result, nil
}

// Prefill computes the KV cache of a prompt of promptTokens tokens. If atMostOnce is set, the request is sent at most
// once, on a new connection.
func (c *Client) Prefill(ctx context.Context, address string, r *Prefill, promptTokens int,
	atMostOnce bool) (*PrefillResult, error) {
	timeout := c.options.PrefillBase + time.Duration(promptTokens)*c.options.PrefillPerToken
	var result PrefillResult
	if err := c.call(ctx, address, "/v1/prefill", r.String(), r, &result, timeout, !atMostOnce); err != nil {
		return nil, err
	}
	return &result, nil
}

// Decode starts a stream of output tokens, which the caller must close. If atMostOnce is set, the request is sent at
// most once, on a new connection.
func (c *Client) Decode(ctx context.Context, address string, r *Decode, atMostOnce bool) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if err := prepareRequest(request, address, "/v1/decode", r); err != nil {
		return nil, err
	}
	response := fasthttp.AcquireResponse()
	call := conn.Call{Address: address, Request: request, Reuse: !atMostOnce && !r.Resume,
		FirstByteTimeout: c.options.ReadTimeout, ReadTimeout: c.options.ReadTimeout}
	call.SetID("/v1/decode "+r.String(), neverKeep)
	if r.Resume {
		// A stream that the engine still holds needs no KV transfer, so the response begins immediately. An idle
		// connection is not reused because the fault that broke the stream may have affected the connection too.
		call.FirstByteTimeout /= 2
	}
	body, err := c.pool.Stream(ctx, call, response)
	if err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	if err := checkStatus("/v1/decode", response.StatusCode()); err != nil {
		body.Close()
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	reader := NewReader(body, r.Attempt, r.StartAt)
	reader.maxTokens = r.MaxTokens
	return &Stream{Reader: reader, body: body, response: response}, nil
}

// Cancel cancels a request on an engine, or one attempt if requestID has the form "<request ID>.<attempt>". It returns
// the number of cancelled operations.
func (c *Client) Cancel(ctx context.Context, address, requestID string) (int, error) {
	var result cancelResponse
	err := c.call(ctx, address, "/v1/cancel", requestID, &Cancel{RequestID: requestID}, &result, c.options.ReadTimeout/2, true)
	return result.Cancelled, err
}

// CancelOwner cancels all requests of a session on an engine and returns the number of cancelled operations.
func (c *Client) CancelOwner(ctx context.Context, address, owner string) (int, error) {
	var result cancelResponse
	err := c.call(ctx, address, "/v1/cancel", owner, &Cancel{Owner: owner}, &result, c.options.ReadTimeout/2, true)
	return result.Cancelled, err
}

// Requests returns the requests of a session that an engine holds, or those of all sessions if owner is empty.
func (c *Client) Requests(ctx context.Context, address, owner string) ([]HeldRequest, error) {
	var result struct {
		Requests []HeldRequest `json:"requests"`
	}
	if err := c.call(ctx, address, "/v1/requests?owner="+url.QueryEscape(owner), owner, nil, &result,
		c.options.ReadTimeout/2, true); err != nil {
		return nil, err
	}
	return result.Requests, nil
}

// Order sends an order and returns the HTTP status of the response. Engines respond with 200, or with 409 if the
// fencing token is stale.
func (c *Client) Order(ctx context.Context, address string, order any) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := prepareRequest(request, address, "/v1/orders", order); err != nil {
		return 0, err
	}
	call := conn.Call{Address: address, Request: request, MaxBody: maxResponseBytes}
	call.SetID("/v1/orders", neverKeep)
	if err := c.pool.Do(ctx, call, response); err != nil {
		return 0, err
	}
	return response.StatusCode(), nil
}

// neverKeep closes the connection of an engine that does not repeat the IDs of requests. A second copy of an earlier response
// could hand the slot or the KV cache of one request to another.
func neverKeep(int) bool { return false }

// call makes a call for the work with the given ID and decodes its response into result.
func (c *Client) call(ctx context.Context, address, path, id string, body, result any,
	firstByteTimeout time.Duration, reuse bool) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := prepareRequest(request, address, path, body); err != nil {
		return err
	}
	call := conn.Call{Address: address, Request: request, Reuse: reuse,
		FirstByteTimeout: firstByteTimeout, MaxBody: maxResponseBytes}
	call.SetID(path+" "+id, neverKeep)
	if err := c.pool.Do(ctx, call, response); err != nil {
		return err
	}
	if err := checkStatus(path, response.StatusCode()); err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return fmt.Errorf("%s: decode response: %w", path, err)
	}
	return nil
}

func checkStatus(path string, status int) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusServiceUnavailable:
		return ErrFull
	case fasthttp.StatusGone:
		return ErrKVGone
	case fasthttp.StatusNotFound:
		return ErrNotHeld
	default:
		return &StatusError{Path: path, Status: status}
	}
}

func prepareRequest(request *fasthttp.Request, address, path string, body any) error {
	request.SetRequestURI(path)
	request.SetHost(address)
	if body == nil {
		return nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%s: encode request: %w", path, err)
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(data)
	return nil
}
