// Package member runs one member of the control group. The package drives the consensus node, persists the log,
// applies committed commands to the replicated state and connects to the other members.
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
	tickInterval   = 50 * time.Millisecond
	heartbeatTicks = 2
	electionTicks  = 12
	// maxCatchUpTicks bounds how many missed ticks are replayed after a process pause. A process that was suspended must
	// not conclude from the missed time that other members have failed.
	maxCatchUpTicks = 4
	// maxAppendBytes keeps an append message well below the gRPC message limit.
	maxAppendBytes = 1 << 20
	// maxCommandBytes bounds the size of a log entry.
	maxCommandBytes = 8 << 20
	// maxLogBytes bounds the log between snapshots if entries are large. If the last snapshot is larger, its size is the
	// bound, so that a large state is written less often.
	maxLogBytes = 64 << 20
	// maxBatch bounds the number of proposals and messages handled between two writes to disk.
	maxBatch = 1024
)

// Config configures a Member.
type Config struct {
	// ID is the member ID stored in the data directory: a random number, or the FounderID of a founder.
	ID uint64
	// Self describes this member; its Id and Learner fields are ignored.
	Self *fleetpb.Member
	// Dialer opens connections to other members.
	Dialer fleetrpc.Dialer
	// Voters is the target number of voters. Additional members stay learners and replace failed voters. With 0,
	// every member becomes a voter and no member is replaced.
	Voters int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	Storage         Storage
	// Stored is the state loaded from Storage at start.
	Stored consensus.Stored
	State  *state.Machine
	Events *event.Logger
}

// Status is the state of the member and its view of the group.
type Status struct {
	ID, Term, Leader             uint64
	Applied, Commit, First, Last uint64
	Leading                      bool
	// Membership is empty while the member does not belong to a group.
	Membership *fleetpb.Membership
	// Match maps each member to the last index that the member has stored. Match is set only on the leader.
	Match map[uint64]uint64
}

// Member is one member of the control group. Its methods are safe for concurrent use once Run has been called.
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

	// The fields below are used only by the goroutine that runs loop.
	node          *consensus.Node
	pending       map[uint64]*proposal // proposals that are not applied yet, by log index
	appliedTerm   uint64               // term of the last applied entry
	membership    *fleetpb.Membership
	snapshotIndex uint64
	// snapshotBytes is the size of the latest snapshot; logBytes is the size of the entries applied since the
	// last snapshot was started.
	snapshotBytes, logBytes int
	snapshots               chan *fleetpb.Snapshot
	encodingSnapshot        bool // set until the loop receives the encoded snapshot
	rounds                  readRounds
	group                   *errgroup.Group
	lastMaintenance         time.Time
	// unreachableSince maps a member to the time since which the leader cannot reach the member.
	unreachableSince map[uint64]time.Time
}

// Open returns a member that continues from the stored state. Call Run to start the member.
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
	m.publishStatus()
	return m, nil
}

// load creates the consensus node and restores the replicated state.
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

// Run runs the member until the context is done or an error occurs, such as a storage failure.
func (m *Member) Run(ctx context.Context) error {
	defer close(m.done)
	group, ctx := errgroup.WithContext(ctx)
	m.group = group
	m.transport.start(ctx, group)
	group.Go(func() error { return m.loop(ctx) })
	return group.Wait()
}

// Status returns the last published status.
func (m *Member) Status() Status { return *m.status.Load() }

// LeaderMember returns the leader known to this member, or nil if no leader is known.
func (s Status) LeaderMember() *fleetpb.Member { return findMember(s.Membership, s.Leader) }

func findMember(membership *fleetpb.Membership, id uint64) *fleetpb.Member {
	for _, member := range membership.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

// now returns the time for commands of this member: the wall clock at start plus the monotonic time since, so
// a later step of the wall clock has no effect.
func (m *Member) now() time.Time { return m.started.Add(time.Since(m.started)) }

// loop handles all events of the member. No other goroutine uses the consensus node and storage.
func (m *Member) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	m.transport.setMembers(m.node.Status().Membership)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			ticks := min(int(now.Sub(last)/tickInterval), maxCatchUpTicks)
			if ticks < 1 {
				continue
			}
			if last = last.Add(time.Duration(ticks) * tickInterval); now.Sub(last) >= tickInterval {
				last = now
			}
			for range ticks {
				m.node.Tick()
			}
			m.maintainMembership()
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
			m.rounds.nextRound = nil
		}
		m.drainQueues()
		m.startReadRound(time.Now())
		if err := m.processReady(); err != nil {
			return err
		}
		m.publishStatus()
	}
}

// drainQueues handles further queued messages, proposals and reads, so that one write to disk covers many proposals.
func (m *Member) drainQueues() {
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

// processReady persists, sends and applies the output of the consensus node.
func (m *Member) processReady() error {
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

// startSnapshot encodes the state in a separate goroutine once enough entries have been applied.
func (m *Member) startSnapshot() {
	enough := m.config.State.Applied() >= m.snapshotIndex+m.config.SnapshotEntries ||
		m.logBytes > max(maxLogBytes, m.snapshotBytes)
	if m.encodingSnapshot || !enough {
		return
	}
	m.logBytes = 0
	m.encodingSnapshot = true
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
	m.encodingSnapshot = false
	// A snapshot from the leader may have been installed in the meantime.
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

func (m *Member) publishStatus() {
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

// call runs f on the goroutine of loop and returns the result of f.
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
