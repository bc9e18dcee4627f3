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

// transport carries messages to the other members. Each peer has its own queue, goroutines and
// connection, so a slow or dead one delays no other.
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

// setMembers connects to the members of a membership and drops the connections to others.
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
		known := find(membership, id) != nil
		p.learned = p.learned && !known
		if !known && (!p.learned || removed(membership, id)) {
			t.drop(id)
		}
	}
	for _, member := range membership.GetMembers() {
		t.connect(member.Id, member.Address)
	}
}

// learn makes a member known that sent a message before its membership entry arrived, so that it can be
// answered. It stays known until a membership names or removes it: a snapshot may hold an older membership than the one
// in force.
func (t *transport) learn(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx != nil && t.peers[id] == nil && find(t.membership, id) == nil && !removed(t.membership, id) {
		t.connect(id, address)
		if p := t.peers[id]; p != nil {
			p.learned = true
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
		t.drop(id)
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{
		id: id, address: address, transport: t, cancel: cancel,
		queue: make(chan *fleetpb.ConsensusMessage, queuedMessages),
	}
	t.peers[id] = p
	t.group.Go(func() error { return p.run(ctx) })
}

func (t *transport) drop(id uint64) {
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

// reachable says whether a member answered on its connection lately and still has its ID.
func (t *transport) reachable(id uint64) bool {
	p := t.peer(id)
	return p != nil && p.reachable()
}

// Peer returns what another member answered last, and whether it can be reached now. The answer is nil
// when there was none.
func (m *Member) Peer(id uint64) (*fleetpb.InfoResponse, bool) {
	p := m.transport.peer(id)
	if p == nil {
		return nil, false
	}
	answer := p.answer.Load()
	if answer == nil {
		return nil, false
	}
	return answer.info, p.reachable()
}

// forward sends a command to a member. Errors are gRPC statuses.
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

// info asks a process for its ID, outside any membership.
func (t *transport) info(ctx context.Context, address string) (*fleetpb.InfoResponse, error) {
	conn, err := t.dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	response, err := fleetpb.NewConsensusClient(conn).Info(ctx, &fleetpb.InfoRequest{})
	if closing := conn.Close(); err == nil && closing != nil {
		err = closing
	}
	return response, eris.Wrap(err, "ask a member for its ID")
}

const infoTimeout = 700 * time.Millisecond

// join asks the leader to add the calling process.
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
	if closing := conn.Close(); err == nil && closing != nil {
		err = closing
	}
	return eris.Wrap(err, "ask the leader to join")
}

// CallLeader makes a call on the leader's connection. It returns a *NotLeaderError when this member leads or knows no
// connected leader.
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
