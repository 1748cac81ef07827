package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// Scenario is a sequence of events under load.
type Scenario struct {
	Name string
	// Length is the minimum duration of the load, which continues until all events
	// are over.
	Length time.Duration
	run    func(ctx context.Context, a *activeRun) error
}

// Names of the scenarios.
const (
	Calm           = "calm"
	RollingRestart = "rolling-restart"
	DrainColdStart = "drain-cold-start"
	LyingHealth    = "lying-health"
	LostDomain     = "lost-domain"
	// UnsteadyStart has a new backend server that crashes repeatedly while cold. Its
	// results depend most on the policy's weights.
	UnsteadyStart = "unsteady-start"
)

// Times of the scenarios.
const (
	firstEvent = 1500 * time.Millisecond
	// settleTime is the pause between the restarts of two roles.
	settleTime = 300 * time.Millisecond
	// crashAfter and restartDelay are the times of a crashing backend server.
	crashAfter   = 1200 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	crashes      = 4
)

// coldStart makes a backend server slower at first.
func coldStart() backend.ColdStart { return backend.ColdStart{Duration: 2 * time.Second, Slowdown: 5} }

// Scenarios returns all scenarios in the order of reports.
func Scenarios() []Scenario {
	return []Scenario{
		{Calm, 8 * time.Second, func(context.Context, *activeRun) error { return nil }},
		{RollingRestart, 12 * time.Second, rollingRestart},
		{DrainColdStart, 8 * time.Second, drainColdStart},
		{LyingHealth, 8 * time.Second, lyingHealth},
		{LostDomain, 12 * time.Second, lostDomain},
		{UnsteadyStart, 9 * time.Second, unsteadyStart},
	}
}

// rollingRestart restarts all control hosts, entry hosts and agents one at a time.
func rollingRestart(ctx context.Context, a *activeRun) error {
	if err := a.waitUntil(ctx, firstEvent); err != nil {
		return err
	}
	for i := range a.d.ControlHosts() {
		a.recordEvent(fmt.Sprintf("control-%d restarts", i+1))
		if err := a.d.RestartControl(ctx, i); err != nil {
			return err
		}
	}
	_ = sleep.For(ctx, settleTime)
	for i := range a.d.EntryHosts() {
		a.recordEvent(fmt.Sprintf("entry-%d restarts", i+1))
		if err := a.d.RestartEntry(ctx, i); err != nil {
			return err
		}
	}
	_ = sleep.For(ctx, settleTime)
	for _, service := range a.site.services {
		for i := range service.Targets {
			a.recordEvent(fmt.Sprintf("agent of %s-%d restarts", service.Name, i+1))
			if err := a.d.RestartAgent(ctx, service.Name, i); err != nil {
				return err
			}
		}
	}
	a.recordEvent("all restarted")
	return nil
}

// drainColdStart drains the first target of each service and starts a cold one in
// its place.
func drainColdStart(ctx context.Context, a *activeRun) error {
	if err := a.waitUntil(ctx, firstEvent); err != nil {
		return err
	}
	starts := pool.New().WithContext(ctx)
	for _, service := range a.site.services {
		draining := a.d.Targets(service.Name)[0]
		a.recordEvent(draining + " drains")
		a.targetRemoved(service.Name, draining)
		if err := a.d.DrainTarget(service.Name, 0); err != nil {
			return err
		}
	}
	for _, service := range a.site.services {
		starts.Go(func(ctx context.Context) error { return a.addColdTarget(ctx, service.Name) })
	}
	return starts.Wait()
}

// addColdTarget starts a cold target.
func (a *activeRun) addColdTarget(ctx context.Context, service string) error {
	name, err := a.d.AddTarget(ctx, service, coldStart())
	if err != nil {
		return err
	}
	a.recordEvent(name + " starts cold")
	a.targetAdded(service, name)
	return nil
}

// lyingHealth makes up to three backend servers of each service report a wrong
// health or load.
func lyingHealth(ctx context.Context, a *activeRun) error {
	if err := a.waitUntil(ctx, firstEvent); err != nil {
		return err
	}
	misreports := []struct {
		faults backend.Faults
		text   string
	}{
		{backend.Faults{Broken: true, Health: backend.HealthAlwaysUp, Load: backend.LoadIdle}, "fails, reports healthy"},
		{backend.Faults{Health: backend.HealthAlwaysDown, Load: backend.LoadFull}, "works, reports unhealthy and full"},
		{backend.Faults{Load: backend.LoadIdle}, "works, reports idle"},
	}
	for _, service := range a.site.services {
		servers := a.d.Backends(service.Name)
		for i, misreport := range misreports[:min(len(misreports), len(servers)-1)] {
			a.recordEvent(fmt.Sprintf("%s-%d %s", service.Name, i+1, misreport.text))
			if err := servers[i].SetFaults(misreport.faults); err != nil {
				return err
			}
		}
		// The failing target is not in service.
		a.targetRemoved(service.Name, a.d.Targets(service.Name)[0])
	}
	return nil
}

// lostDomain cuts off the second failure domain with its control host, entry host
// and targets.
func lostDomain(ctx context.Context, a *activeRun) error {
	if err := a.waitUntil(ctx, firstEvent); err != nil {
		return err
	}
	domain := a.site.domains()[1]
	a.recordEvent(domain + " is lost")
	for _, service := range a.site.services {
		for _, target := range a.d.TargetsIn(service.Name, domain) {
			a.targetLost(service.Name, target)
		}
	}
	return a.d.IsolateDomain(ctx, domain)
}

// unsteadyStart adds a cold target to the main service. Its backend server crashes
// repeatedly while cold.
func unsteadyStart(ctx context.Context, a *activeRun) error {
	if err := a.waitUntil(ctx, firstEvent); err != nil {
		return err
	}
	service := a.site.services[0].Name
	index := len(a.d.Targets(service))
	if err := a.addColdTarget(ctx, service); err != nil {
		return err
	}
	for range crashes {
		if sleep.For(ctx, crashAfter) != nil {
			return ctx.Err()
		}
		a.recordEvent("new backend server crashes")
		if err := a.d.CrashServer(service, index); err != nil {
			return err
		}
		if sleep.For(ctx, restartDelay) != nil {
			return ctx.Err()
		}
		if err := a.d.StartServer(service, index, coldStart()); err != nil {
			return err
		}
	}
	return nil
}
