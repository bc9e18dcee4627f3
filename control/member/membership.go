package member

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/consensus"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// Errors of membership changes.
var (
	// ErrInGroup is returned if a member already belongs to a group.
	ErrInGroup = errors.New("the member already belongs to a group")
	// ErrMajority is returned if a change would leave the group without a majority of reachable voters.
	ErrMajority = errors.New("the change would leave the group without a majority of reachable voters")
	// ErrUnknownMember is returned if no member has the given ID.
	ErrUnknownMember = errors.New("the group has no member with this ID")
	// ErrCatchingUp is returned if a new member is not a voter yet; the request may be repeated.
	ErrCatchingUp = errors.New("the new member has not caught up yet")
	// ErrMemberInvalid is returned if the description of a new member is invalid.
	ErrMemberInvalid = errors.New("the new member is not acceptable")
)

const (
	maintenanceInterval = 200 * time.Millisecond
	changeTimeout       = 20 * time.Second
	changeRetry         = 50 * time.Millisecond
)

func decodeMembership(data []byte) (*fleetpb.Membership, error) {
	membership := &fleetpb.Membership{}
	if err := proto.Unmarshal(data, membership); err != nil {
		return nil, eris.Wrap(err, "decode membership")
	}
	return membership, nil
}

// Bootstrap forms a group that consists of this member. The error is ErrInGroup if the member already belongs to a
// group.
func (m *Member) Bootstrap(ctx context.Context) error {
	return m.call(ctx, func() error {
		if s := m.node.Status(); len(s.Membership.GetMembers()) > 0 || s.LastIndex > 0 {
			return ErrInGroup
		}
		self := proto.CloneOf(m.config.Self)
		self.Id, self.Learner = m.config.ID, false
		return m.startGroup(&fleetpb.Membership{Members: []*fleetpb.Member{self}})
	})
}

// Add adds the member that listens at next.Address and waits until the new member is a voter. Adding an existing
// member has no effect. Members other than the leader return a *NotLeaderError.
func (m *Member) Add(ctx context.Context, next *fleetpb.Member) (*fleetpb.Member, error) {
	return m.add(ctx, next, 0)
}

func (m *Member) add(ctx context.Context, next *fleetpb.Member, replaced uint64) (*fleetpb.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if current := m.Status(); !current.Leading {
		return nil, &NotLeaderError{Leader: current.LeaderMember()}
	}
	info, err := m.transport.info(ctx, next.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: no answer from %s", ErrMemberInvalid, next.Address)
	}
	if known := findMember(m.Status().Membership, info.Id); known == nil && len(info.Membership.GetMembers()) > 0 {
		return nil, fmt.Errorf("%s: %w", next.Address, ErrInGroup)
	}
	if err := m.change(ctx, func(members *fleetpb.Membership) error {
		if findMember(members, info.Id) != nil {
			return errUnchanged
		}
		for _, member := range members.Members {
			if member.Id != replaced && (member.Address == next.Address || member.Name == next.Name) {
				return fmt.Errorf("%w: member %s has this name or address; replace it instead", ErrMemberInvalid, formatID(member.Id))
			}
		}
		learner := proto.CloneOf(next)
		learner.Id, learner.Learner = info.Id, true
		members.Members = append(members.Members, learner)
		return nil
	}); err != nil {
		return nil, err
	}
	return m.awaitVote(ctx, info.Id)
}

func (m *Member) awaitVote(ctx context.Context, id uint64) (*fleetpb.Member, error) {
	for {
		current := m.Status()
		if !current.Leading {
			return nil, &NotLeaderError{Leader: current.LeaderMember()}
		}
		member := findMember(current.Membership, id)
		if member != nil && !member.Learner {
			return member, nil
		}
		select {
		case <-time.After(changeRetry):
		case <-ctx.Done():
			return member, nil
		}
	}
}

// Remove removes a member. A leader that is asked to remove itself first transfers leadership and then returns a
// *NotLeaderError, so that the caller repeats the request at the new leader.
func (m *Member) Remove(ctx context.Context, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current := m.Status()
	if !current.Leading {
		return &NotLeaderError{Leader: current.LeaderMember()}
	}
	if id == m.config.ID {
		if len(current.Membership.GetMembers()) == 1 {
			return ErrMajority
		}
		if err := m.TransferLeadership(ctx); err != nil {
			return err
		}
		return &NotLeaderError{Leader: m.Status().LeaderMember()}
	}
	return m.change(ctx, m.removalOf(id))
}

// Replace adds the new member and then removes the old member. The call may be repeated after a failure.
func (m *Member) Replace(ctx context.Context, old uint64, next *fleetpb.Member) (*fleetpb.Member, error) {
	current := m.Status()
	if !current.Leading {
		return nil, &NotLeaderError{Leader: current.LeaderMember()}
	}
	known := findMember(current.Membership, old) != nil
	if !known && !isRemoved(current.Membership, old) {
		return nil, ErrUnknownMember
	}
	added, err := m.add(ctx, next, old)
	if err != nil {
		return nil, err
	}
	if added == nil || added.Learner {
		return nil, ErrCatchingUp
	}
	if known {
		if err := m.Remove(ctx, old); err != nil {
			return nil, err
		}
	}
	return added, nil
}

func isRemoved(membership *fleetpb.Membership, id uint64) bool {
	for _, other := range membership.GetRemoved() {
		if other == id {
			return true
		}
	}
	return false
}

