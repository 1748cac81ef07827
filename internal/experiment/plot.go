package experiment

import (
	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// ErrNothingToPlot reports a result without runs.
var ErrNothingToPlot = errors.New("nothing to plot")

// Plot draws the responses of the main service over time in the last run, with a
// mark for each event. The extension of the file selects the format, see
// loadgen.CheckPlotFile.
func (r *Result) Plot(file string) error {
	if len(r.Runs) == 0 {
		return ErrNothingToPlot
	}
	run := r.Runs[len(r.Runs)-1]
	service := run.Services[0]
	var marks []loadgen.Mark
	for _, e := range run.Events {
		marks = append(marks, loadgen.Mark{Seconds: e.Seconds, Text: e.Text})
	}
	chart := loadgen.Chart{
		Title: run.Site + ", " + run.Scenario + ", " + run.Policy + ": " + service.Service, Window: stepLength,
		Answers: service.windows, Stats: service.stats, Imbalance: service.imbalances, Marks: marks,
	}
	return chart.Save(file)
}
