package scenario

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"azuredoor.example/bench/fleet"
)

// measure is a named quantity of a run.
type measure struct {
	name  string
	value func(m *Measures) float64
}

var measures = []measure{
	{"goodput", func(m *Measures) float64 { return m.Report.Goodput() }},
	{"engineGoodputOfCapacity", func(m *Measures) float64 {
		return m.Report.EngineGoodput / m.Capacity
	}},
	{"worstCustomer", func(m *Measures) float64 { return m.WorstCustomer }},
	{"worstOfSteady", func(m *Measures) float64 { return m.WorstOfSteady }},
	{"refusedBelowShare", func(m *Measures) float64 { return float64(m.RefusedBelowShare) }},
	{"firstTokenP99Ms", func(m *Measures) float64 { return m.Report.All.FirstToken.P99 }},
	{"tokenGapP95Ms", func(m *Measures) float64 { return m.Report.All.TokenGap.P95 }},
	{"refusedWithinRate", func(m *Measures) float64 { return float64(m.Report.All.RefusedWithinRate) }},
	{"cut", func(m *Measures) float64 { return float64(m.Report.All.Truncated) }},
	{"failed", func(m *Measures) float64 { return float64(m.Report.All.Failed) }},
	{"crossed", func(m *Measures) float64 { return float64(m.Report.All.Foreign) }},
	{"doubled", func(m *Measures) float64 { return float64(m.Report.All.Duplicated) }},
	{"doubledExecutions", func(m *Measures) float64 { return float64(m.DoubledExecutions) }},
	{"wastedPrefill", func(m *Measures) float64 { return m.WastedPrefill }},
	{"cachedPrefill", func(m *Measures) float64 { return m.CachedPrefill }},
	{"releaseMs", func(m *Measures) float64 { return float64(m.ReleaseMs) }},
	{"secretsSeen", func(m *Measures) float64 { return float64(m.SecretsSeen) }},
	{"latestSendMs", func(m *Measures) float64 { return m.Report.LatestSendMs }},
}

// plotted lists the measures that are drawn as charts.
var plotted = []string{"goodput", "worstCustomer"}

// spread is the mean and the range of a measure over the seeds.
type spread struct{ mean, low, high float64 }

func newSpread(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return spread{sum / float64(len(values)), slices.Min(values), slices.Max(values)}
}

func values(runs []Run, deployment, scenario, policy string, m measure) []float64 {
	var list []float64
	for _, r := range runs {
		if r.Deployment == deployment && r.Scenario == scenario && r.Policy == policy {
			list = append(list, m.value(r.Measures))
		}
	}
	return list
}

// WriteLines prints one line for each deployment, scenario and measure, with the means of both policies over the
// seeds, the ratio of the means, and the lowest and highest value of each policy.
func WriteLines(out io.Writer, runs []Run) error {
	for _, deployment := range unique(runs, func(r Run) string { return r.Deployment }) {
		for _, scenario := range unique(runs, func(r Run) string { return r.Scenario }) {
			for _, m := range measures {
				naive := newSpread(values(runs, deployment, scenario, fleet.PolicyNaive, m))
				full := newSpread(values(runs, deployment, scenario, fleet.PolicyFull, m))
				_, err := fmt.Fprintf(out, "scenario=%s measure=%s naive=%.4g azuredoor=%.4g ratio=%s deployment=%s naiveRange=%.4g..%.4g azuredoorRange=%.4g..%.4g\n",
					scenario, m.name, naive.mean, full.mean, ratio(full.mean, naive.mean), deployment, naive.low, naive.high, full.low, full.high)
				if err != nil {
					return eris.Wrap(err, "print")
				}
			}
		}
	}
	return nil
}

func ratio(a, b float64) string {
	if b == 0 {
		return "none"
	}
	return fmt.Sprintf("%.3g", a/b)
}

func unique(runs []Run, of func(Run) string) []string {
	var list []string
	for _, r := range runs {
		if v := of(r); !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

// WriteFiles writes the runs as JSON and the charts as PNG files into a directory.
func WriteFiles(dir string, runs []Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create the output directory")
	}
	data, err := json.MarshalIndent(runs, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the runs")
	}
	if err := os.WriteFile(filepath.Join(dir, "bench.json"), data, 0o600); err != nil {
		return eris.Wrap(err, "write the runs")
	}
	for _, deployment := range unique(runs, func(r Run) string { return r.Deployment }) {
		for _, m := range measures {
			if !slices.Contains(plotted, m.name) {
				continue
			}
			if err := chart(filepath.Join(dir, deployment+"-"+m.name+".png"), runs, deployment, m); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	barWidth    = vg.Length(14)
	chartWidth  = 12 * vg.Inch
	chartHeight = 4 * vg.Inch
)

// chart draws a bar chart of a measure with one bar for each policy in each scenario.
func chart(path string, runs []Run, deployment string, m measure) error {
	p := plot.New()
	p.Title.Text = deployment + ": " + m.name
	p.Y.Min = 0
	names := unique(runs, func(r Run) string { return r.Scenario })
	for i, policy := range []string{fleet.PolicyNaive, fleet.PolicyFull} {
		means := make(plotter.Values, len(names))
		for j, scenario := range names {
			means[j] = newSpread(values(runs, deployment, scenario, policy, m)).mean
		}
		bars, err := plotter.NewBarChart(means, barWidth)
		if err != nil {
			return eris.Wrap(err, "create the bars of a chart")
		}
		bars.Offset = barWidth * vg.Length(2*i-1) / 2
		bars.Color = []color.Color{color.Gray{Y: 160}, color.RGBA{R: 40, G: 90, B: 170, A: 255}}[i]
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return eris.Wrap(p.Save(chartWidth, chartHeight, path), "write a chart")
}
