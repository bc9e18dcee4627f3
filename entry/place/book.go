package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Generation is a generation of an entry on a decode engine.
type Generation struct {
	// ID is unique within the session of the entry.
	ID          uint64
	Upstream    string
	Incarnation uint64
	// Prompt is the number of prompt tokens, Output that of the output tokens so far, and Expected that of the whole
	// output. Prompt is positive.
	Prompt, Output, Expected int
}

// GenerationNeed describes a generation that needs engines.
type GenerationNeed struct {
	Session    uint64
	Service    string
	Generation Generation
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// Exclude lists engines that must not be chosen. Full lists decode engines that have just refused a reservation.
	Exclude, Full []string
	// Target is the latency target to the first event.
	Target time.Duration
	// Regions are those whose engines may run the generation, nil for all.
	Regions []string
	// SoftwareVersion is the only one whose decode engines may run the generation, if SameSoftware is set.
	SoftwareVersion string
	SameSoftware    bool
	// Repeatable is set if the generation may run more than once.
	Repeatable bool
}

// allowsSoftware reports whether the generation may run on a decode engine of the software version.
func (n *GenerationNeed) allowsSoftware(version string) bool {
	return !n.SameSoftware || n.SoftwareVersion == version
}

// allows reports whether the generation may run on an engine in the region.
func (n *GenerationNeed) allows(region string) bool {
	return n.Regions == nil || slices.Contains(n.Regions, region)
}

// Placement is the result of Book.Place.
type Placement struct {
	Decode Upstream
	// Prefill processes the prompt. It is the zero value if the decode engine processes the prompt.
	Prefill Upstream
	// PrefillTime is the expected time until the prompt is processed.
	PrefillTime time.Duration
	// Cold is set if an engine is cold, and the generation was counted there.
	Cold bool
}

const (
	// forecastShare is the share of an engine's memory that the forecast may fill.
	forecastShare = 0.97
	// minRemainingShare is the share of the expected output that is assumed to remain of a generation that has reached
	// or passed its expected length. Output lengths vary by about half of their mean.
	minRemainingShare = 0.3
	// lengthDeviation is the standard deviation of the remaining output, as a share of the remaining output.
	lengthDeviation = 0.6
	// peakDeviations is the number of standard deviations that the forecast adds to the expected peak. A preempted
	// generation costs as much as a served one, so that one in 40 placements may be wrong.
	peakDeviations = 2
	// unreportedLifetime is how long a placement counts that its entry has not reported: a few report intervals.
	unreportedLifetime = 500 * time.Millisecond
	// remoteEnginePenalty is the cost of a decode engine in another failure domain than the entry, as a share of the
	// engine's memory.
	remoteEnginePenalty = 0.04
	// remotePrefillDelay is the delay that a prefill in another failure domain than the decode engine counts as, because
	// moving its result takes longer.
	remotePrefillDelay = 15 * time.Millisecond
	// rateWeight is the weight of one report in the moving averages of rates.
	rateWeight = 0.05
	// changingLifetime is how long a report that an engine changes its role or leaves counts: a few report intervals.
	changingLifetime = 2 * time.Second
	// initialSuspicion is how long an engine that an entry has ejected gets nothing. It doubles up to maxSuspicion.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	// probeDuration is how long an engine that has failed gets nothing else after a probe. An engine that does not respond is
	// noticed within it.
	probeDuration = 2 * time.Second
	// coldEnginePenalty is the cost of a cold decode engine, as a share of the engine's memory. It is small, because the rate at which the
	// engine bears requests is counted.
	coldEnginePenalty = 0.05
	// suspectPenalty makes an engine that an entry has ejected the last choice.
	suspectPenalty = 10
)

// Book holds the generations of all entries and places further ones. It is designed for bursts in which the generations
// wanted at once need more memory than the engines have: each generation is placed where the largest memory that the
// generations will need together stays lowest, and none is placed where it is expected to exceed the memory, because
// an engine out of memory preempts a generation and processes its prompt and output again.
//
// A Book is not safe for concurrent use.
type Book struct {
	engines map[string]*bookEngine
	ids     []string
	// byOwner holds the generations by session and ID.
	byOwner map[uint64]map[uint64]*placed
	// prefillRate is the rate of prefill engines, in tokens per millisecond. prefillDelay is the time that a prefill takes
	// beyond that, in which the engine processes other prompts.
	prefillRate  float64
	prefillDelay time.Duration
	// tokenTime is the average time per output token, or 0 before the first observation.
	tokenTime time.Duration
	// cold counts the requests to cold engines. coldReady is set while nobody else counts any.
	cold      *ColdLimiter
	coldReady bool
}

