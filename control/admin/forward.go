package admin

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"azuredoor.example/control/member"
	"azuredoor.example/core/httpread"
)

const (
	dialTimeout = time.Second
	// readCallTimeout bounds a read, including the wait for a leader.
	readCallTimeout = 4 * time.Second
	// readAttemptTimeout bounds each attempt to forward a read to the leader.
	readAttemptTimeout  = 1500 * time.Millisecond
	leaderRetryInterval = 50 * time.Millisecond
	// maxForwardedBytes bounds the body of the leader's response.
	maxForwardedBytes = 64 << 20
)

// errForwarded indicates that the call was forwarded and that the response of another member was relayed.
var errForwarded = errors.New("call forwarded to the leader")

// linearizableRead returns a handler that runs handler once the leader has confirmed that the local state is current.
func (s *Server) linearizableRead(handler func(*call)) func(*call) {
	return func(c *call) {
		switch err := s.confirmRead(c); {
		case err == nil:
			handler(c)
		case !errors.Is(err, errForwarded):
			c.failWithError(err)
		}
	}
}

// confirmRead returns nil if this member leads the group and its state is current. If another member leads,
// confirmRead forwards the call and returns errForwarded.
func (s *Server) confirmRead(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), readCallTimeout)
	defer cancel()
	return s.runOnLeader(ctx, c, readAttemptTimeout, func() error {
		_, err := s.config.Group.ReadIndex(ctx)
		return err
	})
}

// onLeader returns a handler that runs handler on the leader.
func (s *Server) onLeader(handler func(ctx context.Context, c *call) error) func(*call) {
	return func(c *call) {
		ctx, cancel := context.WithTimeout(context.Background(), membershipTimeout)
		defer cancel()
		if err := s.runOnLeader(ctx, c, membershipTimeout, func() error {
			return handler(ctx, c)
		}); err != nil && !errors.Is(err, errForwarded) {
			c.failWithError(err)
		}
	}
}

// runOnLeader runs attempt on this member and forwards the call if attempt fails because another member leads.
// While no leader can be reached, runOnLeader retries until ctx ends. Retries are safe: reads change nothing, and
// membership changes are idempotent. A call that another member forwarded, or that arrives at a member without a
// group, is neither forwarded nor retried.
func (s *Server) runOnLeader(ctx context.Context, c *call, attemptTimeout time.Duration, attempt func() error) error {
	for {
		err := attempt()
		var notLeader *member.NotLeaderError
		if !errors.As(err, &notLeader) {
			return err
		}
		if len(c.Request.Header.Peek(forwardedHeader)) > 0 || len(s.config.Group.Status().Membership.GetMembers()) == 0 {
			return err
		}
		if notLeader.Leader != nil && notLeader.Leader.Id != s.config.Group.Status().ID && s.forward(ctx, c, notLeader.Leader.AdminAddress, attemptTimeout) {
			return errForwarded
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// forward sends the call to the member at address and reports whether that member responded with a status other
// than 503. Each attempt uses a new connection, because an open connection may have stalled.
func (s *Server) forward(ctx context.Context, c *call, address string, attemptTimeout time.Duration) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.Request.CopyTo(request)
	request.URI().SetScheme("http")
	request.URI().SetHost(address)
	request.Header.Set(forwardedHeader, "1")
	request.SetConnectionClose()
	deadline := time.Now().Add(attemptTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := s.exchange(ctx, address, request, response, deadline); err != nil {
		return false
	}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		return false
	}
	c.SetStatusCode(response.StatusCode())
	c.SetBody(response.Body())
	return true
}

// exchange sends a request to the member at address and reads the response, until the deadline.
func (s *Server) exchange(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	connection, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(err, "connect to the leader")
	}
	defer connection.Close() //nolint:errcheck // nothing is lost by it
	if err := connection.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "set the deadline of the connection to the leader")
	}
	if _, err := request.WriteTo(connection); err != nil {
		return eris.Wrap(err, "send the call to the leader")
	}
	return eris.Wrap(httpread.Response(bufio.NewReader(connection), response, maxForwardedBytes), "read the leader's response")
}
