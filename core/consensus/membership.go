package consensus

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

// indexedMembership is a membership with the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership *fleetpb.Membership
}

// memberships holds the memberships of the log in order. The last membership is in force, committed or not.
type memberships struct {
	list []indexedMembership
	// ids and voters are sorted to make iteration deterministic.
	ids, voters []uint64
}

func (m *memberships) reset(index uint64, membership *fleetpb.Membership) {
	m.list = nil
	m.push(index, membership)
}

func (m *memberships) push(index uint64, membership *fleetpb.Membership) {
	if membership == nil {
		membership = &fleetpb.Membership{}
	}
	m.list = append(m.list, indexedMembership{index, membership})
	m.update()
}

// truncate rolls back the memberships of the entries from index on.
func (m *memberships) truncate(index uint64) {
	for len(m.list) > 1 && m.list[len(m.list)-1].index >= index {
		m.list = m.list[:len(m.list)-1]
	}
	m.update()
}

// compact drops the memberships that were superseded at or before index.
func (m *memberships) compact(index uint64) {
	for len(m.list) > 1 && m.list[1].index <= index {
		m.list = m.list[1:]
	}
}

func (m *memberships) update() {
	m.ids, m.voters = nil, nil
	for _, member := range m.current().Members {
		m.ids = append(m.ids, member.Id)
		if !member.Learner {
			m.voters = append(m.voters, member.Id)
		}
	}
	slices.Sort(m.ids)
	slices.Sort(m.voters)
}

func (m *memberships) last() indexedMembership { return m.list[len(m.list)-1] }

func (m *memberships) current() *fleetpb.Membership { return m.last().membership }

// at returns the membership in force at index, or nil if that membership has been compacted.
func (m *memberships) at(index uint64) *fleetpb.Membership {
	for _, entry := range slices.Backward(m.list) {
		if entry.index <= index {
			return entry.membership
		}
	}
	return nil
}

func (m *memberships) isVoter(id uint64) bool { return slices.Contains(m.voters, id) }

// quorum reports whether accept returns true for a majority of the voters.
func (m *memberships) quorum(accept func(id uint64) bool) bool {
	count := 0
	for _, id := range m.voters {
		if accept(id) {
			count++
		}
	}
	return count > len(m.voters)/2
}

// membershipChange is a validated change of one member.
type membershipChange struct {
	next *fleetpb.Membership
	// promoted is the ID of the learner that becomes a voter, or 0 if none does.
	promoted uint64
}

// diff checks that next differs from the membership in force in exactly one member. The returned
// membership is sorted by ID and lists all removed IDs, regardless of next.Removed.
func (m *memberships) diff(next *fleetpb.Membership) (membershipChange, error) {
	result := membershipChange{next: proto.CloneOf(next)}
	slices.SortFunc(result.next.Members, func(a, b *fleetpb.Member) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	result.next.Removed = slices.Clone(m.current().Removed)
	old := map[uint64]*fleetpb.Member{}
	for _, member := range m.current().Members {
		old[member.Id] = member
	}
	changes, voters := 0, 0
	var last uint64
	for _, member := range result.next.Members {
		if member.Id == 0 || member.Id == last {
			return membershipChange{}, fmt.Errorf("%w: member ID %d is 0 or listed twice", ErrMembershipInvalid, member.Id)
		}
		last = member.Id
		if !member.Learner {
			voters++
		}
		before, known := old[member.Id]
		delete(old, member.Id)
		switch {
		case !known && slices.Contains(result.next.Removed, member.Id):
			return membershipChange{}, fmt.Errorf("%w: member ID %d was removed", ErrMembershipInvalid, member.Id)
		case !known && !member.Learner:
			return membershipChange{}, fmt.Errorf("%w: member %d must be added as a learner", ErrMembershipInvalid, member.Id)
		case known && !before.Learner && member.Learner:
			return membershipChange{}, fmt.Errorf("%w: voter %d cannot become a learner", ErrMembershipInvalid, member.Id)
		case known && proto.Equal(before, member):
			continue
		case known && before.Learner && !member.Learner:
			result.promoted = member.Id
		}
		changes++
	}
	for _, member := range m.current().Members {
		if _, gone := old[member.Id]; gone {
			result.next.Removed = append(result.next.Removed, member.Id)
			changes++
		}
	}
	if changes != 1 {
		return membershipChange{}, fmt.Errorf("%w: %d members differ", ErrMembershipInvalid, changes)
	}
	if voters == 0 {
		return membershipChange{}, fmt.Errorf("%w: no voter would remain", ErrMembershipInvalid)
	}
	return result, nil
}
