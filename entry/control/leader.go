package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

// members holds one connection to each control member that was used.
type members struct {
	dialer fleetrpc.Dialer

	mu        sync.Mutex
	addresses []string
	conns     map[string]*grpc.ClientConn
	// leader is where unary calls go first.
	leader string
}

func newMembers(addresses []string, dialer fleetrpc.Dialer) *members {
	return &members{
		dialer: dialer, addresses: addresses, leader: addresses[0],
		conns: map[string]*grpc.ClientConn{},
	}
}

func (m *members) client(address string) (fleetpb.FleetClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn, ok := m.conns[address]
	if !ok {
		var err error
		if conn, err = m.dialer.Dial(address); err != nil {
			return nil, err
		}
		m.conns[address] = conn
	}
	return fleetpb.NewFleetClient(conn), nil
}

// drop closes a connection whose calls time out. The next call makes a new one: a connection may have gone
// silent while new ones work.
func (m *members) drop(address string) {
	m.mu.Lock()
	conn := m.conns[address]
	delete(m.conns, address)
	m.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// known returns the addresses of the members, at least one.
func (m *members) known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses
}

// set replaces the members by those that the group told of. An empty list changes nothing.
func (m *members) set(addresses []string) {
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

// add makes further members known.
func (m *members) add(addresses []string) {
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

// next moves on from an address that did not answer as leader. A hint is the leader's address, if known.
func (m *members) next(failed, hint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != failed {
		return
	}
	if hint != "" && hint != failed {
		m.leader = hint
		return
	}
	m.leader = m.after(failed)
}

func (m *members) after(address string) string {
	for i, known := range m.addresses {
		if known == address {
			return m.addresses[(i+1)%len(m.addresses)]
		}
	}
	return m.addresses[0]
}

const (
	// attemptTimeout bounds one call to one member, so that a silent connection costs little of a lease.
	attemptTimeout = 700 * time.Millisecond
	retryPause     = 30 * time.Millisecond
)

// call makes a call on the leader. It repeats the call on other members until the context ends, so the call
// must be idempotent.
func (m *members) call(ctx context.Context, do func(ctx context.Context, client fleetpb.FleetClient) error) error {
	for {
		address := m.currentLeader()
		err := m.callOne(ctx, address, do)
		if err == nil {
			return nil
		}
		hint, retry := m.judge(address, err)
		if !retry {
			return err
		}
		m.next(address, hint)
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "no control member answered as leader, last %s", address)
		case <-time.After(retryPause):
		}
	}
}

func (m *members) callOne(ctx context.Context, address string, do func(context.Context, fleetpb.FleetClient) error) error {
	client, err := m.client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return do(ctx, client)
}

// judge says whether a failed call may succeed on another member.
func (m *members) judge(address string, err error) (hint string, retry bool) {
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
	case codes.DeadlineExceeded:
		m.drop(address)
		return "", true
	case codes.Unavailable, codes.Aborted, codes.Canceled, codes.Internal, codes.Unknown:
		return "", true
	default:
		return "", false
	}
}
