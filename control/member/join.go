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
	// joinInterval is the interval between attempts to join a group or to find out why there is no leader.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds a call to one process, and so the time by which an unresponsive process delays calls to others.
	joinTimeout = 700 * time.Millisecond
	// leaderlessTimeout is how long a member has no leader before the member asks other processes whether the group
	// removed the member.
	leaderlessTimeout = 2 * time.Second
)

// ErrRemoved is returned if the group removed this member while the member was unreachable. Votes stored by the member
// no longer count, so the process may rejoin only as a new member with an empty data directory.
var ErrRemoved = errors.New("the group removed this member")

// JoinConfig configures how a member finds its group without an operator's help.
type JoinConfig struct {
	// Addresses returns the gRPC addresses of known control processes. An address may be stale or unreachable, or may
	// be the address of this member.
	Addresses func() []string
	// Founders lists the gRPC addresses of the members that form the group at the first start of the fleet. The list
	// must be the same on all founders, and empty at any later start.
	Founders []string
}

// FounderID returns the member ID of the founder with the given address. The ID is derived from the address, so that
// the founders know each other's IDs in advance and form one group, never two. Later members have random IDs.
func FounderID(address string) uint64 {
	h := fnv.New64a()
	// hash.Hash.Write never returns an error.
	_, _ = h.Write([]byte("azuredoor founder " + address))
	return h.Sum64() | 1
}

// KeepJoined forms or joins the group and runs until the context is done. The error is ErrRemoved if the group has
// removed this member.
func (m *Member) KeepJoined(ctx context.Context, c JoinConfig) error {
	if slices.Contains(c.Founders, m.config.Self.Address) && m.config.ID == FounderID(m.config.Self.Address) {
		if err := m.formFounderGroup(ctx, c.Founders); err != nil && !errors.Is(err, ErrInGroup) {
			return err
		}
	}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	leaderSeenAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		current := m.Status()
		switch {
		case isRemoved(current.Membership, m.config.ID):
			return ErrRemoved
		case len(current.Membership.GetMembers()) == 0:
			m.tryJoin(ctx, c.Addresses())
		case current.Leader != 0:
			leaderSeenAt = time.Now()
		case time.Since(leaderSeenAt) > leaderlessTimeout:
			if m.removedAccordingToPeers(ctx, append(memberAddresses(current.Membership), c.Addresses()...)) {
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

// formFounderGroup starts the log with a membership of all founders. Each founder stores the same initial snapshot.
func (m *Member) formFounderGroup(ctx context.Context, founders []string) error {
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
		return m.startGroup(membership)
	})
}

// startGroup stores an initial snapshot with the membership and restarts the node from that snapshot. It must be called on
// the goroutine of loop.
func (m *Member) startGroup(membership *fleetpb.Membership) error {
	data, err := state.New().Capture().Encode()
	if err != nil {
		return err
	}
	// The group starts from a snapshot, so that every other member receives the membership with the snapshot.
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

// tryJoin finds the leader through the known processes and asks the leader to add this member as a learner.
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
		// The membership known to a process may contain members that are missing in the settings.
		addresses = append(addresses, memberAddresses(info.Membership)...)
		leader := findMember(info.Membership, info.Leader)
		if leader == nil {
			continue
		}
		err = m.transport.join(ctx, leader.Address, m.config.Self, m.config.ID)
		m.config.Events.Write(event.ControlJoining, func(e *log.Entry) {
			e.Str("address", leader.Address).Uint64("term", info.Term).Err(err)
		})
		if err == nil {
			return
		}
	}
}

// removedAccordingToPeers reports whether any process at the addresses knows that this member was removed.
func (m *Member) removedAccordingToPeers(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if address == m.config.Self.Address {
			continue
		}
		if info, err := m.transport.info(ctx, address); err == nil && isRemoved(info.Membership, m.config.ID) {
			return true
		}
	}
	return false
}

// Admit adds a process as a learner. A member with the same address and another ID has lost its disk. Such a member is
// removed first, since no process will ever use its ID again. Members other than the leader return a *NotLeaderError.
func (m *Member) Admit(ctx context.Context, next *fleetpb.Member) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current := m.Status()
	if !current.Leading {
		return &NotLeaderError{Leader: current.LeaderMember()}
	}
	if findMember(current.Membership, next.Id) != nil {
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
		if err := m.change(ctx, m.removalOf(member.Id)); err != nil && !errors.Is(err, ErrUnknownMember) {
			return err
		}
		m.config.Events.Write(event.ControlMemberRemoved, func(e *log.Entry) {
			e.Str("id", formatID(member.Id)).Str("address", member.Address).Str("reason", "its address has a new process")
		})
	}
	return m.change(ctx, func(members *fleetpb.Membership) error {
		if findMember(members, next.Id) != nil {
			return errUnchanged
		}
		learner := proto.CloneOf(next)
		learner.Learner = true
		members.Members = append(members.Members, learner)
		return nil
	})
}

// Join adds the requesting process to the group as a learner.
func (s *Server) Join(ctx context.Context, request *fleetpb.JoinRequest) (*fleetpb.JoinResponse, error) {
	if err := s.Member.Admit(ctx, request.GetMember()); err != nil {
		return nil, RPCError(err)
	}
	return &fleetpb.JoinResponse{}, nil
}
