// Package place selects the upstream for each request. It is designed for the heaviest load, a burst while some
// upstreams are down or failing: each request goes to the upstream expected to serve it first, failing upstreams get
// fewer requests, and work that cannot be served in time is refused at once. All functions take the current time and
// return a decision. The package has no goroutines, clocks or sockets and is not safe for concurrent use.
package place

import (
	"errors"
	"fmt"
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

// Upstream describes an upstream as last announced.
type Upstream struct {
	ID, Address, FailureDomain, Service, Role string
	Incarnation                               uint64
	// Accepts is false for an upstream that has announced that it leaves. Announcing is false for an upstream whose
	// announcements have stopped.
	Accepts, Announcing bool
	// Capacity bounds the work of all entries running on the upstream, in the unit of Need.Work; 0 means no bound.
	Capacity int
	// Slots bounds the requests of all entries running on the upstream; 0 means no bound.
	Slots int
	// Region is the region of the failure domain, empty if it is not known.
	Region string
	// SoftwareVersion is the version of the upstream's software.
	SoftwareVersion string
	// Evacuated is set while operators want nothing new to be sent to the failure domain; Accepts is not set then.
	Evacuated bool
	// ColdUntil is when the upstream is warm at the latest. Until then, the fleet may send it ColdRate requests per second, and only
	// requests that the coordinator has counted. A ColdRate of 0 means no bound.
	ColdUntil time.Time
	ColdRate  float64
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// GrantedUntil is set in the result of a choice: until then, the request may be sent to the upstream although that is cold.
	GrantedUntil time.Time
}

// cold reports whether the upstream may be cold.
func (u *Upstream) cold(now time.Time) bool { return u.ColdRate > 0 && now.Before(u.ColdUntil) }

// full reports whether a request of the given work would exceed the capacity or the slots of the upstream. A request
// larger than the capacity fits on an upstream without other requests.
func (s *state) full(work int) bool {
	total, requests := s.totalLoad()
	return s.Capacity > 0 && requests > 0 && total+work > s.Capacity || s.Slots > 0 && requests >= s.Slots
}

// Need describes the requirements of a request.
type Need struct {
	Service, Role string
	// Work is the size of the request: prompt tokens for engines, 1 for plain services. It is positive.
	Work int
	// FailureDomain is the failure domain preferred among upstreams of equal cost.
	FailureDomain string
	// Exclude lists the IDs of upstreams that were already tried.
	Exclude []string
	// Regions are those whose upstreams may run the request, nil for all.
	Regions []string
	// SoftwareVersion is the only one whose upstreams may run the request, if SameSoftware is set.
	SoftwareVersion string
	SameSoftware    bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// GrantedUntil is until when the coordinator lets the request be sent to cold upstreams that it has chosen.
	GrantedUntil time.Time
}

// allows reports whether the request may run on the upstream as far as its region and its software are concerned.
func (n *Need) allows(u *Upstream) bool {
	return n.allowsRegion(u.Region) && n.allowsSoftware(u.SoftwareVersion)
}

func (n *Need) allowsRegion(region string) bool {
	return n.Regions == nil || slices.Contains(n.Regions, region)
}

func (n *Need) allowsSoftware(version string) bool {
	return !n.SameSoftware || n.SoftwareVersion == version
}

// Errors of Pick; it also returns a *PausedError. ErrEvacuated, ErrRegion and ErrSoftware are cases of ErrNone.
var (
	// ErrNone means that no upstream of the service accepts requests.
	ErrNone = errors.New("no upstream of the service accepts requests")
	// ErrEvacuated means that all upstreams of the service that the request may use are in evacuated failure domains.
	ErrEvacuated = fmt.Errorf("%w: all failure domains with upstreams of the service are evacuated", ErrNone)
	// ErrRegion means that the service has no upstream in the regions of the request.
	ErrRegion = fmt.Errorf("%w: none is in a region where the request may run", ErrNone)
	// ErrSoftware means that the service has no upstream of the software version that the request needs.
	ErrSoftware = fmt.Errorf("%w: none has the software version at which the response began", ErrNone)
	// ErrBusy means that all upstreams of the service are at their capacity.
	ErrBusy = errors.New("all upstreams of the service are busy")
)

// Outcome is the result of one attempt on an upstream.
type Outcome int

// Outcomes.
const (
	// Served means a complete response from the upstream.
	Served Outcome = iota
	// Erred means a complete response that reports a failure of the upstream.
	Erred
	// Refused means that the upstream rejected the request without running it.
	Refused
	// Broken means a connection reset, a truncated response, a response from another process, or no response in time.
	Broken
	// Unreachable means that no connection could be established.
	Unreachable
	// Replaced means that another process listens at the address.
	Replaced
	// Cancelled means that the caller disconnected, which is no evidence about the upstream.
	Cancelled
	// Full means that the upstream had no free capacity, so the request was not sent.
	Full
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"served", "erred", "refused", "broken", "unreachable", "replaced", "cancelled", "full"}[o]
}

