package consensus

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

type entryID struct{ index, term uint64 }

// checker records observed facts that must not change during a schedule.
type checker struct {
	leaders       map[uint64]uint64 // leader ID by term
	entries       map[entryID]*fleetpb.LogEntry
	previousTerms map[entryID]uint64           // term of the preceding entry
	committed     map[uint64]*fleetpb.LogEntry // by index
	commitTerms   map[uint64]uint64            // the leader's term in which an index was committed
	last          uint64                       // last committed index
	states        map[uint64]simState          // by applied index
}

func newChecker() checker {
	return checker{
		leaders: map[uint64]uint64{}, entries: map[entryID]*fleetpb.LogEntry{}, previousTerms: map[entryID]uint64{},
		committed: map[uint64]*fleetpb.LogEntry{}, commitTerms: map[uint64]uint64{}, states: map[uint64]simState{},
	}
}

func sameEntry(a, b *fleetpb.LogEntry) bool {
	return a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// checkState verifies that all members have the same state at an applied index.
func (c *checker) checkState(s *sim, m *member) {
	if want, seen := c.states[m.applied]; seen && want != m.state {
		s.fail("member %d has state %v at index %d, another had %v", m.id, m.state, m.applied, want)
	}
	c.states[m.applied] = m.state
}

// check verifies the Raft invariants for a member after it took a step.
func (s *sim) check(m *member) {
	if m.node == nil {
		return
	}
	c, n := &s.checks, m.node
	if n.commit < m.checkedCommit || n.output.applied > n.commit {
		s.fail("member %d: commit index %d after %d, applied %d", m.id, n.commit, m.checkedCommit, n.output.applied)
		return
	}
	for index := max(n.log.stable, n.log.base) + 1; index <= n.log.last(); index++ {
		c.checkLogMatching(s, m, index)
	}
	for index := max(m.checkedCommit, n.log.base) + 1; index <= n.commit; index++ {
		entry := n.log.entries[index-n.log.base-1]
		if other := c.committed[index]; other != nil && !sameEntry(other, entry) {
			s.fail("member %d committed %v, another had committed %v", m.id, entry, other)
			return
		}
		if index > c.last {
			// The leader commits first, so n.term is the leader's term.
			c.committed[index], c.commitTerms[index], c.last = entry, n.term, index
		}
	}
	m.checkedCommit = n.commit
	if n.role != Leader || m.lastLeaderTerm == n.term {
		return
	}
	m.lastLeaderTerm = n.term
	if other, seen := c.leaders[n.term]; seen {
		s.fail("members %d and %d lead in term %d", other, m.id, n.term)
	}
	c.leaders[n.term] = m.id
	for index := n.log.base + 1; index <= c.last; index++ {
		// A candidate may win its election after a leader of a later term has committed the entry. Only leaders of terms
		// after the commit term must have the entry.
		if term, ok := n.log.term(index); c.commitTerms[index] < n.term && (!ok || term != c.committed[index].Term) {
			s.fail("leader %d of term %d lacks the committed entry %v", m.id, n.term, c.committed[index])
			return
		}
	}
}

// checkLogMatching verifies that entries with the same index and term are equal and follow entries of the same term.
func (c *checker) checkLogMatching(s *sim, m *member, index uint64) {
	entry := m.node.log.entries[index-m.node.log.base-1]
	at := entryID{index, entry.Term}
	before, _ := m.node.log.term(index - 1)
	if seen := c.entries[at]; seen != nil && (!sameEntry(seen, entry) || c.previousTerms[at] != before) {
		s.fail("log matching: member %d holds %v after term %d, another %v after term %d",
			m.id, entry, before, seen, c.previousTerms[at])
	}
	c.entries[at], c.previousTerms[at] = entry, before
}

// adminAction performs a membership change or a leadership transfer, and sometimes destroys the disk of a member first.
func (s *sim) adminAction() {
	if s.random.IntN(4) == 0 {
		s.loseDisk()
	}
	leaders := s.leaders()
	if len(leaders) == 0 {
		return
	}
	leader := leaders[s.random.IntN(len(leaders))]
	next := proto.CloneOf(leader.node.Status().Membership)
	if len(next.Members) == 0 {
		return
	}
	chosen := s.random.IntN(len(next.Members))
	lost := slices.IndexFunc(next.Members, func(m *fleetpb.Member) bool { return s.isLost(m.Id) })
	switch s.random.IntN(4) {
	case 0:
		next.Members = append(next.Members, &fleetpb.Member{Id: uint64(len(s.members) + 1), Learner: true})
		if len(s.members) < 9 {
			if _, _, err := leader.node.ProposeMembership(next); err == nil {
				s.addMember(uint64(len(s.members)+1), nil)
			}
		}
	case 1:
		next.Members[chosen].Learner = false
		if !s.isLost(next.Members[chosen].Id) {
			leader.node.ProposeMembership(next)
		}
	case 2:
		// A lost voter is removed first: removing another voter could leave the group without a majority.
		if lost >= 0 {
			chosen = lost
		}
		next.Members = slices.Delete(next.Members, chosen, chosen+1)
		leader.node.ProposeMembership(next)
	case 3:
		leader.node.TransferLeadership(next.Members[chosen].Id)
	}
	s.check(leader)
}

func (s *sim) isLost(id uint64) bool {
	return slices.ContainsFunc(s.members, func(m *member) bool { return m.id == id && m.lost })
}

// loseDisk destroys the disk of a member if the other members form a majority of the membership in force on every node.
func (s *sim) loseDisk() {
	victim := s.members[s.random.IntN(len(s.members))]
	for _, m := range s.members {
		if m.lost || m.node == nil {
			if m.lost {
				continue
			}
			return
		}
		voters := m.node.memberships.voters
		if len(voters) == 0 {
			continue
		}
		if len(voters) < 3 || slices.ContainsFunc(voters, s.isLost) {
			return
		}
	}
	if victim.node != nil {
		s.stop(victim)
	}
	victim.lost = true
}
