// Package hedge decides when a request that may run more than once is sent to a second upstream, while the first one has
// not responded. It is made for upstreams that are slow for a moment, one at a time. It sends nothing more when all of
// them are slow, because a copy then delays others.
package hedge

import (
	"math"
	"slices"
	"time"
)

const (
	intervalLength = 3 * time.Second
	intervalCount  = 20
	// Window is the time over which the limit holds.
	Window = intervalLength * intervalCount
	// sampleSize is the number of recent response times that are kept, minSamples the number below which nothing is sent.
	sampleSize = 256
	minSamples = 32
	// refreshInterval is the number of response times after which the delay is computed again.
	refreshInterval = 16
	// refusalPause is how long nothing is sent after an upstream has refused a request, a few report intervals.
	refusalPause = time.Second
)

// Policy decides for one service at one entry. It is not safe for concurrent use.
//
// The copies of an entry are at most a share of its own requests in Window. The share therefore holds for the whole
// fleet without messages, whichever entries are cut off, stopped or started.
type Policy struct {
	percent          float64
	requests, copies [intervalCount]int
	// current is the index of the latest interval since the Unix epoch.
	current int64
	// times holds the latest response times; recorded counts all that were recorded.
	times    [sampleSize]time.Duration
	recorded int
	delay    time.Duration
	// refusedAt is when an upstream last refused a request.
	refusedAt time.Time
}

// New returns a policy that sends at most the given share of the requests twice, in percent from 0 to 100.
func New(percent float64) *Policy { return &Policy{percent: percent} }

func (p *Policy) advance(now time.Time) {
	index := now.UnixNano() / int64(intervalLength)
	if index-p.current >= intervalCount {
		p.requests, p.copies, p.current = [intervalCount]int{}, [intervalCount]int{}, index
		return
	}
	for p.current < index {
		p.current++
		p.requests[p.current%intervalCount], p.copies[p.current%intervalCount] = 0, 0
	}
}

// CountRequest counts a request that may run more than once.
func (p *Policy) CountRequest(now time.Time) {
	p.advance(now)
	p.requests[p.current%intervalCount]++
}

// RecordTime records how long an upstream took to respond. For an upstream that has not responded yet, it is the time that
// the request has waited.
func (p *Policy) RecordTime(d time.Duration) {
	p.times[p.recorded%sampleSize] = d
	p.recorded++
	if p.recorded < minSamples || p.recorded%refreshInterval != 0 {
		return
	}
	sorted := slices.Clone(p.times[:min(p.recorded, sampleSize)])
	slices.Sort(sorted)
	p.delay = sorted[min(len(sorted)-1, int(math.Ceil(float64(len(sorted))*(1-p.percent/100))))]
}

// RecordRefusal records that an upstream has refused a request for lack of capacity.
func (p *Policy) RecordRefusal(now time.Time) { p.refusedAt = now }

// Delay returns how long to wait for the first upstream, and false if no copy is to be sent. The delay is the quantile of
// the response times above which as many requests are as the limit allows copies.
func (p *Policy) Delay(now time.Time) (time.Duration, bool) {
	return p.delay, p.delay > 0 && p.available(now)
}

// Take reports whether a copy may be sent now, and counts it if so.
func (p *Policy) Take(now time.Time) bool {
	if !p.available(now) {
		return false
	}
	p.copies[p.current%intervalCount]++
	return true
}

func (p *Policy) available(now time.Time) bool {
	p.advance(now)
	requests, copies := 0, 0
	for i := range intervalCount {
		requests += p.requests[i]
		copies += p.copies[i]
	}
	return now.Sub(p.refusedAt) >= refusalPause && float64(copies+1) <= float64(requests)*p.percent/100
}
