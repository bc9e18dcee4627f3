package consensus

import (
	"azuredoor.example/core/fleetpb"
)

// output accumulates the content of the next Ready.
type output struct {
	messages   []*fleetpb.ConsensusMessage
	readStates []ReadState
	// snapshot is a received snapshot that no Ready has contained yet.
	snapshot *fleetpb.Snapshot
	// appendPending is set if the next Ready has to send entries or the commit index.
	appendPending bool
	// term, vote and commit are the values in the last Ready; storage holds them once that Ready is processed.
	term, vote, commit uint64
	// applying is the last index returned for applying; applied is the last index that the driver has applied.
	applying, applied uint64
	// awaitingAdvance is set between Ready and Advance.
	awaitingAdvance bool
	// lastIndex and lastTerm identify the last log entry at the time of the last Ready.
	lastIndex, lastTerm uint64
}

func (o *output) reset(n *Node) {
	o.term, o.vote, o.commit = n.term, n.vote, n.commit
	o.applying, o.applied = n.log.base, n.log.base
}

// HasReady reports whether Ready would return any work. The result is false between Ready and Advance.
func (n *Node) HasReady() bool {
	o := &n.output
	return !o.awaitingAdvance && (len(o.messages) > 0 || len(o.readStates) > 0 || o.snapshot != nil || o.appendPending ||
		o.term != n.term || o.vote != n.vote || o.commit != n.commit ||
		n.log.stable < n.log.last() || o.applying < n.commit)
}

// Ready returns the pending work for the driver. Each call must be followed by Advance before the next call.
func (n *Node) Ready() Ready {
	o := &n.output
	if o.awaitingAdvance {
		panic("Ready called again before Advance")
	}
	if o.appendPending && n.role == Leader {
		n.sendAppends()
	}
	r := Ready{
		Entries: n.log.slice(n.log.stable+1, n.log.last()), Snapshot: o.snapshot,
		Messages: o.messages, ReadStates: o.readStates,
	}
	if o.snapshot != nil {
		o.applying = o.snapshot.Index
	}
	r.MustSync = len(r.Entries) > 0 || r.Snapshot != nil || o.term != n.term || o.vote != n.vote
	if r.MustSync || o.commit != n.commit {
		r.HardState = &fleetpb.HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	}
	r.Committed = n.log.slice(o.applying+1, n.commit)
	o.term, o.vote, o.commit, o.applying = n.term, n.vote, n.commit, n.commit
	o.messages, o.readStates, o.snapshot, o.appendPending = nil, nil, nil, false
	o.awaitingAdvance = true
	o.lastIndex, o.lastTerm = n.log.last(), n.log.lastTerm()
	return r
}

// Advance confirms that the driver has processed the last Ready.
func (n *Node) Advance() {
	o := &n.output
	if !o.awaitingAdvance {
		panic("Advance called without Ready")
	}
	o.awaitingAdvance = false
	o.applied = o.applying
	// Entries that were replaced after the last Ready are not stable.
	if term, ok := n.log.term(o.lastIndex); ok && term == o.lastTerm && o.lastIndex > n.log.stable {
		n.log.stable = o.lastIndex
		if n.role == Leader {
			n.advanceCommit()
		}
	}
	if n.role == Candidate && o.term == n.term && o.vote == n.config.ID {
		n.countVote(n.config.ID, true)
	}
}
