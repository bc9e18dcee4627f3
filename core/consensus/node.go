package consensus

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

// Node is one member of a consensus group. It is not safe for concurrent use. Tick, Step and the
// proposal methods may be called between Ready and Advance; their results are part of the next Ready.
type Node struct {
	config Config
	random *rand.Rand

	role         Role
	term, vote   uint64
	leader       uint64
	commit       uint64
	log          raftLog
	memberships  memberships
	snapshot     *fleetpb.Snapshot // latest snapshot, sent to slow members; nil if none exists
	votes        map[uint64]bool
	progress     map[uint64]*progress
	reads        reads
	transferee   uint64 // voter that leadership is being transferred to, 0 if none
	transferTick uint64 // tick at which the transfer started

	now             uint64 // ticks since the start
	electionElapsed int
	electionTimeout int
	// leaderSeen is set once the node has known a leader since it started.
	leaderSeen       bool
	heartbeatElapsed int

	output output
}

// New returns a node that continues from the persisted state. The driver must have restored its state
// machine from stored.Snapshot; the first Ready contains the committed entries after the snapshot.
func New(config Config, stored Stored) (*Node, error) {
	switch {
	case config.ID == 0:
		return nil, fmt.Errorf("consensus: member ID must not be 0")
	case config.HeartbeatTicks < 1 || config.ElectionTicks <= config.HeartbeatTicks:
		return nil, fmt.Errorf("consensus: want ElectionTicks %d > HeartbeatTicks %d > 0",
			config.ElectionTicks, config.HeartbeatTicks)
	}
	n := &Node{config: config, random: rand.New(rand.NewPCG(config.Seed, config.ID))}
	n.memberships.reset(0, stored.Membership)
	if s := stored.Snapshot; s != nil {
		n.snapshot = s
		n.log.reset(s.Index, s.Term)
		if s.Membership != nil {
			n.memberships.reset(s.Index, s.Membership)
		}
		n.commit = s.Index
	}
	for i, entry := range stored.Entries {
		if want := n.log.base + 1 + uint64(i); entry.Index != want {
			return nil, fmt.Errorf("consensus: stored entry has index %d, want %d", entry.Index, want)
		}
	}
	if err := n.appendEntries(stored.Entries); err != nil {
		return nil, err
	}
	n.log.stable = n.log.last()
	if h := stored.HardState; h != nil {
		if h.Commit > n.log.last() {
			return nil, fmt.Errorf("consensus: stored commit index %d is beyond the last log index %d", h.Commit, n.log.last())
		}
		n.term, n.vote, n.commit = h.Term, h.Vote, max(n.commit, h.Commit)
	}
	// After a power failure the entries of a Ready may be on disk without the term change of that Ready. No vote was
	// cast in the new term, because a vote is synced together with its term.
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, 0
	}
	n.output.reset(n)
	n.resetElection()
	return n, nil
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if n.promotable() {
		n.campaign(true, false)
		return
	}
	n.leader = 0
	n.resetElection()
}

