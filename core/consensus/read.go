package consensus

// reads holds the reads that wait for a heartbeat round to confirm leadership (Ongaro 2014, section 6.4).
type reads struct {
	// round is the number of the latest heartbeat round. Numbering restarts at 1 in each term.
	round uint64
	// index is the commit index at the start of the round.
	index uint64
	// open requests are confirmed by the current round; queued requests wait for the next round.
	open, queued []uint64
}

// ReadIndex requests a linearizable read; a ReadState with the same request number follows. Requests that arrive
// during a heartbeat round share the next round.
func (n *Node) ReadIndex(request uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads.queued = append(n.reads.queued, request)
	n.startReadRound()
	return nil
}

func (n *Node) startReadRound() {
	// Until the leader has committed an entry of its own term, its commit index may be out of date.
	if len(n.reads.open) > 0 || len(n.reads.queued) == 0 || !n.committedInTerm() {
		return
	}
	n.reads.round++
	n.reads.index = n.commit
	n.reads.open, n.reads.queued = n.reads.queued, nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) confirmReads() {
	if len(n.reads.open) == 0 || !n.memberships.quorum(func(id uint64) bool {
		return id == n.config.ID || n.progress[id].readRound >= n.reads.round
	}) {
		return
	}
	for _, request := range n.reads.open {
		n.output.readStates = append(n.output.readStates, ReadState{Request: request, Index: n.reads.index})
	}
	n.reads.open = nil
	n.startReadRound()
}

// refuseReads refuses all pending reads when leadership ends.
func (n *Node) refuseReads() {
	for _, request := range append(n.reads.open, n.reads.queued...) {
		n.output.readStates = append(n.output.readStates, ReadState{Request: request, Refused: true})
	}
	n.reads = reads{}
}
