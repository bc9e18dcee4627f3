package consensus

import (
	"slices"

	"azuredoor.example/core/fleetpb"
)

const (
	// maxInflight bounds the unacknowledged append messages with entries to one member.
	maxInflight = 16
	// maxSnapshotDoublings bounds how often the delay before resending a snapshot is doubled.
	maxSnapshotDoublings = 4
	// retainedBatches bounds the log entries retained by a compaction, in multiples of MaxAppendBytes.
	retainedBatches = 4
)

// sendState is the mode in which entries are sent to a member.
type sendState int

const (
	// probing sends one message, then waits for the reply or for the next heartbeat reply.
	probing sendState = iota
	// replicating pipelines up to maxInflight messages.
	replicating
	// sendingSnapshot sends no entries until the member has stored the snapshot.
	sendingSnapshot
)

// progress is the replication progress of another member as known to the leader.
type progress struct {
	// match is the last index known to be stored by the member; next is the first index to send.
	match, next uint64
	state       sendState
	// paused is set while a probing member has not replied to the last append message.
	paused bool
	// inflight holds the last index of each unacknowledged append message.
	inflight []uint64
	// sentCommit is the last commit index sent to the member.
	sentCommit uint64
	// lastContact is the tick of the last message from the member.
	lastContact uint64
	// readRound is the latest heartbeat round that the member acknowledged.
	readRound uint64
	// snapshotTick is the tick of the last snapshot transmission.
	snapshotTick uint64
	// snapshotTries counts the failed snapshot transmissions.
	snapshotTries int
}

func (p *progress) becomeProbing() {
	p.state, p.paused, p.inflight = probing, false, nil
	p.next = p.match + 1
}

// updateProgress adds and removes progress records to match the membership in force.
func (n *Node) updateProgress() {
	for _, id := range n.memberships.ids {
		if id != n.config.ID && n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.last() + 1, lastContact: n.now}
		}
	}
	for id := range n.progress {
		if !slices.Contains(n.memberships.ids, id) {
			delete(n.progress, id)
		}
	}
}

// eachPeer calls f for each other member in ascending order of ID.
func (n *Node) eachPeer(f func(id uint64, p *progress)) {
	for _, id := range n.memberships.ids {
		if p := n.progress[id]; p != nil {
			f(id, p)
		}
	}
}

// sendAppends sends each member the entries or the commit index that it lacks.
func (n *Node) sendAppends() {
	n.eachPeer(func(id uint64, p *progress) {
		n.sendAppend(id, p.state == replicating && p.sentCommit < min(n.commit, p.match))
	})
}

// sendAppend sends entries to a member as far as flow control permits. With evenEmpty set, a message is sent
// even if there are no entries to send.
func (n *Node) sendAppend(to uint64, evenEmpty bool) {
	p := n.progress[to]
	for !p.paused && p.state != sendingSnapshot && len(p.inflight) < maxInflight && (evenEmpty || p.next <= n.log.last()) {
		evenEmpty = false
		previous := p.next - 1
		term, ok := n.log.term(previous)
		if !ok {
			n.sendSnapshot(to, p)
			return
		}
		entries := n.log.batch(p.next, n.config.MaxAppendBytes)
		n.send(&fleetpb.ConsensusMessage{
			Kind: fleetpb.MessageKind_MESSAGE_KIND_APPEND, To: to,
			Index: previous, LogTerm: term, Entries: entries, Commit: n.commit,
		})
		p.sentCommit = n.commit
		if p.state == probing {
			p.paused = true
			return
		}
		if len(entries) > 0 {
			p.next += uint64(len(entries))
			p.inflight = append(p.inflight, p.next-1)
		}
	}
}

func (n *Node) sendSnapshot(to uint64, p *progress) {
	p.state, p.inflight = sendingSnapshot, nil
	p.next = n.snapshot.Index + 1
	p.snapshotTick = n.now
	n.send(&fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: to, Snapshot: n.snapshot})
}

