package scenario

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
)

// Options configure a comparison of the policies.
type Options struct {
	Bin, Dir, Examples string
	Deployments        []fleet.Deployment
	// Scenarios are the names of the scenarios to run; empty means all.
	Scenarios []string
	Seeds     []uint64
	// Duration is the duration of one load.
	Duration time.Duration
	// Parallel runs the deployments at the same time, each on its own network.
	Parallel bool
	// Progress is called with a line of text before each load.
	Progress func(text string)
}

// Run is the result of one load.
type Run struct {
	Deployment string    `json:"deployment"`
	Scenario   string    `json:"scenario"`
	Policy     string    `json:"policy"`
	Seed       uint64    `json:"seed"`
	Measures   *Measures `json:"measures"`
}

// Names returns the names of all scenarios.
func Names() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	return names
}

// Compare runs the scenarios under both policies. It starts one fleet for each combination of deployment, policy and
// seed.
func Compare(ctx context.Context, o Options) ([]Run, error) {
	results := make([][]Run, len(o.Deployments))
	group, ctx := errgroup.WithContext(ctx)
	if !o.Parallel {
		group.SetLimit(1)
	}
	for i, d := range o.Deployments {
		group.Go(func() error {
			var err error
			results[i], err = o.runDeployment(ctx, d)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []Run
	for _, runs := range results {
		all = append(all, runs...)
	}
	return all, nil
}

func (o *Options) runDeployment(ctx context.Context, d fleet.Deployment) ([]Run, error) {
	var all []Run
	for _, seed := range o.Seeds {
		for _, policy := range []string{fleet.PolicyNaive, fleet.PolicyFull} {
			runs, err := o.runFleet(ctx, d, policy, seed)
			if err != nil {
				return nil, eris.Wrapf(err, "%s, policy %s, seed %d", d.Name, policy, seed)
			}
			all = append(all, runs...)
		}
	}
	return all, nil
}

func (o *Options) runFleet(ctx context.Context, d fleet.Deployment, policy string, seed uint64) (runs []Run, err error) {
	setup := Setup{
		Bin: o.Bin, Dir: filepath.Join(o.Dir, fmt.Sprintf("%s-%s-%d", d.Name, policy, seed)), Examples: o.Examples,
		Network: -1, Deployment: d, Policy: policy,
	}
	b, err := setup.start(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.Stop()) }()
	for _, s := range scenarios {
		if !o.isSelected(s.name) {
			continue
		}
		o.Progress(fmt.Sprintf("%s, policy %s, seed %d: %s", d.Name, policy, seed, s.name))
		m, err := b.measure(ctx, s, o.Duration, seed)
		if err != nil {
			return nil, err
		}
		runs = append(runs, Run{Deployment: d.Name, Scenario: s.name, Policy: policy, Seed: seed, Measures: m})
	}
	return runs, nil
}

func (o *Options) isSelected(name string) bool {
	for _, wanted := range o.Scenarios {
		if wanted == name {
			return true
		}
	}
	return len(o.Scenarios) == 0
}
