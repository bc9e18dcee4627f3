package metric

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// metricTypes maps each method of a scope that creates a metric to the metric's type in the Prometheus text format.
var metricTypes = map[string]string{"Counter": "counter", "Gauge": "gauge", "Histogram": "histogram", "Timer": "histogram"}

// TestMetricsMatchDocs guards against metrics that are missing in docs/metrics.md and against rows for metrics that no
// longer exist. The test takes the names from the source, because a metric is exported only after its first use.
func TestMetricsMatchDocs(t *testing.T) {
	want := map[string]string{}
	for _, dir := range []string{".", "../../entry"} {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool { collectMetric(t, path, node, want); return true })
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		name, ok := strings.CutPrefix(strings.Trim(strings.TrimSpace(cells[0]), "`"), "azuredoor_")
		if !ok {
			continue
		}
		if len(cells) != 5 || slices.ContainsFunc(cells, func(cell string) bool { return strings.TrimSpace(cell) == "" }) {
			t.Errorf("got row %q, want name, type, unit, labels and meaning", line)
			continue
		}
		got[name] = strings.TrimSpace(cells[1])
	}
	if !maps.Equal(got, want) {
		t.Errorf("docs/metrics.md lists %v, want the metrics in the source: %v", got, want)
	}
}

// collectMetric adds the metric that a call creates to names.
func collectMetric(t *testing.T, path string, node ast.Node, names map[string]string) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || metricTypes[method.Sel.Name] == "" || len(call.Args) == 0 {
		return
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		t.Errorf("%s: the name in a call of %s is not a literal, so docs/metrics.md cannot be checked", path, method.Sel.Name)
		return
	}
	name, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	names[name] = metricTypes[method.Sel.Name]
}