func (n *Node) handleAppendReply(m *fleetpb.ConsensusMessage) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	if m.Reject {
		if m.Index == 0 || p.state == sendingSnapshot || p.state == probing && m.Index != p.next-1 {
			return // stale reply
		}
		index, _ := n.log.findConflictByTerm(m.Hint, m.LogTerm)
		index = min(index, m.Index-1)
		if m.Index <= p.match && index >= p.match {
			return // stale reply
		}
		// A member that was restored from old files lacks entries that it had acknowledged. A lower match is safe: it only
		// makes the leader send entries again that the member may have.
		p.match = min(p.match, index)
		p.becomeProbing()
		p.next = index + 1
		n.sendAppend(m.From, true)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	progressed := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= m.Index })
	switch {
	case p.state == probing && m.Index >= p.next-1, p.state == sendingSnapshot && p.match+1 >= p.next:
		p.becomeProbing()
		p.state, p.snapshotTries = replicating, 0
	}
	if progressed {
		n.advanceCommit()
		if n.role != Leader {
			return
		}
	}
	if n.transferee == m.From && p.match == n.log.last() {
		n.send(&fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: m.From})
	}
	n.output.appendPending = true
}

func (n *Node) broadcastHeartbeat() {
	n.eachPeer(func(id uint64, p *progress) {
		n.send(&fleetpb.ConsensusMessage{
			Kind: fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id,
			Commit: min(n.commit, p.match), ReadRound: n.reads.round,
		})
	})
}

func (n *Node) handleHeartbeatReply(m *fleetpb.ConsensusMessage) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.readRound = max(p.readRound, m.ReadRound)
	n.confirmReads()
	if p.state == sendingSnapshot {
		wait := uint64(4*n.config.ElectionTicks) << p.snapshotTries
		if n.now-p.snapshotTick < wait {
			return
		}
		p.snapshotTries = min(p.snapshotTries+1, maxSnapshotDoublings)
		p.becomeProbing()
	}
	p.paused = false
	// The acknowledgement of the oldest message may be lost, so a full window is opened for one message.
	if len(p.inflight) == maxInflight {
		p.inflight = p.inflight[1:]
	}
	// A member whose log lacks the last entries rejects an empty append, which restarts replication.
	if p.match < n.log.last() {
		n.sendAppend(m.From, true)
	}
}

func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.term
}

// advanceCommit commits the entries stored by a majority. An entry of an earlier term is committed only together
// with an entry of the current term (Ongaro 2014, section 3.6.2).
func (n *Node) advanceCommit() {
	stored := make([]uint64, 0, len(n.memberships.voters))
	for _, id := range n.memberships.voters {
		if id == n.config.ID {
			stored = append(stored, n.log.stable)
		} else {
			stored = append(stored, n.progress[id].match)
		}
	}
	slices.Sort(stored)
	index := stored[(len(stored)-1)/2]
	if term, ok := n.log.term(index); index <= n.commit || !ok || term != n.term {
		return
	}
	n.commit = index
	n.output.appendPending = true
	n.startReadRound()
	if last := n.memberships.last(); last.index <= n.commit && !n.memberships.isVoter(n.config.ID) {
		n.stepDown()
	}
}

// stepDown ends the leadership of a leader whose own removal is committed and transfers leadership to the voter
// with the most complete log.
func (n *Node) stepDown() {
	var best uint64
	n.eachPeer(func(id uint64, p *progress) {
		n.sendAppend(id, true)
		if n.memberships.isVoter(id) && (best == 0 || p.match > n.progress[best].match) {
			best = id
		}
	})
	n.send(&fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: best})
	n.becomeFollower(n.term, 0)
}

// compactionIndex returns the index up to which the log may be dropped, given a snapshot at index.
func (n *Node) compactionIndex(index uint64) uint64 {
	needed := index
	n.eachPeer(func(_ uint64, p *progress) {
		if n.now-p.lastContact <= uint64(n.config.ElectionTicks) {
			needed = min(needed, p.match)
		}
	})
	size := 0
	for index > max(needed, n.log.base) {
		size += entryOverhead + len(n.log.entries[index-n.log.base-1].Data)
		if size > retainedBatches*n.config.MaxAppendBytes {
			break
		}
		index--
	}
	return index
}
