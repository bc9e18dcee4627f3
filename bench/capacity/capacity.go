// Package capacity measures how the cost of the control plane grows with the size of a fleet. Each sweep varies one
// quantity on real processes on one machine and fits a line to each measured cost.
package capacity

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/bench/fleet"
)

// Size is the size of a fleet that the sweeps measure or that the results are extrapolated to.
type Size struct {
	Customers int `json:"customers"`
	Upstreams int `json:"upstreams"`
	Sessions  int `json:"sessions"`
	// ChangesPerDay is the number of accepted configuration changes per day.
	ChangesPerDay int `json:"changesPerDay"`
}

// Target is the expected size in two years; see section 1.6 of docs/design.md.
var Target = Size{Customers: 22_000, Upstreams: 12_000, Sessions: 900, ChangesPerDay: 20_000}

// Options configure a run of the sweeps.
type Options struct {
	// Bin is the directory of the binaries, and Dir a new directory for secrets, data and logs.
	Bin, Dir string
	// Network is N in the addresses 127.0.N.x; -1 selects an unused N.
	Network int
	// Seed seeds the random choices of the sweeps.
	Seed uint64
	// Each point is measured for Window, after a pause of Settle.
	Window, Settle time.Duration
	// Only lists the names of the sweeps to run; empty runs all sweeps.
	Only []string
	// Out receives progress output.
	Out io.Writer
}

// sweep is a series of measurements that varies one quantity.
type sweep struct {
	name string
	run  func(ctx context.Context, b *testbed) error
}

var sweeps = []sweep{
	{"customers", sweepCustomers},
	{"sessions", sweepSessions},
	{"upstreams", sweepUpstreams},
	{"subscriptions", sweepSubscriptions},
	{"peers", sweepPeers},
}

// Names returns the names of the sweeps.
func Names() []string {
	names := make([]string, 0, len(sweeps))
	for _, s := range sweeps {
		names = append(names, s.name)
	}
	return names
}

// Run runs the sweeps one after the other. Each sweep has its own fleet of three control members and one entry, and
// simulates the peers of that entry. Run stops at the first sweep that fails and returns the results so far with the
// error.
func Run(ctx context.Context, o Options) (*Result, error) {
	result := newResult(o)
	for _, name := range o.Only {
		if !slices.Contains(Names(), name) {
			return result, eris.Errorf("unknown sweep %q, want one of %q", name, Names())
		}
	}
	for _, s := range sweeps {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		if err := runSweep(ctx, o, s, result); err != nil {
			return result, eris.Wrapf(err, "sweep %s", s.name)
		}
	}
	return result, nil
}

func runSweep(ctx context.Context, o Options, s sweep, result *Result) (err error) {
	b, err := newTestbed(ctx, o, s.name, result)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := b.close(); err == nil {
			err = closeErr
		}
	}()
	return s.run(ctx, b)
}

const (
	controlMembers = 3
	enginePool     = "engines"
	servicePool    = "services"
)

// deployment returns a deployment without upstreams; the sweeps announce simulated upstreams.
func deployment() fleet.Deployment {
	return fleet.Deployment{Name: "capacity", Region: "capacity", FailureDomains: []string{"a", "b", "c"}}
}

// document is the initial configuration of each fleet.
const document = `{"objects": [
  {"kind": "fleet", "name": "fleet", "spec": {"objective": "worstServed", "retryPercent": 10}},
  {"kind": "pool", "name": "engines", "spec": {"kind": "engine", "models": ["model"]}},
  {"kind": "pool", "name": "services", "spec": {"kind": "service"}},
  {"kind": "profile", "name": "summaries", "spec": {"firstTokenTarget": "2s", "tokenGapTarget": "120ms", "requestTimeout": "90s", "queueTimeout": "15s", "priority": 1, "repeatRule": "idempotent", "customerLimit": {"tokensPerSecond": 4000, "burstTokens": 24000}}},
  {"kind": "profile", "name": "bookings", "spec": {"firstTokenTarget": "400ms", "requestTimeout": "10s", "queueTimeout": "3s", "priority": 9, "repeatRule": "nonIdempotent", "answerRetention": "24h", "requestTokens": 20, "customerLimit": {"tokensPerSecond": 400, "burstTokens": 1200}}},
  {"kind": "route", "name": "model", "spec": {"models": ["model"], "profile": "summaries", "pool": "engines"}},
  {"kind": "profile", "name": "lookups", "spec": {"firstTokenTarget": "60s", "requestTimeout": "10m", "queueTimeout": "5s", "priority": 5, "repeatRule": "idempotent", "requestTokens": 1, "customerLimit": {"tokensPerSecond": 400, "burstTokens": 1200}}},
  {"kind": "route", "name": "hold", "spec": {"pathPrefix": "/hold", "methods": ["GET"], "profile": "lookups", "pool": "services"}},
  {"kind": "route", "name": "booking", "spec": {"pathPrefix": "/booking", "methods": ["POST"], "profile": "bookings", "pool": "services"}}
]}`

// printf prints progress.
func (b *testbed) printf(format string, args ...any) {
	// A closed output is reported when the results are written.
	_, _ = fmt.Fprintf(b.options.Out, format, args...)
}

func (o Options) exampleFile() string { return filepath.Join(o.Dir, "capacity.json") }
