package scenario

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
	"azuredoor.example/core/config"
)

// TestExamples guards against example documents that the control members would refuse, or that do not match the
// deployments.
func TestExamples(t *testing.T) {
	for _, d := range fleet.Deployments() {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", d.Name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		var doc document
		if err := json.Unmarshal(data, &doc); err != nil {
			t.Fatal(err)
		}
		var changes []config.Change
		for _, o := range doc.Objects {
			spec, err := config.Decode(o.Kind, o.Name, o.Spec)
			if err != nil {
				t.Fatalf("%s: %v", d.Name, err)
			}
			changes = append(changes, config.Change{Kind: o.Kind, Name: o.Name, Spec: spec})
		}
		set, err := config.NewSet().Apply(changes)
		if err != nil {
			t.Fatalf("%s: %v", d.Name, err)
		}
		for _, customer := range d.Customers {
			if set.Customers[customer] == nil {
				t.Errorf("%s has no customer %s", d.Name, customer)
			}
		}
		for _, s := range d.Standins {
			if s.Pool != "" && (set.Pools[s.Pool] == nil || !slices.Equal(set.Pools[s.Pool].Models, s.Models)) {
				t.Errorf("%s: pool %s of upstream %s is missing or has other models", d.Name, s.Pool, s.ID)
			}
		}
		rules := map[string]config.RepeatRule{d.Idempotent: config.Idempotent, d.NonIdempotent: config.NonIdempotent}
		for _, route := range set.Routes {
			if rule, ok := rules[route.PathPrefix]; ok && set.Profiles[route.Profile].RepeatRule != rule {
				t.Errorf("%s: path %s has a wrong repeat rule, want %s", d.Name, route.PathPrefix, rule)
			}
			if route.Open != (route.PathPrefix == d.Open) {
				t.Errorf("%s: path %s got open %v, want the opposite", d.Name, route.PathPrefix, route.Open)
			}
		}
		if _, err := scaleDocument(filepath.Join("..", "..", "examples", d.Name+".json"), filepath.Join(t.TempDir(), "doc.json")); err != nil {
			t.Errorf("%s: %v", d.Name, err)
		}
	}
}

// TestWriteLines guards against lines that swap the policies or omit a scenario, and against missing output files.
func TestWriteLines(t *testing.T) {
	run := func(policy string, seed uint64, good int) Run {
		return Run{Deployment: "d", Scenario: "flood", Policy: policy, Seed: seed, Measures: &Measures{Report: &load.Report{Seconds: 2, All: &load.Count{Good: good}}}}
	}
	runs := []Run{run(fleet.PolicyNaive, 1, 10), run(fleet.PolicyNaive, 2, 30), run(fleet.PolicyFull, 1, 40), run(fleet.PolicyFull, 2, 40)}
	var b strings.Builder
	if err := WriteLines(&b, runs); err != nil {
		t.Fatal(err)
	}
	want := "scenario=flood measure=goodput naive=10 azuredoor=20 ratio=2 deployment=d naiveRange=5..15 azuredoorRange=20..20\n"
	if got := b.String(); !strings.HasPrefix(got, want) {
		t.Errorf("got %s, want it to begin with %s", got, want)
	}
	dir := t.TempDir()
	if err := WriteFiles(dir, runs); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"bench.json", "d-goodput.png", "d-worstCustomer.png"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: got error %v, want a file with content", name, err)
		}
	}
}

// TestBelowShare guards against counting refusals of customers that want more than their share, and against ignoring
// refusals of customers that want at most their share.
func TestBelowShare(t *testing.T) {
	weights := map[string]float64{"large": 3, "small": 1, "tiny": 1}
	weight := func(name string) float64 { return weights[name] }
	for _, c := range []struct {
		rates map[string]float64
		want  []string
	}{
		{map[string]float64{"large": 300, "small": 20, "tiny": 5}, []string{"small", "tiny"}},
		{map[string]float64{"large": 300, "small": 30, "tiny": 5}, []string{"tiny"}},
		{map[string]float64{"large": 60, "small": 20, "tiny": 5}, []string{"large", "small", "tiny"}},
		{map[string]float64{"large": 70, "small": 25, "tiny": 5}, []string{"large", "small", "tiny"}},
	} {
		var flows []load.Flow
		for name, rate := range c.rates {
			flows = append(flows, load.Flow{Customer: name, Kind: load.Completion, Rate: rate}, load.Flow{Customer: name, Kind: load.LookUp, Rate: 1000})
		}
		got := customersBelowShare(flows, weight, 100)
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("rates %v: got %v below their share, want %v", c.rates, got, c.want)
		}
	}
}
