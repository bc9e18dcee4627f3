package peer

import (
	"math"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/entry/limit"
)

const (
	// staleOwnerGrace is how long a session that has not confirmed a change of owners may still act on an older
	// view: the session TTL plus clock drift.
	staleOwnerGrace = 3030 * time.Millisecond
	// maxSessionEnds bounds the session ends that are kept. Older ones are merged into one bound for all buckets.
	maxSessionEnds = 32
)

// levelBound is a lower bound of the level of a bucket without a state: the bucket was last empty at emptyAt at the
// latest and has refilled since. The zero value describes a bucket that was never used.
type levelBound struct {
	emptyAt, unknownUntil time.Time
}

func (l levelBound) start() limit.Start {
	return limit.Start{Full: l.emptyAt.IsZero() && l.unknownUntil.IsZero(), EmptyAt: l.emptyAt, UnknownUntil: l.unknownUntil}
}

// combine returns the bound that holds if either of the two bounds may apply.
func (l levelBound) combine(other levelBound) levelBound {
	if other.emptyAt.After(l.emptyAt) {
		l.emptyAt = other.emptyAt
	}
	if other.unknownUntil.After(l.unknownUntil) {
		l.unknownUntil = other.unknownUntil
	}
	return l
}

// unknownLoans describes loans that a former owner may have granted without the knowledge of this entry.
type unknownLoans struct {
	// latestGrant is when the last such loan may have been granted.
	latestGrant time.Time
	// viewIndex is the index of the view under which all sessions must have reported their loans.
	viewIndex uint64
	// reportedAt is when all sessions had reported their loans; zero until then.
	reportedAt time.Time
	// buckets are the buckets that were opened while the loans were unknown.
	buckets []string
}

func (u *unknownLoans) bound() levelBound {
	if !u.reportedAt.IsZero() {
		return levelBound{emptyAt: u.reportedAt}
	}
	return levelBound{emptyAt: u.latestGrant, unknownUntil: u.latestGrant.Add(limit.OwnerLifetime)}
}

// sessionEnd is a change of the view in which sessions ended.
type sessionEnd struct {
	unknownLoans
	// previous is the ring before the change.
	previous Ring
	ended    []uint64
}

type earlyState struct {
	from  uint64
	state limit.State
}

// ownership decides when this entry may start to lend from a bucket, and with which level. The rules are described
// in docs/notes/limits.md. It performs no I/O and is not safe for concurrent use.
type ownership struct {
	self uint64
	ring Ring
	// viewIndex is the index of the newest view.
	viewIndex uint64
	owner     *limit.Owner
	limit     func(bucket string) (config.Limit, bool)
	// firstSession is set if no session existed before this entry's session, so that no bucket was ever used.
	firstSession bool
	// joinedAt is when the first view with this entry's session arrived.
	joinedAt time.Time
	// formerOwners are the sessions that owned the buckets before this entry joined. Session IDs increase, so these
	// are the sessions with smaller IDs.
	formerOwners Ring
	sessionEnds  []*sessionEnd
	// joinLoans are the loans of former owners that have not handed over.
	joinLoans unknownLoans
	// forgottenBound covers the session ends that are no longer kept.
	forgottenBound levelBound
	// joinBounds holds the bounds that former owners sent after this entry joined; leaveBounds holds the bounds that
	// sessions sent before they ended.
	joinBounds, leaveBounds map[uint64]levelBound
	// earlyStates holds states from sessions that have not ended yet.
	earlyStates map[string]earlyState
	// reportedIndexes maps each session to the index of the newest view under which the session has reported its loans.
	reportedIndexes map[uint64]uint64
}

func newOwnership(self uint64, limits func(string) (config.Limit, bool)) *ownership {
	return &ownership{
		self: self, owner: limit.NewOwner(), limit: limits, joinBounds: map[uint64]levelBound{}, leaveBounds: map[uint64]levelBound{},
		earlyStates: map[string]earlyState{}, reportedIndexes: map[uint64]uint64{},
	}
}

