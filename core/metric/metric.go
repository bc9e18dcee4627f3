// Package metric collects metrics through a tally scope and exports them in the Prometheus text format.
package metric

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the interval at which tally passes its counts to the reporter.
const reportInterval = time.Second

// ContentType is the media type of the output of WriteText.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// LatencyBuckets are the histogram buckets for latencies from 1 ms to 60 s.
var LatencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	35 * time.Millisecond, 50 * time.Millisecond, 68 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	350 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute,
}

// Root is the root scope of a process.
type Root struct {
	tally.Scope
	reporter *reporter
	closer   io.Closer
}

// New returns a root scope that adds a prefix to the name of each metric. The scope reports once a second, so exported
// values are up to 1 s old.
func New(prefix string) *Root {
	r := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Separator: "_", CachedReporter: r, OmitCardinalityMetrics: true,
		SanitizeOptions: &tally.SanitizeOptions{
			NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
			KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
			ReplacementCharacter: tally.DefaultReplacementCharacter,
			ValueCharacters: tally.ValidCharacters{
				Ranges: []tally.SanitizeRange{{' ', '~'}},
			},
		},
	}, reportInterval)
	return &Root{Scope: scope, reporter: r, closer: closer}
}

// WriteText writes all metrics in the Prometheus text format.
func (r *Root) WriteText(w io.Writer) error { return r.reporter.writeTo(w) }

// ServeHTTP implements http.Handler.
func (r *Root) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", ContentType)
	// A write error means that the client has disconnected.
	_ = r.WriteText(w)
}

// Close sends a final report and closes the scope.
func (r *Root) Close() error {
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("close the metric scope: %w", err)
	}
	return nil
}

// maxCustomers bounds the number of customers with separate series; further customers share the tag otherCustomers. Each
// pair of customer and class uses about 3 kB of memory.
const maxCustomers = 200

// otherCustomers is the tag of customers beyond maxCustomers.
const otherCustomers = "other"

// Requests holds the request metrics of each customer and class.
type Requests struct {
	scope tally.Scope

	mu        sync.RWMutex
	customers map[string]bool
	// series holds the metrics of each customer and class.
	series map[[2]string]*Series
}

// NewRequests returns request metrics that report to a scope.
func NewRequests(scope tally.Scope) *Requests {
	return &Requests{scope: scope, customers: map[string]bool{}, series: map[[2]string]*Series{}}
}

// Series holds the request metrics of one customer and class.
type Series struct {
	scope tally.Scope
	// Queue is the wait for admission. Transfer is the time from the start of decode to the first token. FirstToken is
	// the time from arrival to the first token. TokenGap is the time between tokens. Duration is the time from arrival to
	// the end of the request.
	Queue, Transfer, FirstToken, TokenGap, Duration tally.Histogram
	// Tokens is the number of output tokens.
	Tokens tally.Counter

	mu       sync.RWMutex
	outcomes map[string]tally.Counter
	// unfinished holds the counter of each outcome and cause.
	unfinished map[[2]string]tally.Counter
}

// For returns the series of a customer and a class. The class is the name of a profile; the customer is empty for open
// routes.
func (r *Requests) For(customer, class string) *Series {
	r.mu.RLock()
	key := [2]string{r.customerTag(customer), class}
	s := r.series[key]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key[0] = r.customerTag(customer)
	r.customers[key[0]] = true
	if s := r.series[key]; s != nil {
		return s
	}
	scope := r.scope.Tagged(map[string]string{"customer": key[0], "class": class})
	s = &Series{
		scope: scope, outcomes: map[string]tally.Counter{}, unfinished: map[[2]string]tally.Counter{},
		Queue:      scope.Histogram("queue_seconds", LatencyBuckets),
		Transfer:   scope.Histogram("transfer_seconds", LatencyBuckets),
		FirstToken: scope.Histogram("first_token_seconds", LatencyBuckets),
		TokenGap:   scope.Histogram("token_gap_seconds", LatencyBuckets),
		Duration:   scope.Histogram("request_seconds", LatencyBuckets),
		Tokens:     scope.Counter("output_tokens_total"),
	}
	r.series[key] = s
	return s
}

// customerTag returns the tag of a customer. The caller holds r.mu.
func (r *Requests) customerTag(customer string) string {
	if !r.customers[customer] && len(r.customers) >= maxCustomers {
		return otherCustomers
	}
	return customer
}

// Outcome counts a completed request. The outcome is "ok" or an error code.
func (s *Series) Outcome(outcome string) {
	s.mu.RLock()
	c := s.outcomes[outcome]
	s.mu.RUnlock()
	if c == nil {
		s.mu.Lock()
		if c = s.outcomes[outcome]; c == nil {
			c = s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_total")
			s.outcomes[outcome] = c
		}
		s.mu.Unlock()
	}
	c.Inc(1)
}

// Unfinished counts a request that was sent to an upstream and whose caller did not get the complete response of one, by the
// outcome and the cause.
func (s *Series) Unfinished(outcome, cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{outcome, cause}
	c := s.unfinished[key]
	if c == nil {
		c = s.scope.Tagged(map[string]string{"outcome": outcome, "cause": cause}).Counter("unfinished_requests_total")
		s.unfinished[key] = c
	}
	c.Inc(1)
}
