package fleet

import (
	"sync"
	"time"

	"azuredoor.example/control/state"
	"azuredoor.example/core/fleetpb"
)

const (
	defaultUpstreamTTL = 2 * time.Second
	// forgetAfter is how long an upstream stays known after it went down.
	forgetAfter = 24 * time.Hour
	// driftPercent is the bound on the difference between two clocks' rates.
	driftPercent = 1
)

// allowance returns a lifetime as the leader waits for it, longer by the drift bound.
func allowance(ttl time.Duration) time.Duration { return ttl + ttl*driftPercent/100 }

// leases holds the times at which the leader last heard from sessions and upstreams. They hold for one
// term only: a new leader counts everyone as renewed at its election.
type leases struct {
	upstreamTTL time.Duration

	mu sync.Mutex
	// term is the term in which this member leads, 0 while it does not.
	term uint64
	// granted is when everyone counted as renewed.
	granted   time.Time
	sessions  map[uint64]*sessionLease
	upstreams map[string]upstreamLease
	// downSince is when this leader first saw a forgettable upstream.
	downSince map[string]time.Time
	// orderGranted is when the order lease was last granted or renewed.
	orderGranted time.Time
}

type sessionLease struct {
	heard    time.Time
	revision uint64
	// ending is set while the end of the session is being logged.
	ending bool
}

type upstreamLease struct {
	incarnation uint64
	heard       time.Time
}

func newLeases(upstreamTTL time.Duration) *leases {
	l := &leases{upstreamTTL: upstreamTTL}
	l.reset(0, time.Time{})
	return l
}

func (l *leases) reset(term uint64, now time.Time) {
	l.term, l.granted, l.orderGranted = term, now, now
	l.sessions = map[uint64]*sessionLease{}
	l.upstreams = map[string]upstreamLease{}
	l.downSince = map[string]time.Time{}
}

// enter starts a new term. The caller holds mu.
func (l *leases) enter(term uint64) {
	if term > l.term {
		l.reset(term, time.Now())
	}
}

// renewSession reports false when the end of the session is already being logged.
func (l *leases) renewSession(term, id, revision uint64, arrived time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(term)
	lease := l.sessions[id]
	if lease == nil {
		lease = &sessionLease{}
		l.sessions[id] = lease
	}
	if lease.ending {
		return false
	}
	if arrived.After(lease.heard) {
		lease.heard = arrived
	}
	lease.revision = max(lease.revision, revision)
	return true
}

func (l *leases) renewUpstreams(term uint64, refs []*fleetpb.UpstreamRef, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(term)
	for _, ref := range refs {
		lease := l.upstreams[ref.Id]
		if ref.Incarnation > lease.incarnation || ref.Incarnation == lease.incarnation && arrived.After(lease.heard) {
			l.upstreams[ref.Id] = upstreamLease{incarnation: ref.Incarnation, heard: arrived}
		}
	}
}

func (l *leases) configRevision(id uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease := l.sessions[id]; lease != nil {
		return lease.revision
	}
	return 0
}

func (l *leases) grantOrderLease(term uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(term)
	l.orderGranted = now
}

func (l *leases) orderLeaseFree(term uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(term)
	return now.Sub(l.orderGranted) > allowance(state.SessionTTL)
}

// grace counts everyone as renewed now.
func (l *leases) grace(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted = now
}

// lead enters a term; a member that no longer leads passes 0.
func (l *leases) lead(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == 0 && l.term != 0 {
		l.term = 0
		l.sessions = map[uint64]*sessionLease{}
		l.upstreams = map[string]upstreamLease{}
		return
	}
	l.enter(term)
}

// noticeSessions counts sessions that are seen for the first time as renewed now: a new session becomes visible
// a moment before the call that opened it renews it.
func (l *leases) noticeSessions(sessions []*fleetpb.Session, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, session := range sessions {
		if l.sessions[session.Id] == nil {
			l.sessions[session.Id] = &sessionLease{heard: now}
		}
	}
}

// noticeUpstreams does the same for upstreams that are new, restarted or down.
func (l *leases) noticeUpstreams(each func(visit func(u *fleetpb.Upstream)), now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	each(func(u *fleetpb.Upstream) {
		lease, ok := l.upstreams[u.Id]
		if !ok || lease.incarnation < u.Incarnation || u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			l.upstreams[u.Id] = upstreamLease{incarnation: u.Incarnation, heard: now}
		}
	})
}

// expiredSessions returns the sessions that were not renewed in time and marks them as ending.
func (l *leases) expiredSessions(sessions []*fleetpb.Session, now time.Time) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []uint64
	for _, session := range sessions {
		lease := l.sessions[session.Id]
		if lease == nil {
			lease = &sessionLease{heard: l.granted}
			l.sessions[session.Id] = lease
		}
		if now.Sub(later(lease.heard, l.granted)) > allowance(state.SessionTTL) && !lease.ending {
			lease.ending = true
			expired = append(expired, session.Id)
		}
	}
	return expired
}

// endingFailed lets sessions be renewed again after their end could not be logged.
func (l *leases) endingFailed(ids []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if lease := l.sessions[id]; lease != nil {
			lease.ending = false
		}
	}
}

// expiredUpstreams returns the upstreams that were not renewed in time.
func (l *leases) expiredUpstreams(each func(visit func(u *fleetpb.Upstream)), now time.Time) []*fleetpb.UpstreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []*fleetpb.UpstreamRef
	each(func(u *fleetpb.Upstream) {
		if u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			return
		}
		heard := l.granted
		if lease, ok := l.upstreams[u.Id]; ok && lease.incarnation == u.Incarnation {
			heard = later(heard, lease.heard)
		}
		if now.Sub(heard) > allowance(l.upstreamTTL) {
			expired = append(expired, &fleetpb.UpstreamRef{Id: u.Id, Incarnation: u.Incarnation})
		}
	})
	return expired
}

// longDown returns the upstreams that have been down for longer than forgetAfter. Upstreams that are
// replaced come back under other IDs, so records of the old ones would pile up.
func (l *leases) longDown(each func(visit func(u *fleetpb.Upstream)), now time.Time) []*fleetpb.UpstreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := map[string]time.Time{}
	var refs []*fleetpb.UpstreamRef
	each(func(u *fleetpb.Upstream) {
		if !state.Forgettable(u) {
			return
		}
		first, ok := l.downSince[u.Id]
		if !ok {
			first = now
		}
		since[u.Id] = first
		if now.Sub(first) > forgetAfter {
			refs = append(refs, &fleetpb.UpstreamRef{Id: u.Id, Incarnation: u.Incarnation})
		}
	})
	l.downSince = since
	return refs
}

// forget drops the times of sessions and upstreams that no longer exist.
func (l *leases) forget(machine *state.Machine) {
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
