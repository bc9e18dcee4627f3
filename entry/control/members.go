package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

// members holds the addresses of the control members and a connection to each member that was called.
type members struct {
	dialer fleetrpc.Dialer
	// received is the number of bytes that all connections have received.
	received atomic.Int64

	mu        sync.Mutex
	addresses []string
	conns     map[string]*connection
	// leader is the address of the presumed leader, which unary calls try first.
	leader string
}

func newMembers(addresses []string, dialer fleetrpc.Dialer) *members {
	return &members{
		dialer: dialer, addresses: addresses, leader: addresses[0],
		conns: map[string]*connection{},
	}
}

// connectionTo returns the connection to an address.
func (m *members) connectionTo(address string) (*connection, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn, ok := m.conns[address]
	if !ok {
		var err error
		if conn, err = dial(m.dialer, address, &m.received); err != nil {
			return nil, err
		}
		m.conns[address] = conn
	}
	return conn, nil
}

// closeConnection closes a connection whose calls time out, so that the next call opens a new one. A stalled connection
// may carry no data while new connections work.
func (m *members) closeConnection(address string) {
	m.mu.Lock()
	conn := m.conns[address]
	delete(m.conns, address)
	m.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// knownAddresses returns the addresses of the members, at least one.
func (m *members) knownAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses
}

// setAddresses replaces the addresses with those that the group returned. An empty list changes nothing.
func (m *members) setAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(addresses) == 0 || slices.Equal(addresses, m.addresses) {
		return
	}
	m.addresses = slices.Clone(addresses)
	for address, conn := range m.conns {
		if !slices.Contains(m.addresses, address) && address != m.leader {
			_ = conn.Close()
			delete(m.conns, address)
		}
	}
}

func (m *members) addAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = slices.Clone(m.addresses)
	for _, address := range addresses {
		if !slices.Contains(m.addresses, address) {
			m.addresses = append(m.addresses, address)
		}
	}
}

func (m *members) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, conn := range m.conns {
		_ = conn.Close()
		delete(m.conns, address)
	}
}

func (m *members) currentLeader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// switchLeader selects another member after an address did not respond as leader. The hint is the leader's address, or
// empty if unknown.
func (m *members) switchLeader(failed, hint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != failed {
		return
	}
	if hint != "" && hint != failed {
		m.leader = hint
		return
	}
	m.leader = m.addressAfter(failed)
}

func (m *members) addressAfter(address string) string {
	for i, known := range m.addresses {
		if known == address {
			return m.addresses[(i+1)%len(m.addresses)]
		}
	}
	return m.addresses[0]
}

const (
	// attemptTimeout bounds one attempt on one member, so that a stalled connection uses up little of a lease. It doubles up to
	// maxAttemptTimeout while responses are late on connections on which bytes arrive.
	attemptTimeout    = 700 * time.Millisecond
	maxAttemptTimeout = 4 * attemptTimeout
	retryPause        = 30 * time.Millisecond
)

// call makes a call to the presumed leader and retries on other members until the context ends. The call must be
// idempotent.
func (m *members) call(ctx context.Context, do func(ctx context.Context, client fleetpb.FleetClient) error) error {
	timeout := attemptTimeout
	for {
		address := m.currentLeader()
		silent, err := m.callMember(ctx, address, timeout, do)
		if err == nil {
			return nil
		}
		switch timedOut := status.Code(err) == codes.DeadlineExceeded; {
		case timedOut && silent:
			m.closeConnection(address)
		case timedOut:
			timeout = min(2*timeout, maxAttemptTimeout)
		}
		hint, retry := classifyError(err)
		if !retry {
			return err
		}
		m.switchLeader(address, hint)
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "no control member responded as leader, last tried %s", address)
		case <-time.After(retryPause):
		}
	}
}

// callMember makes one attempt. It reports whether nothing arrived on the connection meanwhile.
func (m *members) callMember(ctx context.Context, address string, timeout time.Duration, do func(context.Context, fleetpb.FleetClient) error) (silent bool, err error) {
	conn, err := m.connectionTo(address)
	if err != nil {
		return true, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	before := conn.received.Load()
	err = do(ctx, fleetpb.NewFleetClient(conn))
	return conn.received.Load() == before, err
}

// classifyError reports whether a failed call may succeed on another member, and returns the leader's address if the
// error contains it.
func classifyError(err error) (hint string, retry bool) {
	state, ok := status.FromError(err)
	if !ok {
		return "", true
	}
	switch state.Code() {
	case codes.FailedPrecondition:
		for _, detail := range state.Details() {
			if notLeader, ok := detail.(*fleetpb.NotLeader); ok {
				return notLeader.Address, true
			}
		}
		return "", true
	case codes.DeadlineExceeded, codes.Unavailable, codes.Aborted, codes.Canceled, codes.Internal, codes.Unknown:
		return "", true
	default:
		return "", false
	}
}
