package consensus

import (
	"fmt"
	"slices"

	"azuredoor.example/core/fleetpb"
)

// leadershipTransferHint is the Hint of a vote request that belongs to a leadership transfer. Voters answer such a
// request even while the leader is active.
const leadershipTransferHint = 1

// initialTimeoutDivisor shortens the election timeout until a member has known a leader since its start: the shortest
// timeout is then ElectionTicks/initialTimeoutDivisor. After a power loss of the whole group there is no leader to wait
// for. If a leader is active after all, the other members refuse the pre-vote.
const initialTimeoutDivisor = 3

func (n *Node) resetElection() {
	n.electionElapsed = 0
	if !n.leaderSeen {
		shortest := max(n.config.HeartbeatTicks+1, n.config.ElectionTicks/initialTimeoutDivisor)
		n.electionTimeout = shortest + n.random.IntN(n.config.ElectionTicks-shortest+1)
		return
	}
	n.electionTimeout = n.config.ElectionTicks + n.random.IntN(n.config.ElectionTicks+1)
}

// isRemoved reports whether the removal of a member is committed. Until then the member takes part in elections: if
// no other member has the log entry of the removal, the removed member must be able to win and commit the entry, or
// the group would have no leader (Ongaro 2014, section 4.2.2).
func (n *Node) isRemoved(id uint64) bool {
	return slices.Contains(n.memberships.at(n.commit).Removed, id)
}

// promotable reports whether this member may campaign: whether the membership in force or the committed membership lists
// the member as a voter. The member's own vote counts only if the membership in force does.
func (n *Node) promotable() bool {
	if n.memberships.isVoter(n.config.ID) {
		return true
	}
	return slices.ContainsFunc(n.memberships.at(n.commit).Members, func(m *fleetpb.Member) bool {
		return m.Id == n.config.ID && !m.Learner
	})
}

// hasActiveLeader reports whether the leader sent a message within the shortest election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.leader != 0 && n.electionElapsed < n.config.ElectionTicks
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.term {
		n.term, n.vote = term, 0
	}
	if n.role == Leader {
		n.refuseReads()
		n.transferee = 0
		n.progress = nil
	}
	n.role, n.leader = Follower, leader
	n.leaderSeen = n.leaderSeen || leader != 0
	n.votes = nil
	n.resetElection()
}

// campaign starts an election, or a pre-vote that checks whether an election could be won. A pre-vote does not
// change the term, so a previously isolated member does not disrupt the group when it reconnects
// (Ongaro 2014, section 9.6). With transfer set, voters accept the vote request although the leader is active.
func (n *Node) campaign(pre, transfer bool) {
	n.leader = 0
	n.votes = map[uint64]bool{}
	n.resetElection()
	request := &fleetpb.ConsensusMessage{Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if pre {
		n.role = PreCandidate
		request.Kind, request.Term = fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1
	} else {
		n.role = Candidate
		n.term++
		n.vote = n.config.ID
		request.Kind, request.Term = fleetpb.MessageKind_MESSAGE_KIND_VOTE, n.term
		if transfer {
			request.Hint = leadershipTransferHint
		}
	}
	for _, id := range n.memberships.voters {
		if id != n.config.ID {
			message := &fleetpb.ConsensusMessage{
				Kind: request.Kind, To: id, Term: request.Term, Index: request.Index, LogTerm: request.LogTerm, Hint: request.Hint,
			}
			n.send(message)
		}
	}
	// In an election the candidate's own vote counts only once persisted; see Advance.
	if pre {
		n.countVote(n.config.ID, true)
	}
}

func (n *Node) countVote(from uint64, granted bool) {
	if _, known := n.votes[from]; !known {
		n.votes[from] = granted
	}
	if n.memberships.quorum(func(id uint64) bool { return n.votes[id] }) {
		if n.role == PreCandidate {
			n.campaign(false, false)
		} else {
			n.becomeLeader()
		}
		return
	}
	if n.memberships.quorum(func(id uint64) bool { granted, known := n.votes[id]; return known && !granted }) {
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.leaderSeen = Leader, n.config.ID, true
	n.votes = nil
	n.heartbeatElapsed = 0
	n.reads = reads{}
	n.progress = map[uint64]*progress{}
	n.updateProgress()
	// Entries of earlier terms can be committed only with an entry of this term (Ongaro 2014, section 3.6.2).
	if _, err := n.propose(fleetpb.EntryKind_ENTRY_KIND_NORMAL, nil); err != nil {
		panic(fmt.Sprintf("append empty entry at start of term: %v", err))
	}
}

func (n *Node) handleVote(m *fleetpb.ConsensusMessage) {
	pre := m.Kind == fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE
	reply := &fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Term: n.term}
	if pre {
		reply.Kind = fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	canGrant := m.Term == n.term && (n.vote == m.From || n.vote == 0 && n.leader == 0)
	if pre && m.Term > n.term {
		canGrant = true
	}
	if !canGrant || !n.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		n.send(reply)
		return
	}
	if pre {
		reply.Term = m.Term
	} else {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(reply)
}

// handleTimeoutNow starts an election immediately, as requested by the leader in a leadership transfer.
func (n *Node) handleTimeoutNow() {
	if n.role == Follower && n.promotable() {
		n.campaign(false, true)
	}
}
