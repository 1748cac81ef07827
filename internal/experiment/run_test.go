package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap/zaptest"
)

// A target drains while a cold one replaces it. Checks only for violations, as
// imbalance and latency depend on the machine.
func TestSmallDeploymentStaysCorrect(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, "small", 1, 1)
	c := s.settings.GetCallers()
	c.Connections, c.Sessions, c.RequestsPerTarget, c.DeadlineMs = 4, 4, 20, 20_000
	c.RequestsPerFlow, c.WorkMs = 5, 5
	sc := Scenario{Name: DrainColdStart, Length: firstEvent + 2*time.Second, run: func(ctx context.Context, t *activeRun) error {
		if err := t.waitUntil(ctx, firstEvent); err != nil {
			return err
		}
		draining := t.d.Targets("main")[0]
		t.recordEvent(draining + " drains")
		t.targetRemoved("main", draining)
		if err := t.d.DrainTarget("main", 0); err != nil {
			return err
		}
		return t.addColdTarget(ctx, "main")
	}}
	var closing conc.WaitGroup
	defer closing.Wait()
	runResult, err := runOne(t.Context(), runSpec{s, sc, Policies()[0], 1}, zaptest.NewLogger(t), &closing)
	is.NoErr(err)
	is.Equal(len(runResult.Services), 2)
	is.Equal(len(runResult.Events), 2)
	for _, service := range runResult.Services {
		t.Logf("%+v", service)
		is.True(service.Requests > 0)
		is.True(service.Keys > 0)
		is.Equal(service.Violations(), 0)
	}
	is.NoErr((&Result{Runs: []*RunResult{runResult}}).checkCorrect())
}
