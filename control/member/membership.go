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
	// ErrInGroup says that a member already belongs to a group.
	ErrInGroup = errors.New("the member already belongs to a group")
	// ErrMajority says that a change would leave less than a majority of reachable voters.
	ErrMajority = errors.New("the change would leave the group without a majority of reachable voters")
	// ErrUnknownMember says that no member has the ID.
	ErrUnknownMember = errors.New("the group has no member with this ID")
	// ErrCatchingUp says that a new member has no vote yet; the request may be repeated.
	ErrCatchingUp = errors.New("the new member has not caught up yet")
	// ErrMemberInvalid says that the description of a new member is wrong.
	ErrMemberInvalid = errors.New("the new member is not acceptable")
)

const (
	promoteEvery  = 200 * time.Millisecond
	changeTimeout = 20 * time.Second
	changeRetry   = 50 * time.Millisecond
)

func decodeMembership(data []byte) (*fleetpb.Membership, error) {
	membership := &fleetpb.Membership{}
	if err := proto.Unmarshal(data, membership); err != nil {
		return nil, eris.Wrap(err, "decode a membership")
	}
	return membership, nil
}

// Bootstrap forms a group of this member alone. It returns ErrInGroup when the member belongs to one.
func (m *Member) Bootstrap(ctx context.Context) error {
	return m.call(ctx, func() error {
		if s := m.node.Status(); len(s.Membership.GetMembers()) > 0 || s.LastIndex > 0 {
			return ErrInGroup
		}
		self := proto.CloneOf(m.config.Self)
		self.Id, self.Learner = m.config.ID, false
		return m.begin(&fleetpb.Membership{Members: []*fleetpb.Member{self}})
	})
}

// Add adds the member that listens at next.Address and waits until it has a vote. Adding a member again
// changes nothing. Only the leader adds members; others return a *NotLeaderError.
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
	if known := find(m.Status().Membership, info.Id); known == nil && len(info.Membership.GetMembers()) > 0 {
		return nil, fmt.Errorf("%s: %w", next.Address, ErrInGroup)
	}
	if err := m.change(ctx, func(members *fleetpb.Membership) error {
		if find(members, info.Id) != nil {
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
		member := find(current.Membership, id)
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

// Remove removes a member. A leader that is to remove itself hands over first and returns a
// *NotLeaderError, so that the caller turns to the next leader.
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
		if err := m.HandOver(ctx); err != nil {
			return err
		}
		return &NotLeaderError{Leader: m.Status().LeaderMember()}
	}
	return m.change(ctx, m.without(id))
}

// Replace adds the new member and then removes the old one. It may be repeated after a failure.
func (m *Member) Replace(ctx context.Context, old uint64, next *fleetpb.Member) (*fleetpb.Member, error) {
	current := m.Status()
	if !current.Leading {
		return nil, &NotLeaderError{Leader: current.LeaderMember()}
	}
	known := find(current.Membership, old) != nil
	if !known && !removed(current.Membership, old) {
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

func removed(membership *fleetpb.Membership, id uint64) bool {
	for _, other := range membership.GetRemoved() {
		if other == id {
			return true
		}
	}
	return false
}

// checkMajority refuses a membership whose voters that can be reached are no majority.
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

// errUnchanged ends a change that is already in force.
var errUnchanged = errors.New("the membership stays as it is")

// change edits the membership and waits until the new one is committed.
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
	p := &proposal{reply: make(chan proposed, 1)}
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

// maintain gives a vote to a learner that has caught up, and removes a voter that is gone where a learner can take
// its place. The leader tries again and again, so a change of leader in between does no harm.
func (m *Member) maintain() {
	now := time.Now()
	if now.Sub(m.lastPromotion) < promoteEvery {
		return
	}
	m.lastPromotion = now
	s := m.node.Status()
	if s.Role != consensus.Leader {
		m.silence = nil
		return
	}
	plan := m.repairs(s, now)
	if plan.remove != 0 {
		m.removeGone(plan.remove)
		return
	}
	for _, member := range s.Membership.GetMembers() {
		if !slices.Contains(plan.promote, member.Id) {
			continue
		}
		p := &proposal{reply: make(chan proposed, 1)}
		err := m.proposeMembership(p, func(members *fleetpb.Membership) error {
			find(members, member.Id).Learner = false
			return m.checkMajority(members)
		})
		if err == nil {
			m.config.Events.Write(event.ControlLearnerPromoted, func(e *log.Entry) { e.Str("id", formatID(member.Id)) })
			return
		}
	}
}

// repairs decides which members to promote or remove.
func (m *Member) repairs(s consensus.Status, now time.Time) repair {
	if m.silence == nil {
		m.silence = map[uint64]time.Time{}
	}
	var states []memberState
	for _, member := range s.Membership.GetMembers() {
		state := memberState{id: member.Id, learner: member.Learner}
		if member.Id == m.config.ID || m.transport.reachable(member.Id) {
			delete(m.silence, member.Id)
		} else if since, ok := m.silence[member.Id]; ok {
			state.silent = now.Sub(since)
		} else {
			m.silence[member.Id] = now
		}
		_, unreached := m.silence[member.Id]
		state.reachable = !unreached
		states = append(states, state)
	}
	return planRepair(states, m.config.Voters)
}

// removeGone proposes to remove a member that does not answer.
func (m *Member) removeGone(id uint64) {
	p := &proposal{reply: make(chan proposed, 1)}
	if err := m.proposeMembership(p, m.without(id)); err != nil {
		// The next round tries again.
		return
	}
	m.config.Events.Write(event.ControlMemberRemoved, func(e *log.Entry) {
		e.Str("id", formatID(id)).Str("reason", "silent").Dur("silent", time.Since(m.silence[id]))
	})
}

// without returns an edit that removes a member.
func (m *Member) without(id uint64) func(members *fleetpb.Membership) error {
	return func(members *fleetpb.Membership) error {
		if find(members, id) == nil {
			return ErrUnknownMember
		}
		members.Members = slices.DeleteFunc(members.Members, func(member *fleetpb.Member) bool { return member.Id == id })
		return m.checkMajority(members)
	}
}

// HandOver gives leadership to the reachable voter that holds most of the log, and waits until this
// member no longer leads.
func (m *Member) HandOver(ctx context.Context) error {
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
		case <-time.After(tick):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for another leader")
		}
	}
	return nil
}
