package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxEvidence bounds the broken attempts that an entry remembers, evidenceLifetime how long it does.
	maxEvidence      = 64
	evidenceLifetime = time.Minute
	// maxStarts bounds each of the two generations of parts whose last answers are remembered.
	maxStarts = 1024
)

// Evidence is what an entry reports.
type Evidence struct {
	Breaks []Break
	Starts []Start
	// Begun counts, by service, the answers that engines began and went on with.
	Begun map[string]uint64
	// Known is set in the first report to a coordinator: what the coordinator before it knew.
	Known State
	// Revision is that of the state that the entry has from the coordinator, 0 for none.
	Revision uint64
}

// Guard is the part of an entry: it collects the entry's evidence for the coordinator and decides by the coordinator's last
// response, or by the entry's own evidence if no coordinator responds. It is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// coordinator is the session of the coordinator that responded last, 0 for none.
	coordinator uint64
	state       State
	// own decides while no coordinator responds.
	own *Ledger
	// breaks and begun are the evidence that no coordinator has confirmed yet.
	breaks []Break
	begun  map[string]uint64
	// starts and olderStarts hold when the last answer on a part began.
	starts, olderStarts map[Part]time.Time
	// sent is the evidence of the last report.
	sent Evidence
	// logged holds the quarantined parts of the last call of Changes.
	logged map[Part]Item
}

// NewGuard returns a guard without evidence.
func NewGuard() *Guard {
	return &Guard{own: NewLedger(), begun: map[string]uint64{}, starts: map[Part]time.Time{}, logged: map[Part]Item{}}
}

// Broke records a broken attempt of this entry. Of attempts without parts, one for each engine is enough.
func (g *Guard) Broke(b Break) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(b.Parts) == 0 && slices.ContainsFunc(g.breaks, func(other Break) bool { return other.engine() == b.engine() }) {
		return
	}
	if len(g.breaks) == maxEvidence {
		g.breaks = slices.Delete(g.breaks, 0, 1)
	}
	g.breaks = append(g.breaks, b)
	if g.coordinator == 0 {
		g.own.Break(b.At, b)
	}
}

// Started records an answer on parts that an engine began at the given time and went on with.
func (g *Guard) Started(now time.Time, service string, parts []uint64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun[service]++
	if g.coordinator == 0 {
		g.own.CountStarts(now, service, 1)
	}
	if len(g.starts) >= maxStarts {
		g.olderStarts, g.starts = g.starts, make(map[Part]time.Time, maxStarts)
	}
	for _, id := range parts {
		part := Part{service, id}
		if at.After(g.starts[part]) {
			g.starts[part] = at
		}
		if g.coordinator == 0 {
			g.own.Start(Start{part, at})
		}
	}
}

// lastStart returns when the last answer on a part began, as far as it is remembered. The caller must hold g.mu.
func (g *Guard) lastStart(part Part) time.Time {
	if at, ok := g.starts[part]; ok {
		return at
	}
	return g.olderStarts[part]
}

// Check decides on a request. If coordinated is set, the coordinator decides on trials.
func (g *Guard) Check(now time.Time, service string, parts []uint64, coordinated bool) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, item := range g.state.Quarantined {
		if item.Service != service || !slices.Contains(parts, item.ID) {
			continue
		}
		if wait := item.Until.Sub(now); wait > 0 || !coordinated || g.coordinator == 0 {
			return Verdict{Refused: true, Part: item.ID, RetryAfter: max(wait, trialTimeout)}
		}
	}
	if g.coordinator == 0 {
		return g.own.Admit(now, service, parts)
	}
	return Verdict{}
}

// MayRepeat reports whether a request whose attempt has just broken off before the answer had begun may be sent again. It may
// not if a part of its prompt is thereby due for quarantine.
func (g *Guard) MayRepeat(b Break) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspects := g.state.Suspects
	if g.coordinator == 0 {
		suspects = g.own.State().Suspects
	}
	for _, s := range suspects {
		if s.Crashes >= minCrashes-1 && s.Service == b.Service && b.Sent.After(s.LastCrash) && slices.Contains(b.Parts, s.ID) &&
			!g.lastStart(s.Part).After(s.LastCrash) {
			return false
		}
	}
	return true
}

// Report returns the evidence that the coordinator has not counted yet.
func (g *Guard) Report(now time.Time, coordinator uint64) Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaks = slices.DeleteFunc(g.breaks, func(b Break) bool { return now.Sub(b.At) > evidenceLifetime })
	e := Evidence{Breaks: slices.Clone(g.breaks), Begun: maps.Clone(g.begun)}
	cleared := func(s Suspect) {
		if at := g.lastStart(s.Part); at.After(s.LastCrash) {
			e.Starts = append(e.Starts, Start{s.Part, at})
		}
	}
	for _, s := range g.state.Suspects {
		cleared(s)
	}
	for _, item := range g.state.Quarantined {
		cleared(item.Suspect)
	}
	if coordinator == g.coordinator {
		e.Revision = g.state.Revision
	} else {
		e.Known = g.state
		if g.coordinator == 0 {
			// The own ledger holds the suspects of the last coordinator too.
			own := g.own.State()
			e.Known = State{Suspects: own.Suspects, Quarantined: append(slices.Clone(g.state.Quarantined), own.Quarantined...)}
		}
	}
	g.sent = e
	return e
}

// Apply applies the response of a coordinator to the last report. A state with the revision of that report is not complete: the
// state has not changed.
func (g *Guard) Apply(coordinator uint64, state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaks = slices.DeleteFunc(g.breaks, func(b Break) bool {
		return slices.ContainsFunc(g.sent.Breaks, func(s Break) bool {
			return b.engine() == s.engine() && b.Sent.Equal(s.Sent) && b.At.Equal(s.At)
		})
	})
	for service, n := range g.sent.Begun {
		if g.begun[service] -= n; g.begun[service] == 0 {
			delete(g.begun, service)
		}
	}
	if state.Revision == 0 || state.Revision != g.sent.Revision {
		g.state = state
	}
	g.sent, g.coordinator = Evidence{}, coordinator
}

// Lost records that no coordinator responds.
func (g *Guard) Lost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coordinator == 0 {
		return
	}
	g.coordinator = 0
	g.own = NewLedger()
	g.own.Restore(State{Suspects: g.state.Suspects})
	for _, b := range g.breaks {
		g.own.Break(b.At, b)
	}
}

// Changes returns the parts that were quarantined and those whose quarantine ended since the last call, and the number of
// quarantined parts.
func (g *Guard) Changes() (added, ended []Item, total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	items := g.state.Quarantined
	if g.coordinator == 0 {
		items = append(slices.Clone(items), g.own.State().Quarantined...)
	}
	current := make(map[Part]Item, len(items))
	for _, item := range items {
		if _, known := g.logged[item.Part]; !known {
			added = append(added, item)
		}
		current[item.Part] = item
	}
	for part, item := range g.logged {
		if _, still := current[part]; !still {
			ended = append(ended, item)
		}
	}
	g.logged = current
	return added, ended, len(current)
}
