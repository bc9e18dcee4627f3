// Package retry decides whether a request may be retried.
//
// A budget bounds retries to a share of the requests in a sliding window. Retries and requests are counted over the
// whole fleet, so that retries cannot multiply the load of an overloaded pool.
package retry

import "time"

const (
	intervalLength = 500 * time.Millisecond
	intervalCount  = 20
	// Window is the time over which requests and retries are counted.
	Window = intervalLength * intervalCount
	// defaultFloor is the number of retries that the whole fleet may make in a window regardless of the number of
	// requests. It covers the requests of two engines of about 20 slots each that fail at once.
	defaultFloor = 40
)

// window counts requests and retries by interval in a sliding window.
type window struct {
	requests, retries [intervalCount]uint32
	// current is the index of the latest interval since the Unix epoch.
	current int64
}

func (w *window) advance(now int64) {
	if now-w.current >= intervalCount {
		*w = window{current: now}
		return
	}
	for w.current < now {
		w.current++
		w.requests[w.current%intervalCount], w.retries[w.current%intervalCount] = 0, 0
	}
}

func (w *window) sums() (requests, retries uint64) {
	for i := range intervalCount {
		requests += uint64(w.requests[i])
		retries += uint64(w.retries[i])
	}
	return requests, retries
}

// peer holds the counts of another entry in the window.
type peer struct {
	window
	// requests and retries are the totals of the peer's last report, not the counts in the window.
	requests, retries uint64
	lastReportAt      time.Time
	// entries is how many entries the report sums up, at least 1.
	entries int
}

// Budget is the retry budget of one pool at one entry. It is not safe for concurrent use.
type Budget struct {
	local                       window
	totalRequests, totalRetries uint64
	peers                       map[uint64]*peer
	floor                       uint64
}

// New returns an empty budget.
func New() *Budget { return WithFloor(defaultFloor) }

// WithFloor returns an empty budget that allows the whole fleet at least the given number of retries in a window.
func WithFloor(retries int) *Budget {
	return &Budget{peers: map[uint64]*peer{}, floor: uint64(max(1, retries))}
}

// AllowShared reports whether a retry is allowed, and counts the retry if so. A retry is allowed if the retries of the
// fleet stay within percent of the fleet's requests plus the floor. Each other entry is assumed to have made as many
// retries since the last report as this entry made in the current interval. A silent peer is assumed to have used its part of
// the floor. Entries is the number of reporting entries, including this one, where a sum counts as one. Part is the part of the fleet whose use this entry
// knows, above 0 and at most 1: the other part may use a budget of its own, so only that part of the whole budget is used.
func (b *Budget) AllowShared(now time.Time, percent float64, entries int, part float64) bool {
	if !b.Available(now, percent, entries, part) {
		return false
	}
	b.local.retries[b.local.current%intervalCount]++
	b.totalRetries++
	return true
}

// Available reports whether AllowShared would allow a retry, and counts none.
func (b *Budget) Available(now time.Time, percent float64, entries int, part float64) bool {
	b.local.advance(intervalIndex(now))
	requests, retries := b.fleetSums(now)
	allowance := float64(b.floor)
	if silentPeers := entries - 1 - len(b.peers); silentPeers > 0 {
		allowance -= float64(b.floor) * float64(silentPeers) / float64(entries)
	}
	return float64(retries+1) <= part*(float64(requests)*percent/100+allowance)
}

// fleetSums returns the requests and retries of all entries in the window, as far as reported. For each other entry,
// fleetSums adds the retries of this entry in the current interval, in place of retries that are not reported yet.
func (b *Budget) fleetSums(now time.Time) (requests, retries uint64) {
	requests, retries = b.local.sums()
	recentRetries := uint64(b.local.retries[b.local.current%intervalCount])
	for session, p := range b.peers {
		if now.Sub(p.lastReportAt) > Window {
			delete(b.peers, session)
			continue
		}
		p.advance(intervalIndex(now))
		q, r := p.sums()
		requests += q
		retries += r + recentRetries*uint64(p.entries)
	}
	return requests, retries
}

// Total holds the counts that one entry reports for one service.
type Total struct {
	Service           string
	Requests, Retries uint64
}

func intervalIndex(now time.Time) int64 { return now.UnixNano() / int64(intervalLength) }

// CountRequest counts a new request of this entry.
func (b *Budget) CountRequest(now time.Time) {
	b.local.advance(intervalIndex(now))
	b.local.requests[b.local.current%intervalCount]++
	b.totalRequests++
}

// Totals returns the requests and retries of this entry since its start. Reports to peers carry them.
func (b *Budget) Totals() (requests, retries uint64) { return b.totalRequests, b.totalRetries }

// AddPeerTotals adds the increase of another entry's totals to the window. Decreased totals mean that the entry
// restarted; they replace the old totals and add nothing to the window.
func (b *Budget) AddPeerTotals(now time.Time, session, requests, retries uint64) {
	b.AddSummedTotals(now, session, 1, requests, retries)
}

// AddSummedTotals is like AddPeerTotals for the sum of the totals of several other entries, at least 1.
func (b *Budget) AddSummedTotals(now time.Time, session uint64, entries int, requests, retries uint64) {
	p := b.peers[session]
	if p == nil {
		// The peer may have counted its first totals before this window.
		b.peers[session] = &peer{
			window: window{current: intervalIndex(now)}, requests: requests, retries: retries, lastReportAt: now,
			entries: max(1, entries),
		}
		return
	}
	p.advance(intervalIndex(now))
	p.lastReportAt, p.entries = now, max(1, entries)
	if requests >= p.requests && retries >= p.retries {
		p.window.requests[p.current%intervalCount] += uint32(requests - p.requests)
		p.window.retries[p.current%intervalCount] += uint32(retries - p.retries)
	}
	p.requests, p.retries = requests, retries
}

// Allow reports whether a retry is allowed, and counts the retry if so. Percent is the share of the fleet's requests
// that may be retried, from 0 to 100; 0 allows no retry. Each peer is assumed to have made as many retries since its
// last report as this entry made in the current interval, so that all entries together stay near the budget. This entry
// may always use its part of the floor, or one retry if that part is smaller.
func (b *Budget) Allow(now time.Time, percent int) bool {
	if percent <= 0 {
		return false
	}
	b.local.advance(intervalIndex(now))
	_, localRetries := b.local.sums()
	requests, retries := b.fleetSums(now)
	if (retries+1)*100 > requests*uint64(percent) && localRetries >= max(1, b.floor/uint64(len(b.peers)+1)) {
		return false
	}
	b.local.retries[b.local.current%intervalCount]++
	b.totalRetries++
	return true
}

// InTime reports whether a step of the expected duration ends before the deadline.
func InTime(now, deadline time.Time, expected time.Duration) bool {
	return now.Add(expected).Before(deadline)
}
