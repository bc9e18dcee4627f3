// Package member runs one member of the control group: it drives the consensus node, stores its log,
// applies committed commands to the state and connects to the other members.
package member

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/control/state"
	"azuredoor.example/core/consensus"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

const (
	tick           = 50 * time.Millisecond
	heartbeatTicks = 2
	electionTicks  = 12
	// maxTicks bounds how many missed ticks are made up for after a stall. A process that was frozen must
	// not conclude from its own absence that others are gone.
	maxTicks = 4
	// maxAppendBytes keeps an append well below the gRPC message limit.
	maxAppendBytes = 1 << 20
	// maxCommandBytes bounds one log entry.
	maxCommandBytes = 8 << 20
	// maxLogBytes bounds the log between snapshots where entries are large; a state that is larger by
	// itself is written less often.
	maxLogBytes = 64 << 20
	// maxBatch bounds the proposals and messages handled between two writes to disk.
	maxBatch = 1024
)

// Config configures a Member.
type Config struct {
	// ID is random and stays with the data folder.
	ID uint64
	// Self describes this member; the ID and the learner flag are ignored.
	Self *fleetpb.Member
	// Dialer makes connections to other members.
	Dialer fleetrpc.Dialer
	// Voters is the number of members with a vote that the group aims for; further members stay learners, and
	// replace voters that are gone. 0 gives every member a vote and replaces none.
	Voters int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	Storage         Storage
	// Stored is what Storage held at start.
	Stored consensus.Stored
	State  *state.Machine
	Events *event.Logger
}

// Status describes the member and what it knows of the group.
type Status struct {
	ID, Term, Leader             uint64
	Applied, Commit, First, Last uint64
	Leading                      bool
	// Membership is empty while the member belongs to no group.
	Membership *fleetpb.Membership
	// Match is the last index stored by each member; only known to the leader.
	Match map[uint64]uint64
}

// Member is one member. Its methods are safe for concurrent use once Run was called.
type Member struct {
	config    Config
	started   time.Time
	transport *transport
	status    atomic.Pointer[Status]

	inbox     chan *fleetpb.ConsensusMessage
	proposals chan *proposal
	reads     chan *read
	calls     chan func()
	done      chan struct{}

	// The fields below belong to the goroutine of the loop.
	node          *consensus.Node
	pending       map[uint64]*proposal
	appliedTerm   uint64
	membership    *fleetpb.Membership
	snapshotIndex uint64
	// snapshotBytes is the size of the newest snapshot, logBytes that of the entries applied since the
	// last one was begun.
	snapshotBytes, logBytes int
	snapshots               chan *fleetpb.Snapshot
	encoding                bool
	rounds                  readRounds
	group                   *errgroup.Group
	lastPromotion           time.Time
	// silence holds since when the leader has not reached a member.
	silence map[uint64]time.Time
}

// Open prepares a member that continues from what storage held; Run starts it.
func Open(config Config) (*Member, error) {
	m := &Member{
		config: config, started: time.Now(),
		inbox: make(chan *fleetpb.ConsensusMessage, 4*maxBatch), proposals: make(chan *proposal, 4*maxBatch),
		reads: make(chan *read, 4*maxBatch), calls: make(chan func()), done: make(chan struct{}),
		pending: map[uint64]*proposal{}, snapshots: make(chan *fleetpb.Snapshot, 1),
	}
	m.transport = newTransport(config.ID, config.Self.Address, config.Dialer)
	if err := m.load(config.Stored); err != nil {
		return nil, err
	}
	m.publish()
	return m, nil
}

// load builds the node and the state.
func (m *Member) load(stored consensus.Stored) (err error) {
	if stored.Membership == nil {
		stored.Membership = &fleetpb.Membership{}
	}
	m.membership = stored.Membership
	if stored.Snapshot != nil {
		if err := m.restore(stored.Snapshot); err != nil {
			return err
		}
	}
	m.node, err = consensus.New(consensus.Config{
		ID: m.config.ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes, Seed: rand.Uint64(),
	}, stored)
	return err
}

func (m *Member) restore(snapshot *fleetpb.Snapshot) error {
	if len(snapshot.Data) > 0 {
		if err := m.config.State.Restore(snapshot.Data); err != nil {
			return err
		}
	}
	m.config.State.Skip(snapshot.Index)
	m.appliedTerm = snapshot.Term
	m.membership = snapshot.Membership
	m.snapshotIndex, m.snapshotBytes = snapshot.Index, len(snapshot.Data)
	return nil
}

// Run drives the member until the context ends or storage fails.
func (m *Member) Run(ctx context.Context) error {
	defer close(m.done)
	group, ctx := errgroup.WithContext(ctx)
	m.group = group
	m.transport.start(ctx, group)
	group.Go(func() error { return m.loop(ctx) })
	return group.Wait()
}

// Status returns the newest published status.
func (m *Member) Status() Status { return *m.status.Load() }

// LeaderMember returns the leader as far as this member knows; it is nil while there is none.
func (s Status) LeaderMember() *fleetpb.Member { return find(s.Membership, s.Leader) }

