package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap/zaptest"
)

// A whole deployment, small, whose first target drains while a cold one takes
// its place. Only what must never happen is held against it: how even and how
// fast it is depends on the machine.
func TestSmallDeploymentStaysCorrect(t *testing.T) {
	is := is.New(t)
	s := site(t, "small", 1, 1)
	c := s.settings.GetCallers()
	c.Connections, c.Sessions, c.RequestsPerTarget, c.DeadlineMs = 4, 4, 20, 20_000
	c.RequestsPerFlow, c.WorkMs = 5, 5
	sc := Scenario{Name: DrainColdStart, Length: firstEvent + 2*time.Second, run: func(ctx context.Context, t *trial) error {
		if err := t.at(ctx, firstEvent); err != nil {
			return err
		}
		leaving := t.d.Targets("main")[0]
		t.mark(leaving + " drains")
		t.left("main", leaving)
		if err := t.d.DrainTarget("main", 0); err != nil {
			return err
		}
		return t.add(ctx, "main")
	}}
	var closing conc.WaitGroup
	defer closing.Wait()
	cell, err := runCell(t.Context(), plan{s, sc, Policies()[0], 1}, zaptest.NewLogger(t), &closing)
	is.NoErr(err)
	is.Equal(len(cell.Services), 2)
	is.Equal(len(cell.Events), 2)
	for _, service := range cell.Services {
		t.Logf("%+v", service)
		is.True(service.Requests > 0)
		is.True(service.Keys > 0)
		is.Equal(service.Violations(), 0)
	}
	is.NoErr((&Result{Runs: []*RunResult{cell}}).check())
}
