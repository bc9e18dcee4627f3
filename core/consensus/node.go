package consensus

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

// Node is one member of a consensus group. It is not safe for concurrent use. Tick, Step and the
// proposing calls may happen between Ready and Advance; their results are part of the next Ready.
type Node struct {
	config Config
	random *rand.Rand

	role         Role
	term, vote   uint64
	leader       uint64
	commit       uint64
	log          raftLog
	memberships  memberships
	snapshot     *fleetpb.Snapshot // newest, for slow members; nil when there is none
	votes        map[uint64]bool
	progress     map[uint64]*progress
	reads        reads
	transferee   uint64
	transferTick uint64

	now             uint64 // ticks since the start
	electionElapsed int
	electionTimeout int
	// knewLeader is set once a leader was known since the start.
	knewLeader     bool
	heartbeatTicks int

	output output
}

// New returns a node that continues from what its storage holds. The driver has restored its state
// machine from stored.Snapshot; committed entries after it are part of the first Ready.
func New(config Config, stored Stored) (*Node, error) {
	switch {
	case config.ID == 0:
		return nil, fmt.Errorf("consensus: the member ID is 0")
	case config.HeartbeatTicks < 1 || config.ElectionTicks <= config.HeartbeatTicks:
		return nil, fmt.Errorf("consensus: ElectionTicks %d must be more than HeartbeatTicks %d, and that more than 0",
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
			return nil, fmt.Errorf("consensus: stored commit index %d is beyond the last entry %d", h.Commit, n.log.last())
		}
		n.term, n.vote, n.commit = h.Term, h.Vote, max(n.commit, h.Commit)
	}
	// Entries may have been stored without the term change of the same Ready when the power failed. No
	// vote was given in that term, because votes are synced together with their term.
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, 0
	}
	n.output.start(n)
	n.resetElection()
	return n, nil
}

// Tick tells the node that one tick of the driver's clock passed.
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
		return id == n.config.ID || n.now-n.progress[id].contact <= uint64(n.config.ElectionTicks)
	}) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.transferee != 0 && n.now-n.transferTick >= uint64(n.config.ElectionTicks) {
		n.transferee = 0
	}
	n.heartbeatTicks++
	if n.heartbeatTicks >= n.config.HeartbeatTicks {
		n.heartbeatTicks = 0
		n.broadcastHeartbeat()
	}
}

// Propose appends an entry with the data. The entry may still be lost: it is certain only when an entry
// with the returned index and term is committed. While leadership is being transferred the error wraps
// ErrNotLeader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	index, err = n.propose(fleetpb.EntryKind_ENTRY_KIND_NORMAL, data)
	return index, n.term, err
}

// ProposeMembership appends a membership that adds a learner, promotes a learner, removes a member or
// updates the names and addresses of one member. The Removed field of next is ignored; the node keeps
// the list. The membership takes effect at once on each member that appends it. Errors: ErrNotLeader,
// ErrMembershipPending, ErrMembershipInvalid, ErrLearnerBehind.
func (n *Node) ProposeMembership(next *fleetpb.Membership) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	// Without an entry committed in its own term a leader may not know of a change that its predecessor
	// committed, and two majorities that do not overlap could form (Ongaro, raft-dev, July 2015).
	if !n.committedInTerm() || n.memberships.last().index > n.commit {
		return 0, 0, ErrMembershipPending
	}
	change, err := n.memberships.compare(next)
	if err != nil {
		return 0, 0, err
	}
	if change.promoted != 0 {
		p := n.progress[change.promoted]
		if p.match < n.commit || n.now-p.contact > uint64(n.config.ElectionTicks) {
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

func (n *Node) mayPropose() error {
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

// appendEntries appends to the log and lets memberships take effect.
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

// TransferLeadership asks a voter to take over as soon as it holds the whole log. It gives up after
// Config.ElectionTicks. Proposals are refused meanwhile.
func (n *Node) TransferLeadership(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.config.ID || !n.memberships.voter(to) {
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

// Compact drops log entries up to snapshot.Index, which the driver has applied, and keeps the snapshot
// for members that need them. A leader keeps some entries that reachable members still lack.
func (n *Node) Compact(snapshot *fleetpb.Snapshot) {
	if n.snapshot != nil && snapshot.Index <= n.snapshot.Index {
		return
	}
	if snapshot.Index > n.output.applying {
		panic(fmt.Sprintf("compaction at index %d, which is not applied", snapshot.Index))
	}
	n.snapshot = snapshot
	index := n.retain(snapshot.Index)
	n.log.compact(index)
	n.memberships.compact(index)
}

// MembershipAt returns the membership in force at a log index, for a snapshot at that index. It is nil
// for an index before the last compaction. The result must not be modified.
func (n *Node) MembershipAt(index uint64) *fleetpb.Membership { return n.memberships.at(index) }

// Status describes the node. The membership must not be modified.
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
