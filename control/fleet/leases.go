package fleet

import (
	"sync"
	"time"

	"azuredoor.example/control/state"
	"azuredoor.example/core/fleetpb"
)

const (
	defaultUpstreamTTL = 2 * time.Second
	// removeDownAfter is how long the record of an upstream that is down is kept.
	removeDownAfter = 24 * time.Hour
	// maxClockDriftPercent bounds the difference between the rates of two clocks.
	maxClockDriftPercent = 1
)

// withDrift returns the time after which the leader treats a lease with the given TTL as expired: the TTL plus the
// largest clock drift, so that the lease has expired by the holder's clock too.
func withDrift(ttl time.Duration) time.Duration { return ttl + ttl*maxClockDriftPercent/100 }

// leases holds the times at which the leader last received a renewal from each session and upstream. The times
// are valid for one term: a new leader treats all leases as renewed at the start of its term.
type leases struct {
	upstreamTTL time.Duration

	mu sync.Mutex
	// term is the term in which this member leads, 0 while the member does not lead.
	term uint64
	// allRenewed is the last time at which all sessions and upstreams were treated as renewed.
	allRenewed time.Time
	sessions   map[uint64]*sessionLease
	upstreams  map[string]upstreamLease
	// downSince holds, by upstream ID, the time at which this leader first found the upstream down and its record
	// removable.
	downSince map[string]time.Time
	// orderLeaseRenewed is the last time at which the order lease was granted or renewed.
	orderLeaseRenewed time.Time
}

type sessionLease struct {
	lastRenewal    time.Time
	configRevision uint64
	// running counts the session's requests in evacuated failure domains.
	running []*fleetpb.DomainUse
	// ending is set while a proposal to end the session is pending.
	ending bool
}

type upstreamLease struct {
	incarnation uint64
	lastRenewal time.Time
}

func newLeases(upstreamTTL time.Duration) *leases {
	l := &leases{upstreamTTL: upstreamTTL}
	l.reset(0, time.Time{})
	return l
}

func (l *leases) reset(term uint64, now time.Time) {
	l.term, l.allRenewed, l.orderLeaseRenewed = term, now, now
	l.sessions = map[uint64]*sessionLease{}
	l.upstreams = map[string]upstreamLease{}
	l.downSince = map[string]time.Time{}
}

// enterTerm discards the times of an earlier term. The caller holds mu.
func (l *leases) enterTerm(term uint64) {
	if term > l.term {
		l.reset(term, time.Now())
	}
}

// renewSession renews the lease of a session and reports whether it did. While a proposal to end the session is
// pending, the lease cannot be renewed.
func (l *leases) renewSession(term, id, revision uint64, arrived time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterTerm(term)
	lease := l.sessions[id]
	if lease == nil {
		lease = &sessionLease{}
		l.sessions[id] = lease
	}
	if lease.ending {
		return false
	}
	if arrived.After(lease.lastRenewal) {
		lease.lastRenewal = arrived
	}
	lease.configRevision = max(lease.configRevision, revision)
	return true
}

// renewUpstreams renews the leases of upstreams. A reference to an earlier incarnation of an upstream has no effect.
func (l *leases) renewUpstreams(term uint64, refs []*fleetpb.UpstreamRef, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterTerm(term)
	for _, ref := range refs {
		lease := l.upstreams[ref.Id]
		if ref.Incarnation > lease.incarnation || ref.Incarnation == lease.incarnation && arrived.After(lease.lastRenewal) {
			l.upstreams[ref.Id] = upstreamLease{incarnation: ref.Incarnation, lastRenewal: arrived}
		}
	}
}

func (l *leases) configRevision(id uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease := l.sessions[id]; lease != nil {
		return lease.configRevision
	}
	return 0
}

// recordRunning records the requests of a session in evacuated failure domains.
func (l *leases) recordRunning(id uint64, running []*fleetpb.DomainUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease := l.sessions[id]; lease != nil {
		lease.running = running
	}
}

// runningIn returns the requests of all sessions in an evacuated failure domain.
func (l *leases) runningIn(domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, lease := range l.sessions {
		for _, use := range lease.running {
			if use.FailureDomain == domain {
				sum += int(use.Requests)
			}
		}
	}
	return sum
}

func (l *leases) renewOrderLease(term uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterTerm(term)
	l.orderLeaseRenewed = now
}

