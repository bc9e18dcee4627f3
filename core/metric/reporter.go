package metric

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// reporter is a tally.CachedStatsReporter that accumulates totals and writes them in the Prometheus text format, version
// 0.0.4.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

// family holds the series of one metric name.
type family struct {
	metricType string
	// series holds the series of each label set, in the text format.
	series map[string]writer
}

type writer interface {
	write(w *bufio.Writer, name, labels string)
}

func newReporter() *reporter { return &reporter{families: map[string]*family{}} }

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (r *reporter) Flush() {}

// getOrCreate returns the series with the name and tags. If none exists, getOrCreate adds the result of create.
func getOrCreate[T writer](r *reporter, metricType, name string, tags map[string]string, create func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.families[name]
	if f == nil {
		f = &family{metricType: metricType, series: map[string]writer{}}
		r.families[name] = f
	}
	labels := formatLabels(tags)
	if existing, ok := f.series[labels].(T); ok {
		return existing
	}
	s := create()
	f.series[labels] = s
	return s
}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return getOrCreate(r, "counter", name, tags, func() *counter { return &counter{} })
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return getOrCreate(r, "gauge", name, tags, func() *gauge { return &gauge{} })
}

// AllocateTimer implements tally.CachedStatsReporter. A timer is a histogram with LatencyBuckets.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return getOrCreate(r, "histogram", name, tags, func() *histogram { return newHistogram(LatencyBuckets) })
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	return getOrCreate(r, "histogram", name, tags, func() *histogram { return newHistogram(buckets) })
}

// writeTo writes all series in the order of name and labels.
func (r *reporter) writeTo(out io.Writer) error {
	w := bufio.NewWriter(out)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		_, _ = fmt.Fprintf(w, "# TYPE %s %s\n", name, f.metricType)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(w, name, labels)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func formatLabels(tags map[string]string) string {
	var b strings.Builder
	for i, key := range slices.Sorted(maps.Keys(tags)) {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `%s="%s"`, key, labelEscapes.Replace(tags[key]))
	}
	return b.String()
}

func writeLine(w *bufio.Writer, name, labels, extraLabel, value string) {
	if labels != "" && extraLabel != "" {
		labels += ","
	}
	// Flush returns the first write error of a bufio.Writer.
	if labels+extraLabel == "" {
		_, _ = fmt.Fprintf(w, "%s %s\n", name, value)
		return
	}
	_, _ = fmt.Fprintf(w, "%s{%s%s} %s\n", name, labels, extraLabel, value)
}

type counter struct{ total atomic.Int64 }

// ReportCount implements tally.CachedCount.
func (c *counter) ReportCount(n int64) { c.total.Add(n) }

func (c *counter) write(w *bufio.Writer, name, labels string) {
	writeLine(w, name, labels, "", strconv.FormatInt(c.total.Load(), 10))
}

type gauge struct{ bits atomic.Uint64 }

// ReportGauge implements tally.CachedGauge.
func (g *gauge) ReportGauge(v float64) { g.bits.Store(math.Float64bits(v)) }

func (g *gauge) write(w *bufio.Writer, name, labels string) {
	writeLine(w, name, labels, "", formatFloat(math.Float64frombits(g.bits.Load())))
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// histogram counts samples by the upper bound of their bucket, with durations in seconds. The exported sum counts each
// sample as the midpoint of its bucket, because tally reports only bucket counts.
type histogram struct {
	bounds  []float64
	buckets []bucket
}

type bucket struct {
	midpoint float64
	samples  atomic.Int64
}

func newHistogram(buckets tally.Buckets) *histogram {
	bounds := slices.Clone(buckets.AsValues())
	if _, ok := buckets.(tally.DurationBuckets); ok {
		bounds = bounds[:0]
		for _, d := range buckets.AsDurations() {
			bounds = append(bounds, d.Seconds())
		}
	}
	slices.Sort(bounds)
	h := &histogram{bounds: bounds, buckets: make([]bucket, len(bounds)+1)}
	low := 0.0
	for i, high := range bounds {
		h.buckets[i].midpoint = (low + high) / 2
		low = high
	}
	h.buckets[len(bounds)].midpoint = low
	return h
}

// ReportTimer implements tally.CachedTimer.
func (h *histogram) ReportTimer(d time.Duration) { h.bucketFor(d.Seconds()).ReportSamples(1) }

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.bucketFor(upper)
}

// DurationBucket implements tally.CachedHistogram.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return &h.buckets[len(h.bounds)]
	}
	return h.bucketFor(upper.Seconds())
}

// bucketFor returns the bucket with the smallest bound that is at least upper, or the last bucket beyond all bounds.
func (h *histogram) bucketFor(upper float64) *bucket {
	i, _ := slices.BinarySearch(h.bounds, upper)
	return &h.buckets[i]
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(n int64) { b.samples.Add(n) }

func (h *histogram) write(w *bufio.Writer, name, labels string) {
	count, sum := int64(0), 0.0
	for i := range h.buckets {
		n := h.buckets[i].samples.Load()
		count += n
		sum += float64(n) * h.buckets[i].midpoint
		bound := "+Inf"
		if i < len(h.bounds) {
			bound = formatFloat(h.bounds[i])
		}
		writeLine(w, name+"_bucket", labels, `le="`+bound+`"`, strconv.FormatInt(count, 10))
	}
	writeLine(w, name+"_sum", labels, "", formatFloat(sum))
	writeLine(w, name+"_count", labels, "", strconv.FormatInt(count, 10))
}
