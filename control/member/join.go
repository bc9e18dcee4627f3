package member

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/control/state"
	"azuredoor.example/core/consensus"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

const (
	// joinEvery is the pause between two tries to join a group, or to learn why no leader answers.
	joinEvery = 250 * time.Millisecond
	// joinTimeout bounds one call to one process; a silent one must not delay the others by more.
	joinTimeout = 700 * time.Millisecond
	// leaderlessFor is how long a member may hear no leader before it asks others whether it was removed.
	leaderlessFor = 2 * time.Second
)

// ErrRemoved says that the group removed this member while it was away. Its stored votes count no more, so it may
// only return as a new member with an empty folder.
var ErrRemoved = errors.New("the group removed this member")

// Joining configures how a member finds its group without an operator.
type Joining struct {
	// Addresses returns the gRPC addresses of known control processes. They may be stale, unreachable or the own one.
	Addresses func() []string
	// Founders are the gRPC addresses of the members that form the group at the very first start of the fleet. They
	// must be the same in all founders. Empty at any later start.
	Founders []string
}

// FounderID is the ID of a founder. All founders know each other's ID in advance, so that they form one group and
// never two; later members have random IDs.
func FounderID(address string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte("azuredoor founder " + address))
	return h.Sum64() | 1
}

// KeepJoined forms or joins the group, and returns ErrRemoved when the group has removed this member.
func (m *Member) KeepJoined(ctx context.Context, c Joining) error {
	if slices.Contains(c.Founders, m.config.Self.Address) && m.config.ID == FounderID(m.config.Self.Address) {
		if err := m.found(ctx, c.Founders); err != nil && !errors.Is(err, ErrInGroup) {
			return err
		}
	}
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	heard := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		current := m.Status()
		switch {
		case removed(current.Membership, m.config.ID):
			return ErrRemoved
		case len(current.Membership.GetMembers()) == 0:
			m.tryJoin(ctx, c.Addresses())
		case current.Leader != 0:
			heard = time.Now()
		case time.Since(heard) > leaderlessFor:
			if m.askRemoved(ctx, append(memberAddresses(current.Membership), c.Addresses()...)) {
				return ErrRemoved
			}
		}
	}
}

func memberAddresses(membership *fleetpb.Membership) []string {
	var addresses []string
	for _, member := range membership.GetMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// found starts the log with the membership of all founders. Each founder stores the same first snapshot.
func (m *Member) found(ctx context.Context, founders []string) error {
	return m.call(ctx, func() error {
		if s := m.node.Status(); len(s.Membership.GetMembers()) > 0 || s.LastIndex > 0 {
			return ErrInGroup
		}
		membership := &fleetpb.Membership{}
		for _, address := range founders {
			membership.Members = append(membership.Members, &fleetpb.Member{Id: FounderID(address), Name: address, Address: address})
		}
		slices.SortFunc(membership.Members, func(a, b *fleetpb.Member) int {
			if a.Id < b.Id {
				return -1
			}
			return 1
		})
		return m.begin(membership)
	})
}

// begin stores a first snapshot and continues from it. It runs on the loop.
func (m *Member) begin(membership *fleetpb.Membership) error {
	data, err := state.New().Capture().Encode()
	if err != nil {
		return err
	}
	// The group starts from a snapshot, so that every other member learns the membership with it.
	first := &fleetpb.Snapshot{Index: 1, Term: 1, Data: data, Membership: membership}
	stored := consensus.Stored{HardState: &fleetpb.HardState{Term: 1, Commit: 1}, Snapshot: first}
	if err := m.config.Storage.Save(consensus.Ready{HardState: stored.HardState, Snapshot: first, MustSync: true}); err != nil {
		return err
	}
	if err := m.load(stored); err != nil {
		return err
	}
	m.config.Events.Write(event.ControlGroupFormed, func(e *log.Entry) { e.Str("id", formatID(m.config.ID)) })
	return nil
}

// tryJoin asks the known processes, and the leader that they name, to add this member as a learner.
func (m *Member) tryJoin(ctx context.Context, addresses []string) {
	asked := map[string]bool{m.config.Self.Address: true}
	for len(addresses) > 0 && ctx.Err() == nil {
		address := addresses[0]
		addresses = addresses[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		info, err := m.transport.info(ctx, address)
		if err != nil {
			m.config.Events.Write(event.ControlJoining, func(e *log.Entry) { e.Str("address", address).Err(err) })
			continue
		}
		// A process that knows the group may name members that the settings do not.
		addresses = append(addresses, memberAddresses(info.Membership)...)
		leader := find(info.Membership, info.Leader)
		if leader == nil {
			continue
		}
		err = m.transport.join(ctx, leader.Address, m.config.Self, m.config.ID)
		m.config.Events.Write(event.ControlJoining, func(e *log.Entry) { e.Str("address", leader.Address).Uint64("term", info.Term).Err(err) })
		if err == nil {
			return
		}
	}
}

// askRemoved says whether another process knows that this member was removed.
func (m *Member) askRemoved(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if address == m.config.Self.Address {
			continue
		}
		if info, err := m.transport.info(ctx, address); err == nil && removed(info.Membership, m.config.ID) {
			return true
		}
	}
	return false
}

// Admit adds a process as a learner. A member with the address of the new one and another ID has lost its disk: it is
// removed first, since no process will ever answer with its ID again. Only the leader admits members.
func (m *Member) Admit(ctx context.Context, next *fleetpb.Member) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current := m.Status()
	if !current.Leading {
		return &NotLeaderError{Leader: current.LeaderMember()}
	}
	if find(current.Membership, next.Id) != nil {
		return nil
	}
	info, err := m.transport.info(ctx, next.Address)
	if err != nil {
		return fmt.Errorf("%w: no answer from %s", ErrMemberInvalid, next.Address)
	}
	if info.Id != next.Id || len(info.Membership.GetMembers()) > 0 {
		return fmt.Errorf("%w: %s belongs to another process or group", ErrMemberInvalid, next.Address)
	}
	for _, member := range current.Membership.GetMembers() {
		if member.Address != next.Address {
			continue
		}
		if err := m.change(ctx, m.without(member.Id)); err != nil && !errors.Is(err, ErrUnknownMember) {
			return err
		}
		m.config.Events.Write(event.ControlMemberRemoved, func(e *log.Entry) {
			e.Str("id", formatID(member.Id)).Str("address", member.Address).Str("reason", "its address has a new process")
		})
	}
	return m.change(ctx, func(members *fleetpb.Membership) error {
		if find(members, next.Id) != nil {
			return errUnchanged
		}
		learner := proto.CloneOf(next)
		learner.Learner = true
		members.Members = append(members.Members, learner)
		return nil
	})
}

// Join implements the service.
func (s *Server) Join(ctx context.Context, request *fleetpb.JoinRequest) (*fleetpb.JoinResponse, error) {
	if err := s.Member.Admit(ctx, request.GetMember()); err != nil {
		return nil, RPCError(err)
	}
	return &fleetpb.JoinResponse{}, nil
}
