package experiment

import (
	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// ErrNothingToPlot reports a result without cells.
var ErrNothingToPlot = errors.New("nothing to plot")

// Plot draws what the callers of the main service saw over time in the last
// cell, with a mark for each event. The ending of the file name chooses the
// format, see loadgen.CheckPlotFile.
func (r *Result) Plot(file string) error {
	if len(r.Runs) == 0 {
		return ErrNothingToPlot
	}
	c := r.Runs[len(r.Runs)-1]
	s := c.Services[0]
	var marks []loadgen.Mark
	for _, e := range c.Events {
		marks = append(marks, loadgen.Mark{Seconds: e.Seconds, Text: e.Text})
	}
	chart := loadgen.Chart{
		Title: c.Site + ", " + c.Scenario + ", " + c.Policy + ": " + s.Service, Window: step,
		Answers: s.windows, Stats: s.moments, Imbalance: s.ratios, Marks: marks,
	}
	return chart.Save(file)
}
