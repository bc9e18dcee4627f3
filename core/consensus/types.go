// Package consensus implements the Raft algorithm as a deterministic state machine without goroutines,
// clocks or I/O. Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014).
package consensus

import (
	"errors"

	"azuredoor.example/core/fleetpb"
)

// Errors returned to callers of Node.
var (
	// ErrNotLeader is returned by calls that only a leader answers.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrMembershipPending is returned while an earlier membership change is uncommitted, and until the leader
	// has committed an entry of its own term.
	ErrMembershipPending = errors.New("an earlier membership change is not committed yet")
	// ErrLearnerBehind is returned when a learner is promoted before it has caught up.
	ErrLearnerBehind = errors.New("the learner has not caught up yet")
	// ErrMembershipInvalid is returned for a change that affects more than one member or reuses a removed ID.
	ErrMembershipInvalid = errors.New("a membership change adds, promotes or removes exactly one member")
)

// Role is the Raft role of a member.
type Role int

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config configures a Node.
type Config struct {
	// ID identifies this member and must not be 0.
	ID uint64
	// Group is the group number set on outgoing messages; messages of other groups are ignored.
	Group uint32
	// ElectionTicks is the shortest election timeout; the longest is twice as long. It must exceed HeartbeatTicks.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one append message; a larger entry is sent alone.
	MaxAppendBytes int
	// Seed seeds the random election timeouts, which makes them reproducible.
	Seed uint64
}

// Stored is the persisted state that a member loads at start.
type Stored struct {
	HardState *fleetpb.HardState
	// Snapshot is nil if no snapshot has been stored.
	Snapshot *fleetpb.Snapshot
	// Entries are contiguous and start right after the snapshot.
	Entries []*fleetpb.LogEntry
	// Membership is the initial membership, used if neither the snapshot nor the entries contain one.
	Membership *fleetpb.Membership
}

// ReadState is the result of Node.ReadIndex: the read may be served once Index is applied.
type ReadState struct {
	Request uint64
	Index   uint64
	// Refused is set if the member lost leadership before the read was confirmed.
	Refused bool
}

// Ready is the output of a Node. The driver persists HardState, Snapshot and Entries, with one sync if
// MustSync is set, then sends Messages, then applies Snapshot and Committed, and finally calls Advance.
type Ready struct {
	// HardState is nil if unchanged.
	HardState *fleetpb.HardState
	// Entries are appended to the stored log. An entry at a stored index replaces the stored entry and all later ones.
	Entries []*fleetpb.LogEntry
	// Snapshot replaces the whole stored log; nil if no snapshot was received.
	Snapshot *fleetpb.Snapshot
	Messages []*fleetpb.ConsensusMessage
	// Committed holds the entries to apply, in order, including membership and empty entries.
	Committed  []*fleetpb.LogEntry
	ReadStates []ReadState
	MustSync   bool
}

// Status describes a Node.
type Status struct {
	ID, Term, Leader, Commit, Applied, FirstIndex, LastIndex uint64
	Role                                                     Role
	Membership                                               *fleetpb.Membership
	// Match maps each member to the last index that the member is known to have stored. Match is set only on a leader.
	Match map[uint64]uint64
}
