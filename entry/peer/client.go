package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

const (
	// callTimeout bounds each call; peers respond from memory. grpc-go detects a stalled connection after 10 s at the
	// earliest, so each call has its own timeout, and a connection whose calls fail is replaced.
	callTimeout = 150 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failed calls after which a connection is replaced.
	maxConsecutiveFailures = 2
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = 30 * time.Second
)

type connection struct {
	address             string
	grpcConn            *grpc.ClientConn
	consecutiveFailures int
	lastUsed            time.Time
}

// connections holds one connection per peer session.
type connections struct {
	dialer    fleetrpc.Dialer
	mu        sync.Mutex
	bySession map[uint64]*connection
}

func (c *connections) get(session uint64, address string, now time.Time) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.bySession[session]; existing != nil {
		existing.lastUsed = now
		return existing, nil
	}
	conn, err := c.dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	opened := &connection{address: address, grpcConn: conn, lastUsed: now}
	c.bySession[session] = opened
	return opened, nil
}

// recordResult records the result of a call and closes the connection after maxConsecutiveFailures
// consecutive failures.
func (c *connections) recordResult(session uint64, conn *connection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if code := status.Code(err); code != codes.DeadlineExceeded && code != codes.Unavailable {
		conn.consecutiveFailures = 0
		return
	}
	conn.consecutiveFailures++
	if conn.consecutiveFailures >= maxConsecutiveFailures && c.bySession[session] == conn {
		delete(c.bySession, session)
		// Close fails only if the connection is already closed.
		_ = conn.grpcConn.Close()
	}
}

// closeUnused closes connections to ended sessions and idle connections.
func (c *connections) closeUnused(now time.Time, ring Ring) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for session, conn := range c.bySession {
		if !ring.Has(session) || now.Sub(conn.lastUsed) > idleTimeout {
			delete(c.bySession, session)
			_ = conn.grpcConn.Close()
		}
	}
}

func (c *connections) close() { c.closeUnused(time.Time{}, Ring{}) }

// call makes one call to a session, bounded by callTimeout.
func call[T any](ctx context.Context, n *Node, session uint64, do func(context.Context, fleetpb.PeerClient) (T, error)) (T, error) {
	var zero T
	peer := n.config.View().Sessions[session]
	if peer == nil {
		return zero, eris.Errorf("session %d is not in the view", session)
	}
	conn, err := n.connections.get(session, peer.PeerAddress, n.config.Now())
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := do(ctx, fleetpb.NewPeerClient(conn.grpcConn))
	n.connections.recordResult(session, conn, err)
	if err != nil {
		return zero, eris.Wrapf(err, "call session %d at %s", session, peer.PeerAddress)
	}
	return result, nil
}
