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
	// window is the time over which imbalance is taken, step that over which
	// answers are counted: a window may begin at any step.
	window         = stepsPerWindow * step
	step           = 500 * time.Millisecond
	stepsPerWindow = 4
	// sessionShare is the part of the load over which sessions are opened, so
	// that each event finds old ones and new ones.
	sessionShare = 0.8
	// afterEvents is the least time of load after the last event.
	afterEvents = 2 * time.Second
	// loadLimit bounds the load of a run whose events take long on a busy
	// machine.
	loadLimit = 2 * time.Minute
	// tableTime is the age of an entry host's tables at most, with some to
	// spare.
	tableTime = 1500 * time.Millisecond
	// startLimit bounds the start of a deployment on a busy machine.
	startLimit = 2 * time.Minute
)

// Errors of a run.
var (
	// ErrIncomplete reports a run whose load ended before its last event.
	ErrIncomplete = errors.New("the load ended before the last event")
	// ErrRunsUnavailable reports that the runs could not be cross-checked.
	ErrRunsUnavailable = errors.New("the runs are not known")
)

// trial is a run under way.
type trial struct {
	site *Site
	d    *dev.Deployment
	// began is the start of the load.
	began time.Time

	mu      sync.Mutex
	events  []Event
	members map[string]*members
	failed  map[string]bool
}

// runCell starts a deployment, makes one run and returns its cell. The
// deployment ends in the background, within closing.
func runCell(ctx context.Context, p plan, log *zap.Logger, closing *conc.WaitGroup) (*RunResult, error) {
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	o := p.site.options(p.policy, p.seed)
	o.Log = log
	d, err := dev.Start(startCtx, o)
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	// A graceful end takes seconds and needs next to no processor time.
	defer closing.Go(d.Close)
	t := &trial{site: p.site, d: d, members: map[string]*members{}, failed: map[string]bool{}}
	// Every target is past its ramp before the load begins, by the tables that
	// entry hosts build from time to time.
	if sleep.For(ctx, p.site.ramp()+tableTime) != nil {
		return nil, ctx.Err()
	}
	cell, err := t.run(ctx, p.scenario, p.seed)
	if err == nil {
		err = d.Err()
	}
	if err != nil {
		return nil, err
	}
	cell.Site, cell.Scenario, cell.Policy, cell.Seed = p.site.Name(), p.scenario.Name, p.policy.Name, p.seed
	return cell, nil
}

// run makes the load and the events of a scenario.
func (t *trial) run(ctx context.Context, sc Scenario, seed uint64) (*RunResult, error) {
	t.began = time.Now()
	for _, service := range t.site.services {
		m := &members{}
		for _, name := range t.d.Targets(service.Name) {
			m.join(name, 0)
		}
		t.members[service.Name] = m
	}
	eventsCtx, stop := context.WithCancel(ctx)
	defer stop()
	var eventsErr error
	var events conc.WaitGroup
	ended := make(chan struct{})
	events.Go(func() {
		defer close(ended)
		eventsErr = sc.run(eventsCtx, t)
		// Callers feel an event for a while.
		_ = sleep.For(eventsCtx, max(sc.Length-time.Since(t.began), afterEvents))
	})
	reports, err := t.load(ctx, sc.Length, ended, seed)
	stop()
	events.Wait()
	switch {
	case err != nil:
		return nil, err
	case errors.Is(eventsErr, context.Canceled):
		return nil, errors.Wrap(ErrIncomplete, sc.Name)
	case eventsErr != nil:
		return nil, errors.Wrap(eventsErr, "events")
	}
	return t.cell(reports)
}

// load plays the callers of all services at once until stop is closed.
func (t *trial) load(ctx context.Context, length time.Duration, stop <-chan struct{}, seed uint64) ([]*loadgen.Report, error) {
	workers := pool.New().WithContext(ctx).WithCancelOnError()
	reports := make([]*loadgen.Report, len(t.site.services))
	for i, service := range t.site.services {
		o := t.site.load(service, length, seed)
		o.Duration = loadLimit
		o.StopWhen = func(*loadgen.Report) bool { return closed(stop) }
		o.HostFailed = t.hostFailed
		workers.Go(func(ctx context.Context) error {
			r, err := t.d.Load(ctx, service.Name, o)
			reports[i] = r
			return err
		})
	}
	return reports, workers.Wait()
}

func (t *trial) cell(reports []*loadgen.Report) (*RunResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cell := &RunResult{Events: t.events}
	for _, r := range reports {
		if r.Doubled == nil {
			return nil, errors.Wrap(ErrRunsUnavailable, r.DoubledUnknown)
		}
		cell.Services = append(cell.Services, serviceCell(r, *t.members[r.Service]))
	}
	return cell, nil
}

// mark notes an event.
func (t *trial) mark(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, Event{Seconds: time.Since(t.began).Seconds(), Text: text})
}

// joined notes that a target came into service.
func (t *trial) joined(service, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[service].join(target, time.Since(t.began))
}

// left notes that a target went out of service.
func (t *trial) left(service, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[service].leave(target, time.Since(t.began))
}

// lost notes that the host of a target failed.
func (t *trial) lost(service, target string) {
	t.left(service, target)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[target] = true
}

func (t *trial) hostFailed(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed[target]
}

// at waits until a time of the run.
func (t *trial) at(ctx context.Context, moment time.Duration) error {
	if sleep.For(ctx, time.Until(t.began.Add(moment))) != nil {
		return ctx.Err()
	}
	return nil
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
