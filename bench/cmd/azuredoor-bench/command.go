package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/bench/demo"
	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/scenario"
	"azuredoor.example/core/settings"
)

// commonSettings are the settings that all commands share.
type commonSettings struct {
	bin, runDir, examples string
	network               int
}

func newSettings(command string, c *commonSettings) *settings.Set {
	set := settings.New("azuredoor-bench "+command, "AZUREDOOR_BENCH")
	set.Text(&c.bin, "bin", "bin", "folder with the programs")
	set.Text(&c.runDir, "run-dir", ".run", "folder for secrets, data and logs of each run")
	set.Text(&c.examples, "examples", "examples", "folder with the example documents")
	set.Count(&c.network, "network", -1, -1, 250, "N in the addresses 127.0.N.x; -1 chooses a free one")
	return set
}

// newRunDir creates a directory for one run and returns its absolute path.
func (c *commonSettings) newRunDir(name string) (string, error) {
	if err := os.MkdirAll(c.runDir, 0o700); err != nil {
		return "", eris.Wrap(err, "create the run directory")
	}
	dir, err := os.MkdirTemp(c.runDir, name+"-"+time.Now().Format("150405")+"-")
	if err != nil {
		return "", eris.Wrap(err, "create the run directory")
	}
	dir, err = filepath.Abs(dir)
	return dir, eris.Wrap(err, "resolve the path of the run directory")
}

func runDemo(ctx context.Context, args []string) error {
	var common commonSettings
	set := newSettings("demo", &common)
	hold := set.Bool("hold", false, "leave the fleet running until an interrupt")
	set.ParseOrExit(args)
	dir, err := common.newRunDir("demo")
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{
		Bin: common.bin, Dir: dir, Network: common.network, Example: filepath.Join(common.examples, "quetzaltenango.json"), Hold: *hold, Out: os.Stdout,
	})
}

// runLoad starts a fleet, sends one load to the fleet and prints the report.
func runLoad(ctx context.Context, args []string) error {
	var common commonSettings
	set := newSettings("load", &common)
	var deployment, policy string
	var duration time.Duration
	var seed, percent int
	set.Choice(&deployment, "deployment", "quetzaltenango", []string{"quetzaltenango", "lautoka"}, "deployment")
	set.Choice(&policy, "policy", fleet.PolicyFull, []string{fleet.PolicyFull, fleet.PolicyNaive}, "policy of the entries")
	set.Period(&duration, "duration", 10*time.Second, time.Second, time.Hour, "duration of the load")
	set.Count(&seed, "seed", 1, 0, 1<<30, "seed of the load")
	set.Count(&percent, "load", 40, 1, 1000, "offered load in percent of the computed capacity")
	set.ParseOrExit(args)
	dir, err := common.newRunDir("load")
	if err != nil {
		return err
	}
	for _, d := range fleet.Deployments() {
		if d.Name != deployment {
			continue
		}
		report, err := scenario.RunLoad(ctx, scenario.Setup{
			Bin: common.bin, Dir: dir, Examples: common.examples, Network: common.network, Deployment: d, Policy: policy,
		}, float64(percent)/100, duration, uint64(seed))
		if err != nil {
			return err
		}
		fmt.Print(report)
	}
	return nil
}

const (
	benchDuration = 6 * time.Second
	shortDuration = 2 * time.Second
)

// runBench compares the policies in the selected scenarios, or in all scenarios by default.
func runBench(ctx context.Context, args []string) error {
	var common commonSettings
	set := newSettings("bench", &common)
	var out, selected string
	var duration time.Duration
	var seeds int
	short := set.Bool("short", false, "short loads, by default one seed, and both deployments at the same time: under two minutes")
	set.Text(&out, "out", "out", "folder for JSON and charts")
	set.Text(&selected, "scenarios", "", "scenarios to run, separated by commas; empty runs all")
	set.Period(&duration, "duration", benchDuration, time.Second, time.Hour, "duration of each load")
	set.Count(&seeds, "seeds", 0, 0, 100, "number of seeds; 0 means 3, or 1 with -short")
	set.ParseOrExit(args)
	dir, err := common.newRunDir("bench")
	if err != nil {
		return err
	}
	o := scenario.Options{
		Bin: common.bin, Dir: dir, Examples: common.examples, Deployments: fleet.Deployments(), Duration: duration, Parallel: *short,
		Progress: func(text string) { fmt.Fprintln(os.Stderr, text) },
	}
	if selected != "" {
		o.Scenarios = strings.Split(selected, ",")
	}
	if *short {
		o.Duration = shortDuration
	}
	switch {
	case seeds == 0 && *short:
		seeds = 1
	case seeds == 0:
		seeds = 3
	}
	for seed := range seeds {
		o.Seeds = append(o.Seeds, uint64(seed+1))
	}
	runs, err := scenario.Compare(ctx, o)
	if err != nil {
		return err
	}
	if err := scenario.WriteLines(os.Stdout, runs); err != nil {
		return err
	}
	return scenario.WriteFiles(out, runs)
}