type bookEngine struct {
	Upstream
	generations []*placed
	// busyUntil is when a prefill engine has processed the prompts that were placed on it.
	busyUntil time.Time
	fullUntil time.Time
	// suspectedUntil is when an engine that an entry has ejected may be tried again. probing is set while one generation or
	// prompt tries it. failures counts the times that it was suspected since it last responded.
	suspectedUntil time.Time
	probing        bool
	failures       int
	// changingAt is when an entry last reported that the engine is about to change its role or to leave.
	changingAt time.Time
}

// suspect reports whether the engine has failed and has not responded since.
func (e *bookEngine) suspect(now time.Time) bool {
	if e.probing && !now.Before(e.suspectedUntil) {
		// The probe has not failed.
		e.recovered(now)
	}
	return now.Before(e.suspectedUntil)
}

// probe records that a generation or a prompt was placed on the engine. If the engine has failed, the next one waits for
// the outcome.
func (e *bookEngine) probe(now time.Time) {
	if e.failures > 0 && !e.probing {
		e.probing, e.suspectedUntil = true, now.Add(probeDuration)
	}
}

// recovered records that the engine has responded. One that had failed may have been dark or replaced, and have become cold, without an
// announcement yet.
func (e *bookEngine) recovered(now time.Time) {
	if e.failures > 0 && e.ColdRate > 0 {
		e.ColdUntil = later(e.ColdUntil, now.Add(e.ColdStart))
	}
	e.failures, e.probing, e.suspectedUntil = 0, false, time.Time{}
}

// usable reports whether the engine takes generations or prompts.
func (e *bookEngine) usable(now time.Time) bool {
	return e.Accepts && now.Sub(e.changingAt) >= changingLifetime
}

type placed struct {
	Generation
	session  uint64
	engine   *bookEngine
	placedAt time.Time
	// outputAt is when Output was reported.
	outputAt time.Time
	reported bool
}

// NewBook returns a book without engines.
func NewBook() *Book {
	return &Book{engines: map[string]*bookEngine{}, byOwner: map[uint64]map[uint64]*placed{}, prefillRate: initialPrefillRate, cold: NewColdLimiter()}
}

// SetColdReady sets whether the book may place generations on cold engines: whether no other one does.
func (b *Book) SetColdReady(ready bool) { b.coldReady = ready }

// mayUse reports whether that many requests may be sent to the engine now as far as its being cold is concerned.
func (b *Book) mayUse(now time.Time, e *bookEngine, requests int) bool {
	return !e.cold(now) || b.coldReady && b.cold.may(now, &e.Upstream, requests)
}

// countCold counts requests to the engine if it is cold, and reports whether it is.
func (b *Book) countCold(now time.Time, e *bookEngine, requests int) bool {
	if !e.cold(now) {
		return false
	}
	b.cold.Take(now, &e.Upstream, requests)
	return true
}

// Set replaces the engines. Capacity is the whole memory of a decode engine. Generations stay on an engine whose
// incarnation and address stay the same.
func (b *Book) Set(engines []Upstream) {
	next := make(map[string]*bookEngine, len(engines))
	b.ids = b.ids[:0]
	for _, u := range engines {
		e := b.engines[u.ID]
		if e == nil || e.Incarnation != u.Incarnation || e.Address != u.Address {
			e = &bookEngine{}
		}
		if e.Role != u.Role {
			e.changingAt = time.Time{}
		}
		u.ColdUntil = later(u.ColdUntil, e.ColdUntil)
		e.Upstream = u
		next[u.ID] = e
		b.ids = append(b.ids, u.ID)
	}
	slices.Sort(b.ids)
	b.engines = next
	b.cold.Forget(func(id string, incarnation uint64) bool {
		return next[id] != nil && next[id].Incarnation == incarnation
	})
	for _, own := range b.byOwner {
		for id, g := range own {
			if next[g.Upstream] != g.engine {
				delete(own, id)
			}
		}
	}
}

// ObservePrefillSpeed records the speed of prefill engines that an entry reports: tokens per millisecond, and the time that a
// prefill takes beyond that. A rate of 0 is ignored.
func (b *Book) ObservePrefillSpeed(rate float64, delay time.Duration) {
	if rate > 0 {
		b.prefillRate += rateWeight * (rate - b.prefillRate)
		b.prefillDelay += time.Duration(rateWeight * float64(delay-b.prefillDelay))
	}
}

