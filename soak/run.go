package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

// Sizes of a deployment.
const (
	controlHosts  = 3
	entryHosts    = 2
	firstTargets  = 3
	secondTargets = 2
	callers       = 16
	// idleCallers keep flows idle for long between requests.
	idleCallers = 16
	// slowWork is the time that a target of the first service works on a request. It is longer
	// than the time until a caller retransmits.
	slowWork = 230 * time.Millisecond
	// RequiredIPs is the number of IP addresses of a run, including one for the callers.
	RequiredIPs = controlHosts + entryHosts + firstTargets + secondTargets + 1
)

const (
	// startTimeout bounds the start of a deployment.
	startTimeout = 30 * time.Second
	// recoveryTimeout bounds the time from the last fault to full service.
	recoveryTimeout = 12 * time.Second
	// finalFlows is the number of flows of each route that must succeed in a row at the
	// end, enough to reach most entry hosts.
	finalFlows = 12
	// pollInterval is the interval of the checks for exited processes and readiness.
	pollInterval = 50 * time.Millisecond
)

// Independent streams of the random generator.
const (
	operatorStream       = 2
	evacuationStream     = 3
	evacuationHostStream = 4
	callerStream         = 1000
)

// Options describe a run.
type Options struct {
	// Binary is the path of the product's program, Dir the directory of settings, disks
	// and logs.
	Binary, Dir string
	// IPs are RequiredIPs loopback addresses.
	IPs  []netip.Addr
	Seed uint64
	// Length is the time for which faults are injected.
	Length time.Duration
	// TimeoutMargin is added to each timeout of the checks, for busy machines.
	TimeoutMargin time.Duration
	// Out receives a line for each fault. It may be nil.
	Out io.Writer
}

// Run runs one seed. It returns an error if the run itself fails.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Out == nil {
		o.Out = io.Discard
	}
	deployment, err := standin.Start(standin.Options{
		Binary: o.Binary, Dir: o.Dir, IPs: o.IPs, ControlHosts: controlHosts, EntryHosts: entryHosts, ToleratedLosses: 1, Zones: zones,
		Services: []standin.Service{{Name: firstService, Targets: firstTargets, Work: slowWork}, {Name: secondService, Targets: secondTargets}},
	})
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	if err := deployment.Replace(config(1, firstService), startTimeout); err != nil {
		return nil, errors.Wrap(err, "first configuration")
	}
	r := &run{options: o, deployment: deployment, checker: NewChecker(time.Now(), o.TimeoutMargin), steps: &steps{}}
	r.checker.RecordSent(1, firstService)
	r.checker.RecordAcked(1, time.Now())
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	return r.execute(ctx)
}

// run is a deployment under faults.
type run struct {
	options    Options
	deployment *standin.Deployment
	checker    *Checker
	caller     *standin.Caller
	counts     counts
	// planned counts the faults of the plan, faults those that were injected.
	planned, faults int
	// recovery is the time from the end of the last fault to full service.
	recovery time.Duration
	// steps has the longest steps of faults.
	steps *steps
}

func (r *run) waitReady(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); r.deployment.Router.ReadyCount() < len(r.deployment.EntryHosts); time.Sleep(pollInterval) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.New("entry hosts did not become ready, see their logs")
		}
	}
	return nil
}

