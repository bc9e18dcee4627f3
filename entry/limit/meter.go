package limit

import (
	"time"

	"azuredoor.example/core/config"
)

const (
	// silentAfter is how long a peer may report nothing before it is assumed to use its share of each limit.
	silentAfter = time.Second
	// queueFade bounds the memory of refused work by which the time of return is told.
	queueFade = 2 * time.Second
)

// Use is what one entry reports of one bucket.
type Use struct {
	Bucket string
	// Tokens is the sum of what the entry admitted; it never decreases within a session.
	Tokens int64
	// Level is what the entry believes is left.
	Level float64
}

// Meter limits customers by what all entries report of each other. It answers a customer that sends several times its
// rate through all entries at once, while the others must not wait for any other process.
//
// Each entry keeps a copy of each bucket and takes from it what it admits and what others report. A request is admitted
// while the level is above 0, however large it is, and the level may become negative: small requests then do not starve
// large ones of the same customer. What entries admit between two reports is paid back from the refill, so that the
// average never exceeds the rate; a window exceeds rate and burst by at most one request of each entry and what they
// admit in the time of one report. While a peer is silent, an entry leaves it an equal share of the rate.
//
// It is not safe for concurrent use.
type Meter struct {
	buckets map[string]*meterBucket
	peers   map[uint64]*meterPeer
}

type meterBucket struct {
	limit config.Limit
	level float64
	at    time.Time
	// own is the sum of what this entry admitted, credit what of it was refunded and not admitted again.
	own, credit int64
	// queued is refused work that is expected to return.
	queued float64
}

type meterPeer struct {
	heard time.Time
	// tokens are the newest totals; assumed is what was taken for the peer while it was silent.
	tokens  map[string]int64
	assumed map[string]float64
}

// NewMeter returns a meter without peers.
func NewMeter() *Meter {
	return &Meter{buckets: map[string]*meterBucket{}, peers: map[uint64]*meterPeer{}}
}

// SetPeers replaces the sessions that share the limits.
func (m *Meter) SetPeers(now time.Time, sessions []uint64) {
	next := map[uint64]*meterPeer{}
	for _, id := range sessions {
		p := m.peers[id]
		if p == nil {
			p = &meterPeer{heard: now, tokens: map[string]int64{}, assumed: map[string]float64{}}
		}
		next[id] = p
	}
	m.peers = next
}

func (m *Meter) bucket(now time.Time, name string, limit config.Limit) *meterBucket {
	b := m.buckets[name]
	if b == nil {
		b = &meterBucket{limit: limit, level: float64(limit.BurstTokens), at: now}
		m.buckets[name] = b
	}
	if b.limit != limit {
		// A lower burst takes effect at once, a higher one fills up.
		b.limit = limit
		b.level = min(b.level, float64(limit.BurstTokens))
	}
	m.refill(now, name, b)
	return b
}

// refill adds what the rate brings, less the share of peers that are silent.
func (m *Meter) refill(now time.Time, name string, b *meterBucket) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	gain := elapsed * float64(b.limit.TokensPerSecond)
	share := gain / float64(len(m.peers)+1)
	for _, p := range m.peers {
		if now.Sub(p.heard) > silentAfter {
			p.assumed[name] += share
			gain -= share
		}
	}
	b.level = min(b.level+gain, float64(b.limit.BurstTokens))
	b.queued = max(0, b.queued-gain)
}

// Take admits a request, or tells when to return.
func (m *Meter) Take(now time.Time, name string, limit config.Limit, tokens int64) (ok bool, retryAfter time.Duration) {
	b := m.bucket(now, name, limit)
	if b.level > 0 {
		b.level -= float64(tokens)
		paid := min(b.credit, tokens)
		b.credit -= paid
		b.own += tokens - paid
		return true, 0
	}
	wait := (b.queued - b.level) / float64(limit.TokensPerSecond)
	b.queued = min(b.queued+float64(tokens), queueFade.Seconds()*float64(limit.TokensPerSecond))
	return false, time.Duration(wait*float64(time.Second)) + time.Millisecond
}

// Refund gives back the tokens of a request that has not run. Totals never decrease: the refund is paid from what is
// admitted next.
func (m *Meter) Refund(now time.Time, name string, limit config.Limit, tokens int64) {
	b := m.bucket(now, name, limit)
	b.level = min(b.level+float64(tokens), float64(b.limit.BurstTokens))
	b.credit += tokens
}

// Report returns this entry's totals.
func (m *Meter) Report(now time.Time) []Use {
	uses := make([]Use, 0, len(m.buckets))
	for name, b := range m.buckets {
		m.refill(now, name, b)
		uses = append(uses, Use{Bucket: name, Tokens: b.own, Level: b.level})
	}
	return uses
}

// Observe takes a peer's report into account. Limits tells the limit of a bucket; one without a limit is left out.
func (m *Meter) Observe(now time.Time, session uint64, uses []Use, limits func(bucket string) (config.Limit, bool)) {
	p := m.peers[session]
	if p == nil {
		return
	}
	first := len(p.tokens) == 0
	for _, u := range uses {
		limit, ok := limits(u.Bucket)
		if !ok {
			continue
		}
		b := m.bucket(now, u.Bucket, limit)
		if last, known := p.tokens[u.Bucket]; known || !first {
			used := float64(max(0, u.Tokens-last)) - p.assumed[u.Bucket]
			b.level = min(b.level-used, float64(limit.BurstTokens))
		} else {
			// The peer knows of use before the two heard of each other.
			b.level = min(b.level, u.Level)
		}
		p.assumed[u.Bucket] = 0
		p.tokens[u.Bucket] = max(p.tokens[u.Bucket], u.Tokens)
	}
	p.heard = now
}
