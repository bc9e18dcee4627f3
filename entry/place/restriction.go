package place

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Notice is what a response of an upstream states about further requests of this entry.
type Notice struct {
	// Leaving is set if the upstream is about to stop and wants no further requests.
	Leaving bool
	// Pause is how long the upstream wants no requests of this entry; 0 if it states no time.
	Pause time.Duration
}

const (
	// restrictionRetention is how long the restriction of an upstream that is no longer in the view is kept. It is longer than a
	// view takes to settle after a partition.
	restrictionRetention = 10 * time.Minute
	// maxPause bounds a pause, so that a garbled or absurd time does not take an upstream out for good.
	maxPause = time.Hour
)

// PausedError is the error of Pick if each upstream that the request may use has asked for a pause.
type PausedError struct {
	// Wait is the time until such an upstream accepts requests again.
	Wait time.Duration
	// Retry is the time until any upstream of the service does, or 0 if one that the request has tried accepts requests now.
	Retry time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return "all upstreams of the service that accept requests have asked for a pause"
}

// MayWait reports whether a request that got the error of Pick may get an upstream within the given time.
func MayWait(err error, left time.Duration) bool {
	var paused *PausedError
	if errors.As(err, &paused) {
		return paused.Wait < left
	}
	return errors.Is(err, ErrBusy) && left > 0
}

// restriction is what one incarnation of an upstream has stated about further requests. It is kept while the upstream is out
// of the view, so that an incarnation that returns is still restricted.
type restriction struct {
	incarnation uint64
	leaving     bool
	// pausedUntil is when the longest pause ends that the upstream has asked for.
	pausedUntil time.Time
	// recordedAt is when the restriction was last stated.
	recordedAt time.Time
}

// RecordNotice records a notice of an upstream. It reports whether it is the first that the incarnation leaves, and returns the
// length of a pause that begins with it. A notice of an earlier incarnation than the current one is ignored. A pause is never
// shortened.
func (t *Table) RecordNotice(now time.Time, u Upstream, n Notice) (leaving bool, pause time.Duration) {
	if !n.Leaving && n.Pause <= 0 {
		return false, 0
	}
	r := t.restriction(now, u)
	if r == nil {
		return false, 0
	}
	r.recordedAt = now
	if n.Leaving && !r.leaving {
		r.leaving, leaving = true, true
	}
	if until := now.Add(min(n.Pause, maxPause)); n.Pause > 0 && until.After(r.pausedUntil) {
		if !now.Before(r.pausedUntil) {
			pause = until.Sub(now)
		}
		r.pausedUntil = until
	}
	return leaving, pause
}

// restriction returns the restriction of an incarnation, which is added if there is none, or nil if the incarnation is not the
// current one.
func (t *Table) restriction(now time.Time, u Upstream) *restriction {
	s, r := t.states[u.ID], t.restrictions[u.ID]
	if s != nil && s.Incarnation != u.Incarnation || s == nil && r != nil && r.incarnation != u.Incarnation {
		return nil
	}
	if r == nil || r.incarnation != u.Incarnation {
		for id, old := range t.restrictions {
			if t.states[id] == nil && now.Sub(old.recordedAt) > restrictionRetention {
				delete(t.restrictions, id)
			}
		}
		r = &restriction{incarnation: u.Incarnation}
		t.restrictions[u.ID] = r
	}
	if s != nil {
		s.restriction = r
	}
	return r
}

// restrictionOf returns the restriction of an upstream's incarnation, or nil.
func (t *Table) restrictionOf(u Upstream) *restriction {
	if r := t.restrictions[u.ID]; r != nil && r.incarnation == u.Incarnation {
		return r
	}
	return nil
}

// leaving reports whether the upstream has announced or stated that it leaves.
func (s *state) leaving() bool { return !s.Accepts || s.restriction != nil && s.restriction.leaving }

// pause returns how long the upstream still wants no requests of this entry.
func (s *state) pause(now time.Time) time.Duration {
	if s.restriction == nil {
		return 0
	}
	return max(0, s.restriction.pausedUntil.Sub(now))
}

// restricted reports whether the upstream has stated that it wants no requests of this entry now.
func (s *state) restricted(now time.Time) bool {
	return s.restriction != nil && (s.restriction.leaving || s.pause(now) > 0)
}

// Restricted reports whether an incarnation of an upstream has stated that it wants no requests of this entry now.
func (t *Table) Restricted(now time.Time, id string, incarnation uint64) bool {
	r := t.restrictions[id]
	return r != nil && r.incarnation == incarnation && (r.leaving || now.Before(r.pausedUntil))
}

// ResumeDelay returns the time until the first upstream accepts such requests of this entry again, or 0 if one does now or none will.
func (t *Table) ResumeDelay(now time.Time, need Need) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, s := range t.states {
		if s.Service == need.Service && s.Role == need.Role && need.allows(&s.Upstream) && !s.leaving() {
			least = min(least, s.pause(now))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// errNoneOpen returns the error of Pick for a request that finds no upstream that accepts requests.
func (t *Table) errNoneOpen(now time.Time, need Need) error {
	e := &PausedError{Wait: math.MaxInt64, Retry: t.ResumeDelay(now, need)}
	for _, s := range t.states {
		if s.Service == need.Service && s.Role == need.Role && need.allows(&s.Upstream) && !s.leaving() && !slices.Contains(need.Exclude, s.ID) {
			e.Wait = min(e.Wait, s.pause(now))
		}
	}
	if e.Wait == math.MaxInt64 && e.Retry == 0 {
		return t.WhyNone(need)
	}
	return e
}

// WhyNone returns why no upstream accepts such a request: ErrNone or one of its cases.
func (t *Table) WhyNone(need Need) error {
	present, sameSoftware, allowed, others := false, false, false, false
	for _, s := range t.states {
		if s.Service != need.Service || s.Role != need.Role || !s.Announcing && !s.Evacuated {
			continue
		}
		present = true
		sameSoftware = sameSoftware || need.allowsSoftware(s.SoftwareVersion)
		if need.allows(&s.Upstream) {
			allowed = true
			others = others || !s.Evacuated
		}
	}
	switch {
	case present && !sameSoftware:
		return ErrSoftware
	case present && !allowed:
		return ErrRegion
	case allowed && !others:
		return ErrEvacuated
	}
	return ErrNone
}

// Leaving returns the engines, with their incarnations, that have stated that they leave and have not announced it yet.
func (t *Table) Leaving() map[string]uint64 {
	engines := map[string]uint64{}
	for id, r := range t.restrictions {
		if s := t.states[id]; s != nil && s.restriction == r && r.leaving && s.Accepts && s.Role != RoleAny {
			engines[id] = r.incarnation
		}
	}
	return engines
}

// Unavailable returns the upstreams of a service to which this entry sends no requests, although they announce that they accept
// some: it has ejected them, or they have stated that they want none now.
func (t *Table) Unavailable(now time.Time, service string) []string {
	var ids []string
	for _, id := range t.ids {
		if s := t.states[id]; s.Service == service && (now.Before(s.ejectedUntil) || s.restricted(now) && s.Accepts) {
			ids = append(ids, id)
		}
	}
	return ids
}