func (r *run) execute(ctx context.Context) (*Result, error) {
	in, err := newInjector(r.deployment, r.checker, r.options)
	if err != nil {
		return nil, err
	}
	defer in.close()
	in.longest = r.steps
	from, err := standin.NewCaller(r.deployment.CallerIPs()[0], r.deployment.Router)
	if err != nil {
		return nil, err
	}
	defer from.Close()
	r.caller = from
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	operators := &operators{checker: r.checker, urls: in.urls(), random: r.random(operatorStream), counts: &r.counts, version: 1}
	var load conc.WaitGroup
	for i := range callers + idleCallers {
		c := &caller{
			checker: r.checker, caller: from, random: r.random(callerStream + uint64(i)), counts: &r.counts, number: i,
			interval: maxRequestInterval, zoneOf: r.deployment.ZoneOf,
		}
		if i >= callers {
			c.interval = maxIdleInterval
		}
		load.Go(func() { c.run(loadCtx) })
	}
	var changes conc.WaitGroup
	changeCtx, stopChanges := context.WithCancel(loadCtx)
	defer stopChanges()
	changes.Go(func() { operators.change(changeCtx) })
	evacuating := &evacuator{checker: r.checker, orders: r.evacuationOrders(in), zones: r.deployment.Zones(), random: r.random(evacuationStream)}
	changes.Go(func() { evacuating.run(changeCtx) })
	for _, url := range operators.urls {
		load.Go(func() { operators.read(loadCtx, url) })
	}
	r.inject(loadCtx, in)
	in.steps.Wait()
	// Stop changes so that the expected version is known.
	stopChanges()
	changes.Wait()
	r.waitRecovery(ctx, in, operators)
	stop()
	load.Wait()
	return r.result(), nil
}

// evacuationOrders returns operators with their own random stream for evacuation orders.
func (r *run) evacuationOrders(in *injector) *operators {
	return &operators{urls: in.urls(), random: r.random(evacuationHostStream)}
}

func (r *run) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}

// inject injects the faults of the plan.
func (r *run) inject(ctx context.Context, in *injector) {
	start := time.Now()
	plan := Plan(r.options.Seed, r.options.Length)
	r.planned = len(plan)
	for _, fault := range plan {
		for time.Since(start) < fault.At && ctx.Err() == nil {
			time.Sleep(min(pollInterval, fault.At-time.Since(start)))
			in.checkProcesses()
		}
		if ctx.Err() != nil {
			return
		}
		if in.apply(fault) {
			r.faults++
			fmt.Fprintf(r.options.Out, "%7.3f s  %s, number %d, for %s\n", time.Since(r.checker.start).Seconds(), fault.Kind, fault.Victim, fault.For.Round(time.Millisecond))
		}
	}
}

// waitRecovery waits until failure returns no failure. It adds a violation after the
// timeout.
func (r *run) waitRecovery(ctx context.Context, in *injector, o *operators) {
	start := time.Now()
	defer func() { r.recovery = time.Since(start) }()
	timeout := recoveryTimeout + r.options.TimeoutMargin
	var failure string
	for time.Since(start) < timeout && ctx.Err() == nil {
		in.checkProcesses()
		if failure = r.failure(o); failure == "" {
			return
		}
		time.Sleep(pollInterval)
	}
	if ctx.Err() == nil {
		r.checker.AddViolation(RuleRecovery, "%s after %s", failure, timeout)
	}
}

// failure describes what does not work, empty if all entry hosts are ready, each route is
// served and each control host confirms the newest version.
func (r *run) failure(o *operators) string {
	for _, url := range o.urls {
		if !o.readOne(url) {
			return "no confirmed read of the newest version at " + url
		}
	}
	for _, route := range []netip.AddrPort{firstRoute, secondRoute, changingRoute} {
		for range finalFlows {
			if what := r.tryRoute(route); what != "" {
				return fmt.Sprintf("route %s: %s", route, what)
			}
		}
	}
	if ready := r.deployment.Router.ReadyCount(); ready < len(r.deployment.EntryHosts) {
		return fmt.Sprintf("%d of %d entry hosts are ready", ready, len(r.deployment.EntryHosts))
	}
	return ""
}

// tryRoute opens a flow and sends a request. It describes a failure, empty on success.
func (r *run) tryRoute(route netip.AddrPort) string {
	minVersion := r.checker.NewestAcked(time.Now())
	f, err := r.caller.Open(route)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	requestCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := f.Do(requestCtx, "back"); err != nil {
		return err.Error()
	}
	if zone := r.deployment.ZoneOf(hostOf(f.Target)); r.checker.IsEvacuated(zone) {
		return "served in " + zone + ", which is evacuated"
	}
	if route == changingRoute && !r.checker.AllowsService(f.Service(), minVersion) {
		return fmt.Sprintf("served by %s, which no version from %d on allows", f.Service(), minVersion)
	}
	return ""
}
