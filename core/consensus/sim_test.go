package consensus

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"azuredoor.example/core/fleetpb"
)

const simKeys = 2

// disk simulates the storage of one member. Only the records before index synced are certain to survive a crash.
type disk struct {
	records []any // *fleetpb.Snapshot, *fleetpb.LogEntry, *fleetpb.HardState
	synced  int
}

func (d *disk) write(r Ready) {
	if r.Snapshot != nil {
		d.records = append(d.records, r.Snapshot)
	}
	for _, entry := range r.Entries {
		d.records = append(d.records, entry)
	}
	if r.HardState != nil {
		d.records = append(d.records, r.HardState)
	}
}

// crash drops a random part of the unsynced tail.
func (d *disk) crash(random *rand.Rand) {
	d.records = d.records[:d.synced+random.IntN(len(d.records)-d.synced+1)]
	d.synced = len(d.records)
}

func (d *disk) load(membership *fleetpb.Membership) Stored {
	stored := Stored{Membership: membership}
	first := func() uint64 {
		if stored.Snapshot == nil {
			return 1
		}
		return stored.Snapshot.Index + 1
	}
	for _, record := range d.records {
		switch record := record.(type) {
		case *fleetpb.HardState:
			stored.HardState = record
		case *fleetpb.LogEntry:
			if record.Index >= first() {
				stored.Entries = append(slices.Clip(stored.Entries[:record.Index-first()]), record)
			}
		case *fleetpb.Snapshot:
			kept := slices.IndexFunc(stored.Entries, func(e *fleetpb.LogEntry) bool {
				return e.Index == record.Index && e.Term == record.Term
			})
			if kept >= 0 {
				stored.Entries = stored.Entries[kept+1:]
			} else {
				stored.Entries = nil
			}
			stored.Snapshot = record
		}
	}
	return stored
}

// simState is the replicated state machine: a list of counters. Clients do not use the last counter.
type simState [simKeys + 1]uint64

func (s simState) encode() []byte {
	var data []byte
	for _, value := range s {
		data = binary.BigEndian.AppendUint64(data, value)
	}
	return data
}

func (s *simState) decode(data []byte) {
	for i := range s {
		s[i] = binary.BigEndian.Uint64(data[8*i:])
	}
}

// member is a simulated process with its disk.
type member struct {
	id             uint64
	disk           disk
	initial        *fleetpb.Membership
	lost           bool // the disk is lost, so the member never restarts
	node           *Node
	state          simState
	applied        uint64
	lastSnapshot   uint64
	ready          *Ready
	stage          int // 0: no Ready, 1: written, 2: synced and messages sent
	proposals      []*operation
	reads          map[uint64]*operation
	pendingReads   []ReadState
	checkedCommit  uint64  // commit index up to which entries are checked
	lastLeaderTerm uint64  // last term in which this process was leader
	tickRate       float64 // probability of a clock tick in each round
	pausedRounds   int     // remaining rounds in which the process is paused
}

type sim struct {
	seed    uint64
	random  *rand.Rand
	members []*member
	network []*fleetpb.ConsensusMessage
	blocked map[[2]uint64]bool
	clock   int64
	history []*operation
	checks  checker
	// probabilities per round or message, drawn at random for each schedule
	drop, duplicate, delay, crash, partition, pause, admin, client, background float64
	snapshotEvery                                                              uint64
	faultsEnded                                                                bool
	err                                                                        error
}

func newSim(seed uint64) *sim {
	random := rand.New(rand.NewPCG(seed, 1))
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	s := &sim{
		seed: seed, random: random, blocked: map[[2]uint64]bool{}, checks: newChecker(),
		drop: pick(0, 0.02, 0.1, 0.3), duplicate: pick(0, 0.05, 0.2), delay: pick(0.1, 0.3, 0.6, 0.85),
		crash: pick(0, 0.005, 0.02, 0.06), partition: pick(0, 0.01, 0.03), pause: pick(0, 0, 0.02),
		admin: pick(0, 0.02, 0.1), client: pick(0.1, 0.3), background: pick(0, 0.05, 0.3),
		snapshotEvery: uint64(pick(5, 12, 1000)),
	}
	initial := &fleetpb.Membership{}
	for id := range uint64(1 + random.IntN(5)) {
		initial.Members = append(initial.Members, &fleetpb.Member{Id: id + 1})
	}
	for _, m := range initial.Members {
		s.addMember(m.Id, initial)
	}
	return s
}

