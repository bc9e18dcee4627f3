package limit

import (
	"math/rand/v2"
	"time"

	"azuredoor.example/core/config"
)

const (
	// DefaultSilence is the default of Meter.Silence.
	DefaultSilence = time.Second
	// nearLimitShare is the share of a bucket's burst below which it is near its limit.
	nearLimitShare = 0.5
	// uncountedShare is the share of a bucket's burst that all entries together may admit before the coordinator has counted it.
	uncountedShare = 0.2
	// unconfirmedShare is the share of a bucket's burst that all entries together have at most at once while no coordinator confirms it.
	unconfirmedShare = 1
	// refusedWorkWindow limits the refused work that counts towards a retry delay, in time at the rate of the limit.
	refusedWorkWindow = 2 * time.Second
)

// Use is the report of one entry on one bucket.
type Use struct {
	Bucket string
	// Tokens is the total that the entry admitted in its session, less refunds.
	Tokens int64
	// Level is the entry's estimate of the tokens left in the bucket.
	Level float64
	// Acknowledged is the part of Tokens that a coordinator has counted.
	Acknowledged int64
}

// Meter limits customers by the use that all entries report to each other. It stops a customer that sends several times
// its rate through all entries at once, without making requests of other customers wait for another process.
//
// Each entry keeps a copy of each bucket and deducts the tokens that it admits and those that peers report. A request of
// any size is admitted while the level is above 0, and the level may become negative, so small requests do not starve
// large ones of the same customer. Tokens admitted by several entries between two reports are paid back from the refill,
// so the average never exceeds the rate. While a peer is silent, an entry reserves an equal share of the rate for the peer.
//
// In a fleet with a coordinator, the coordinator's meter observes the reports of all entries, and the meters of the
// entries have no peers: Confirm adopts the levels of the coordinator. An entry admits little before the coordinator has counted
// it, see MustAsk. An entry without confirmation has its equal share of each rate and of a part of what is left of each burst. A
// request that is larger than this share is admitted by lot, so that the entries together do not exceed it. The sum over the fleet is in
// docs/notes/limits.md.
//
// A coordinator that is cut off does not know of its successor, so it confirms levels only while it is the only one: see
// Authoritative. Both sides of a split fleet together then admit no more than a whole one.
//
// A Meter is not safe for concurrent use.
type Meter struct {
	// Silence is how long a peer may send no report before it is assumed to use its equal share of each limit, and how
	// long levels count as confirmed.
	Silence time.Duration
	buckets map[string]*meterBucket
	peers   map[uint64]*meterPeer
	// coordinates is set if the peers are all entries, including the one of this meter.
	coordinates bool
	// silent holds the peers without a recent report at countedAt. majority is set if those of a majority of the entries were recent
	// then, and since majorityAt.
	silent                []*meterPeer
	majority              bool
	countedAt, majorityAt time.Time
	// observedAt is when the last report was observed. Reports before settledAt do not count for the majority.
	observedAt, settledAt time.Time
	// entries is the number of entries that share the limits through a coordinator, or 0 without one.
	entries     int
	confirmedAt time.Time
	// suspended is set after the coordinator has failed, until a coordinator confirms the levels.
	suspended bool
	// expired is set while the session of this entry is not known to be valid.
	expired bool
	// confirmedBy is the session of the coordinator whose levels were adopted last.
	confirmedBy uint64
	// Random draws the lots of requests that are larger than the share of this entry. Entries must not have the same seed.
	Random *rand.Rand
}

type meterBucket struct {
	limit config.Limit
	level float64
	// whole is the level of the whole bucket as far as this entry knows, while level is its share because no coordinator confirms
	// the levels. It does not count what other entries admit in that time.
	whole float64
	// shared is set while level is the share of this entry.
	shared     bool
	refilledAt time.Time
	// admitted is the total that this entry reports.
	admitted int64
	// acknowledged is the part of admitted that a coordinator has counted.
	acknowledged int64
	// refusedWork counts the tokens of refused requests that are expected to be retried.
	refusedWork float64
}

type meterPeer struct {
	lastReport time.Time
	// reported is set once the peer has reported. heard is set if the report counts for the majority.
	reported, heard bool
	// sequence is that of the last report.
	sequence uint64
	// tokens holds the latest reported total of each bucket. assumed holds the tokens deducted from each bucket on
	// behalf of the silent peer since its last report on that bucket. held holds the part of it that is the peer's share of the
	// level when it fell silent.
	tokens        map[string]int64
	assumed, held map[string]float64
}

