package route

import (
	"time"

	"azuredoor.example/entry/relay"
)

// reportLifetime is how long an engine's report is used; engines report several times per second.
const reportLifetime = 3 * time.Second

// maxRecentChanges is the number of starts and ends that are kept to correct delayed reports.
const maxRecentChanges = 64

// load estimates the load of one upstream: the last report, corrected by the requests that this entry started or ended
// since the report was made.
type load struct {
	// own is the number of this entry's running requests.
	own int
	// reported is the number of running and waiting requests in the last report, free the number of free slots.
	reported   int
	free       int
	reportedAt time.Time
	// delta is the number of this entry's requests that started since the report was made, minus the number of this
	// entry's requests that ended since then.
	delta  int
	recent [maxRecentChanges]loadChange
	next   int
}

type loadChange struct {
	at    time.Time
	delta int
}

func (l *load) change(now time.Time, by int) {
	l.own += by
	l.delta += by
	l.recent[l.next%maxRecentChanges] = loadChange{now, by}
	l.next++
}

func (l *load) start(now time.Time) { l.change(now, 1) }

func (l *load) end(now time.Time) {
	if l.own > 0 {
		l.change(now, -1)
	}
}

func (l *load) report(now time.Time, r relay.Load, slots int) {
	l.reportedAt, l.reported, l.free = now, r.Running+r.Waiting, r.FreeSlots
	if l.free == 0 && r.Running == 0 && r.Waiting == 0 {
		l.free = slots
	}
	made := now.Add(-r.Lag)
	l.delta = 0
	for _, s := range l.recent {
		if s.at.After(made) {
			l.delta += s.delta
		}
	}
}

// full records that the upstream had no free slot. The record holds until the next report or until a request of
// this entry ends.
func (l *load) full(slots int) {
	l.free, l.delta = 0, 0
	l.reported = max(l.reported, slots)
}

// running estimates the number of requests running on the upstream.
func (l *load) running(now time.Time) int {
	if now.Sub(l.reportedAt) > reportLifetime {
		return l.own
	}
	return max(l.own, l.reported+l.delta)
}

// freeSlots estimates the number of free slots of an upstream with the given number of slots.
func (l *load) freeSlots(now time.Time, slots int) int {
	if now.Sub(l.reportedAt) > reportLifetime {
		return slots - l.own
	}
	return min(slots-l.own, l.free-l.delta)
}