// checkMajority returns ErrMajority if the reachable voters of the membership are not a majority.
func (m *Member) checkMajority(next *fleetpb.Membership) error {
	voters, reachable := 0, 0
	for _, member := range next.Members {
		if member.Learner {
			continue
		}
		voters++
		if member.Id == m.config.ID || m.transport.reachable(member.Id) {
			reachable++
		}
	}
	if reachable < voters/2+1 {
		return ErrMajority
	}
	return nil
}

// errUnchanged is returned by an edit function if the change is already in force.
var errUnchanged = errors.New("the membership change is already in force")

// change edits the membership and waits until the new membership is committed.
func (m *Member) change(ctx context.Context, edit func(members *fleetpb.Membership) error) error {
	for {
		err := m.changeOnce(ctx, edit)
		if errors.Is(err, errUnchanged) {
			return nil
		}
		if !errors.Is(err, consensus.ErrMembershipPending) && !errors.Is(err, ErrNotApplied) {
			return err
		}
		select {
		case <-time.After(changeRetry):
		case <-ctx.Done():
			return err
		}
	}
}

func (m *Member) changeOnce(ctx context.Context, edit func(members *fleetpb.Membership) error) error {
	p := &proposal{reply: make(chan proposalResult, 1)}
	if err := m.call(ctx, func() error { return m.proposeMembership(p, edit) }); err != nil {
		return err
	}
	select {
	case reply := <-p.reply:
		return reply.err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	case <-m.done:
		return ErrOutcomeUnknown
	}
}

func (m *Member) proposeMembership(p *proposal, edit func(members *fleetpb.Membership) error) error {
	next := proto.CloneOf(m.node.Status().Membership)
	if err := edit(next); err != nil {
		return err
	}
	index, term, err := m.node.ProposeMembership(next)
	if errors.Is(err, consensus.ErrNotLeader) {
		return m.notLeader()
	}
	if err != nil {
		return err
	}
	p.term = term
	m.track(index, p)
	return nil
}

// maintainMembership promotes a learner that has caught up, and removes an unreachable voter that a learner can replace.
// The leader runs maintainMembership periodically, so a new leader proposes what its predecessor left undone.
func (m *Member) maintainMembership() {
	now := time.Now()
	if now.Sub(m.lastMaintenance) < maintenanceInterval {
		return
	}
	m.lastMaintenance = now
	s := m.node.Status()
	if s.Role != consensus.Leader {
		m.unreachableSince = nil
		return
	}
	plan := m.planMembershipRepair(s, now)
	if plan.remove != 0 {
		m.removeUnreachable(plan.remove)
		return
	}
	for _, member := range s.Membership.GetMembers() {
		if !slices.Contains(plan.promote, member.Id) {
			continue
		}
		p := &proposal{reply: make(chan proposalResult, 1)}
		err := m.proposeMembership(p, func(members *fleetpb.Membership) error {
			findMember(members, member.Id).Learner = false
			return m.checkMajority(members)
		})
		if err == nil {
			m.config.Events.Write(event.ControlLearnerPromoted, func(e *log.Entry) { e.Str("id", formatID(member.Id)) })
			return
		}
	}
}

// planMembershipRepair selects the members to promote or remove.
func (m *Member) planMembershipRepair(s consensus.Status, now time.Time) repair {
	if m.unreachableSince == nil {
		m.unreachableSince = map[uint64]time.Time{}
	}
	var states []memberState
	for _, member := range s.Membership.GetMembers() {
		state := memberState{id: member.Id, learner: member.Learner}
		if member.Id == m.config.ID || m.transport.reachable(member.Id) {
			delete(m.unreachableSince, member.Id)
		} else if since, ok := m.unreachableSince[member.Id]; ok {
			state.unreachableFor = now.Sub(since)
		} else {
			m.unreachableSince[member.Id] = now
		}
		_, unreachable := m.unreachableSince[member.Id]
		state.reachable = !unreachable
		states = append(states, state)
	}
	return planRepair(states, m.config.Voters)
}

// removeUnreachable proposes to remove a member that does not answer probes.
func (m *Member) removeUnreachable(id uint64) {
	p := &proposal{reply: make(chan proposalResult, 1)}
	if err := m.proposeMembership(p, m.removalOf(id)); err != nil {
		// The next run of maintainMembership retries.
		return
	}
	m.config.Events.Write(event.ControlMemberRemoved, func(e *log.Entry) {
		e.Str("id", formatID(id)).Str("reason", "silent").Dur("silent", time.Since(m.unreachableSince[id]))
	})
}

// removalOf returns an edit function that removes a member.
func (m *Member) removalOf(id uint64) func(members *fleetpb.Membership) error {
	return func(members *fleetpb.Membership) error {
		if findMember(members, id) == nil {
			return ErrUnknownMember
		}
		members.Members = slices.DeleteFunc(members.Members, func(member *fleetpb.Member) bool { return member.Id == id })
		return m.checkMajority(members)
	}
}

// TransferLeadership transfers leadership to the reachable voter with the most complete log and waits until another member is
// the leader.
func (m *Member) TransferLeadership(ctx context.Context) error {
	err := m.call(ctx, func() error {
		s := m.node.Status()
		if s.Role != consensus.Leader {
			return nil
		}
		var best uint64
		for _, member := range s.Membership.GetMembers() {
			if member.Learner || member.Id == m.config.ID || !m.transport.reachable(member.Id) {
				continue
			}
			if best == 0 || s.Match[member.Id] > s.Match[best] {
				best = member.Id
			}
		}
		if best == 0 {
			return eris.New("no other voter can be reached to take over leadership")
		}
		return m.node.TransferLeadership(best)
	})
	if err != nil {
		return err
	}
	for m.Status().Leading || m.Status().Leader == 0 {
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for another leader")
		}
	}
	return nil
}