// NewMeter returns a meter without peers.
func NewMeter() *Meter {
	return &Meter{
		Silence: DefaultSilence, buckets: map[string]*meterBucket{}, peers: map[uint64]*meterPeer{},
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// SetEntries sets the number of entries that share the limits through a coordinator, including this one. A meter counts as
// confirmed when it starts, so that an entry serves customers until its first report.
func (m *Meter) SetEntries(now time.Time, n int) {
	m.entries = n
	if m.confirmedAt.IsZero() {
		m.confirmedAt = now
	}
}

// SetExpired sets whether the session of this entry may have ended, so that the others may use its share of the limits.
func (m *Meter) SetExpired(expired bool) { m.expired = expired }

// SetPeers replaces the sessions that share the limits with this entry.
func (m *Meter) SetPeers(now time.Time, sessions []uint64) {
	next := map[uint64]*meterPeer{}
	for _, id := range sessions {
		p := m.peers[id]
		if p == nil {
			p = &meterPeer{lastReport: now, tokens: map[string]int64{}, assumed: map[string]float64{}, held: map[string]float64{}}
		}
		next[id] = p
	}
	m.peers = next
	m.countedAt = time.Time{}
}

// SetSessions is SetPeers for the meter of a coordinator, whose own session is one of the given ones.
func (m *Meter) SetSessions(now time.Time, sessions []uint64) {
	m.coordinates = true
	m.SetPeers(now, sessions)
}

// shares returns the number of entries that share the limits.
func (m *Meter) shares() int {
	if m.coordinates {
		return len(m.peers)
	}
	return len(m.peers) + 1
}

func (m *Meter) bucket(now time.Time, name string, limit config.Limit) *meterBucket {
	b := m.buckets[name]
	if b == nil {
		b = &meterBucket{limit: limit, level: float64(limit.BurstTokens), whole: float64(limit.BurstTokens), refilledAt: now}
		m.buckets[name] = b
	}
	if b.limit != limit {
		// A lower burst takes effect at once; a higher burst fills at the rate.
		b.limit = limit
		b.level, b.whole = min(b.level, float64(limit.BurstTokens)), min(b.whole, float64(limit.BurstTokens))
	}
	m.refill(now, name, b)
	m.withhold(now, name, b)
	m.share(now, b)
	return b
}

// share replaces the level by the share of this entry when no coordinator confirms the levels any more, and by the whole level when
// one does again.
func (m *Meter) share(now time.Time, b *meterBucket) {
	unconfirmed := m.unconfirmed(now)
	if unconfirmed == b.shared {
		return
	}
	b.shared, b.level = unconfirmed, b.whole
	if unconfirmed {
		// Each entry pays a debt back whole, because it does not know what the others do.
		b.level = min(b.whole, b.whole/float64(m.entries), m.largestShare(b))
	}
}

// largestShare returns the most tokens of a bucket that this entry has while no coordinator confirms the level.
func (m *Meter) largestShare(b *meterBucket) float64 {
	return unconfirmedShare * float64(b.limit.BurstTokens) / float64(m.entries)
}

// add changes the level, up to a full bucket.
func (b *meterBucket) add(tokens float64) {
	b.level = min(b.level+tokens, float64(b.limit.BurstTokens))
	b.whole = min(b.whole+tokens, float64(b.limit.BurstTokens))
}

// unconfirmed reports whether this entry has its share of each limit only, because no coordinator has confirmed the levels lately.
func (m *Meter) unconfirmed(now time.Time) bool {
	return m.entries > 1 && (m.suspended || now.Sub(m.confirmedAt) > m.Silence)
}

// Suspend makes the entry use its share of each limit until a coordinator confirms the levels. It is called when the coordinator does
// not respond or is not the only one.
func (m *Meter) Suspend() { m.suspended = true }

// Suspended reports whether Suspend was called since the last confirmation.
func (m *Meter) Suspended() bool { return m.suspended }

// refill adds the tokens since the last refill, less the shares of silent peers.
func (m *Meter) refill(now time.Time, name string, b *meterBucket) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	gain := elapsed * float64(b.limit.TokensPerSecond)
	b.whole = min(b.whole+gain, float64(b.limit.BurstTokens))
	share := gain / float64(m.shares())
	for _, p := range m.silentPeers(now) {
		p.assumed[name] += share
		gain -= share
	}
	burst := float64(b.limit.BurstTokens)
	if b.shared {
		gain, burst = gain/float64(m.entries), m.largestShare(b)
		if m.expired {
			gain = 0
		}
	}
	b.level = min(b.level+gain, burst)
	b.refusedWork = max(0, b.refusedWork-gain)
}

// Take reports whether a request is admitted, and returns the delay before a retry if the request is refused.
func (m *Meter) Take(now time.Time, name string, limit config.Limit, tokens int64) (ok bool, retryAfter time.Duration) {
	b := m.bucket(now, name, limit)
	needed := 0.0
	if b.shared {
		needed = min(float64(tokens), m.largestShare(b))
	}
	if b.level > 0 && b.level >= needed && (!b.shared || m.drawLot(b, tokens)) {
		b.add(-float64(tokens))
		b.admitted += tokens
		return true, 0
	}
	// A coordinator that returns confirms the whole rate.
	wait := (b.refusedWork + needed - b.level) / float64(limit.TokensPerSecond)
	b.refusedWork = min(b.refusedWork+float64(tokens), refusedWorkWindow.Seconds()*float64(limit.TokensPerSecond))
	return false, time.Duration(wait*float64(time.Second)) + time.Millisecond
}

// drawLot reports whether the share of this entry, which is enough for the request or whole, admits it. A request that is larger is
// admitted with a probability of its part that the share covers. If the lot decides against it, the share is used up all the same.
// Otherwise, each entry of a large fleet would admit one large request of a customer, many times the limit together.
func (m *Meter) drawLot(b *meterBucket, tokens int64) bool {
	covered := b.level
	if float64(tokens) <= covered {
		return true
	}
	// What is admitted beyond the share is no debt of this entry: on average, the lots of the others pay for it.
	b.level = 0
	if m.Random.Float64()*float64(tokens) >= covered {
		return false
	}
	b.level += float64(tokens)
	return true
}

// MustAsk reports whether the coordinator has to decide on a request, because the entries together could exceed the limit between two
// reports: the bucket is low, or this entry would admit more than its part of what may be uncounted.
func (m *Meter) MustAsk(now time.Time, name string, limit config.Limit, tokens int64) bool {
	if m.entries <= 1 {
		return false
	}
	b, burst := m.bucket(now, name, limit), float64(limit.BurstTokens)
	uncounted := float64(b.admitted - b.acknowledged + tokens)
	return b.level < nearLimitShare*burst || uncounted > uncountedShare*burst/float64(m.entries)
}

// Covers reports whether what this entry has of a bucket is enough for a request.
func (m *Meter) Covers(now time.Time, name string, limit config.Limit, tokens int64) bool {
	return m.bucket(now, name, limit).level >= float64(tokens)
}

// Unconfirmed reports whether this entry has its share of each limit only.
func (m *Meter) Unconfirmed(now time.Time) bool { return m.unconfirmed(now) }

// Admit charges a request that the coordinator has admitted.
func (m *Meter) Admit(now time.Time, name string, limit config.Limit, tokens int64) {
	b := m.bucket(now, name, limit)
	b.add(-float64(tokens))
	b.admitted += tokens
}

// Level returns the tokens left in a bucket as far as this entry knows. It is not the entry's share of the bucket.
func (m *Meter) Level(now time.Time, name string, limit config.Limit) float64 {
	b := m.bucket(now, name, limit)
	if m.unconfirmed(now) {
		return b.whole
	}
	return b.level
}

// Charge is Take for a request at a peer that waits for the result. The next report of the peer holds the tokens. Level is
// what the peer believes is left in the bucket; it counts if the peer has not reported lately, because this meter may have
// taken over from another coordinator.
func (m *Meter) Charge(now time.Time, session uint64, name string, limit config.Limit, tokens int64, level float64) (ok bool, retryAfter time.Duration) {
	b := m.bucket(now, name, limit)
	if p := m.peers[session]; p == nil || !p.reported || now.Sub(p.lastReport) > m.Silence {
		b.level = min(b.level, level)
	}
	// The peer, not this entry, reports the tokens.
	admitted := b.admitted
	ok, retryAfter = m.Take(now, name, limit, tokens)
	b.admitted = admitted
	if p := m.peers[session]; ok && p != nil && p.reported {
		p.tokens[name] += tokens
	}
	return ok, retryAfter
}

// Refund returns the tokens of a request that did not run.
func (m *Meter) Refund(now time.Time, name string, limit config.Limit, tokens int64) {
	b := m.bucket(now, name, limit)
	b.add(float64(tokens))
	b.admitted -= tokens
}

// Report returns the use of each bucket at this entry.
func (m *Meter) Report(now time.Time) []Use {
	uses := make([]Use, 0, len(m.buckets))
	for name, b := range m.buckets {
		uses = append(uses, Use{Bucket: name, Tokens: b.admitted, Level: m.Level(now, name, b.limit), Acknowledged: b.acknowledged})
	}
	return uses
}

// Confirm adopts the levels of a coordinator, given by its session, after a report of this entry. Buckets of the report that
// the response lacks are full. A coordinator that has just taken over does not raise levels, because it has not heard from
// all entries yet.
func (m *Meter) Confirm(now time.Time, coordinator uint64, reported, levels []Use, limits func(bucket string) (config.Limit, bool)) {
	another := m.confirmedBy != 0 && m.confirmedBy != coordinator
	m.confirmedAt, m.confirmedBy, m.suspended = now, coordinator, false
	tokens := make(map[string]int64, len(reported))
	for _, u := range reported {
		tokens[u.Bucket] = u.Tokens
	}
	adopt := func(name string, limit config.Limit, level float64) {
		b := m.bucket(now, name, limit)
		b.acknowledged = tokens[name]
		// Tokens admitted or refunded since the report are not in the level.
		level = min(level-float64(b.admitted-tokens[name]), float64(limit.BurstTokens))
		if another {
			level = min(level, b.whole)
		}
		b.level, b.whole = level, level
	}
	for _, u := range levels {
		if limit, ok := limits(u.Bucket); ok {
			adopt(u.Bucket, limit, u.Level)
		}
		delete(tokens, u.Bucket)
	}
	for _, u := range reported {
		if _, full := tokens[u.Bucket]; !full {
			continue
		}
		if limit, ok := limits(u.Bucket); ok {
			adopt(u.Bucket, limit, float64(limit.BurstTokens))
		}
	}
}

// Full reports whether a use describes a full bucket.
func (u Use) Full(limit config.Limit) bool { return u.Level >= float64(limit.BurstTokens) }

// Observe applies the report of a peer. limits returns the limit of a bucket; buckets without a limit are skipped.
func (m *Meter) Observe(now time.Time, session uint64, uses []Use, limits func(bucket string) (config.Limit, bool)) {
	p := m.peers[session]
	if p == nil {
		return
	}
	// A peer that was silent may have reported to another coordinator.
	first := !p.reported || now.Sub(p.lastReport) > m.Silence
	if m.majority && now.Sub(m.observedAt) > m.AuthorityPeriod() {
		// This process did not run, as its own entry reports more often.
		m.LoseAuthority(now)
	}
	if first {
		m.countedAt = time.Time{}
	}
	m.observedAt, p.lastReport, p.reported, p.heard = now, now, true, !now.Before(m.settledAt)
	m.release(now, p, limits)
	for _, u := range uses {
		limit, ok := limits(u.Bucket)
		if !ok {
			continue
		}
		b := m.bucket(now, u.Bucket, limit)
		if last := p.tokens[u.Bucket]; !first {
			used := float64(u.Tokens-last) - p.assumed[u.Bucket]
			b.level = min(b.level-used, float64(limit.BurstTokens))
		} else {
			// This is the peer's first report, or the first one again. Its total includes use that an earlier coordinator counted, so the level
			// is compared at the time of the last acknowledged report.
			further := float64(u.Tokens - u.Acknowledged)
			// What was withheld for the peer while it was silent covers its use in that time.
			b.level = min(b.level, u.Level+further) - max(0, further-p.assumed[u.Bucket])
		}
		p.assumed[u.Bucket] = 0
		p.tokens[u.Bucket] = u.Tokens
	}
}