const (
	// failureDecayTime is the time constant with which the failure rate decays, a few times the interval between
	// requests to one upstream under low load.
	failureDecayTime = 3 * time.Second
	// failureWeight is the weight of one outcome in the moving average, so that about five outcomes determine it.
	failureWeight = 0.2
	// failurePenalty makes an upstream that always fails cost as much as one with 12 more requests.
	failurePenalty = 12
	// remoteDomainPenalty is the cost of another failure domain, small enough to decide only between otherwise equal
	// upstreams.
	remoteDomainPenalty = 0.15
	// initialEjection is the duration of the first ejection; each further ejection doubles the duration.
	initialEjection = 400 * time.Millisecond
	// maxEjection is the longest ejection, slightly longer than an upstream takes to restart.
	maxEjection = 3200 * time.Millisecond
	// maxConsecutiveBroken is the number of consecutive broken attempts that eject an upstream.
	maxConsecutiveBroken = 2
	// maxConsecutiveRefused is the number of consecutive refusals that eject an upstream. An engine that changes its
	// role refuses all requests for seconds.
	maxConsecutiveRefused = 2
	// suspectDuration is how long an ejection reported by another entry counts: a few report intervals of a large
	// fleet.
	suspectDuration = time.Second
	// manyEntries is the number of entries above which an upstream that looks idle probably is not idle, because the
	// requests that other entries sent since their last report add up.
	manyEntries = 8
	// sampleThreshold is the number of candidates above which only a random sample is compared. Up to manyEntries
	// entries with fewer upstreams observe most of the load directly and need no sampling.
	sampleThreshold = 10
	// sampleSize is the number of candidates in a random sample.
	sampleSize = 3
	// FullBackoff is how long an upstream that is full is skipped. An engine with ten concurrent generations of a few
	// seconds each can start another one a few times per second.
	FullBackoff = 100 * time.Millisecond
	// coldPenalty makes a cold upstream the choice only if the others have more to do.
	coldPenalty = 1
	// coldOncePenalty is added for a request that must not run again.
	coldOncePenalty = 20
	// notAnnouncingPenalty makes an upstream whose announcements have stopped the last choice.
	notAnnouncingPenalty = 50
)

type state struct {
	Upstream
	// ownWork is the work of this entry's running requests, ownRequests the number of these requests.
	ownWork, ownRequests int
	// peerLoads is the load of each other entry, by session.
	peerLoads map[uint64]Load
	// failureRate is the moving average of recent outcomes, where 1 is a failure.
	failureRate float64
	// failureRateAt is when failureRate was last updated.
	failureRateAt time.Time
	// consecutiveBroken counts the consecutive broken attempts, consecutiveRefusals the refusals since the last
	// response.
	consecutiveBroken, consecutiveRefusals int
	// ejections counts the ejections since the last success.
	ejections int
	// ejectedUntil is when the ejection ends.
	ejectedUntil time.Time
	// fullUntil is when the upstream may accept requests again after it was full.
	fullUntil time.Time
	// lastResponseAt is when this entry last received a response of the upstream, suspectedAt when another entry last
	// reported an ejection of the upstream.
	lastResponseAt, suspectedAt time.Time
	// restriction is what the upstream has stated about further requests; nil for nothing.
	restriction *restriction
}

func (s *state) decayedFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp(-now.Sub(s.failureRateAt).Seconds()/failureDecayTime.Seconds())
}