func (n *Node) tickLeader() {
	if !n.memberships.quorum(func(id uint64) bool {
		return id == n.config.ID || n.now-n.progress[id].lastContact <= uint64(n.config.ElectionTicks)
	}) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.transferee != 0 && n.now-n.transferTick >= uint64(n.config.ElectionTicks) {
		n.transferee = 0
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

// Propose appends an entry with the data. The entry may still be lost: the proposal has succeeded only once
// an entry with the returned index and term is committed. During a leadership transfer the error wraps
// ErrNotLeader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	index, err = n.propose(fleetpb.EntryKind_ENTRY_KIND_NORMAL, data)
	return index, n.term, err
}

// ProposeMembership appends a membership that adds a learner, promotes a learner, removes a member or
// updates the name and addresses of one member. The Removed field of next is ignored; the node maintains
// that list. Each member uses the membership as soon as it appends the entry. The error wraps ErrNotLeader,
// ErrMembershipPending, ErrMembershipInvalid or ErrLearnerBehind.
func (n *Node) ProposeMembership(next *fleetpb.Membership) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	// Until a leader has committed an entry of its own term, it may not know a change that its predecessor
	// committed, and two disjoint majorities could form (Ongaro, raft-dev, July 2015).
	if !n.committedInTerm() || n.memberships.last().index > n.commit {
		return 0, 0, ErrMembershipPending
	}
	change, err := n.memberships.diff(next)
	if err != nil {
		return 0, 0, err
	}
	if change.promoted != 0 {
		p := n.progress[change.promoted]
		if p.match < n.commit || n.now-p.lastContact > uint64(n.config.ElectionTicks) {
			return 0, 0, fmt.Errorf("%w: member %d holds index %d of %d", ErrLearnerBehind, change.promoted, p.match, n.commit)
		}
	}
	data, err := proto.Marshal(change.next)
	if err != nil {
		return 0, 0, fmt.Errorf("encode membership: %w", err)
	}
	index, err = n.propose(fleetpb.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	return index, n.term, err
}

func (n *Node) checkCanPropose() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transferee != 0 {
		return fmt.Errorf("%w: leadership is being transferred to member %d", ErrNotLeader, n.transferee)
	}
	return nil
}

func (n *Node) propose(kind fleetpb.EntryKind, data []byte) (uint64, error) {
	entry := &fleetpb.LogEntry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.appendEntries([]*fleetpb.LogEntry{entry}); err != nil {
		return 0, err
	}
	n.output.appendPending = true
	return entry.Index, nil
}

// appendEntries appends to the log and puts the memberships among the entries into force.
func (n *Node) appendEntries(entries []*fleetpb.LogEntry) error {
	for _, entry := range entries {
		n.log.append(entry)
		if entry.Kind != fleetpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		membership := &fleetpb.Membership{}
		if err := proto.Unmarshal(entry.Data, membership); err != nil {
			return fmt.Errorf("decode membership at index %d: %w", entry.Index, err)
		}
		n.memberships.push(entry.Index, membership)
	}
	if n.role == Leader {
		n.updateProgress()
	}
	return nil
}

// TransferLeadership asks a voter to take over leadership as soon as the voter's log is complete. The transfer is
// abandoned after Config.ElectionTicks. Proposals are refused during the transfer.
func (n *Node) TransferLeadership(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.config.ID || !n.memberships.isVoter(to) {
		return fmt.Errorf("consensus: member %d is not another voter", to)
	}
	n.transferee, n.transferTick = to, n.now
	if n.progress[to].match == n.log.last() {
		n.send(&fleetpb.ConsensusMessage{Kind: fleetpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: to})
	} else {
		n.sendAppend(to, true)
	}
	return nil
}

// Compact drops log entries up to snapshot.Index, which the driver must have applied, and keeps the snapshot for
// members that need the dropped entries. A leader retains some entries that reachable members still lack.
func (n *Node) Compact(snapshot *fleetpb.Snapshot) {
	if n.snapshot != nil && snapshot.Index <= n.snapshot.Index {
		return
	}
	if snapshot.Index > n.output.applying {
		panic(fmt.Sprintf("compaction at index %d, which has not been applied", snapshot.Index))
	}
	n.snapshot = snapshot
	index := n.compactionIndex(snapshot.Index)
	n.log.compact(index)
	n.memberships.compact(index)
}

// MembershipAt returns the membership in force at a log index, for a snapshot at that index. The result is nil
// for an index before the last compaction and must not be modified.
func (n *Node) MembershipAt(index uint64) *fleetpb.Membership { return n.memberships.at(index) }

// Status returns the state of the node. The caller must not modify the membership.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Term: n.term, Leader: n.leader, Commit: n.commit, Applied: n.output.applied,
		FirstIndex: n.log.base + 1, LastIndex: n.log.last(), Role: n.role, Membership: n.memberships.current(),
	}
	if n.role == Leader {
		s.Match = map[uint64]uint64{n.config.ID: n.log.stable}
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}
