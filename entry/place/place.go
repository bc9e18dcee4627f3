// Package place decides which upstream gets a request. It answers the heaviest load, a burst while some upstreams are
// down or fail: each request goes where it is expected to be served first, upstreams that fail get less, and work that
// cannot be served in time is refused at once. All functions take the time and return a decision; nothing here has
// goroutines, clocks or sockets, or is safe for concurrent use.
package place

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Roles of upstreams.
const (
	// RoleAny is the role of plain services.
	RoleAny     = ""
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Upstream describes an upstream as it announced itself.
type Upstream struct {
	ID, Address, FailureDomain, Service, Role string
	Incarnation                               uint64
	// Accepts is false for an upstream that leaves. Heard is false when its announcements stopped.
	Accepts, Heard bool
	// Capacity bounds the work that all entries have running there, in the unit of Need.Work; 0 means no bound.
	Capacity int
	// Slots bounds the requests that all entries have running there; 0 means no bound.
	Slots int
}

// full says whether a request of that much work has no room at the upstream.
func (s *state) full(work int) bool {
	total, requests := s.total()
	return s.Capacity > 0 && requests > 0 && total+work > s.Capacity || s.Slots > 0 && requests >= s.Slots
}

// Need describes what a request asks for.
type Need struct {
	Service, Role string
	// Work is the size of the request: prompt tokens for engines, 1 for plain services. It is positive.
	Work int
	// FailureDomain is preferred among equals.
	FailureDomain string
	// Exclude lists IDs that were tried already.
	Exclude []string
}

// Errors of Pick.
var (
	// ErrNone means that no upstream of the service accepts requests.
	ErrNone = errors.New("no upstream of the service accepts requests")
	// ErrBusy means that all upstreams of the service are at their capacity.
	ErrBusy = errors.New("all upstreams of the service are busy")
)

// Outcome says how one attempt on an upstream ended.
type Outcome int

// Outcomes.
const (
	// Served means a whole answer of the upstream.
	Served Outcome = iota
	// Erred means a whole answer that reports a failure of the upstream.
	Erred
	// Refused means that the upstream rejected the request without running it.
	Refused
	// Broken means a reset, a cut or foreign answer, or none in time.
	Broken
	// Unreachable means that no connection came about.
	Unreachable
	// Replaced means that another process answers at the address.
	Replaced
	// Cancelled means that the caller went away; it says nothing of the upstream.
	Cancelled
	// Full means that the upstream had no room for the request, which was not sent.
	Full
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"served", "erred", "refused", "broken", "unreachable", "replaced", "cancelled", "full"}[o]
}

const (
	// failureMemory is the time constant with which failures are forgotten, a few times the gap between requests to one
	// upstream at rest.
	failureMemory = 3 * time.Second
	// failureGain is the weight of one outcome in the average: about five outcomes decide.
	failureGain = 0.2
	// failurePenalty makes an upstream that always fails as costly as one with that many more requests.
	failurePenalty = 12
	// farPenalty is the cost of another failure domain, small enough to decide among equals only.
	farPenalty = 0.15
	// ejectFirst is the first ejection; each further one doubles it up to ejectLongest, a little more than an upstream's
	// restart takes.
	ejectFirst   = 400 * time.Millisecond
	ejectLongest = 3200 * time.Millisecond
	// brokenInARow and refusedInARow are how many broken answers, or refusals, in a row eject an upstream. An engine that
	// changes its role refuses all requests for seconds.
	brokenInARow  = 2
	refusedInARow = 2
	// suspectFor is how long an ejection by another entry counts: a few reports of it in a large fleet.
	suspectFor = time.Second
	// manyEntries is the number of entries above which an upstream that looks idle probably is not: what the others placed
	// there since their last report adds up.
	manyEntries = 8
	// sampleAbove is the number of candidates above which a choice looks at sampleSize of them only: a handful of entries
	// before fewer upstreams sees most of the load itself.
	sampleAbove = 10
	sampleSize  = 3
	// FullFor is how long an upstream without room is left out. An engine with ten answers of some seconds under way has
	// room for another one a few times in a second.
	FullFor = 100 * time.Millisecond
	// unheardPenalty makes an upstream whose announcements stopped a last choice.
	unheardPenalty = 50
)

