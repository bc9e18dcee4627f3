// Package client is a client of the operators' API that control members serve.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// RequestIDHeader carries the ID of a write; a repeated write returns the result of the first one.
	RequestIDHeader = "Azuredoor-Request-Id"

	readAttemptTimeout = 3 * time.Second
	retryInterval      = 100 * time.Millisecond
	maxBodyBytes       = 256 << 20
)

// Config configures a Client.
type Config struct {
	// Members are the admin addresses of control members, IP:port.
	Members []string
	Token   string
	// Timeout bounds one call, including all its attempts.
	Timeout time.Duration
}

// Client sends each call to the members in turn until one of them responds.
type Client struct {
	config Config
	http   http.Client
	next   int
}

// New returns a client of the members in config.
func New(config Config) *Client { return &Client{config: config} }

// Read sends a GET request and decodes the response into out.
func (c *Client) Read(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, "", out)
}

// Write sends a request that changes state and, unless out is nil, decodes the response into out. Every attempt
// carries the same request ID, so that the change is made at most once.
func (c *Client) Write(ctx context.Context, method, path string, body, out any) error {
	id, err := newRequestID()
	if err != nil {
		return err
	}
	data := []byte("{}")
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encode the request")
		}
	}
	return c.call(ctx, method, path, data, id, out)
}

func newRequestID() (string, error) {
	var buffer [16]byte
	if _, err := rand.Read(buffer[:]); err != nil {
		return "", eris.Wrap(err, "generate a request ID")
	}
	return hex.EncodeToString(buffer[:]), nil
}

// call sends a request to the members in turn until one of them responds with a status other than 502, 503 and 504, or
// until the timeout expires.
func (c *Client) call(ctx context.Context, method, path string, body []byte, id string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	attemptTimeout := min(readAttemptTimeout, c.config.Timeout)
	if id != "" {
		// Half of the timeout lets a slow change finish and leaves time to send the request again.
		attemptTimeout = c.config.Timeout / 2
	}
	failure := &Error{Kind: Unavailable}
	for attempt := 0; ; attempt++ {
		member := c.config.Members[c.next%len(c.config.Members)]
		responseBody, err := c.attempt(ctx, attemptTimeout, member, method, path, body, id)
		if err == nil {
			if out == nil {
				return nil
			}
			// 64-bit IDs would lose digits as float64.
			decoder := json.NewDecoder(bytes.NewReader(responseBody))
			decoder.UseNumber()
			return eris.Wrapf(decoder.Decode(out), "decode the response from %s", member)
		}
		var refusal *Error
		if errors.As(err, &refusal) && refusal.Kind != Unavailable {
			return refusal
		}
		failure.Message = err.Error()
		failure.OutcomeUnknown = failure.OutcomeUnknown || id != "" && outcomeUnknown(err)
		c.next++
		if (attempt+1)%len(c.config.Members) == 0 && waitRetryInterval(ctx) != nil || ctx.Err() != nil {
			return failure
		}
	}
}

func waitRetryInterval(ctx context.Context) error {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outcomeUnknown reports whether a failed attempt may still have changed state.
func outcomeUnknown(err error) bool {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal.Code != "notLeader" && refusal.Code != "busy"
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}

func (c *Client) attempt(ctx context.Context, attemptTimeout time.Duration, member, method, path string, body []byte, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+member+path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	if id != "" {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(RequestIDHeader, id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // names the method and the address already
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "read the response from %s", member)
	}
	if err := checkHead(response); err != nil {
		return nil, eris.Wrapf(err, "read the response from %s", member)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, newError(member, response.StatusCode, responseBody)
	}
	if len(responseBody) == 0 {
		responseBody = []byte("{}")
	}
	return responseBody, nil
}

// checkHead returns an error if a response is malformed although net/http accepts it.
func checkHead(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return eris.Errorf("%q is no status of a response", response.Status)
	}
	for name := range response.Header {
		// net/http accepts no other byte that a name may not hold.
		if strings.Contains(name, " ") {
			return eris.Errorf("the name of the header field %q has a blank", name)
		}
	}
	return nil
}
