// Package state is the replicated state machine of the control group. Applying the same commands in the
// same order gives the same state on each member.
package state

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
)

// SessionTTL is the lifetime of a session and of the order lease after a renewal.
const SessionTTL = 3 * time.Second

const sessionTTLMillis = uint32(SessionTTL / time.Millisecond)

// Machine holds the replicated state. Records are replaced and never changed in place, so readers may
// keep them. All methods are safe for concurrent use; Apply, Skip and Restore have one caller.
type Machine struct {
	mu sync.RWMutex

	applied    uint64
	revision   uint64
	stateIndex uint64
	timeMillis int64

	config  *config.Set
	objects map[objectKey]*fleetpb.Object
	history []*fleetpb.HistoryRecord
	// historyChanges is the number of object changes in the history.
	historyChanges int

	requests     map[string]*fleetpb.RequestResult
	requestOrder []string

	sessions       map[uint64]*fleetpb.Session
	sessionsByName map[string]uint64
	firstSession   uint64
	upstreams      map[string]*fleetpb.Upstream
	lease          *fleetpb.OrderLease
	// document is the operators' document, nil while there is none.
	document *fleetpb.Document

	claims          map[claimKey]*fleetpb.ClaimRecord
	claimsBySession map[uint64]map[claimKey]bool
	expiries        expiryHeap

	recent  recentChanges
	changed chan struct{}
}

type objectKey struct{ kind, name string }

// New returns an empty state.
func New() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.applied, m.revision, m.stateIndex, m.timeMillis, m.firstSession = 0, 0, 0, 0, 0
	m.config = config.NewSet()
	m.objects = map[objectKey]*fleetpb.Object{}
	m.history, m.historyChanges = nil, 0
	m.requests = map[string]*fleetpb.RequestResult{}
	m.requestOrder = nil
	m.sessions = map[uint64]*fleetpb.Session{}
	m.sessionsByName = map[string]uint64{}
	m.upstreams = map[string]*fleetpb.Upstream{}
	m.lease = &fleetpb.OrderLease{}
	m.document = nil
	m.claims = map[claimKey]*fleetpb.ClaimRecord{}
	m.claimsBySession = map[uint64]map[claimKey]bool{}
	m.expiries = nil
	m.recent = recentChanges{}
}

// Apply applies the command of the log entry at index. It always advances the state to index.
func (m *Machine) Apply(index uint64, data []byte) *fleetpb.Result {
	command := &fleetpb.Command{}
	err := proto.Unmarshal(data, command)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	if err != nil {
		return &fleetpb.Result{Code: fleetpb.ResultCode_RESULT_CODE_INVALID, Error: "the command is malformed", Revision: m.revision, Index: index}
	}
	m.timeMillis = max(m.timeMillis, command.TimeMillis)
	m.expireClaims()
	before := m.recent.total
	result := m.applyCommand(command)
	// The first result of a resent request keeps its own revision and index.
	if result.Index == 0 {
		result.Revision, result.Index = m.revision, index
	}
	if result.OpenSession != nil {
		result.OpenSession.StateIndex = m.stateIndex
	}
	if m.recent.total != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return result
}

// Skip advances the state over a log entry that carries no command.
func (m *Machine) Skip(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
}

func (m *Machine) applyCommand(command *fleetpb.Command) *fleetpb.Result {
	switch body := command.Body.(type) {
	case *fleetpb.Command_ApplyConfig:
		c := body.ApplyConfig
		return m.once(c.RequestId, c, func() *fleetpb.Result { return m.applyConfig(c) })
	case *fleetpb.Command_SetDesired:
		c := body.SetDesired
		return m.once(c.RequestId, c, func() *fleetpb.Result { return m.setDesired(c) })
	case *fleetpb.Command_RemoveUpstream:
		c := body.RemoveUpstream
		return m.once(c.RequestId, c, func() *fleetpb.Result { return m.removeUpstream(c) })
	case *fleetpb.Command_OpenSession:
		return m.openSession(body.OpenSession)
	case *fleetpb.Command_EndSessions:
		return m.endSessions(body.EndSessions)
	case *fleetpb.Command_AnnounceUpstream:
		return m.announceUpstream(body.AnnounceUpstream)
	case *fleetpb.Command_MarkUpstreamsDown:
		return m.markUpstreamsDown(body.MarkUpstreamsDown)
	case *fleetpb.Command_Claim:
		return m.claim(body.Claim)
	case *fleetpb.Command_Complete:
		return m.complete(body.Complete)
	case *fleetpb.Command_AcquireOrderLease:
		return m.acquireOrderLease(body.AcquireOrderLease)
	case *fleetpb.Command_PutDocument:
		return m.putDocument(body.PutDocument)
	}
	return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "the command is empty or of an unknown kind")
}

func failure(code fleetpb.ResultCode, format string, args ...any) *fleetpb.Result {
	return &fleetpb.Result{Code: code, Error: fmt.Sprintf(format, args...)}
}

func success() *fleetpb.Result { return &fleetpb.Result{} }

// touched records that the value of a key seen by watchers changed at the current index.
func (m *Machine) touched(key changeKey) {
	m.stateIndex = m.applied
	m.recent.add(change{index: m.applied, key: key})
}

// Applied returns the index of the last applied log entry.
func (m *Machine) Applied() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.applied
}

// StateIndex returns the index of the newest change to what watchers see.
func (m *Machine) StateIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.stateIndex
}

// Revision returns the configuration revision.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}
