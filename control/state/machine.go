// Package state implements the replicated state machine of the control group. Members that apply the same commands in the
// same order have the same state.
package state

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
)

// SessionTTL is the time from a renewal until a session or the order lease expires.
const SessionTTL = 3 * time.Second

const sessionTTLMillis = uint32(SessionTTL / time.Millisecond)

// Machine holds the replicated state. Records are replaced and never changed in place, so readers may keep them. All
// methods are safe for concurrent use, but only one goroutine may call Apply, Skip and Restore.
type Machine struct {
	mu sync.RWMutex

	applied    uint64
	revision   uint64
	stateIndex uint64
	timeMillis int64

	config  *config.Set
	objects map[objectKey]*fleetpb.Object
	history []*fleetpb.HistoryRecord
	// historyChanges is the number of object changes in all records of the history.
	historyChanges int

	requests map[string]*fleetpb.RequestResult
	// requestOrder holds the keys of requests, oldest first.
	requestOrder []string

	sessions       map[uint64]*fleetpb.Session
	sessionsByName map[string]uint64
	// firstSession is the ID of the first session that was ever opened, 0 if there was none.
	firstSession uint64
	upstreams    map[string]*fleetpb.Upstream
	orderLease   *fleetpb.OrderLease
	// document is the configuration document, nil if none is stored.
	document *fleetpb.Document
	// evacuations holds the newest order on each failure domain that was ever evacuated.
	evacuations map[string]*fleetpb.Evacuation

	claims map[claimKey]*fleetpb.ClaimRecord
	// claimsBySession holds the keys of the claims in progress, by session ID.
	claimsBySession map[uint64]map[claimKey]bool
	expiries        expiryHeap

	recentChanges recentChanges
	// changed is closed and replaced when watchers have new changes to receive.
	changed chan struct{}
}

type objectKey struct{ kind, name string }

// New returns a Machine with an empty state.
func New() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.applied, m.revision, m.stateIndex, m.timeMillis, m.firstSession = 0, 0, 0, 0, 0
	m.config = config.NewSet()
	m.objects = map[objectKey]*fleetpb.Object{}
	m.history, m.historyChanges = nil, 0
	m.requests = map[string]*fleetpb.RequestResult{}
	m.requestOrder = nil
	m.sessions = map[uint64]*fleetpb.Session{}
	m.sessionsByName = map[string]uint64{}
	m.upstreams = map[string]*fleetpb.Upstream{}
	m.orderLease = &fleetpb.OrderLease{}
	m.document = nil
	m.evacuations = map[string]*fleetpb.Evacuation{}
	m.claims = map[claimKey]*fleetpb.ClaimRecord{}
	m.claimsBySession = map[uint64]map[claimKey]bool{}
	m.expiries = nil
	m.recentChanges = recentChanges{}
}

// Apply applies the command of the log entry at index. The applied index advances even if the command is refused.
func (m *Machine) Apply(index uint64, data []byte) *fleetpb.Result {
	command := &fleetpb.Command{}
	err := proto.Unmarshal(data, command)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	if err != nil {
		return &fleetpb.Result{
			Code: fleetpb.ResultCode_RESULT_CODE_INVALID, Error: "the command is malformed", Revision: m.revision, Index: index,
		}
	}
	m.timeMillis = max(m.timeMillis, command.TimeMillis)
	m.expireClaims()
	before := m.recentChanges.total
	result := m.applyCommand(command)
	// The stored result of a resent request keeps the revision and the index of the first request.
	if result.Index == 0 {
		result.Revision, result.Index = m.revision, index
	}
	if result.OpenSession != nil {
		result.OpenSession.StateIndex = m.stateIndex
	}
	if m.recentChanges.total != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return result
}

// Skip advances the applied index to index without applying a command, for log entries that carry none.
func (m *Machine) Skip(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
}

func (m *Machine) applyCommand(command *fleetpb.Command) *fleetpb.Result {
	switch body := command.Body.(type) {
	case *fleetpb.Command_ApplyConfig:
		c := body.ApplyConfig
		return m.runOnce(c.RequestId, c, func() *fleetpb.Result { return m.applyConfig(c) })
	case *fleetpb.Command_SetDesired:
		c := body.SetDesired
		return m.runOnce(c.RequestId, c, func() *fleetpb.Result { return m.setDesired(c) })
	case *fleetpb.Command_RemoveUpstream:
		c := body.RemoveUpstream
		return m.runOnce(c.RequestId, c, func() *fleetpb.Result { return m.removeUpstream(c) })
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
	case *fleetpb.Command_SetEvacuation:
		c := body.SetEvacuation
		if c.RequestId == "" {
			return m.setEvacuation(c)
		}
		return m.runOnce(c.RequestId, c, func() *fleetpb.Result { return m.setEvacuation(c) })
	}
	return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "the command is empty or of an unknown kind")
}

func failure(code fleetpb.ResultCode, format string, args ...any) *fleetpb.Result {
	return &fleetpb.Result{Code: code, Error: fmt.Sprintf(format, args...)}
}

func success() *fleetpb.Result { return &fleetpb.Result{} }

// recordChange records for watchers that the value of a key changed at the applied index.
func (m *Machine) recordChange(key changeKey) {
	m.stateIndex = m.applied
	m.recentChanges.add(change{index: m.applied, key: key})
}

// Applied returns the index of the last applied log entry.
func (m *Machine) Applied() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.applied
}

// StateIndex returns the index of the newest change that watchers receive.
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
