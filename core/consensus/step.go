package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

func (n *Node) send(m *fleetpb.ConsensusMessage) {
	m.Group, m.From = n.config.Group, n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.output.messages = append(n.output.messages, m)
}

func isLeaderMessage(kind fleetpb.MessageKind) bool {
	switch kind {
	case fleetpb.MessageKind_MESSAGE_KIND_APPEND, fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		fleetpb.MessageKind_MESSAGE_KIND_SNAPSHOT, fleetpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		return true
	}
	return false
}

// Step handles a message from another member. Messages for other members or groups are ignored. The node
// retains the message's entries and snapshot, which the caller must not modify afterwards.
func (n *Node) Step(m *fleetpb.ConsensusMessage) {
	if m.To != n.config.ID || m.From == n.config.ID || m.From == 0 || m.Group != n.config.Group {
		return
	}
	// A removed member takes no part in elections or quorums. A leader that removed itself leads until the
	// removal is committed, so messages from a leader are still handled.
	if n.isRemoved(m.From) && !isLeaderMessage(m.Kind) {
		return
	}
	switch {
	case m.Term > n.term:
		if !n.handleHigherTerm(m) {
			return
		}
	case m.Term < n.term:
		n.rejectStaleTerm(m)
		return
	}
	if p := n.progress[m.From]; p != nil {
		p.lastContact = n.now
	}
	switch m.Kind {
	case fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE, fleetpb.MessageKind_MESSAGE_KIND_VOTE:
		if !n.isRemoved(n.config.ID) {
			n.handleVote(m)
		}
	case fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		// A granted reply with the current term belongs to an earlier pre-vote.
		if n.role == PreCandidate && (m.Reject || m.Term > n.term) {
			n.countVote(m.From, !m.Reject)
		}
	case fleetpb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		if n.role == Candidate {
			n.countVote(m.From, !m.Reject)
		}
	case fleetpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(m)
	case fleetpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		n.handleTimeoutNow()
	case fleetpb.MessageKind_MESSAGE_KIND_APPEND, fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		fleetpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleLeaderMessage(m)
	}
}

// handleHigherTerm adopts the higher term of a message where the protocol requires it. The result is false if the
// message must be ignored.
func (n *Node) handleHigherTerm(m *fleetpb.ConsensusMessage) bool {
	switch m.Kind {
	case fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return !n.hasActiveLeader()
	case fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			// A granted pre-vote carries the term of the election that would follow.
			return n.role == PreCandidate && m.Term == n.term+1
		}
	case fleetpb.MessageKind_MESSAGE_KIND_VOTE:
		if n.hasActiveLeader() && m.Hint != leadershipTransferHint {
			return false
		}
	}
	leader := uint64(0)
	if isLeaderMessage(m.Kind) {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm informs a leader or pre-candidate with a lower term of the current term. Without this reply, a
// member that reached a higher term could neither follow the leader nor be elected.
func (n *Node) rejectStaleTerm(m *fleetpb.ConsensusMessage) {
	reply := &fleetpb.ConsensusMessage{To: m.From, Reject: true, Index: m.Index}
	switch m.Kind {
	case fleetpb.MessageKind_MESSAGE_KIND_APPEND, fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		fleetpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		reply.Kind = fleetpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	case fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		reply.Kind = fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	default:
		return
	}
	n.send(reply)
}

// handleLeaderMessage handles a message from the leader of the current term.
func (n *Node) handleLeaderMessage(m *fleetpb.ConsensusMessage) {
	if n.role == Leader || n.leader != 0 && n.leader != m.From {
		// Two leaders in one term mean that a member lost a persisted vote; neither log may be overwritten.
		return
	}
	if n.role != Follower || n.leader == 0 {
		n.becomeFollower(n.term, m.From)
	}
	n.electionElapsed = 0
	switch m.Kind {
	case fleetpb.MessageKind_MESSAGE_KIND_APPEND:
		n.handleAppend(m)
	case fleetpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.commitTo(min(m.Commit, n.log.last()))
		n.send(&fleetpb.ConsensusMessage{
			Kind: fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadRound: m.ReadRound,
		})
	}
}

func (n *Node) handleAppend(m *fleetpb.ConsensusMessage) {
	reply := &fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From}
	if m.Index < n.commit {
		reply.Index = n.commit
		n.send(reply)
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index = true, m.Index
		reply.Hint, reply.LogTerm = n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.send(reply)
		return
	}
	for i, entry := range m.Entries {
		if entry.Index != m.Index+1+uint64(i) {
			return // malformed message: entries are not contiguous
		}
	}
	for i, entry := range m.Entries {
		term, ok := n.log.term(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			if entry.Index <= n.commit {
				panic(fmt.Sprintf("entry %d of term %d conflicts with a committed entry of term %d", entry.Index, entry.Term, term))
			}
			n.log.truncate(entry.Index)
			n.memberships.truncate(entry.Index)
		}
		if err := n.appendEntries(m.Entries[i:]); err != nil {
			panic(err)
		}
		break
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	n.send(reply)
}

func (n *Node) handleSnapshot(m *fleetpb.ConsensusMessage) {
	s := m.Snapshot
	if s == nil {
		return
	}
	reply := &fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From}
	if term, ok := n.log.term(s.Index); s.Index <= n.commit || ok && term == s.Term {
		// The log already contains the entries covered by the snapshot.
		n.commitTo(s.Index)
		reply.Index = n.commit
		n.send(reply)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.memberships.reset(s.Index, proto.CloneOf(s.Membership))
	n.commit = s.Index
	n.snapshot = s
	n.output.snapshot = s
	reply.Index = s.Index
	n.send(reply)
}

func (n *Node) commitTo(index uint64) { n.commit = max(n.commit, index) }
