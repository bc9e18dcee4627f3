package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a cost Y at a value X of the varied quantity.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line holds the measurements of one cost in one sweep and the least-squares line through them.
type Line struct {
	// Swept is the name of the varied quantity.
	Swept string `json:"swept"`
	// Cost is the name of the measured quantity.
	Cost string `json:"cost"`
	// Unit is the unit of the cost.
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the vertical distances of the points from the line, in Unit.
	Residual float64 `json:"residual"`
}

// fit computes the least-squares line. The points must have at least two different values of X; fit does nothing for a
// single point.
func (l *Line) fit() {
	if len(l.Points) < 2 {
		return
	}
	xs, ys := make([]float64, len(l.Points)), make([]float64, len(l.Points))
	for i, p := range l.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for _, p := range l.Points {
		d := p.Y - l.Intercept - l.Slope*p.X
		sum += d * d
	}
	l.Residual = math.Sqrt(sum / float64(len(l.Points)))
}

// Result holds the results of a run.
type Result struct {
	Time    time.Time `json:"time"`
	Seed    uint64    `json:"seed"`
	Cores   int       `json:"cores"`
	Go      string    `json:"go"`
	Window  string    `json:"window"`
	Target  Size      `json:"target"`
	Lines   []*Line   `json:"lines"`
	Figures []Figure  `json:"figures"`
}

// Figure is a single measured value that does not belong to a line.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

func newResult(o Options) *Result {
	return &Result{
		Time: time.Now().UTC(), Seed: o.Seed, Cores: runtime.NumCPU(), Go: runtime.Version(), Window: o.Window.String(), Target: Target,
	}
}

// add adds a point to the line of a swept quantity and a cost. It creates the line if there is none.
func (r *Result) add(swept, cost, unit string, x, y float64) {
	for _, l := range r.Lines {
		if l.Swept == swept && l.Cost == cost {
			l.Points = append(l.Points, Point{x, y})
			l.fit()
			return
		}
	}
	r.Lines = append(r.Lines, &Line{Swept: swept, Cost: cost, Unit: unit, Points: []Point{{x, y}}})
}

func (r *Result) addFigure(name, unit string, value float64) {
	r.Figures = append(r.Figures, Figure{name, unit, value})
}

// Write writes the lines and figures as text.
func (r *Result) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d, %d cores, %s, window %s\n", r.Seed, r.Cores, r.Go, r.Window); err != nil {
		return eris.Wrap(err, "print")
	}
	swept := ""
	for _, l := range r.Lines {
		if l.Swept != swept {
			swept = l.Swept
			if _, err := fmt.Fprintf(w, "\nby %s\n", swept); err != nil {
				return eris.Wrap(err, "print")
			}
		}
		points := ""
		for _, p := range l.Points {
			points += fmt.Sprintf(" %g:%.4g", p.X, p.Y)
		}
		if _, err := fmt.Fprintf(w, "  %-32s %-9s slope %-10.4g intercept %-8.4g residual %-7.2g points%s\n", l.Cost, l.Unit, l.Slope, l.Intercept, l.Residual, points); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	if _, err := fmt.Fprintln(w, "\nfigures"); err != nil {
		return eris.Wrap(err, "print")
	}
	for _, f := range r.Figures {
		if _, err := fmt.Fprintf(w, "  %-66s %.4g %s\n", f.Name, f.Value, f.Unit); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	return nil
}

// WriteFile writes the result to the file capacity.json in a directory, which is created if needed.
func (r *Result) WriteFile(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the results")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create the output directory")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, "capacity.json"), append(data, '\n'), 0o644), "write the results")
}
