package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/load"
)

const (
	restartTimeout = 15 * time.Second
	healthInterval = 250 * time.Millisecond
	// settleTime is the minimum pause between two loads, so that delayed load reports of the previous load have arrived.
	settleTime = 700 * time.Millisecond
	// releaseTimeout is the maximum wait after a load until the engines hold no slots and no KV cache. A slot that is
	// not cancelled is released when its reservation expires, within 5 s.
	releaseTimeout  = 8 * time.Second
	releaseInterval = 50 * time.Millisecond
)

func entryName(i int) string { return "entry-" + strconv.Itoa(i+1) }

// restart starts a killed process again and waits until the fleet is ready.
func (b *testbed) restart(ctx context.Context, name string) error {
	if err := b.Process(name).Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	return b.AwaitReady(ctx)
}

// Measures are the results of one load on one fleet.
type Measures struct {
	Report *load.Report `json:"report"`
	// Capacity is the computed capacity of the engines in requests per second.
	Capacity float64 `json:"capacity"`
	// WorstCustomer is the share of good requests of the worst-served customer.
	WorstCustomer float64 `json:"worstCustomer"`
	// WorstOfSteady is the smallest ratio of a customer's good requests per second to the good requests per second
	// in the steady scenario on the same fleet; 0 if the steady scenario has not run.
	WorstOfSteady float64 `json:"worstOfSteady"`
	// RefusedBelowShare counts refused requests of customers that are within their rate and send at most their
	// max-min fair share of the capacity in engine requests.
	RefusedBelowShare int `json:"refusedBelowShare"`
	// ReleaseMs is the time in milliseconds from the last response until no engine held slots or KV cache. The wait
	// ends at releaseTimeout.
	ReleaseMs int64 `json:"releaseMs"`
	// SecretsSeen counts the secrets that have reached any stand-in of this fleet since its start.
	SecretsSeen int `json:"secretsSeen"`
	// WastedPrefill is the share of prompt tokens whose prefill result expired before any transfer to a decode engine.
	WastedPrefill float64 `json:"wastedPrefill"`
	// CachedPrefill is the share of prompt tokens that were found in the prefix cache.
	CachedPrefill float64 `json:"cachedPrefill"`
	// DoubledExecutions counts the non-idempotent requests that have been executed more than once since the start of
	// this fleet.
	DoubledExecutions int `json:"doubledExecutions"`
}

// RunLoad starts a fleet, sends a load that is a fraction of the capacity, and stops the fleet.
func RunLoad(ctx context.Context, s Setup, fraction float64, duration time.Duration, seed uint64) (report *load.Report, err error) {
	b, err := s.start(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.Stop()) }()
	measures, err := b.measure(ctx, scenario{name: "load", flows: flowsAtLoad(fraction)}, duration, seed)
	if err != nil {
		return nil, err
	}
	return measures.Report, nil
}

// measure runs one scenario on the testbed.
func (b *testbed) measure(ctx context.Context, s scenario, duration time.Duration, seed uint64) (*Measures, error) {
	duration *= max(1, s.durationFactor)
	before, err := b.prefillTotals(ctx)
	if err != nil {
		return nil, err
	}
	plan := &load.Plan{
		Name: s.name, Flows: s.flows(b), Duration: duration, Seed: seed, Shares: s.shares, Keys: b.Keys, Timeout: requestTimeout + time.Second,
	}
	for i := range b.Entries() {
		plan.URLs = append(plan.URLs, b.EntryURL(i))
	}
	records, err := b.sendLoad(ctx, s, plan)
	if err != nil {
		return nil, eris.Wrapf(err, "scenario %s", s.name)
	}
	release, err := b.awaitRelease(ctx)
	if err != nil {
		return nil, err
	}
	after, err := b.prefillTotals(ctx)
	if err != nil {
		return nil, err
	}
	if s.recover != nil {
		if err := s.recover(ctx, b); err != nil {
			return nil, eris.Wrapf(err, "recover from scenario %s", s.name)
		}
	}
	m := &Measures{Report: load.Summarize(records, duration, targets(b.deployment, b.buckets), b.buckets), Capacity: Capacity(b.deployment)}
	m.ReleaseMs = release.Milliseconds()
	var excluded []string
	if s.excluded != nil {
		excluded = s.excluded(b.deployment)
	}
	m.WorstCustomer = m.Report.WorstCustomer(excluded...)
	if s.name == steadyName {
		b.steady = m.Report
	}
	if b.steady != nil {
		m.WorstOfSteady = m.Report.WorstRelative(b.steady, excluded...)
	}
	for _, name := range customersBelowShare(plan.Flows, b.weight, m.Capacity) {
		if count := m.Report.Customers[name]; count != nil {
			m.RefusedBelowShare += count.RefusedWithinRate
		}
	}
	if total := after.tokens() - before.tokens(); total > 0 {
		m.WastedPrefill = float64(after.WastedPrefillTokens-before.WastedPrefillTokens) / float64(total)
		m.CachedPrefill = float64(after.CachedTokens-before.CachedTokens) / float64(total)
	}
	if m.SecretsSeen, err = b.SecretsSeen(ctx); err != nil {
		return nil, err
	}
	m.DoubledExecutions, err = b.doubledExecutions(ctx)
	return m, err
}