type state struct {
	Upstream
	// running is the work of this entry under way, requests its number of requests.
	running, requests int
	// others is the same of all other entries, by session.
	others map[uint64]Load
	// failing is the average of recent outcomes, 1 for a failure, at failedAt.
	failing  float64
	failedAt time.Time
	// row counts broken answers in a row, refusals those without an answer in between.
	row, refusals int
	// ejections counts those without a success in between.
	ejections int
	ejected   time.Time
	// fullUntil is when the upstream may have room again.
	fullUntil time.Time
	// answered is when the upstream last answered this entry, suspected when another entry last told that it ejected it.
	answered, suspected time.Time
}

func (s *state) failure(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp(-now.Sub(s.failedAt).Seconds()/failureMemory.Seconds())
}

// total is the work and the number of requests of all entries.
func (s *state) total() (work, requests int) {
	work, requests = s.running, s.requests
	for _, l := range s.others {
		work += l.Work
		requests += l.Requests
	}
	return work, requests
}

// Load is what one entry has running at an upstream.
type Load struct {
	ID             string
	Incarnation    uint64
	Work, Requests int
	// Ejected is set while the entry gives the upstream no requests, because of its own failed ones.
	Ejected bool
}

// Loads returns what this entry has running, for the other entries.
func (t *Table) Loads(now time.Time) []Load {
	var loads []Load
	for _, id := range t.order {
		s := t.states[id]
		if ejected := now.Before(s.ejected); s.requests > 0 || ejected {
			loads = append(loads, Load{s.ID, s.Incarnation, s.running, s.requests, ejected})
		}
	}
	return loads
}

// suspect says whether another entry ejected the upstream after this one last had an answer from it.
func (s *state) suspect(now time.Time) bool {
	return s.suspected.After(s.answered) && now.Sub(s.suspected) < suspectFor
}

// Observe replaces what another entry has running. Without loads the entry is forgotten.
func (t *Table) Observe(now time.Time, session uint64, loads []Load) {
	for _, s := range t.states {
		delete(s.others, session)
	}
	for _, l := range loads {
		if s := t.states[l.ID]; s != nil && s.Incarnation == l.Incarnation {
			if s.others == nil {
				s.others = map[uint64]Load{}
			}
			s.others[session] = l
			if l.Ejected {
				s.suspected = now
			}
		}
	}
}

// Keep forgets what other entries had running, except for those whose sessions are given.
func (t *Table) Keep(sessions map[uint64]bool) {
	for _, s := range t.states {
		for session := range s.others {
			if !sessions[session] {
				delete(s.others, session)
			}
		}
	}
}

// Grow adds to the work of a request that turned out larger than expected.
func (t *Table) Grow(u Upstream, work int) {
	if s := t.states[u.ID]; s != nil && s.Incarnation == u.Incarnation {
		s.running += work
	}
}

// Table holds what this entry knows of all upstreams.
type Table struct {
	states map[string]*state
	order  []string
	// turn breaks ties in turn.
	turn   int
	random *rand.Rand
	// entries is the number of entries that place requests on the same upstreams, this one included.
	entries int
	// speed is the observed reading speed of prefill engines, in tokens per millisecond.
	speed float64
}

// NewTable returns an empty table. The turn makes entries begin at different upstreams.
func NewTable(turn int) *Table {
	return &Table{states: map[string]*state{}, turn: turn, random: rand.New(rand.NewPCG(uint64(turn), 0)), speed: firstSpeed}
}

// Set replaces the upstreams and the number of entries that share them. What is known of an incarnation is kept.
func (t *Table) Set(upstreams []Upstream, entries int) {
	t.entries = entries
	next := map[string]*state{}
	t.order = t.order[:0]
	for _, u := range upstreams {
		s := t.states[u.ID]
		if s == nil || s.Incarnation != u.Incarnation || s.Address != u.Address {
			s = &state{}
		}
		s.Upstream = u
		next[u.ID] = s
		t.order = append(t.order, u.ID)
	}
	slices.Sort(t.order)
	t.states = next
}

// Pick chooses the upstream with the least expected cost and counts the work as running there. End must follow.
func (t *Table) Pick(now time.Time, need Need) (Upstream, error) {
	s, err := t.best(now, need)
	if err != nil {
		return Upstream{}, err
	}
	t.begin(s, need)
	return s.Upstream, nil
}

func (t *Table) begin(s *state, need Need) {
	t.turn++
	s.running += need.Work
	s.requests++
}

// tier ranks an upstream by what this entry and the others have seen of it: 0 is sound, 1 is ejected by another entry, 2 by
// this one.
func (s *state) tier(now time.Time) int {
	switch {
	case now.Before(s.ejected):
		return 2
	case s.suspect(now):
		return 1
	}
	return 0
}