// totalLoad returns the work and the number of requests of all entries.
func (s *state) totalLoad() (work, requests int) {
	work, requests = s.ownWork, s.ownRequests
	for _, l := range s.peerLoads {
		work += l.Work
		requests += l.Requests
	}
	return work, requests
}

// Load is the load that one entry places on an upstream.
type Load struct {
	ID             string
	Incarnation    uint64
	Work, Requests int
	// Ejected is set while the entry sends the upstream no requests because of failures of its own requests.
	Ejected bool
	// Engine is set for model engines.
	Engine bool
}

// Loads returns the load and the ejections of this entry, to be reported to other entries.
func (t *Table) Loads(now time.Time) []Load {
	var loads []Load
	for _, id := range t.ids {
		s := t.states[id]
		if ejected := now.Before(s.ejectedUntil); s.ownRequests > 0 || ejected {
			loads = append(loads, Load{s.ID, s.Incarnation, s.ownWork, s.ownRequests, ejected, s.Role != RoleAny})
		}
	}
	return loads
}

// isSuspect reports whether another entry reported an ejection of the upstream after this entry last received a
// response of the upstream, and within suspectDuration.
func (s *state) isSuspect(now time.Time) bool {
	return s.suspectedAt.After(s.lastResponseAt) && now.Sub(s.suspectedAt) < suspectDuration
}

// Observe replaces the load reported by another entry. Empty loads remove the entry.
func (t *Table) Observe(now time.Time, session uint64, loads []Load) {
	for _, s := range t.states {
		delete(s.peerLoads, session)
	}
	for _, l := range loads {
		if s := t.states[l.ID]; s != nil && s.Incarnation == l.Incarnation {
			if s.peerLoads == nil {
				s.peerLoads = map[uint64]Load{}
			}
			s.peerLoads[session] = l
			if l.Ejected {
				s.suspectedAt = now
			}
		}
	}
}

// RetainSessions drops the loads of other entries whose sessions are not given.
func (t *Table) RetainSessions(sessions map[uint64]bool) {
	for _, s := range t.states {
		for session := range s.peerLoads {
			if !sessions[session] {
				delete(s.peerLoads, session)
			}
		}
	}
}

// AddWork adds work to the load of an upstream for a running request that turned out larger than expected.
func (t *Table) AddWork(u Upstream, work int) {
	if s := t.states[u.ID]; s != nil && s.Incarnation == u.Incarnation {
		s.ownWork += work
	}
}

// Table holds the state of all upstreams as known to this entry.
type Table struct {
	states map[string]*state
	ids    []string
	// restrictions holds the restrictions of upstreams by ID, also of some that are no longer in states.
	restrictions map[string]*restriction
	// rotation is the index at which iteration starts, so that ties are broken round-robin.
	rotation int
	random   *rand.Rand
	// entries is the number of entries that send requests to the same upstreams, including this one.
	entries  int
	prefills prefillSpeed
	// cold holds the requests that this entry may send to cold upstreams of plain services.
	cold coldShare
	// prefillRate is the observed rate of prefill engines, in prompt tokens per millisecond. prefillDelay is the time that a
	// prefill takes beyond that.
	prefillRate  float64
	prefillDelay time.Duration
}

// NewTable returns an empty table. Entries with different seeds start at different upstreams and draw different
// samples.
func NewTable(seed int) *Table {
	return &Table{
		states: map[string]*state{}, restrictions: map[string]*restriction{}, rotation: seed,
		random: rand.New(rand.NewPCG(uint64(seed), 0)), prefillRate: initialPrefillRate,
	}
}

// Set replaces the upstreams and the number of entries that share them. The state of an upstream is kept while its
// incarnation and address stay the same, what it has stated about further requests while its incarnation stays the same.
func (t *Table) Set(upstreams []Upstream, entries int) {
	t.entries = entries
	next := map[string]*state{}
	t.ids = t.ids[:0]
	for _, u := range upstreams {
		s := t.states[u.ID]
		if s == nil || s.Incarnation != u.Incarnation || s.Address != u.Address {
			s = &state{}
		}
		u.ColdUntil = later(u.ColdUntil, s.ColdUntil)
		s.Upstream, s.restriction = u, t.restrictionOf(u)
		next[u.ID] = s
		t.ids = append(t.ids, u.ID)
	}
	slices.Sort(t.ids)
	t.states = next
}