// Observe replaces the generations of an entry by those that it reports, except recent placements that it may not know
// yet. It returns the number of generations that have ended, by service.
func (b *Book) Observe(now time.Time, session uint64, reported []Generation) (ended map[string]int) {
	ended = map[string]int{}
	own := b.byOwner[session]
	if own == nil {
		own = map[uint64]*placed{}
		b.byOwner[session] = own
	}
	seen := make(map[uint64]bool, len(reported))
	for _, g := range reported {
		seen[g.ID] = true
		e := b.engines[g.Upstream]
		if e == nil || e.Incarnation != g.Incarnation {
			continue
		}
		p := own[g.ID]
		if p != nil && p.engine != e {
			b.remove(p)
			p = nil
		}
		if p == nil {
			p = &placed{session: session, engine: e, placedAt: now}
			own[g.ID] = p
			e.generations = append(e.generations, p)
		}
		if g.Output > p.Output {
			e.recovered(now)
		}
		if g.Output > p.Output && p.Output > 0 {
			tokenTime := float64(now.Sub(p.outputAt)) / float64(g.Output-p.Output)
			if b.tokenTime == 0 {
				b.tokenTime = time.Duration(tokenTime)
			}
			b.tokenTime += time.Duration(rateWeight * (tokenTime - float64(b.tokenTime)))
		}
		if g.Output != p.Output || !p.reported {
			p.outputAt = now
		}
		p.Generation, p.reported = g, true
	}
	for id, p := range own {
		if !seen[id] && (p.reported || now.Sub(p.placedAt) > unreportedLifetime) {
			b.remove(p)
			ended[p.engine.Service]++
		}
	}
	return ended
}

// Suspect records that an entry has ejected an engine because of failures. The engine is the last choice until it responds,
// except that one generation at a time tries it again, after a pause that doubles with each failure. Otherwise each entry
// of a large fleet would try it.
func (b *Book) Suspect(now time.Time, id string, incarnation uint64) {
	e := b.engines[id]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	if e.probing || !e.suspect(now) {
		e.suspectedUntil = now.Add(min(initialSuspicion<<min(e.failures, 8), maxSuspicion))
		e.failures++
		e.probing = false
	}
}

// Changing records that an engine has been ordered to change its role, or has told an entry that it leaves. It finishes its
// generations and must get no further ones, although it still grants reservations.
func (b *Book) Changing(now time.Time, id string, incarnation uint64) {
	if e := b.engines[id]; e != nil && e.Incarnation == incarnation {
		e.changingAt = now
	}
}

// Drop removes the generations of an entry whose session has ended or that is silent.
func (b *Book) Drop(session uint64) {
	for _, p := range b.byOwner[session] {
		b.remove(p)
	}
	delete(b.byOwner, session)
}

// Sessions returns the sessions that have generations.
func (b *Book) Sessions() []uint64 {
	sessions := make([]uint64, 0, len(b.byOwner))
	for session := range b.byOwner {
		sessions = append(sessions, session)
	}
	return sessions
}

func (b *Book) remove(p *placed) {
	if i := slices.Index(p.engine.generations, p); i >= 0 {
		p.engine.generations = slices.Delete(p.engine.generations, i, i+1)
	}
	delete(b.byOwner[p.session], p.ID)
}

// remaining returns the expected further output of a generation and what the generation holds now, in tokens.
func (b *Book) remaining(now time.Time, p *placed) (held, remaining float64) {
	output := float64(p.Output)
	if b.tokenTime > 0 && p.Output > 0 {
		output += float64(now.Sub(p.outputAt)) / float64(b.tokenTime)
	}
	remaining = max(float64(p.Expected)-output, minRemainingShare*float64(p.Expected))
	return float64(p.Prompt) + output, remaining
}

// peak returns the largest memory in tokens that the engine's generations and a further one are expected to hold together,
// plus peakDeviations standard deviations. All generations grow at the same rate, so memory peaks just before one of them ends.
func (b *Book) peak(now time.Time, e *bookEngine, g Generation) float64 {
	type growth struct{ held, remaining float64 }
	all := make([]growth, 0, len(e.generations)+1)
	further := max(1, float64(g.Expected-g.Output))
	all = append(all, growth{float64(g.Prompt + g.Output), further})
	for _, p := range e.generations {
		held, remaining := b.remaining(now, p)
		all = append(all, growth{held, remaining})
	}
	slices.SortFunc(all, func(x, y growth) int { return cmp.Compare(x.remaining, y.remaining) })
	held := 0.0
	for _, x := range all {
		held += x.held
	}
	peak := 0.0
	for i, x := range all {
		// At this time the generations from i on still run.
		variance := 0.0
		for _, y := range all[i:] {
			grown := min(x.remaining, y.remaining) * lengthDeviation
			variance += grown * grown
		}
		peak = max(peak, held+x.remaining*float64(len(all)-i)+peakDeviations*math.Sqrt(variance))
		held -= x.held
	}
	return peak
}

