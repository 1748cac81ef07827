package experiment

import (
	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// ErrNothingToPlot reports a result without cells.
var ErrNothingToPlot = errors.New("nothing to plot")

// Plot draws the answers a second of each target of the main service in the
// last cell, with a mark for each event. The ending of the file name chooses
// the format, for instance .svg or .png.
func (r *Result) Plot(file string) error {
	if len(r.Cells) == 0 {
		return ErrNothingToPlot
	}
	c := r.Cells[len(r.Cells)-1]
	s := c.Services[0]
	var marks []loadgen.Mark
	for _, e := range c.Events {
		marks = append(marks, loadgen.Mark{Seconds: e.Seconds, Text: e.Text})
	}
	title := c.Site + ", " + c.Scenario + ", " + c.Policy + ": answers of " + s.Service + " by target"
	return loadgen.PlotWindows(title, s.windows, window, marks, file)
}