// Pick selects the upstream with the lowest expected cost and adds the work to its load. The caller must call End
// afterwards.
func (t *Table) Pick(now time.Time, need Need) (Upstream, error) {
	s, err := t.best(now, need)
	if err != nil {
		return Upstream{}, err
	}
	t.start(s, need)
	u := s.Upstream
	if u.cold(now) {
		u.GrantedUntil = t.cold.use(u)
	}
	return u, nil
}

// Assign adds the work to the load of the given upstream, which another entry has chosen, and reports whether the upstream
// is known and accepts requests. The caller must call End afterwards.
func (t *Table) Assign(now time.Time, id string, incarnation uint64, need Need) (Upstream, bool) {
	s := t.states[id]
	if s == nil || incarnation != 0 && s.Incarnation != incarnation || s.Service != need.Service || s.Role != need.Role ||
		!need.allows(&s.Upstream) || s.leaving() || s.restricted(now) || s.cold(now) && !now.Before(need.GrantedUntil) {
		return Upstream{}, false
	}
	t.start(s, need)
	u := s.Upstream
	u.GrantedUntil = need.GrantedUntil
	return u, true
}

// spare reports whether the upstream may take such a request and has at least half of its slots free.
func (s *state) spare(now time.Time, need Need) bool {
	if slices.Contains(need.Exclude, s.ID) || !need.allows(&s.Upstream) || s.leaving() || !s.Announcing || s.restricted(now) {
		return false
	}
	if s.tier(now) > 0 || s.cold(now) || s.full(need.Work) || now.Before(s.fullUntil) {
		return false
	}
	_, requests := s.totalLoad()
	return s.Slots == 0 || 2*requests <= s.Slots
}

// PickSpare chooses an upstream for a copy of a request that runs on another one, and reports whether there is one with
// room for it: one that no entry has ejected, that is not cold, that has fewer requests than the other one and uses at most
// half of its slots.
func (t *Table) PickSpare(now time.Time, need Need, other Upstream) (Upstream, bool) {
	running := math.MaxInt
	if s := t.states[other.ID]; s != nil {
		_, running = s.totalLoad()
	}
	var spare *state
	for i := range t.ids {
		s := t.states[t.ids[(i+t.rotation)%len(t.ids)]]
		if s.ID == other.ID || s.Service != need.Service || s.Role != need.Role || !s.spare(now, need) {
			continue
		}
		if _, requests := s.totalLoad(); requests < running {
			spare, running = s, requests
		}
	}
	if spare == nil {
		return Upstream{}, false
	}
	t.start(spare, need)
	return spare.Upstream, true
}

func (t *Table) start(s *state, need Need) {
	t.rotation++
	s.ownWork += need.Work
	s.ownRequests++
}

// tier ranks an upstream by observed failures: 0 is healthy, 1 is ejected by another entry, 2 is ejected by this
// entry.
func (s *state) tier(now time.Time) int {
	switch {
	case now.Before(s.ejectedUntil):
		return 2
	case s.isSuspect(now):
		return 1
	}
	return 0
}