// join applies the first view that contains this entry's session.
func (o *ownership) join(now time.Time, ring Ring, index uint64, firstSession bool) {
	o.ring, o.viewIndex, o.joinedAt = ring, index, now
	for _, session := range ring.sessions {
		if session < o.self {
			o.formerOwners.sessions = append(o.formerOwners.sessions, session)
		}
	}
	o.firstSession = firstSession && len(o.formerOwners.sessions) == 0
	o.joinLoans = unknownLoans{latestGrant: now.Add(staleOwnerGrace), viewIndex: index}
}

// transfer is a bucket that moves to another owner.
type transfer struct {
	to    uint64
	state limit.State
}

// update applies a newer view and returns the buckets that must be handed over.
func (o *ownership) update(now time.Time, ring Ring, index uint64) []transfer {
	o.viewIndex = index
	if ring.Equal(o.ring) {
		return nil
	}
	e := &sessionEnd{unknownLoans: unknownLoans{latestGrant: now, viewIndex: index}, previous: o.ring}
	for _, session := range o.ring.sessions {
		if !ring.Has(session) {
			e.ended = append(e.ended, session)
			delete(o.reportedIndexes, session)
		}
	}
	o.ring = ring
	if len(e.ended) > 0 {
		o.sessionEnds = append(o.sessionEnds, e)
		if len(o.sessionEnds) > maxSessionEnds {
			o.forgottenBound = o.forgottenBound.combine(o.boundAfter(o.sessionEnds[0]))
			o.sessionEnds = o.sessionEnds[1:]
		}
		o.importEarlyStates(now)
	}
	return o.exportMoved(now)
}

// exportMoved removes the buckets that this entry no longer owns and returns them with their new owners.
func (o *ownership) exportMoved(now time.Time) []transfer {
	var names []string
	o.owner.Names(func(name string) {
		if o.ring.Owner(name) != o.self {
			names = append(names, name)
		}
	})
	var transfers []transfer
	for _, name := range names {
		if state, ok := o.owner.Export(now, name); ok {
			transfers = append(transfers, transfer{o.ring.Owner(name), state})
		}
	}
	return transfers
}

// boundAfter returns the bound of all buckets that a session end moved.
func (o *ownership) boundAfter(e *sessionEnd) levelBound {
	bound := levelBound{}
	for _, session := range e.ended {
		if sent, ok := o.leaveBounds[session]; ok {
			bound = bound.combine(sent)
		} else {
			bound = bound.combine(e.bound())
		}
	}
	return bound
}

// importEarlyStates imports the states from sessions that have ended since they handed over.
func (o *ownership) importEarlyStates(now time.Time) {
	for name, e := range o.earlyStates {
		if !o.ring.Has(e.from) {
			delete(o.earlyStates, name)
			o.importState(now, e.state)
		}
	}
}

func (o *ownership) importState(now time.Time, state limit.State) {
	if l, ok := o.limit(state.Bucket); ok && !o.owner.Has(state.Bucket) {
		o.owner.Import(now, l, state)
	}
}

// acceptState imports a state that a former owner hands over because this entry joined.
func (o *ownership) acceptState(now time.Time, from uint64, state limit.State) {
	if _, done := o.joinBounds[from]; !done {
		o.importState(now, state)
	}
}

// acceptEarlyState stores a state that a session hands over before it ends.
func (o *ownership) acceptEarlyState(now time.Time, from uint64, state limit.State) {
	if _, done := o.leaveBounds[from]; done {
		return
	}
	o.earlyStates[state.Bucket] = earlyState{from, state}
	o.importEarlyStates(now)
}

// awaitsHandover reports whether a former owner may still hand over to this entry.
func (o *ownership) awaitsHandover(now time.Time) bool {
	if !now.Before(o.joinLoans.latestGrant) {
		return false
	}
	for _, session := range o.formerOwners.sessions {
		if _, ok := o.joinBounds[session]; !ok && o.ring.Has(session) {
			return true
		}
	}
	return false
}

