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
	// Length of the load at least; it goes on until the events are over.
	Length time.Duration
	run    func(ctx context.Context, t *trial) error
}

// Names of the scenarios.
const (
	Calm           = "calm"
	RollingRestart = "rolling-restart"
	DrainColdStart = "drain-cold-start"
	LyingHealth    = "lying-health"
	LostDomain     = "lost-domain"
	// UnsteadyStart is a new server that crashes again and again while it is cold.
	// It is where the two weights part.
	UnsteadyStart = "unsteady-start"
)

// Times of the scenarios.
const (
	firstEvent = 1500 * time.Millisecond
	// settle is the time between the restarts of two roles.
	settle = 300 * time.Millisecond
	// life and gap are those of an unsteady server.
	life    = 1200 * time.Millisecond
	gap     = 300 * time.Millisecond
	crashes = 4
)

// cold is a server that takes five times as long at first.
func cold() backend.ColdStart { return backend.ColdStart{Duration: 2 * time.Second, Slowdown: 5} }

// Scenarios are all scenarios in the order of reports.
func Scenarios() []Scenario {
	return []Scenario{
		{Calm, 8 * time.Second, func(context.Context, *trial) error { return nil }},
		{RollingRestart, 12 * time.Second, rolling},
		{DrainColdStart, 8 * time.Second, drain},
		{LyingHealth, 8 * time.Second, lying},
		{LostDomain, 12 * time.Second, loseDomain},
		{UnsteadyStart, 9 * time.Second, unsteady},
	}
}

// rolling restarts every control host, entry host and agent, one at a time.
func rolling(ctx context.Context, t *trial) error {
	if err := t.at(ctx, firstEvent); err != nil {
		return err
	}
	for i := range t.d.ControlHosts() {
		t.mark(fmt.Sprintf("control-%d restarts", i+1))
		if err := t.d.RestartControl(ctx, i); err != nil {
			return err
		}
	}
	_ = sleep.For(ctx, settle)
	for i := range t.d.EntryHosts() {
		t.mark(fmt.Sprintf("entry-%d restarts", i+1))
		if err := t.d.RestartEntry(ctx, i); err != nil {
			return err
		}
	}
	_ = sleep.For(ctx, settle)
	for _, service := range t.site.services {
		for i := range service.Targets {
			t.mark(fmt.Sprintf("agent of %s-%d restarts", service.Name, i+1))
			if err := t.d.RestartAgent(ctx, service.Name, i); err != nil {
				return err
			}
		}
	}
	t.mark("all restarted")
	return nil
}

// drain has the first target of each service leave while a new one starts
// cold in its place.
func drain(ctx context.Context, t *trial) error {
	if err := t.at(ctx, firstEvent); err != nil {
		return err
	}
	changes := pool.New().WithContext(ctx)
	for _, service := range t.site.services {
		leaving := t.d.Targets(service.Name)[0]
		t.mark(leaving + " drains")
		t.left(service.Name, leaving)
		if err := t.d.DrainTarget(service.Name, 0); err != nil {
			return err
		}
	}
	for _, service := range t.site.services {
		changes.Go(func(ctx context.Context) error { return t.add(ctx, service.Name) })
	}
	return changes.Wait()
}

// add starts a cold target.
func (t *trial) add(ctx context.Context, service string) error {
	name, err := t.d.AddTarget(ctx, service, cold())
	if err != nil {
		return err
	}
	t.mark(name + " starts cold")
	t.joined(service, name)
	return nil
}

// lying has servers misreport: one fails and says that it is well, one works
// and says that it is ill, one works and says that it is idle.
func lying(ctx context.Context, t *trial) error {
	if err := t.at(ctx, firstEvent); err != nil {
		return err
	}
	lies := []struct {
		faults backend.Faults
		text   string
	}{
		{backend.Faults{Broken: true, Health: backend.HealthAlwaysUp, Load: backend.LoadIdle}, "fails, says well"},
		{backend.Faults{Health: backend.HealthAlwaysDown, Load: backend.LoadFull}, "works, says ill and full"},
		{backend.Faults{Load: backend.LoadIdle}, "works, says idle"},
	}
	for _, service := range t.site.services {
		servers := t.d.Backends(service.Name)
		for i, lie := range lies[:min(len(lies), len(servers)-1)] {
			t.mark(fmt.Sprintf("%s-%d %s", service.Name, i+1, lie.text))
			if err := servers[i].SetFaults(lie.faults); err != nil {
				return err
			}
		}
		// What fails is not in service.
		t.left(service.Name, t.d.Targets(service.Name)[0])
	}
	return nil
}

// loseDomain silences the second failure domain, with a control host, an entry
// host and targets of each service.
func loseDomain(ctx context.Context, t *trial) error {
	if err := t.at(ctx, firstEvent); err != nil {
		return err
	}
	domain := t.site.domains()[1]
	t.mark(domain + " is lost")
	for _, service := range t.site.services {
		for _, target := range t.d.TargetsIn(service.Name, domain) {
			t.lost(service.Name, target)
		}
	}
	return t.d.IsolateDomain(ctx, domain)
}

// unsteady adds a cold target to the main service, whose server crashes again
// and again while it is cold.
func unsteady(ctx context.Context, t *trial) error {
	if err := t.at(ctx, firstEvent); err != nil {
		return err
	}
	service := t.site.services[0].Name
	index := len(t.d.Targets(service))
	if err := t.add(ctx, service); err != nil {
		return err
	}
	for range crashes {
		if sleep.For(ctx, life) != nil {
			return ctx.Err()
		}
		t.mark("the new server crashes")
		if err := t.d.CrashServer(service, index); err != nil {
			return err
		}
		if sleep.For(ctx, gap) != nil {
			return ctx.Err()
		}
		if err := t.d.StartServer(service, index, cold()); err != nil {
			return err
		}
	}
	return nil
}
