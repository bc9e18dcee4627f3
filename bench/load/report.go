package load

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"azuredoor.example/core/config"
)

const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Targets are the latency targets that a request must meet to count as good.
type Targets struct {
	FirstToken time.Duration
	// TokenGap is the maximum mean time between the tokens of a request; 0 means no limit.
	TokenGap time.Duration
}

// Count summarizes a group of requests.
type Count struct {
	Sent       int `json:"sent"`
	Complete   int `json:"whole"`
	Good       int `json:"good"`
	Truncated  int `json:"cut"`
	Foreign    int `json:"crossed"`
	Duplicated int `json:"doubled"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	// RefusedWithinRate counts refused requests for which the customer's token bucket held enough tokens.
	RefusedWithinRate int `json:"refusedWithinRate"`
	// FirstToken is the time in milliseconds from the planned time of a request to its first token; TokenGap is
	// the time in milliseconds between two tokens.
	FirstToken Quantiles `json:"firstToken"`
	TokenGap   Quantiles `json:"tokenGap"`

	firstToken, tokenGap *hdrhistogram.Histogram
}

// Quantiles are quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report summarizes a run.
type Report struct {
	Seconds float64 `json:"seconds"`
	// EngineGoodput is the number of good engine responses per second that ended in the last two thirds of the
	// load, when engines and queues have filled.
	EngineGoodput float64 `json:"engineGoodput"`
	All           *Count  `json:"all"`
	// Customers and Kinds count the requests by customer and by kind.
	Customers map[string]*Count `json:"customers"`
	Kinds     map[Kind]*Count   `json:"kinds"`
	// LatestSendMs is the longest delay in milliseconds with which the load tool itself sent a request.
	LatestSendMs float64 `json:"latestSendMs"`
}

// Goodput returns the good requests per second.
func (r *Report) Goodput() float64 { return float64(r.All.Good) / r.Seconds }

// WorstCustomer returns the smallest share of good requests of any customer that is not excluded.
func (r *Report) WorstCustomer(excluded ...string) float64 {
	worst := 1.0
	for name, count := range r.Customers {
		if count.Sent > 0 && !slices.Contains(excluded, name) {
			worst = min(worst, float64(count.Good)/float64(count.Sent))
		}
	}
	return worst
}

// WorstRelative returns the smallest ratio, over all customers that are not excluded, of a customer's good requests
// per second to the expected good requests per second. The expected number is the customer's share of good requests in
// the baseline report, at the lower of the two send rates.
func (r *Report) WorstRelative(baseline *Report, excluded ...string) float64 {
	worst := math.Inf(1)
	for name, before := range baseline.Customers {
		count := r.Customers[name]
		if before.Good == 0 || count == nil || count.Sent == 0 || slices.Contains(excluded, name) {
			continue
		}
		sent := min(float64(count.Sent)/r.Seconds, float64(before.Sent)/baseline.Seconds)
		expected := sent * float64(before.Good) / float64(before.Sent)
		worst = min(worst, float64(count.Good)/r.Seconds/expected)
	}
	if math.IsInf(worst, 1) {
		return 0
	}
	return worst
}

// Summarize evaluates the records of a run. The targets are by kind of request.
func Summarize(records []Record, duration time.Duration, targets map[Kind]Targets, buckets *Buckets) *Report {
	report := &Report{Seconds: duration.Seconds(), All: newCount(), Customers: map[string]*Count{}, Kinds: map[Kind]*Count{}}
	refusedWithin := buckets.refusedWithinRate(records)
	for i := range records {
		record := &records[i]
		if record.Flow == nil {
			continue
		}
		if end := record.At + record.Late + record.End; end > duration/3 && end <= duration && record.isEngineRequest() && record.meetsTargets(targets[record.Flow.Kind]) {
			report.EngineGoodput += 1.5 / duration.Seconds()
		}
		report.LatestSendMs = max(report.LatestSendMs, millis(record.Late))
		for _, count := range []*Count{report.All, countFor(report.Customers, record.Flow.Customer), countFor(report.Kinds, record.Flow.Kind)} {
			count.add(record, targets[record.Flow.Kind], refusedWithin[i])
		}
	}
	for _, count := range slices.Concat([]*Count{report.All}, slices.Collect(maps.Values(report.Customers)), slices.Collect(maps.Values(report.Kinds))) {
		count.FirstToken, count.TokenGap = quantiles(count.firstToken), quantiles(count.tokenGap)
	}
	return report
}

func countFor[K comparable](counts map[K]*Count, key K) *Count {
	if counts[key] == nil {
		counts[key] = newCount()
	}
	return counts[key]
}

func newCount() *Count {
	return &Count{
		firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		tokenGap:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func (c *Count) add(r *Record, targets Targets, withinRate bool) {
	c.Sent++
	switch r.Verdict {
	case Complete:
		c.Complete++
		first := r.Late + r.FirstToken
		_ = c.firstToken.RecordValue(max(minMicros, first.Microseconds()))
		for _, gap := range r.Gaps {
			_ = c.tokenGap.RecordValue(max(minMicros, gap.Microseconds()))
		}
		if r.meetsTargets(targets) {
			c.Good++
		}
	case Truncated:
		c.Truncated++
	case Foreign:
		c.Foreign++
	case Duplicated:
		c.Duplicated++
	case Refused:
		c.Refused++
		if withinRate {
			c.RefusedWithinRate++
		}
	case Failed:
		c.Failed++
	}
}

// meetsTargets reports whether the response is complete and within the targets.
func (r *Record) meetsTargets(targets Targets) bool {
	return r.Verdict == Complete && r.Late+r.FirstToken <= targets.FirstToken && (targets.TokenGap == 0 || r.MeanGap() <= targets.TokenGap)
}

func (r *Record) isEngineRequest() bool { return r.Flow.Kind == Completion || r.Flow.Kind == Chat }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return millis(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond) }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// String returns the report as a table.
func (r *Report) String() string {
	var b strings.Builder
	const row = "%-24s %6d %6d %6d %5d %7d %7d %7d %6d %6d %8.0f %8.0f %7.1f %7.1f\n"
	fmt.Fprintf(&b, "%-24s %6s %6s %6s %5s %7s %7s %7s %6s %6s %8s %8s %7s %7s\n", "", "sent", "whole", "good", "cut", "crossed", "doubled",
		"refused", "within", "failed", "ttft95", "ttft99", "gap50", "gap95")
	line := func(name string, c *Count) {
		fmt.Fprintf(&b, row, name, c.Sent, c.Complete, c.Good, c.Truncated, c.Foreign, c.Duplicated, c.Refused, c.RefusedWithinRate, c.Failed,
			c.FirstToken.P95, c.FirstToken.P99, c.TokenGap.P50, c.TokenGap.P95)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Customers)) {
		line(name, r.Customers[name])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		line(string(kind), r.Kinds[kind])
	}
	line("all", r.All)
	return b.String()
}

// Buckets models the token buckets that enforce the customers' limits.
type Buckets struct {
	Set *config.Set
	// Profiles maps each model and each path to the name of its profile.
	Profiles map[string]string
}

type bucket struct {
	limit config.Limit
	level float64
	at    time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.level = min(float64(b.limit.BurstTokens), b.level+float64(b.limit.TokensPerSecond)*(now-b.at).Seconds())
	b.at = now
}

// bucketEvent is the arrival of a request, or the return of its unused tokens at its end.
type bucketEvent struct {
	at     time.Duration
	record int
	end    bool
	refund int64
}

// refusedWithinRate reports for each record whether the request was refused although its bucket held enough tokens.
// It simulates the level of each bucket over all requests in order of time: requests that were not refused are charged,
// and the unused tokens of engine requests are returned when the requests end.
func (b *Buckets) refusedWithinRate(records []Record) []bool {
	refusedWithin := make([]bool, len(records))
	if b == nil {
		return refusedWithin
	}
	var events []bucketEvent
	for i := range records {
		r := &records[i]
		if r.Flow == nil {
			continue
		}
		events = append(events, bucketEvent{at: r.At, record: i})
		if refund := b.charge(r) - int64(r.PromptTokens+r.Tokens); r.Verdict != Refused && r.Flow.Kind != LookUp && r.Flow.Kind != Booking {
			events = append(events, bucketEvent{at: r.At + r.Late + r.End, record: i, end: true, refund: refund})
		}
	}
	slices.SortStableFunc(events, func(x, y bucketEvent) int { return cmp.Compare(x.at, y.at) })
	buckets := map[string]*bucket{}
	for _, event := range events {
		r := &records[event.record]
		name, limit := b.bucketFor(r.Flow)
		current, ok := buckets[name]
		if !ok {
			current = &bucket{limit: limit, level: float64(limit.BurstTokens)}
			buckets[name] = current
		}
		current.refill(event.at)
		charge := float64(b.charge(r))
		switch {
		case event.end:
			current.level += float64(event.refund)
		case r.Verdict == Refused:
			refusedWithin[event.record] = current.level >= charge
		default:
			current.level -= charge
		}
	}
	return refusedWithin
}

func (b *Buckets) charge(r *Record) int64 {
	if r.Flow.Kind == LookUp || r.Flow.Kind == Booking {
		return b.Set.Profiles[b.Profiles[r.Flow.Path]].RequestTokens
	}
	return r.Charge
}

// bucketFor returns the name and limit of the bucket of a flow: the customer's own bucket if the customer has a limit,
// else a bucket for the customer and the profile.
func (b *Buckets) bucketFor(f *Flow) (name string, limit config.Limit) {
	profile := b.Profiles[f.Model+f.Path]
	if customer := b.Set.Customers[f.Customer]; customer != nil && customer.Limit != nil {
		return f.Customer, *customer.Limit
	}
	return f.Customer + "/" + profile, b.Set.Profiles[profile].CustomerLimit
}