// awaitRelease waits until no running engine holds a slot or KV cache, or until releaseTimeout has passed, and returns
// the time that the release took. It returns after settleTime at the earliest.
func (b *testbed) awaitRelease(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	for {
		held, err := b.heldResources(ctx)
		if err != nil {
			return 0, err
		}
		if took := time.Since(began); held == 0 || took > releaseTimeout {
			return took, sleep(ctx, settleTime-took)
		}
		if err := sleep(ctx, releaseInterval); err != nil {
			return 0, err
		}
	}
}

// heldResources returns the slots in use plus the bytes of KV cache held on all running engines. The result is 0 only if
// the engines hold neither.
func (b *testbed) heldResources(ctx context.Context) (int64, error) {
	sum := int64(0)
	for _, s := range b.Standins() {
		if s.Kind != "engine" || !b.Process(s.ID).Running() {
			continue
		}
		var stats struct{ SlotsInUse, KVBytesHeld int64 }
		if _, err := b.Stats(ctx, s.ID, &stats); err != nil {
			return 0, err
		}
		sum += stats.SlotsInUse + stats.KVBytesHeld
	}
	return sum, nil
}

// sendLoad sends the requests of the plan. Concurrently it injects the fault of the scenario and runs the health checks
// of the load balancer.
func (b *testbed) sendLoad(ctx context.Context, s scenario, plan *load.Plan) ([]load.Record, error) {
	healthy := make([]atomic.Bool, b.Entries())
	for i := range healthy {
		healthy[i].Store(true)
	}
	plan.Healthy = func(i int) bool { return healthy[i].Load() }
	var records []load.Record
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		var err error
		records, err = load.Run(ctx, plan)
		return err
	})
	group.Go(func() error {
		if s.inject == nil || sleep(ctx, plan.Duration/3) != nil {
			return nil
		}
		return s.inject(ctx, b)
	})
	for i := range healthy {
		group.Go(func() error {
			for sleep(ctx, healthInterval) == nil {
				healthy[i].Store(b.Ready(ctx, i) == nil)
			}
			return nil
		})
	}
	err := group.Wait()
	return records, err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// prefillCounts are the prefill counters of one or more engines.
type prefillCounts struct {
	PrefillTokens, CachedTokens, WastedPrefillTokens int64
}

func (c prefillCounts) tokens() int64 { return c.PrefillTokens + c.CachedTokens }

// prefillTotals returns the sums of the counters of the prefill engines.
func (b *testbed) prefillTotals(ctx context.Context) (prefillCounts, error) {
	var sum prefillCounts
	for _, s := range b.Standins() {
		if s.Role != "prefill" {
			continue
		}
		var counts prefillCounts
		if _, err := b.Stats(ctx, s.ID, &counts); err != nil {
			return sum, err
		}
		sum.PrefillTokens += counts.PrefillTokens
		sum.CachedTokens += counts.CachedTokens
		sum.WastedPrefillTokens += counts.WastedPrefillTokens
	}
	return sum, nil
}

// doubledExecutions returns the number of non-idempotent requests that the service instances together executed more
// than once.
func (b *testbed) doubledExecutions(ctx context.Context) (int, error) {
	counts := map[string]int{}
	for _, s := range b.Standins() {
		if s.Kind != "service" {
			continue
		}
		list, err := b.Executions(ctx, s.ID)
		if err != nil {
			return 0, err
		}
		for _, e := range list {
			counts[fmt.Sprint(e.Path, e.BodyHash)] += e.Count
		}
	}
	doubled := 0
	for _, count := range counts {
		if count > 1 {
			doubled++
		}
	}
	return doubled, nil
}
