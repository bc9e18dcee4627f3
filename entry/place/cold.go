package place

import "time"

const (
	// GrantLifetime is how long after the coordinator has counted a request to a cold upstream the request may be sent.
	GrantLifetime = time.Second
	// coldWindow is the time in which requests are counted: all of those that are sent within one second were counted within it.
	coldWindow = time.Second + GrantLifetime
	// ColdHandover is how long a new coordinator counts no requests to cold upstreams, after the one before has stopped. What that
	// one has counted may be sent until then.
	ColdHandover = coldWindow
	// decodeRequests is the number of requests that one generation makes to its decode engine: the reservation and itself.
	decodeRequests = 2
	// coldGrantDivisor bounds the part of what is left for a cold upstream that one entry gets at a time.
	coldGrantDivisor = 4
)

// ColdLimiter counts the requests that a fleet sends to each cold upstream, so that none gets more in any second than it bears. It is
// made for a burst while a whole failure domain comes back cold: each of many entries sees few of the requests. The coordinator of
// the fleet holds the only one that counts.
//
// A ColdLimiter is not safe for concurrent use.
type ColdLimiter struct {
	counts map[coldKey][]coldCount
}

type coldKey struct {
	id          string
	incarnation uint64
}

type coldCount struct {
	at       time.Time
	requests int
}

// NewColdLimiter returns a limiter that has counted nothing.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{counts: map[coldKey][]coldCount{}} }

// Left returns how many more requests may be sent to the upstream now.
func (l *ColdLimiter) Left(now time.Time, u *Upstream) int {
	key := coldKey{u.ID, u.Incarnation}
	counts := l.counts[key]
	for len(counts) > 0 && now.Sub(counts[0].at) >= coldWindow {
		counts = counts[1:]
	}
	if len(counts) == 0 {
		delete(l.counts, key)
	} else {
		l.counts[key] = counts
	}
	left := int(max(1, u.ColdRate))
	for _, c := range counts {
		left -= c.requests
	}
	return left
}

// may reports whether that many requests may be sent to the upstream now. A request that alone exceeds the rate may be sent if no other
// one was.
func (l *ColdLimiter) may(now time.Time, u *Upstream, requests int) bool {
	most := int(max(1, u.ColdRate))
	return l.Left(now, u) >= min(requests, most)
}

// Take counts requests to the upstream.
func (l *ColdLimiter) Take(now time.Time, u *Upstream, requests int) {
	key := coldKey{u.ID, u.Incarnation}
	l.counts[key] = append(l.counts[key], coldCount{now, requests})
}

// Share counts requests that one entry wants to send to the upstream, and returns how many it may.
func (l *ColdLimiter) Share(now time.Time, u *Upstream, wanted int) int {
	left := l.Left(now, u)
	granted := min(wanted, max(1, left/coldGrantDivisor), left)
	if granted <= 0 {
		return 0
	}
	l.Take(now, u, granted)
	return granted
}

// Forget removes the counts of upstreams that are no longer known.
func (l *ColdLimiter) Forget(known func(id string, incarnation uint64) bool) {
	for key := range l.counts {
		if !known(key.id, key.incarnation) {
			delete(l.counts, key)
		}
	}
}

// ColdUse is a number of requests of one entry to a cold upstream of a plain service.
type ColdUse struct {
	ID          string
	Incarnation uint64
	Requests    int
}

// coldShare holds what an entry may send to the cold upstreams of plain services, and what it wants to. The zero value is empty.
type coldShare struct {
	granted map[string]coldGrant
	wanted  map[string]ColdUse
}

type coldGrant struct {
	ColdUse
	until time.Time
}

// mayOrWant reports whether the entry may send a request to the cold upstream now. If not, it counts the request among those that it
// asks the coordinator for.
func (c *coldShare) mayOrWant(now time.Time, u Upstream) bool {
	if g := c.granted[u.ID]; g.Incarnation == u.Incarnation && g.Requests > 0 && now.Before(g.until) {
		return true
	}
	if u.Role != RoleAny {
		// The coordinator counts generations when it places them.
		return false
	}
	if c.wanted == nil {
		c.wanted = map[string]ColdUse{}
	}
	w := c.wanted[u.ID]
	if w.Incarnation != u.Incarnation {
		w = ColdUse{ID: u.ID, Incarnation: u.Incarnation}
	}
	w.Requests = min(w.Requests+1, int(max(1, u.ColdRate)))
	c.wanted[u.ID] = w
	return false
}

// use counts a request that is about to be sent to the upstream, and returns until when it may be.
func (c *coldShare) use(u Upstream) time.Time {
	g := c.granted[u.ID]
	g.Requests--
	c.granted[u.ID] = g
	return g.until
}

// ColdWanted returns how many requests this entry wanted to send to each cold upstream since the last call.
func (t *Table) ColdWanted() []ColdUse {
	uses := make([]ColdUse, 0, len(t.cold.wanted))
	for _, w := range t.cold.wanted {
		uses = append(uses, w)
	}
	clear(t.cold.wanted)
	return uses
}

// GrantCold replaces what this entry may send to cold upstreams until the given time.
func (t *Table) GrantCold(until time.Time, uses []ColdUse) {
	t.cold.granted = make(map[string]coldGrant, len(uses))
	for _, use := range uses {
		t.cold.granted[use.ID] = coldGrant{use, until}
	}
}

// maxStatedCold bounds how long an upstream says in a response that it stays cold, so that a garbled time does not take it out for good.
const maxStatedCold = time.Minute

// RecordCold records that a response of the upstream states for how long it stays cold. An earlier time is never brought forward.
func (t *Table) RecordCold(now time.Time, u Upstream, remaining time.Duration) {
	if s := t.states[u.ID]; s != nil && s.Incarnation == u.Incarnation && remaining > 0 {
		s.ColdUntil = later(s.ColdUntil, now.Add(min(remaining, maxStatedCold)))
	}
}

// MayBeCold reports whether the upstream may be cold.
func (t *Table) MayBeCold(now time.Time, u Upstream) bool {
	s := t.states[u.ID]
	return s != nil && s.Incarnation == u.Incarnation && s.cold(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
