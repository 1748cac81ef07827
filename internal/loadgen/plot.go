package loadgen

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	markSize   = 7 * vg.Inch / 72
)

// Mark is an event to show in a plot.
type Mark struct {
	// Seconds since the start of the run.
	Seconds float64
	Text    string
}

// Plot draws the answers a second of each target over the windows of a run.
// The ending of the file name chooses the format, for instance .svg or .png.
func Plot(r *Report, window time.Duration, file string) error {
	if window <= 0 {
		window = DefaultWindow
	}
	return PlotWindows("Answers of "+r.Service+" by target", r.Windows, window, nil, file)
}

// PlotWindows draws the answers a second of each target over windows, with a
// vertical line for each mark.
func PlotWindows(title string, windows []map[string]int, window time.Duration, marks []Mark, file string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "answers a second"
	p.Y.Min = 0
	p.Legend.Top = true
	answered := map[string]int{}
	for _, w := range windows {
		for target, n := range w {
			answered[target] += n
		}
	}
	for i, target := range allTargets(nil, answered) {
		line, err := targetLine(windows, window, target)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(target, line)
	}
	if err := addMarks(p, marks); err != nil {
		return errors.Wrap(err, "plot")
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "plot")
	}
	return nil
}

func targetLine(windows []map[string]int, window time.Duration, target string) (*plotter.Line, error) {
	points := make(plotter.XYs, len(windows))
	for n, w := range windows {
		points[n].X = float64(n) * window.Seconds()
		points[n].Y = float64(w[target]) / window.Seconds()
	}
	return plotter.NewLine(points)
}

// addMarks draws marks over the whole height, with their text along the line.
func addMarks(p *plot.Plot, marks []Mark) error {
	for _, m := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.Seconds, Y: p.Y.Min}, {X: m.Seconds, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: m.Seconds, Y: p.Y.Min}},
			Labels: []string{m.Text},
		})
		if err != nil {
			return err
		}
		label.TextStyle[0].Rotation = math.Pi / 2
		label.TextStyle[0].Font.Size = markSize
		p.Add(label)
	}
	return nil
}
