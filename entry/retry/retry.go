// Package retry decides whether a request may be tried again.
//
// A budget bounds retries to a share of the requests of a sliding window, counted over the whole fleet, so
// that retries cannot multiply the load of an overloaded pool.
package retry

import "time"

const (
	slot  = 500 * time.Millisecond
	slots = 20
	// Window is the time over which requests and retries are counted.
	Window = slot * slots
	// floor is how many retries the whole fleet may make in a window however few requests there were. It covers
	// the requests of two engines of about 20 slots that fail at once.
	floor = 40
)

// counts is a sliding window of requests and retries.
type counts struct {
	requests, retries [slots]uint32
	at                int64
}

func (c *counts) advance(now int64) {
	if now-c.at >= slots {
		*c = counts{at: now}
		return
	}
	for c.at < now {
		c.at++
		c.requests[c.at%slots], c.retries[c.at%slots] = 0, 0
	}
}

func (c *counts) sums() (requests, retries uint64) {
	for i := range slots {
		requests += uint64(c.requests[i])
		retries += uint64(c.retries[i])
	}
	return requests, retries
}

type peer struct {
	counts
	requests, retries uint64
	seen              time.Time
}

// Budget is the retry budget of one pool at one entry. It is not safe for concurrent use.
type Budget struct {
	own               counts
	requests, retries uint64
	peers             map[uint64]*peer
	floor             uint64
}

// New returns an empty budget.
func New() *Budget { return WithFloor(floor) }

// WithFloor returns an empty budget of which the whole fleet may use a number of retries in a window however few
// requests there were.
func WithFloor(retries int) *Budget {
	return &Budget{peers: map[uint64]*peer{}, floor: uint64(max(1, retries))}
}

// AllowShared takes one retry if the fleet stays within percent of its requests plus the floor. Peers are assumed to
// have made as many retries as this entry since they last reported; one that reports no more counts with its part of
// the floor.
func (b *Budget) AllowShared(now time.Time, percent float64, entries int) bool {
	b.own.advance(index(now))
	requests, retries := b.fleet(now)
	room := float64(b.floor)
	if silent := entries - 1 - len(b.peers); silent > 0 {
		room -= float64(b.floor) * float64(silent) / float64(entries)
	}
	if float64(retries+1) > float64(requests)*percent/100+room {
		return false
	}
	b.own.retries[b.own.at%slots]++
	b.retries++
	return true
}

// fleet returns the requests and retries of the window over all entries, as far as their reports tell.
func (b *Budget) fleet(now time.Time) (requests, retries uint64) {
	requests, retries = b.own.sums()
	recent := uint64(b.own.retries[b.own.at%slots])
	for session, p := range b.peers {
		if now.Sub(p.seen) > Window {
			delete(b.peers, session)
			continue
		}
		p.advance(index(now))
		q, r := p.sums()
		requests += q
		retries += r + recent
	}
	return requests, retries
}

// Total is what one entry reports of one service.
type Total struct {
	Service           string
	Requests, Retries uint64
}

func index(now time.Time) int64 { return now.UnixNano() / int64(slot) }

// Request counts a new request of this entry.
func (b *Budget) Request(now time.Time) {
	b.own.advance(index(now))
	b.own.requests[b.own.at%slots]++
	b.requests++
}

// Totals returns the requests and retries of this entry since its start, for the demand exchange.
func (b *Budget) Totals() (requests, retries uint64) { return b.requests, b.retries }

// Peer takes the totals of another entry into account. Totals that went down belong to a new start.
func (b *Budget) Peer(now time.Time, session, requests, retries uint64) {
	p := b.peers[session]
	if p == nil {
		// What the peer counted before is not of this window.
		b.peers[session] = &peer{counts: counts{at: index(now)}, requests: requests, retries: retries, seen: now}
		return
	}
	p.advance(index(now))
	p.seen = now
	if requests >= p.requests && retries >= p.retries {
		p.counts.requests[p.at%slots] += uint32(requests - p.requests)
		p.counts.retries[p.at%slots] += uint32(retries - p.retries)
	}
	p.requests, p.retries = requests, retries
}

// Allow takes one retry. Percent is the share of the fleet's requests, from 0 to 100; 0 allows none. Peers
// are assumed to have made as many retries as this entry since they last reported, so that all entries
// together stay near the budget.
func (b *Budget) Allow(now time.Time, percent int) bool {
	if percent <= 0 {
		return false
	}
	b.own.advance(index(now))
	_, own := b.own.sums()
	requests, retries := b.fleet(now)
	if (retries+1)*100 > requests*uint64(percent) && own >= max(1, b.floor/uint64(len(b.peers)+1)) {
		return false
	}
	b.own.retries[b.own.at%slots]++
	b.retries++
	return true
}

// InTime says whether a step that is expected to take a duration ends before the deadline.
func InTime(now, deadline time.Time, expected time.Duration) bool {
	return now.Add(expected).Before(deadline)
}
