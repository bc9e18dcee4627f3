package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes in a row after which a part is quarantined.
	minCrashes = 3
	// maxChance bounds the probability that as many crashes in a row are chance, given how many answers began in the same time
	// and how many attempts broke off on other engines. If engines fail whatever the prompt, it takes more crashes.
	maxChance = 0.02
	// sameTime is the time between crashes that may have the same cause.
	sameTime = 100 * time.Millisecond
	// reportTime is the time in which the entries report a crash.
	reportTime = 150 * time.Millisecond
	// maxPartCrashes bounds the crashes that are remembered for a part, maxServiceCrashes those for a service.
	maxPartCrashes    = 32
	maxServiceCrashes = 128
)

type engine struct {
	upstream    string
	incarnation uint64
}

func (b Break) engine() engine { return engine{b.Upstream, b.Incarnation} }

// crash is an engine that crashed.
type crash struct {
	engine
	// at is when the first attempt broke off, sent when that attempt began.
	sent, at time.Time
	// breaks counts the attempts that broke off before their answer had begun.
	breaks int
}

// service holds the evidence on all prompts of a service.
type service struct {
	// starts counts the answers that engines began and went on with.
	starts uint64
	// crashes are the last crashes, added is the number of all.
	crashes []crash
	added   uint64
}

func (s *service) add(b Break) {
	i := slices.IndexFunc(s.crashes, func(c crash) bool { return c.engine == b.engine() })
	if i < 0 {
		if i = len(s.crashes); i == maxServiceCrashes {
			s.crashes, i = slices.Delete(s.crashes, 0, 1), i-1
		}
		s.crashes = append(s.crashes, crash{engine: b.engine(), at: b.At})
		s.added++
	}
	if len(b.Parts) > 0 {
		s.crashes[i].breaks++
	}
}

// record holds the evidence on one part.
type record struct {
	Item
	// crashes are the engines that crashed with an attempt on the part, in the order of time.
	crashes []crash
	// restored is the number of crashes that an earlier coordinator had counted up to restoredAt.
	restored   int
	restoredAt time.Time
	// counted is the value of service.added, plus 1, for which Crashes holds; 0 if it must be counted again.
	counted uint64
	// startsBefore counts the answers of the service that had begun before the first crash.
	startsBefore uint64
	// quarantined is set while Until and Period are valid.
	quarantined bool
	// trialAt is when the last trial was admitted.
	trialAt time.Time
}

func (r *record) crashed(e engine) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.engine == e })
}

func (r *record) add(b Break) {
	if r.crashed(b.engine()) {
		return
	}
	r.counted = 0
	i, _ := slices.BinarySearchFunc(r.crashes, b.At, func(c crash, at time.Time) int { return c.at.Compare(at) })
	r.crashes = slices.Insert(r.crashes, i, crash{engine: b.engine(), sent: b.Sent, at: b.At})
	if len(r.crashes) > maxPartCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	if b.At.After(r.LastCrash) {
		r.LastCrash = b.At
	}
}

// addLate records a crash of a quarantined part. The failure of a trial lengthens the quarantine.
func (r *record) addLate(now time.Time, b Break) {
	r.add(b)
	if !r.trialAt.IsZero() && !b.Sent.Before(r.trialAt) {
		r.Period = min(2*r.Period, maxPeriod)
		r.Until, r.trialAt = now.Add(r.Period), time.Time{}
	}
}

// count sets the number of crashes in a row. Attempts that were sent before the last crash are no further evidence, and neither
// are crashes at the time at which engines without the part crashed.
func (r *record) count(s *service) {
	if r.counted == s.added+1 {
		return
	}
	r.counted = s.added + 1
	last := r.restoredAt
	r.Crashes = r.restored
	for _, c := range r.crashes {
		if r.Crashes > 0 && !c.sent.After(last) || r.sharesTime(s, c.at) {
			continue
		}
		r.Crashes++
		last = c.at
	}
}

// sharesTime reports whether an engine without an attempt on the part crashed at about the given time.
func (r *record) sharesTime(s *service, at time.Time) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.at.Sub(at).Abs() <= sameTime && !r.crashed(c.engine) })
}

// guilty reports whether the evidence suffices for a quarantine. It takes a crash that this ledger has counted itself, because an
// entry may have reported crashes that the coordinator before has explained since.
func (r *record) guilty(s *service) bool {
	if r.Crashes < minCrashes || r.Crashes == r.restored {
		return false
	}
	first := r.restoredAt
	if len(r.crashes) > 0 && r.restored == 0 {
		first = r.crashes[0].at
	}
	broken, begun := 0.0, float64(s.starts-r.startsBefore)
	for _, c := range s.crashes {
		if !c.at.Before(first) && !r.crashed(c.engine) {
			broken += float64(c.breaks)
		}
	}
	return math.Pow((broken+1)/(broken+begun+2), float64(r.Crashes)) <= maxChance && !r.engineExplains(s, first)
}

// engineExplains reports whether all crashes were on one engine, which has also crashed without the part since the given time, in
// at least a quarter of its crashes.
func (r *record) engineExplains(s *service, since time.Time) bool {
	if r.restored > 0 {
		return false
	}
	upstream := r.crashes[0].upstream
	if slices.ContainsFunc(r.crashes, func(c crash) bool { return c.upstream != upstream }) {
		return false
	}
	without := 0
	for _, c := range s.crashes {
		if c.upstream == upstream && !c.at.Before(since) && !r.crashed(c.engine) {
			without++
		}
	}
	return without*3 >= len(r.crashes)
}