// orderLeaseExpired reports whether the order lease has expired by the clock of its holder too, even with the largest
// clock drift.
func (l *leases) orderLeaseExpired(term uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterTerm(term)
	return now.Sub(l.orderLeaseRenewed) > withDrift(state.SessionTTL)
}

// renewAll treats all sessions and upstreams as renewed now.
func (l *leases) renewAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allRenewed = now
}

// setLeaderTerm sets the term in which this member leads; 0 means that the member does not lead.
func (l *leases) setLeaderTerm(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == 0 && l.term != 0 {
		l.term = 0
		l.sessions = map[uint64]*sessionLease{}
		l.upstreams = map[string]upstreamLease{}
		return
	}
	l.enterTerm(term)
}

// trackSessions treats sessions without a lease as renewed now: a new session becomes visible in the state shortly
// before OpenSession renews its lease.
func (l *leases) trackSessions(sessions []*fleetpb.Session, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, session := range sessions {
		if l.sessions[session.Id] == nil {
			l.sessions[session.Id] = &sessionLease{lastRenewal: now}
		}
	}
}

// trackUpstreams treats upstreams that are new, restarted or down as renewed now: an upstream becomes visible in the
// state as active shortly before AnnounceUpstream renews its lease.
func (l *leases) trackUpstreams(eachUpstream func(visit func(u *fleetpb.Upstream)), now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	eachUpstream(func(u *fleetpb.Upstream) {
		lease, ok := l.upstreams[u.Id]
		if !ok || lease.incarnation < u.Incarnation || u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			l.upstreams[u.Id] = upstreamLease{incarnation: u.Incarnation, lastRenewal: now}
		}
	})
}

// expiredSessions returns the sessions whose leases have expired and marks these sessions as ending.
func (l *leases) expiredSessions(sessions []*fleetpb.Session, now time.Time) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []uint64
	for _, session := range sessions {
		lease := l.sessions[session.Id]
		if lease == nil {
			lease = &sessionLease{lastRenewal: l.allRenewed}
			l.sessions[session.Id] = lease
		}
		if now.Sub(later(lease.lastRenewal, l.allRenewed)) > withDrift(state.SessionTTL) && !lease.ending {
			lease.ending = true
			expired = append(expired, session.Id)
		}
	}
	return expired
}

// cancelEnding allows renewals of sessions again after the proposal to end them failed.
func (l *leases) cancelEnding(ids []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if lease := l.sessions[id]; lease != nil {
			lease.ending = false
		}
	}
}

// expiredUpstreams returns the upstreams whose leases have expired and that are not down yet.
func (l *leases) expiredUpstreams(eachUpstream func(visit func(u *fleetpb.Upstream)), now time.Time) []*fleetpb.UpstreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []*fleetpb.UpstreamRef
	eachUpstream(func(u *fleetpb.Upstream) {
		if u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			return
		}
		renewed := l.allRenewed
		if lease, ok := l.upstreams[u.Id]; ok && lease.incarnation == u.Incarnation {
			renewed = later(renewed, lease.lastRenewal)
		}
		if now.Sub(renewed) > withDrift(l.upstreamTTL) {
			expired = append(expired, &fleetpb.UpstreamRef{Id: u.Id, Incarnation: u.Incarnation})
		}
	})
	return expired
}

// removableUpstreams returns the upstreams that have been down for longer than removeDownAfter. The replacement of an
// upstream has another ID, so without removal the records of replaced upstreams would accumulate.
func (l *leases) removableUpstreams(eachUpstream func(visit func(u *fleetpb.Upstream)), now time.Time) []*fleetpb.UpstreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	downSince := map[string]time.Time{}
	var refs []*fleetpb.UpstreamRef
	eachUpstream(func(u *fleetpb.Upstream) {
		if !state.Removable(u) {
			return
		}
		first, ok := l.downSince[u.Id]
		if !ok {
			first = now
		}
		downSince[u.Id] = first
		if now.Sub(first) > removeDownAfter {
			refs = append(refs, &fleetpb.UpstreamRef{Id: u.Id, Incarnation: u.Incarnation})
		}
	})
	l.downSince = downSince
	return refs
}

// removeUnknown removes the leases of sessions and upstreams that are no longer in the state of machine.
func (l *leases) removeUnknown(machine *state.Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.sessions {
		if machine.Session(id) == nil {
			delete(l.sessions, id)
		}
	}
	for id := range l.upstreams {
		if machine.Upstream(id) == nil {
			delete(l.upstreams, id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
