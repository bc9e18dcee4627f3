package document

import (
	"strings"
	"testing"
	"time"

	"azuredoor.example/core/config"
)

// TestFindings guards against a check that misses a mistake, or that reports a sound document.
func TestFindings(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(d *Document)
		want string
	}{
		"sound":                 {func(*Document) {}, ""},
		"unused service":        {func(d *Document) { d.Services["z"] = &Service{Name: "z"} }, `service "z": no route`},
		"weight 0":              {func(d *Document) { d.Routes[1].Targets = []Target{{"a", 0}, {"b", 1}} }, `route "long": service "a" has the weight 0`},
		"mixed services":        {func(d *Document) { d.Routes[1].Targets = []Target{{"a", 1}, {"b", 1}} }, "some of its services"},
		"target above timeout":  {func(d *Document) { d.Routes[0].Target = 2 * time.Second }, "above the timeout"},
		"useless attempts":      {func(d *Document) { d.Routes[0].RepeatRule, d.Routes[0].MaxAttempts = config.NonIdempotent, 2 }, "no effect"},
		"no key":                {func(d *Document) { d.Customers["c"].Keys = nil }, `customer "c": it has no access key`},
		"burst below a request": {func(d *Document) { c := d.Customers["c"]; c.RequestTokens, c.Limit.BurstTokens = 9, 5 }, "always refused"},
		"disjoint regions":      {func(d *Document) { d.Routes[0].Regions, d.Customers["c"].Regions = []string{"x"}, []string{"y"} }, "none in common"},
		"query in prefix":       {func(d *Document) { d.Routes[0].PathPrefix = "/x?/" }, "no path begins"},
		"no host":               {func(d *Document) { d.Routes[0].Host = "" }, "no request has the host"},
		"host with port":        {func(d *Document) { d.Routes[0].Host = "H.example:80" }, "match none of the routes"},
		"connections and slots": {func(d *Document) { d.Services["b"].MaxConnections, d.Services["b"].Engine.Slots = 3, 12 }, "cannot fill"},
		"cold for 0 s":          {func(d *Document) { d.Services["a"].ColdRate = 5 }, "no effect"},
	} {
		d := validDocument()
		d.Routes[1].Targets = []Target{{"b", 3}}
		test.edit(d)
		if err := d.Index(); err != nil {
			t.Errorf("%s: %v, want a valid document", name, err)
			continue
		}
		findings := d.Findings()
		if test.want == "" && len(findings) == 0 {
			continue
		}
		if len(findings) != 1 || test.want == "" || !strings.Contains(findings[0].Object+": "+findings[0].Text, test.want) {
			t.Errorf("%s: got %v, want one that contains %q", name, findings, test.want)
		}
	}
}

// TestDifferences guards against a change that is not reported, and against access keys in a report.
func TestDifferences(t *testing.T) {
	before, after := validDocument(), validDocument()
	after.Version = 4
	after.Routes[0].Timeout = 5 * time.Second
	after.Routes[1].Name = "renamed"
	after.Services["b"].MaxConnections = 7
	after.Customers["c"].Keys = []string{"k1", "secret"}
	delete(after.Customers, "d")
	after.Bounds.BodyBytes = 9
	want := []string{
		`route "long h.example/x/y/": removed`, `route "renamed h.example/x/y/": added`, `route "short h.example/x/": Timeout: 1s before, 5s after`,
		`service "b": MaxConnections: 0 before, 7 after (routes renamed)`, `customer "c": Keys: 1 before, 2 after, 1 of them new`,
		`customer "d": removed`, `bounds: BodyBytes: 0 before, 9 after`,
	}
	got := Differences(before, after)
	for i, f := range got {
		if text := f.Object + ": " + f.Text; i >= len(want) || text != want[i] {
			t.Errorf("got %q, want difference %d of %q", text, i, want)
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d differences, want %d", len(got), len(want))
	}
	if got := Differences(after, before); len(got) == 0 || got[0].Object != "version" {
		t.Errorf("got %v, want the version that does not replace the one in force first", got)
	}
	if got := Differences(validDocument(), validDocument()); len(got) != 1 {
		t.Errorf("got %v for equal documents, want the version only", got)
	}
}