func (s *sim) addMember(id uint64, initial *fleetpb.Membership) {
	m := &member{id: id, initial: initial, tickRate: []float64{0.2, 0.9, 0.9, 1}[s.random.IntN(4)]}
	s.members = append(s.members, m)
	s.start(m)
}

func (s *sim) start(m *member) {
	stored := m.disk.load(m.initial)
	m.state, m.applied = simState{}, 0
	if stored.Snapshot != nil {
		m.state.decode(stored.Snapshot.Data)
		m.applied = stored.Snapshot.Index
	}
	m.lastSnapshot, m.checkedCommit, m.lastLeaderTerm = m.applied, m.applied, 0
	m.ready, m.stage = nil, 0
	m.proposals, m.reads, m.pendingReads = nil, map[uint64]*operation{}, nil
	node, err := New(Config{
		ID: m.id, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 200, Seed: s.random.Uint64(),
	}, stored)
	if err != nil {
		s.fail("start of member %d: %v", m.id, err)
		return
	}
	m.node = node
}

func (s *sim) stop(m *member) {
	m.node = nil
	m.disk.crash(s.random)
	for _, operation := range m.reads {
		operation.dropped = true
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

// run executes a schedule with faults, then ends all faults and expects the group to make progress.
func (s *sim) run() error {
	for range 200 << s.random.IntN(4) {
		s.round()
		if s.err != nil {
			return s.err
		}
	}
	s.faultsEnded = true
	for _, m := range s.members {
		m.pausedRounds, m.tickRate = 0, 0.9
	}
	s.drop, s.duplicate, s.delay, s.client = 0, 0, 0, 0
	clear(s.blocked)
	for _, m := range s.members {
		if m.node == nil && !m.lost {
			s.start(m)
		}
	}
	for range 1000 {
		s.round()
		if s.err != nil {
			return s.err
		}
		if s.converged() {
			return s.checkHistory()
		}
	}
	return fmt.Errorf("no progress after all faults ended: %s", s.describe())
}

// converged reports whether a leader has committed an entry of its term and each member of its group with an intact
// disk has applied the same index.
func (s *sim) converged() bool {
	for _, leader := range s.members {
		if leader.node == nil || leader.node.role != Leader || !leader.node.committedInTerm() ||
			leader.applied != leader.node.log.last() || leader.node.now < 100 {
			continue
		}
		return !slices.ContainsFunc(s.members, func(m *member) bool {
			in := slices.Contains(leader.node.memberships.ids, m.id)
			return in && !m.lost && (m.applied != leader.applied || m.node.role == Leader && m != leader)
		})
	}
	return false
}

func (s *sim) describe() string {
	text := ""
	for _, m := range s.members {
		if m.node == nil {
			text += fmt.Sprintf("\n  %d stopped, lost=%v", m.id, m.lost)
			continue
		}
		st := m.node.Status()
		text += fmt.Sprintf("\n  %d role %d term %d leader %d commit %d applied %d log %d..%d members %v match %v",
			m.id, st.Role, st.Term, st.Leader, st.Commit, m.applied, st.FirstIndex, st.LastIndex, st.Membership, st.Match)
	}
	return text
}

func (s *sim) round() {
	for _, m := range s.members {
		if m.pausedRounds > 0 {
			m.pausedRounds--
		} else if m.node != nil && s.chance(m.tickRate) {
			m.node.Tick()
			s.check(m)
		}
	}
	s.deliver()
	for _, m := range s.members {
		for range 1 + s.random.IntN(4) {
			s.advance(m)
		}
	}
	if s.faultsEnded {
		return
	}
	for _, m := range s.members {
		if m.lost {
			continue
		}
		if m.node == nil && s.chance(0.15) {
			s.start(m)
		} else if m.node != nil && s.chance(s.crash) {
			s.stop(m)
		}
	}
	if s.chance(s.partition) {
		s.partitionNetwork()
	}
	if s.chance(0.01) {
		clear(s.blocked)
	}
	if s.chance(s.pause) {
		s.faultTarget().pausedRounds = 1 + s.random.IntN(60)
	}
	// Operations while two members have the role of leader expose stale reads.
	if s.chance(s.client) || len(s.leaders()) > 1 && s.chance(0.7) {
		s.startClientOperation()
	}
	if s.chance(s.background) {
		s.proposeBackground()
	}
	if s.chance(s.admin) {
		s.adminAction()
	}
}

// faultTarget selects a member for a fault, in about half of the cases a leader.
func (s *sim) faultTarget() *member {
	if leaders := s.leaders(); len(leaders) > 0 && s.chance(0.5) {
		return leaders[s.random.IntN(len(leaders))]
	}
	return s.members[s.random.IntN(len(s.members))]
}

// partitionNetwork blocks a random set of directed links, or isolates a member in one or both directions.
func (s *sim) partitionNetwork() {
	victim := s.faultTarget().id
	mode := s.random.IntN(4)
	for _, a := range s.members {
		for _, b := range s.members {
			blocked := a.id == victim && mode != 1 || b.id == victim && mode != 2
			if mode == 3 {
				blocked = s.chance(0.4)
			}
			if blocked {
				s.blocked[[2]uint64{a.id, b.id}] = true
			}
		}
	}
}

func (s *sim) deliver() {
	s.random.Shuffle(len(s.network), func(i, j int) {
		if !s.faultsEnded && s.chance(0.3) {
			s.network[i], s.network[j] = s.network[j], s.network[i]
		}
	})
	var later []*fleetpb.ConsensusMessage
	for _, message := range s.network {
		if s.chance(s.delay) || s.isPaused(message.To) {
			later = append(later, message)
			continue
		}
		if s.chance(s.duplicate) {
			later = append(later, message)
		}
		if s.blocked[[2]uint64{message.From, message.To}] || s.chance(s.drop) {
			continue
		}
		for _, m := range s.members {
			if m.id == message.To && m.node != nil {
				m.node.Step(message)
				s.check(m)
			}
		}
	}
	s.network = later
}

func (s *sim) isPaused(id uint64) bool {
	return slices.ContainsFunc(s.members, func(m *member) bool { return m.id == id && m.pausedRounds > 0 })
}

// advance executes the next stage of processing a member's Ready. A crash may occur between any two stages.
func (s *sim) advance(m *member) {
	if m.node == nil || m.pausedRounds > 0 {
		return
	}
	switch m.stage {
	case 0:
		if !m.node.HasReady() {
			return
		}
		ready := m.node.Ready()
		m.ready = &ready
		m.disk.write(ready)
	case 1:
		if m.ready.MustSync {
			m.disk.synced = len(m.disk.records)
		}
		s.network = append(s.network, m.ready.Messages...)
	case 2:
		s.apply(m)
		if m.node == nil {
			return
		}
		m.node.Advance()
		m.ready = nil
	}
	m.stage = (m.stage + 1) % 3
	s.check(m)
}

func (s *sim) apply(m *member) {
	if snapshot := m.ready.Snapshot; snapshot != nil {
		if snapshot.Index <= m.applied {
			s.fail("member %d restores a snapshot at index %d after applying index %d", m.id, snapshot.Index, m.applied)
		}
		m.state.decode(snapshot.Data)
		m.applied, m.lastSnapshot = snapshot.Index, snapshot.Index
		s.checks.checkState(s, m)
	}
	for _, entry := range m.ready.Committed {
		if entry.Index != m.applied+1 {
			s.fail("member %d applies index %d after index %d", m.id, entry.Index, m.applied)
		}
		m.applied = entry.Index
		var result uint64
		if entry.Kind == fleetpb.EntryKind_ENTRY_KIND_NORMAL && len(entry.Data) > 0 {
			key := entry.Data[0]
			m.state[key] += uint64(entry.Data[1])
			result = m.state[key]
		}
		s.checks.checkState(s, m)
		for _, o := range m.proposals {
			if o.index == entry.Index && o.term == entry.Term {
				o.result = result
				s.finish(o)
			}
		}
	}
	m.pendingReads = append(m.pendingReads, m.ready.ReadStates...)
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(r ReadState) bool {
		o := m.reads[r.Request]
		if r.Refused {
			o.dropped = true
			return true
		}
		if r.Index <= m.applied {
			o.result = m.state[o.key]
			s.finish(o)
			return true
		}
		return false
	})
	if m.applied >= m.lastSnapshot+s.snapshotEvery {
		snapshot := &fleetpb.Snapshot{Index: m.applied, Membership: m.node.MembershipAt(m.applied), Data: m.state.encode()}
		snapshot.Term, _ = m.node.log.term(m.applied)
		m.disk.records = append(m.disk.records, snapshot)
		m.disk.synced = len(m.disk.records)
		m.lastSnapshot = m.applied
		m.node.Compact(snapshot)
	}
}

// leaders returns the running members with the role of leader.
func (s *sim) leaders() []*member {
	var leaders []*member
	for _, m := range s.members {
		if m.node != nil && m.pausedRounds == 0 && m.node.role == Leader {
			leaders = append(leaders, m)
		}
	}
	return leaders
}