func find(membership *fleetpb.Membership, id uint64) *fleetpb.Member {
	for _, member := range membership.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

// Now is the clock of this member's commands: the wall clock at start plus the monotonic time since, so
// a later step of the wall clock changes nothing.
func (m *Member) now() time.Time { return m.started.Add(time.Since(m.started)) }

// loop is the only goroutine that uses the node and storage.
func (m *Member) loop(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	m.transport.setMembers(m.node.Status().Membership)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			ticks := min(int(now.Sub(last)/tick), maxTicks)
			if ticks < 1 {
				continue
			}
			if last = last.Add(time.Duration(ticks) * tick); now.Sub(last) >= tick {
				last = now
			}
			for range ticks {
				m.node.Tick()
			}
			m.maintain()
		case message := <-m.inbox:
			m.node.Step(message)
		case p := <-m.proposals:
			m.propose(p)
		case r := <-m.reads:
			m.rounds.waiting = append(m.rounds.waiting, r)
		case call := <-m.calls:
			call()
		case snapshot := <-m.snapshots:
			if err := m.finishSnapshot(snapshot); err != nil {
				return err
			}
		case <-m.rounds.timer():
			m.rounds.due = nil
		}
		m.drain()
		m.startRound(time.Now())
		if err := m.carryOut(); err != nil {
			return err
		}
		m.publish()
	}
}

// drain takes what else is waiting, so that one write to disk serves many proposals.
func (m *Member) drain() {
	for range maxBatch {
		select {
		case message := <-m.inbox:
			m.node.Step(message)
		case p := <-m.proposals:
			m.propose(p)
		case r := <-m.reads:
			m.rounds.waiting = append(m.rounds.waiting, r)
		default:
			return
		}
	}
}

// carryOut persists, sends and applies what the node asks for.
func (m *Member) carryOut() error {
	for m.node.HasReady() {
		ready := m.node.Ready()
		if ready.HardState != nil || ready.Snapshot != nil || len(ready.Entries) > 0 {
			if err := m.config.Storage.Save(ready); err != nil {
				return err
			}
		}
		m.transport.setMembers(m.node.Status().Membership)
		for _, message := range ready.Messages {
			m.transport.send(message)
		}
		if ready.Snapshot != nil {
			if err := m.install(ready.Snapshot); err != nil {
				return err
			}
		}
		for _, entry := range ready.Committed {
			if err := m.apply(entry); err != nil {
				return err
			}
		}
		m.finishReads(ready.ReadStates)
		m.node.Advance()
	}
	m.startSnapshot()
	return nil
}

func (m *Member) install(snapshot *fleetpb.Snapshot) error {
	if err := m.restore(snapshot); err != nil {
		return err
	}
	for index, p := range m.pending {
		if index <= snapshot.Index {
			p.finish(nil, ErrOutcomeUnknown)
			delete(m.pending, index)
		}
	}
	m.config.Events.Write(event.ControlSnapshotInstalled, func(e *log.Entry) { e.Uint64("index", snapshot.Index) })
	return nil
}

func (m *Member) apply(entry *fleetpb.LogEntry) error {
	var result *fleetpb.Result
	switch {
	case entry.Kind == fleetpb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership, err := decodeMembership(entry.Data)
		if err != nil {
			return err
		}
		m.membership = membership
		m.config.State.Skip(entry.Index)
		m.config.Events.Write(event.ControlMembershipChanged, func(e *log.Entry) {
			e.Uint64("index", entry.Index).Int("members", len(membership.Members))
		})
	case len(entry.Data) == 0:
		m.config.State.Skip(entry.Index)
	default:
		result = m.config.State.Apply(entry.Index, entry.Data)
	}
	m.appliedTerm = entry.Term
	m.logBytes += len(entry.Data)
	if p, ok := m.pending[entry.Index]; ok {
		delete(m.pending, entry.Index)
		if p.term == entry.Term {
			p.finish(result, nil)
		} else {
			p.finish(nil, ErrNotApplied)
		}
	}
	return nil
}

// startSnapshot encodes the state beside the loop when enough entries were applied.
func (m *Member) startSnapshot() {
	enough := m.config.State.Applied() >= m.snapshotIndex+m.config.SnapshotEntries || m.logBytes > max(maxLogBytes, m.snapshotBytes)
	if m.encoding || !enough {
		return
	}
	m.logBytes = 0
	m.encoding = true
	capture := m.config.State.Capture()
	snapshot := &fleetpb.Snapshot{Index: capture.Applied(), Term: m.appliedTerm, Membership: m.membership}
	m.group.Go(func() error {
		data, err := capture.Encode()
		if err != nil {
			return err
		}
		snapshot.Data = data
		m.snapshots <- snapshot
		return nil
	})
}

func (m *Member) finishSnapshot(snapshot *fleetpb.Snapshot) error {
	m.encoding = false
	// A snapshot from the leader may have come in between.
	if snapshot.Index <= m.snapshotIndex {
		return nil
	}
	if err := m.config.Storage.SaveSnapshot(snapshot); err != nil {
		return err
	}
	m.node.Compact(snapshot)
	m.snapshotIndex, m.snapshotBytes = snapshot.Index, len(snapshot.Data)
	m.config.Events.Write(event.ControlSnapshotTaken, func(e *log.Entry) {
		e.Uint64("index", snapshot.Index).Int("bytes", len(snapshot.Data))
	})
	return nil
}

func (m *Member) publish() {
	s := m.node.Status()
	next := &Status{
		ID: s.ID, Term: s.Term, Leader: s.Leader, Applied: m.config.State.Applied(), Commit: s.Commit,
		First: s.FirstIndex, Last: s.LastIndex, Leading: s.Role == consensus.Leader,
		Membership: s.Membership, Match: s.Match,
	}
	previous := m.status.Swap(next)
	if previous == nil || previous.Leading != next.Leading || previous.Leader != next.Leader {
		m.config.Events.Write(event.ControlLeaderChanged, func(e *log.Entry) {
			e.Uint64("term", next.Term).Str("leader", formatID(next.Leader)).Bool("leading", next.Leading)
		})
	}
}

// call runs f on the loop and waits for it.
func (m *Member) call(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	select {
	case m.calls <- func() { result <- f() }:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the member")
	case <-m.done:
		return ErrStopped
	}
	return <-result
}