// best finds the cheapest upstream. One that other entries ejected counts only when no sound one has room, an ejected one
// only when there is no other.
func (t *Table) best(now time.Time, need Need) (*state, error) {
	var candidates []*state
	accepting, lowest := 0, math.Inf(1)
	for tier := range 3 {
		if tier == 2 && accepting > 0 {
			return nil, ErrBusy
		}
		for i := range t.order {
			s := t.states[t.order[(i+t.turn)%len(t.order)]]
			if s.Service != need.Service || s.Role != need.Role || !s.Accepts || slices.Contains(need.Exclude, s.ID) || s.tier(now) != tier {
				continue
			}
			accepting++
			if s.full(need.Work) || now.Before(s.fullUntil) {
				continue
			}
			candidates = append(candidates, s)
			lowest = min(lowest, s.failure(now))
		}
		if len(candidates) > 0 {
			break
		}
	}
	if accepting == 0 {
		return nil, ErrNone
	}
	if len(candidates) == 0 {
		return nil, ErrBusy
	}
	var best *state
	least := math.Inf(1)
	for _, s := range t.sample(candidates) {
		if cost := t.cost(now, s, need, lowest); cost < least {
			best, least = s, cost
		}
	}
	return best, nil
}

// sample returns a few candidates of many. Entries know each other's load with a delay, so that in a large pool, or with many
// entries, all of them would choose the same upstream until they learn of each other (Mitzenmacher, "How Useful Is Old
// Information?", 2000), as one that has just started.
func (t *Table) sample(candidates []*state) []*state {
	if len(candidates) <= sampleSize || len(candidates) <= sampleAbove && t.entries <= manyEntries {
		return candidates
	}
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:sampleSize]
}

// cost is in units of the request's own work.
func (t *Table) cost(now time.Time, s *state, need Need, lowest float64) float64 {
	work, _ := s.total()
	cost := 1 + float64(work)/float64(need.Work)
	cost += failurePenalty * (s.failure(now) - lowest)
	if s.FailureDomain != need.FailureDomain {
		cost += farPenalty
	}
	if !s.Heard {
		cost += unheardPenalty
	}
	return cost
}

// End takes the end of an attempt into account. It returns how long the upstream is ejected because of it, 0 for not.
func (t *Table) End(now time.Time, u Upstream, need Need, outcome Outcome) time.Duration {
	s := t.states[u.ID]
	if s == nil || s.Incarnation != u.Incarnation {
		return 0
	}
	s.running = max(0, s.running-need.Work)
	s.requests = max(0, s.requests-1)
	if outcome == Served || outcome == Erred || outcome == Refused || outcome == Full {
		s.answered = now
	}
	grade := map[Outcome]float64{Erred: 0.5, Refused: 0.7, Broken: 1, Unreachable: 1, Replaced: 1}
	if outcome == Full {
		s.fullUntil = now.Add(FullFor)
	}
	if outcome == Cancelled || outcome == Full {
		return 0
	}
	before := s.failure(now)
	s.failing, s.failedAt = before+failureGain*(grade[outcome]-before), now
	if outcome == Unreachable || outcome == Replaced {
		// An upstream that is gone has no load, and would look best to everyone.
		s.failing = 1
	}
	switch outcome {
	case Served, Erred:
		s.row, s.refusals, s.ejections = 0, 0, 0
		s.ejected = time.Time{}
		return 0
	case Refused:
		if s.refusals++; s.refusals < refusedInARow {
			return 0
		}
	case Broken:
		// An upstream that was ejected before and has served nothing since gets no second chance.
		if s.row++; s.row < brokenInARow && s.ejections == 0 {
			return 0
		}
	default:
	}
	if now.Before(s.ejected) {
		return 0
	}
	s.row = 0
	d := min(ejectFirst<<min(s.ejections, 8), ejectLongest)
	s.ejections++
	s.ejected = now.Add(d)
	return d
}

// Running returns the work and the number of requests under way at an upstream.
func (t *Table) Running(id string) (work, requests int) {
	if s := t.states[id]; s != nil {
		return s.running, s.requests
	}
	return 0, 0
}

// Count returns the number of upstreams that accept requests and were heard.
func (t *Table) Count(service, role string) int {
	n := 0
	for _, s := range t.states {
		if s.Service == service && s.Role == role && s.Accepts && s.Heard {
			n++
		}
	}
	return n
}
