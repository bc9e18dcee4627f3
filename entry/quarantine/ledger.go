// Package quarantine finds parts of prompts that crash each engine that begins to write an answer on them, and decides
// which requests are refused because of them. It is designed for a fleet whose engines also crash for other reasons,
// several at once: a part is quarantined after several crashes in a row that have no other cause, and cleared by one
// answer that an engine begins on it and goes on with.
//
// All functions take the current time. The package has no goroutines, clocks or sockets.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQuarantined bounds the quarantined parts.
	maxQuarantined = 16
	// maxSuspects bounds the parts whose crashes are counted, maxListed those that entries are told.
	maxSuspects = 256
	maxListed   = 64
	// suspectLifetime is how long the crashes of a part are remembered.
	suspectLifetime = 10 * time.Minute
	// firstPeriod is the length of a quarantine. It doubles with each failed trial up to maxPeriod.
	firstPeriod = 10 * time.Minute
	maxPeriod   = 24 * time.Hour
	// trialTimeout is how long the outcome of a trial is awaited.
	trialTimeout = 30 * time.Second
)

// Part identifies a part of the prompts of a service.
type Part struct {
	Service string
	ID      uint64
}

// Break is an attempt on an engine whose connection broke off.
type Break struct {
	Service     string
	Upstream    string
	Incarnation uint64
	// Parts are the parts of the prompt that other prompts may share, in order. They are empty if the engine had begun the
	// answer and gone on, so that the prompt is not the cause.
	Parts []uint64
	// Sent is when the attempt began, At when it broke off.
	Sent, At time.Time
}

// Start is an answer on a part that an engine began at the given time and went on with.
type Start struct {
	Part
	At time.Time
}

// Suspect is a part whose last answers all broke off with their engines.
type Suspect struct {
	Part
	// Crashes counts the crashes in a row, LastCrash is the time of the last one.
	Crashes   int
	LastCrash time.Time
	// Position is the last index of the part in a prompt.
	Position int
}

// Item is a quarantined part.
type Item struct {
	Suspect
	// Until is when one request may try the part again.
	Until time.Time
	// Period is the length of the quarantine.
	Period time.Duration
}

// State is what a coordinator knows.
type State struct {
	// Revision changes with the parts of a ledger. It is 0 if it is unknown.
	Revision    uint64
	Suspects    []Suspect
	Quarantined []Item
}

// Verdict is the decision on one request.
type Verdict struct {
	Refused bool
	// Part is the part that the request is refused for, RetryAfter the time until it may be tried again.
	Part       uint64
	RetryAfter time.Duration
}

// Ledger holds the evidence on parts and the quarantined ones. It is not safe for concurrent use.
type Ledger struct {
	revision uint64
	records  map[Part]*record
	services map[string]*service
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{revision: 1, records: map[Part]*record{}, services: map[string]*service{}}
}

func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}

// Break records a broken attempt.
func (l *Ledger) Break(now time.Time, b Break) {
	l.revision++
	l.expire(now)
	s := l.service(b.Service)
	s.add(b)
	if l.explained(now, b) {
		return
	}
	for i, id := range b.Parts {
		part := Part{b.Service, id}
		r := l.records[part]
		if r == nil {
			l.makeRoom()
			r = &record{Item: Item{Suspect: Suspect{Part: part}}, startsBefore: s.starts}
			l.records[part] = r
		}
		r.add(b)
		r.Position = max(r.Position, i)
	}
	l.decide(now, b.Service)
}

// explained records a broken attempt on a quarantined part. It reports whether such a part is the cause of the attempt, as a part
// of its prompt or of another prompt on the same engine.
func (l *Ledger) explained(now time.Time, b Break) bool {
	explained := false
	for part, r := range l.records {
		switch {
		case !r.quarantined || part.Service != b.Service:
		case slices.Contains(b.Parts, part.ID):
			explained = true
			r.addLate(now, b)
			l.explain(r)
		default:
			explained = explained || r.crashed(b.engine())
		}
	}
	return explained
}

// explain takes the crashes of a quarantined part from the other parts.
func (l *Ledger) explain(cause *record) {
	for part, r := range l.records {
		if r.quarantined || r.Service != cause.Service {
			continue
		}
		r.restored, r.counted = 0, 0
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return cause.crashed(c.engine) })
		if len(r.crashes) == 0 {
			delete(l.records, part)
		}
	}
}

// decide quarantines the part with the most crashes if the evidence suffices.
func (l *Ledger) decide(now time.Time, name string) {
	s := l.service(name)
	var worst *record
	for part, r := range l.records {
		if part.Service != name || r.quarantined || len(r.crashes)+r.restored < minCrashes {
			continue
		}
		if r.count(s); r.guilty(s) && !l.laterPartExplains(now, r) && (worst == nil || r.compare(worst) > 0) {
			worst = r
		}
	}
	if worst == nil || l.quarantined() >= maxQuarantined {
		return
	}
	l.revision++
	worst.quarantined, worst.Period, worst.Until = true, firstPeriod, now.Add(firstPeriod)
	l.explain(worst)
}

