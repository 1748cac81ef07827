package loadgen

import (
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
)

// Plot draws the answers a second of each target over the windows of a run.
// The ending of the file name chooses the format, for instance .svg or .png.
func Plot(r *Report, window time.Duration, file string) error {
	if window <= 0 {
		window = DefaultWindow
	}
	p := plot.New()
	p.Title.Text = "Answers of " + r.Service + " by target"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "answers a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, target := range allTargets(nil, r.PerTarget) {
		points := make(plotter.XYs, len(r.Windows))
		for n, w := range r.Windows {
			points[n].X = float64(n) * window.Seconds()
			points[n].Y = float64(w[target]) / window.Seconds()
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(target, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "plot")
	}
	return nil
}