// boundFor returns the bound of a bucket without a state and, if the former owner sent none, the unknown loans that
// determine the bound. It returns false while the former owner may still act.
func (o *ownership) boundFor(now time.Time, bucket string) (bound levelBound, unknown *unknownLoans, ok bool) {
	for i := len(o.sessionEnds) - 1; i >= 0; i-- {
		e := o.sessionEnds[i]
		former := e.previous.Owner(bucket)
		if former == o.self {
			continue
		}
		if sent, ok := o.leaveBounds[former]; ok {
			return sent.combine(o.forgottenBound), nil, true
		}
		return e.bound().combine(o.forgottenBound), &e.unknownLoans, true
	}
	if len(o.formerOwners.sessions) == 0 {
		return o.boundWithoutFormerOwner().combine(o.forgottenBound), nil, true
	}
	former := o.formerOwners.Owner(bucket)
	if sent, ok := o.joinBounds[former]; ok {
		return sent.combine(o.forgottenBound), nil, true
	}
	if now.Before(o.joinLoans.latestGrant) {
		return bound, nil, false
	}
	return o.joinLoans.bound().combine(o.forgottenBound), &o.joinLoans, true
}

// boundWithoutFormerOwner returns the bound of all buckets if no other session existed when this entry joined.
func (o *ownership) boundWithoutFormerOwner() levelBound {
	if o.firstSession {
		return levelBound{}
	}
	return levelBound{emptyAt: o.joinedAt}
}

// open starts to own a bucket, if needed, and reports whether this entry may lend from the bucket.
func (o *ownership) open(now time.Time, bucket string, l config.Limit) bool {
	if o.owner.Has(bucket) {
		return true
	}
	bound, unknown, ok := o.boundFor(now, bucket)
	if !ok {
		return false
	}
	o.owner.Open(now, bucket, l, bound.start())
	if unknown != nil && o.owner.HasUnknownLoans(now, bucket) {
		unknown.buckets = append(unknown.buckets, bucket)
	}
	return true
}

// recordReport records that a session has reported all its loans under the view with this index.
func (o *ownership) recordReport(now time.Time, session, index uint64) {
	if o.ring.Has(session) && index > o.reportedIndexes[session] {
		o.reportedIndexes[session] = index
		o.resolveLoans(now)
	}
}

// resolveLoans marks unknown loans as known once all sessions have reported.
func (o *ownership) resolveLoans(now time.Time) {
	lowest := uint64(math.MaxUint64)
	for _, session := range o.ring.sessions {
		lowest = min(lowest, o.reportedIndexes[session])
	}
	resolve := func(u *unknownLoans) {
		if !u.reportedAt.IsZero() || u.viewIndex > lowest || now.Before(u.latestGrant) {
			return
		}
		u.reportedAt = now
		for _, name := range u.buckets {
			o.owner.MarkLoansKnown(now, name)
		}
		u.buckets = nil
	}
	for _, e := range o.sessionEnds {
		resolve(&e.unknownLoans)
	}
	resolve(&o.joinLoans)
}

// overallBound returns the bound of all buckets that this entry owns without a state. It returns false while a
// former owner may still hand over.
func (o *ownership) overallBound(now time.Time) (levelBound, bool) {
	if o.awaitsHandover(now) {
		return levelBound{}, false
	}
	bound := o.forgottenBound
	for _, e := range o.sessionEnds {
		bound = bound.combine(o.boundAfter(e))
	}
	if len(o.formerOwners.sessions) == 0 {
		return bound.combine(o.boundWithoutFormerOwner()), true
	}
	for _, session := range o.formerOwners.sessions {
		if sent, ok := o.joinBounds[session]; ok {
			bound = bound.combine(sent)
		} else {
			bound = bound.combine(o.joinLoans.bound())
		}
	}
	return bound, true
}

// removeIdle removes buckets that would be full if they were opened again.
func (o *ownership) removeIdle(now time.Time) {
	o.owner.RemoveIdle(now, func(name string, l config.Limit) bool {
		bound, _, ok := o.boundFor(now, name)
		if !ok {
			return false
		}
		s := bound.start()
		filled := now.Sub(s.EmptyAt).Seconds() * float64(l.TokensPerSecond) / (1 + limit.MaxClockDrift)
		return s.Full || !now.Before(s.UnknownUntil) && filled >= float64(l.BurstTokens)
	})
}
