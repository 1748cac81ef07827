package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/dev"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// windowLength is the length of the windows for imbalance. Responses are
	// counted per step, and a window may start at any step.
	windowLength   = stepsPerWindow * stepLength
	stepLength     = 500 * time.Millisecond
	stepsPerWindow = 4
	// sessionRampShare is the part of the run in which sessions are opened, so that
	// events meet sessions of different ages.
	sessionRampShare = 0.8
	// minAfterEvents is the minimum duration of the load after the last event.
	minAfterEvents = 2 * time.Second
	// maxLoad limits the duration of the load if events are slow.
	maxLoad = 2 * time.Minute
	// tableDelay exceeds the maximum age of an entry host's tables.
	tableDelay = 1500 * time.Millisecond
	// startTimeout limits the start of a deployment.
	startTimeout = 2 * time.Minute
)

// Errors of a run.
var (
	// ErrIncomplete reports a load that ended before the last event.
	ErrIncomplete = errors.New("the load ended before the last event")
	// ErrRunsUnavailable reports that the backend servers' run counts could not be
	// read.
	ErrRunsUnavailable = errors.New("run counts not available")
)

// activeRun is a run in progress.
type activeRun struct {
	site *Site
	d    *dev.Deployment
	// start is the start of the load.
	start time.Time

	mu          sync.Mutex
	events      []Event
	targetSpans map[string]*targetSpans
	lostTargets map[string]bool
}

// runOne starts a deployment, runs the scenario and returns the result. The
// deployment is closed in the background by closing.
func runOne(ctx context.Context, spec runSpec, log *zap.Logger, closing *conc.WaitGroup) (*RunResult, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	options := spec.site.deploymentOptions(spec.policy, spec.seed)
	options.Log = log
	d, err := dev.Start(startCtx, options)
	if err != nil {
		return nil, errors.Wrap(err, "start deployment")
	}
	// A graceful shutdown takes seconds but little processor time.
	defer closing.Go(d.Close)
	a := &activeRun{site: spec.site, d: d, targetSpans: map[string]*targetSpans{}, lostTargets: map[string]bool{}}
	// In the tables of all entry hosts, every target must be past its ramp before
	// the load starts.
	if sleep.For(ctx, spec.site.ramp()+tableDelay) != nil {
		return nil, ctx.Err()
	}
	runResult, err := a.run(ctx, spec.scenario, spec.seed)
	if err == nil {
		err = d.Err()
	}
	if err != nil {
		return nil, err
	}
	runResult.Site, runResult.Scenario, runResult.Policy, runResult.Seed = spec.site.Name(), spec.scenario.Name, spec.policy.Name, spec.seed
	return runResult, nil
}

// run runs the load and the events of a scenario.
func (a *activeRun) run(ctx context.Context, scenario Scenario, seed uint64) (*RunResult, error) {
	a.start = time.Now()
	for _, service := range a.site.services {
		spans := &targetSpans{}
		for _, name := range a.d.Targets(service.Name) {
			spans.add(name, 0)
		}
		a.targetSpans[service.Name] = spans
	}
	eventsCtx, cancelEvents := context.WithCancel(ctx)
	defer cancelEvents()
	var eventsErr error
	var events conc.WaitGroup
	eventsDone := make(chan struct{})
	events.Go(func() {
		defer close(eventsDone)
		eventsErr = scenario.run(eventsCtx, a)
		// Events affect callers for some time.
		_ = sleep.For(eventsCtx, max(scenario.Length-time.Since(a.start), minAfterEvents))
	})
	reports, err := a.load(ctx, scenario.Length, eventsDone, seed)
	cancelEvents()
	events.Wait()
	switch {
	case err != nil:
		return nil, err
	case errors.Is(eventsErr, context.Canceled):
		return nil, errors.Wrap(ErrIncomplete, scenario.Name)
	case eventsErr != nil:
		return nil, errors.Wrap(eventsErr, "events")
	}
	return a.runResult(reports)
}

// load runs the callers of all services until stop is closed.
func (a *activeRun) load(ctx context.Context, length time.Duration, stop <-chan struct{}, seed uint64) ([]*loadgen.Report, error) {
	workers := pool.New().WithContext(ctx).WithCancelOnError()
	reports := make([]*loadgen.Report, len(a.site.services))
	for i, service := range a.site.services {
		o := a.site.load(service, length, seed)
		o.Duration = maxLoad
		o.StopWhen = func(*loadgen.Report) bool { return isClosed(stop) }
		o.HostFailed = a.hostFailed
		workers.Go(func(ctx context.Context) error {
			r, err := a.d.Load(ctx, service.Name, o)
			reports[i] = r
			return err
		})
	}
	return reports, workers.Wait()
}

func (a *activeRun) runResult(reports []*loadgen.Report) (*RunResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	runResult := &RunResult{Events: a.events}
	for _, r := range reports {
		if r.Doubled == nil {
			return nil, errors.Wrap(ErrRunsUnavailable, r.DoubledUnknown)
		}
		runResult.Services = append(runResult.Services, newServiceResult(r, *a.targetSpans[r.Service]))
	}
	return runResult, nil
}

// recordEvent records an event.
func (a *activeRun) recordEvent(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, Event{Seconds: time.Since(a.start).Seconds(), Text: text})
}

// targetAdded records that a target is in service.
func (a *activeRun) targetAdded(service, target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targetSpans[service].add(target, time.Since(a.start))
}

// targetRemoved records that a target is out of service.
func (a *activeRun) targetRemoved(service, target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targetSpans[service].end(target, time.Since(a.start))
}

// targetLost records that the host of a target has failed.
func (a *activeRun) targetLost(service, target string) {
	a.targetRemoved(service, target)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lostTargets[target] = true
}

func (a *activeRun) hostFailed(target string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lostTargets[target]
}

// waitUntil waits until the load has run for offset.
func (a *activeRun) waitUntil(ctx context.Context, offset time.Duration) error {
	if sleep.For(ctx, time.Until(a.start.Add(offset))) != nil {
		return ctx.Err()
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
