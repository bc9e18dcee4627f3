package state

import (
	"fmt"

	"azuredoor.example/core/fleetpb"
)

// openSession opens a session. A resend returns the session that is already open; an entry with a new incarnation or
// peer address ends the earlier session of the same name.
func (m *Machine) openSession(c *fleetpb.OpenSessionRequest) *fleetpb.Result {
	if c.Name == "" || len(c.Name) > maxTextBytes || len(c.PeerAddress) > maxTextBytes ||
		len(c.FailureDomain) > maxTextBytes || len(c.Region) > maxTextBytes {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID,
			"a session has a name, and its fields have at most %d bytes", maxTextBytes)
	}
	if id, ok := m.sessionsByName[c.Name]; ok {
		old := m.sessions[id]
		if old.Incarnation == c.Incarnation && old.PeerAddress == c.PeerAddress {
			return m.openSessionResult(id)
		}
		m.endSession(id)
	}
	id := m.applied
	if m.firstSession == 0 {
		m.firstSession = id
	}
	m.sessions[id] = &fleetpb.Session{
		Id: id, Name: c.Name, PeerAddress: c.PeerAddress, FailureDomain: c.FailureDomain,
		Region: c.Region, Incarnation: c.Incarnation,
	}
	m.sessionsByName[c.Name] = id
	m.recordChange(changeKey{kind: changedSession, session: id})
	return m.openSessionResult(id)
}

// maxTextBytes bounds names, addresses and similar texts from other processes.
const maxTextBytes = 256

func (m *Machine) openSessionResult(id uint64) *fleetpb.Result {
	return &fleetpb.Result{OpenSession: &fleetpb.OpenSessionResponse{
		SessionId: id, TtlMillis: sessionTTLMillis, First: id == m.firstSession,
	}}
}

func (m *Machine) endSessions(c *fleetpb.EndSessions) *fleetpb.Result {
	for _, id := range c.SessionIds {
		m.endSession(id)
	}
	return success()
}

func (m *Machine) endSession(id uint64) {
	session, ok := m.sessions[id]
	if !ok {
		return
	}
	delete(m.sessions, id)
	delete(m.sessionsByName, session.Name)
	m.recordChange(changeKey{kind: changedSession, session: id})
	m.markClaimsUnknown(id)
	if m.orderLease.SessionId == id {
		m.orderLease = &fleetpb.OrderLease{Fence: m.orderLease.Fence}
		m.recordChange(changeKey{kind: changedLease})
	}
}

// acquireOrderLease makes a session the holder of the order lease. The leader proposes the command only after the lease
// of the previous holder has expired.
func (m *Machine) acquireOrderLease(c *fleetpb.AcquireOrderLeaseRequest) *fleetpb.Result {
	if _, ok := m.sessions[c.SessionId]; !ok {
		return failure(fleetpb.ResultCode_RESULT_CODE_SESSION_ENDED, "session %d has ended", c.SessionId)
	}
	if m.orderLease.SessionId != c.SessionId {
		m.orderLease = &fleetpb.OrderLease{SessionId: c.SessionId, Fence: m.orderLease.Fence + 1}
		m.recordChange(changeKey{kind: changedLease})
	}
	return &fleetpb.Result{OrderLease: &fleetpb.AcquireOrderLeaseResponse{
		Held: true, Fence: m.orderLease.Fence, TtlMillis: sessionTTLMillis,
	}}
}

// Session returns the session with the ID, or nil if it is not open.
func (m *Machine) Session(id uint64) *fleetpb.Session {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sessions[id]
}

// Sessions returns the open sessions ordered by ID.
func (m *Machine) Sessions() []*fleetpb.Session {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sortedValues(m.sessions)
}

// OrderLease returns the order lease. Its SessionId is the session of the last holder, or 0 after that session has ended.
func (m *Machine) OrderLease() *fleetpb.OrderLease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.orderLease
}

func summary(format string, args ...any) string { return fmt.Sprintf(format, args...) }