// best returns the upstream with the lowest cost. Upstreams ejected by other entries are considered only when no
// healthy upstream has free capacity, and upstreams ejected by this entry only when no other upstream accepts requests. An
// upstream that wants no requests now is never returned.
func (t *Table) best(now time.Time, need Need) (*state, error) {
	var candidates []*state
	accepting, lowest := 0, math.Inf(1)
	for tier := range 3 {
		if tier == 2 && accepting > 0 {
			return nil, ErrBusy
		}
		for i := range t.ids {
			s := t.states[t.ids[(i+t.rotation)%len(t.ids)]]
			if s.Service != need.Service || s.Role != need.Role || !need.allows(&s.Upstream) || s.leaving() || s.restricted(now) ||
				slices.Contains(need.Exclude, s.ID) || s.tier(now) != tier {
				continue
			}
			accepting++
			if s.full(need.Work) || now.Before(s.fullUntil) || s.cold(now) && !t.cold.mayOrWant(now, s.Upstream) {
				continue
			}
			candidates = append(candidates, s)
			lowest = min(lowest, s.decayedFailureRate(now))
		}
		if len(candidates) > 0 {
			break
		}
	}
	if accepting == 0 {
		return nil, t.errNoneOpen(now, need)
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

// sample returns a random subset when there are many candidates or many entries. Entries learn of each other's load
// with a delay, so in a large pool, or with many entries, all of them would otherwise choose the same upstream, for
// example one that has just started, until the next reports arrive (Mitzenmacher, "How Useful Is Old Information?",
// 2000).
func (t *Table) sample(candidates []*state) []*state {
	if len(candidates) <= sampleSize || len(candidates) <= sampleThreshold && t.entries <= manyEntries {
		return candidates
	}
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:sampleSize]
}

// cost returns the expected cost in units of the request's own work.
func (t *Table) cost(now time.Time, s *state, need Need, lowest float64) float64 {
	work, _ := s.totalLoad()
	cost := 1 + float64(work)/float64(need.Work)
	cost += failurePenalty * (s.decayedFailureRate(now) - lowest)
	if s.FailureDomain != need.FailureDomain {
		cost += remoteDomainPenalty
	}
	if !s.Announcing {
		cost += notAnnouncingPenalty
	}
	if s.cold(now) {
		cost += coldPenalty
		if !need.Repeatable {
			cost += coldOncePenalty
		}
	}
	return cost
}

// End records the outcome of an attempt. It returns the duration of the ejection that the outcome causes, or 0.
func (t *Table) End(now time.Time, u Upstream, need Need, outcome Outcome) time.Duration {
	s := t.states[u.ID]
	if s == nil || s.Incarnation != u.Incarnation {
		return 0
	}
	s.ownWork = max(0, s.ownWork-need.Work)
	s.ownRequests = max(0, s.ownRequests-1)
	if outcome == Served || outcome == Erred || outcome == Refused || outcome == Full {
		s.lastResponseAt = now
	}
	severity := map[Outcome]float64{Erred: 0.5, Refused: 0.7, Broken: 1, Unreachable: 1, Replaced: 1}
	if outcome == Full {
		s.fullUntil = now.Add(FullBackoff)
	}
	if outcome == Cancelled || outcome == Full {
		return 0
	}
	before := s.decayedFailureRate(now)
	s.failureRate, s.failureRateAt = before+failureWeight*(severity[outcome]-before), now
	if outcome == Unreachable || outcome == Replaced {
		// An unreachable upstream has no load, so all entries would otherwise choose it.
		s.failureRate = 1
	}
	switch outcome {
	case Served, Erred:
		if s.ejections > 0 && s.ColdRate > 0 {
			// It may have been replaced or dark, and have become cold, without an announcement yet.
			s.ColdUntil = later(s.ColdUntil, now.Add(s.ColdStart))
		}
		s.consecutiveBroken, s.consecutiveRefusals, s.ejections = 0, 0, 0
		s.ejectedUntil = time.Time{}
		return 0
	case Refused:
		if s.consecutiveRefusals++; s.consecutiveRefusals < maxConsecutiveRefused {
			return 0
		}
	case Broken:
		// An upstream that was ejected and has served nothing since is ejected at its first broken attempt.
		if s.consecutiveBroken++; s.consecutiveBroken < maxConsecutiveBroken && s.ejections == 0 {
			return 0
		}
	default:
	}
	if now.Before(s.ejectedUntil) {
		return 0
	}
	s.consecutiveBroken = 0
	d := min(initialEjection<<min(s.ejections, 8), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(d)
	return d
}

// LocalLoad returns this entry's work and number of requests in progress on an upstream.
func (t *Table) LocalLoad(id string) (work, requests int) {
	if s := t.states[id]; s != nil {
		return s.ownWork, s.ownRequests
	}
	return 0, 0
}

// Count returns the number of upstreams that accept such requests of this entry now and still announce themselves.
func (t *Table) Count(now time.Time, need Need) int {
	n := 0
	for _, s := range t.states {
		if s.Service == need.Service && s.Role == need.Role && need.allows(&s.Upstream) && !s.leaving() && !s.restricted(now) && s.Announcing && !s.cold(now) {
			n++
		}
	}
	return n
}
