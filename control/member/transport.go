package member

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

// transport sends messages to the other members. Each peer has its own queue, goroutines and connection, so a slow
// or dead peer does not delay other peers.
type transport struct {
	self    uint64
	address string
	dialer  fleetrpc.Dialer

	mu         sync.Mutex
	peers      map[uint64]*peer
	membership *fleetpb.Membership
	ctx        context.Context
	group      *errgroup.Group
}

func newTransport(self uint64, address string, dialer fleetrpc.Dialer) *transport {
	return &transport{self: self, address: address, dialer: dialer, peers: map[uint64]*peer{}}
}

func (t *transport) start(ctx context.Context, group *errgroup.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.group = ctx, group
}

// setMembers connects to the members of a membership and closes the connections to other peers.
func (t *transport) setMembers(membership *fleetpb.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.membership == membership {
		return
	}
	t.membership = membership
	for id, p := range t.peers {
		if len(membership.GetMembers()) == 0 {
			break
		}
		known := findMember(membership, id) != nil
		p.provisional = p.provisional && !known
		if !known && (!p.provisional || isRemoved(membership, id)) {
			t.disconnect(id)
		}
	}
	for _, member := range membership.GetMembers() {
		t.connect(member.Id, member.Address)
	}
}

// addProvisionalPeer adds a peer that sent a message before the membership that lists the peer arrived, so that the
// message can be answered. The peer stays provisional until a membership lists or removes the peer, because a snapshot
// may contain an older membership than the membership in force.
func (t *transport) addProvisionalPeer(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx != nil && t.peers[id] == nil && findMember(t.membership, id) == nil && !isRemoved(t.membership, id) {
		t.connect(id, address)
		if p := t.peers[id]; p != nil {
			p.provisional = true
		}
	}
}

func (t *transport) connect(id uint64, address string) {
	if id == t.self {
		return
	}
	if known := t.peers[id]; known != nil {
		if known.address == address {
			return
		}
		t.disconnect(id)
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{
		id: id, address: address, transport: t, cancel: cancel,
		queue: make(chan *fleetpb.ConsensusMessage, queuedMessages),
	}
	t.peers[id] = p
	t.group.Go(func() error { return p.run(ctx) })
}

func (t *transport) disconnect(id uint64) {
	t.peers[id].cancel()
	delete(t.peers, id)
}

func (t *transport) peer(id uint64) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[id]
}

func (t *transport) send(message *fleetpb.ConsensusMessage) {
	if p := t.peer(message.To); p != nil {
		p.send(message)
	}
}

// reachable reports whether a member answered a probe within probeValidity with its expected ID.
func (t *transport) reachable(id uint64) bool {
	p := t.peer(id)
	return p != nil && p.reachable()
}

// Peer returns the response of another member to the last successful probe, and whether the member is reachable now. The
// response is nil if no probe has succeeded.
func (m *Member) Peer(id uint64) (*fleetpb.InfoResponse, bool) {
	p := m.transport.peer(id)
	if p == nil {
		return nil, false
	}
	last := p.lastProbe.Load()
	if last == nil {
		return nil, false
	}
	return last.info, p.reachable()
}

// forward sends a command to a member. Returned errors are gRPC statuses.
func (t *transport) forward(ctx context.Context, id uint64, command []byte) ([]byte, error) {
	p := t.peer(id)
	if p == nil {
		return nil, status.Error(codes.FailedPrecondition, "the member is not known")
	}
	conn := p.connection()
	if conn == nil {
		return nil, status.Error(codes.FailedPrecondition, "the member is not connected")
	}
	response, err := fleetpb.NewConsensusClient(conn).Forward(ctx, &fleetpb.ForwardRequest{Command: command})
	if err != nil {
		return nil, err
	}
	return response.Result, nil
}

// info requests the ID and status of the process at address, which need not be a member of the group.
func (t *transport) info(ctx context.Context, address string) (*fleetpb.InfoResponse, error) {
	conn, err := t.dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	response, err := fleetpb.NewConsensusClient(conn).Info(ctx, &fleetpb.InfoRequest{})
	if closeErr := conn.Close(); err == nil && closeErr != nil {
		err = closeErr
	}
	return response, eris.Wrap(err, "get ID and status of process")
}

const infoTimeout = 700 * time.Millisecond

// join asks the leader to add this process.
func (t *transport) join(ctx context.Context, leader string, self *fleetpb.Member, id uint64) error {
	conn, err := t.dialer.Dial(leader)
	if err != nil {
		return err
	}
	next := proto.CloneOf(self)
	next.Id = id
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err = fleetpb.NewConsensusClient(conn).Join(ctx, &fleetpb.JoinRequest{Member: next})
	if closeErr := conn.Close(); err == nil && closeErr != nil {
		err = closeErr
	}
	return eris.Wrap(err, "join group through leader")
}

// CallLeader makes a call on the connection to the leader. The error is a *NotLeaderError if this member is the leader
// or has no connection to a leader.
func (m *Member) CallLeader(ctx context.Context, call func(ctx context.Context, client fleetpb.FleetClient) error) error {
	leader := m.Status().LeaderMember()
	if leader == nil || leader.Id == m.config.ID {
		return &NotLeaderError{Leader: leader}
	}
	p := m.transport.peer(leader.Id)
	if p == nil {
		return &NotLeaderError{Leader: leader}
	}
	conn := p.connection()
	if conn == nil {
		return &NotLeaderError{Leader: leader}
	}
	return call(ctx, fleetpb.NewFleetClient(conn))
}

func formatID(id uint64) string { return strconv.FormatUint(id, 16) }