// laterPartExplains reports whether a part that comes later in prompts, so that fewer prompts share it, was in the same crashes.
// One crash may have another cause.
func (l *Ledger) laterPartExplains(now time.Time, r *record) bool {
	for part, other := range l.records {
		if part.Service != r.Service || other.Position <= r.Position || other.quarantined ||
			len(other.crashes)+other.restored < minCrashes-1 {
			continue
		}
		without, s := 0, l.service(r.Service)
		for _, c := range r.crashes {
			if now.Sub(c.at) > reportTime && !other.crashed(c.engine) && !r.sharesTime(s, c.at) {
				without++
			}
		}
		if without <= 1 {
			return true
		}
	}
	return false
}

// compare orders records by the number of crashes, then by the position in prompts.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.Crashes, other.Crashes), cmp.Compare(r.Position, other.Position), cmp.Compare(r.ID, other.ID))
}

func (l *Ledger) quarantined() int {
	n := 0
	for _, r := range l.records {
		if r.quarantined {
			n++
		}
	}
	return n
}

// makeRoom forgets the suspect whose last crash is the oldest if there are too many.
func (l *Ledger) makeRoom() {
	if len(l.records) < maxSuspects+maxQuarantined {
		return
	}
	var oldest *record
	for _, r := range l.records {
		if !r.quarantined && (oldest == nil || r.LastCrash.Before(oldest.LastCrash)) {
			oldest = r
		}
	}
	delete(l.records, oldest.Part)
}

// expire forgets crashes that are too old, and quarantined parts that no request has asked for since their time passed.
func (l *Ledger) expire(now time.Time) {
	for part, r := range l.records {
		if !r.quarantined && now.Sub(r.LastCrash) > suspectLifetime || r.quarantined && now.Sub(r.Until) > r.Period {
			delete(l.records, part)
		}
	}
}

// Start clears a part if the answer began after its last crash.
func (l *Ledger) Start(s Start) {
	if r := l.records[s.Part]; r != nil && s.At.After(r.LastCrash) {
		l.revision++
		delete(l.records, s.Part)
	}
}

// CountStarts adds answers that engines of a service began and went on with.
func (l *Ledger) CountStarts(now time.Time, name string, n uint64) {
	l.service(name).starts += n
	l.decide(now, name)
}

// Admit decides on a request. After the time of a quarantine it admits one request as a trial.
func (l *Ledger) Admit(now time.Time, name string, parts []uint64) Verdict {
	var trials []*record
	for _, id := range parts {
		r := l.records[Part{name, id}]
		if r == nil || !r.quarantined {
			continue
		}
		wait := r.Until.Sub(now)
		if !r.trialAt.IsZero() {
			wait = max(wait, trialTimeout-now.Sub(r.trialAt))
		}
		if wait > 0 {
			return Verdict{Refused: true, Part: id, RetryAfter: wait}
		}
		trials = append(trials, r)
	}
	for _, r := range trials {
		r.trialAt = now
	}
	return Verdict{}
}

// Revision returns the revision of the state.
func (l *Ledger) Revision() uint64 { return l.revision }

// State returns the suspected and the quarantined parts. Of too many suspects it leaves out those with the fewest crashes.
func (l *Ledger) State() State {
	state := State{Revision: l.revision}
	for _, r := range l.records {
		if r.quarantined {
			state.Quarantined = append(state.Quarantined, r.Item)
			continue
		}
		r.count(l.service(r.Service))
		state.Suspects = append(state.Suspects, r.Suspect)
	}
	slices.SortFunc(state.Suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), b.LastCrash.Compare(a.LastCrash))
	})
	state.Suspects = state.Suspects[:min(len(state.Suspects), maxListed)]
	return state
}

// Restore adds the parts that an earlier coordinator knew, unless this ledger knows more crashes of them.
func (l *Ledger) Restore(state State) {
	restore := func(s Suspect) *record {
		l.revision++
		r := l.records[s.Part]
		if r == nil {
			l.makeRoom()
			r = &record{startsBefore: l.service(s.Service).starts}
			l.records[s.Part] = r
		}
		r.Suspect, r.restored, r.restoredAt, r.counted = s, s.Crashes, s.LastCrash, 0
		return r
	}
	for _, s := range state.Suspects {
		if r := l.records[s.Part]; r == nil || !r.quarantined && r.restored < s.Crashes {
			restore(s)
		}
	}
	for _, item := range state.Quarantined {
		if r := l.records[item.Part]; (r == nil || !r.quarantined) && l.quarantined() < maxQuarantined {
			r = restore(item.Suspect)
			r.Item, r.quarantined = item, true
		}
	}
}