// Place chooses the engines of a generation and records it. It returns ErrBusy if no engine has the memory, and ErrNone
// if no engine accepts requests.
func (b *Book) Place(now time.Time, need GenerationNeed) (Placement, error) {
	for _, id := range need.Full {
		if e := b.engines[id]; e != nil {
			e.fullUntil = now.Add(FullBackoff)
		}
	}
	excluded := make(map[string]bool, len(need.Exclude))
	for _, id := range need.Exclude {
		excluded[id] = true
	}
	var best *bookEngine
	least, accepting := math.Inf(1), 0
	for _, id := range b.ids {
		e := b.engines[id]
		if e.Service != need.Service || e.Role != RoleDecode || !need.allows(e.Region) || !need.allowsSoftware(e.SoftwareVersion) || !e.usable(now) || excluded[e.ID] {
			continue
		}
		accepting++
		if !b.mayUse(now, e, decodeRequests) || now.Before(e.fullUntil) || slices.Contains(need.Full, e.ID) || e.Slots > 0 && len(e.generations) >= e.Slots {
			continue
		}
		peak := b.peak(now, e, need.Generation)
		if e.Capacity > 0 && len(e.generations) > 0 && peak > forecastShare*float64(e.Capacity) {
			continue
		}
		if cost := b.cost(now, e, need, peak); cost < least {
			best, least = e, cost
		}
	}
	if accepting == 0 {
		return Placement{}, ErrNone
	}
	if best == nil {
		return Placement{}, ErrBusy
	}
	idle := len(best.generations) == 0
	b.add(now, best, need)
	placement := Placement{Decode: best.Upstream, Cold: b.countCold(now, best, decodeRequests)}
	b.placePrefill(now, need, excluded, best, idle, &placement)
	return placement, nil
}

func (b *Book) add(now time.Time, e *bookEngine, need GenerationNeed) {
	g := need.Generation
	g.Upstream, g.Incarnation = e.ID, e.Incarnation
	own := b.byOwner[need.Session]
	if own == nil {
		own = map[uint64]*placed{}
		b.byOwner[need.Session] = own
	}
	if old := own[g.ID]; old != nil {
		b.remove(old)
	}
	p := &placed{Generation: g, session: need.Session, engine: e, placedAt: now, outputAt: now}
	own[g.ID] = p
	e.generations = append(e.generations, p)
	e.probe(now)
}

// cost returns the share of the engine's memory that will be used, plus penalties.
func (b *Book) cost(now time.Time, e *bookEngine, need GenerationNeed, peak float64) float64 {
	cost := peak / max(1, float64(e.Capacity))
	if e.FailureDomain != need.FailureDomain {
		cost += remoteEnginePenalty
	}
	if !e.Announcing || e.suspect(now) {
		cost += suspectPenalty
	}
	if e.cold(now) {
		cost += coldEnginePenalty
		if !need.Repeatable {
			// What the engine crashes on can't run again.
			cost += suspectPenalty
		}
	}
	return cost
}

// placePrefill chooses the prefill engine that processes the prompt first, unless the decode engine is idle or
// sooner done.
func (b *Book) placePrefill(now time.Time, need GenerationNeed, excluded map[string]bool, decode *bookEngine, idle bool, placement *Placement) {
	tokens := need.Generation.Prompt
	took := prefillTime(tokens, b.prefillRate)
	placement.PrefillTime = prefillTime(tokens, b.prefillRate*decodePrefillFraction)
	var best *bookEngine
	var least time.Duration
	for _, id := range b.ids {
		e := b.engines[id]
		if e.Service != need.Service || e.Role != RolePrefill || !need.allows(e.Region) || !e.usable(now) || !e.Announcing ||
			e.suspect(now) || excluded[e.ID] || !b.mayUse(now, e, 1) {
			continue
		}
		delay := max(0, e.busyUntil.Sub(now))
		if e.FailureDomain != decode.FailureDomain {
			delay += remotePrefillDelay
		}
		if best == nil || delay < least {
			best, least = e, delay
		}
	}
	if best == nil {
		return
	}
	f := Forecast{
		Direct: placement.PrefillTime, Split: max(0, best.busyUntil.Sub(now)) + took + b.prefillDelay + TransferOverhead, HasSplit: true, DecodeIdle: idle,
	}
	if !f.UsePrefill(need.Target) {
		return
	}
	start := now
	if best.busyUntil.After(now) {
		start = best.busyUntil
	}
	best.busyUntil = start.Add(took)
	best.probe(now)
	placement.Cold = b.countCold(now, best, 1) || placement.Cold
	placement.Prefill, placement.PrefillTime = best.Upstream, f.Split
}
