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

// Sizes of a run: as many as show what several hosts do, few enough for many runs.
const (
	controls      = 3
	entries       = 2
	firstTargets  = 3
	secondTargets = 2
	callers       = 16
	// RequiredIPs is how many IP numbers a run takes, that of the callers included.
	RequiredIPs = controls + entries + firstTargets + secondTargets + 1
)

const (
	// startPatience bounds the start of a deployment.
	startPatience = 30 * time.Second
	// backBound is how long after the last fault service is back: the platform's 12 s.
	backBound = 12 * time.Second
	// lastFlows is how many flows of each route have to be served in a row at the end:
	// with five entry hosts nine of ten see a packet of them.
	lastFlows = 12
	// lookPeriod is the time between two looks at processes.
	lookPeriod = 50 * time.Millisecond
)

// Streams of chance, apart from each other.
const (
	operatorStream       = 2
	evacuationStream     = 3
	evacuationHostStream = 4
	callerStream         = 1000
)

// Options describe a run.
type Options struct {
	// Binary is the product's program; Dir takes settings, disks and logs.
	Binary, Dir string
	// IPs are loopback numbers, Hosts of them.
	IPs  []netip.Addr
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// TimeoutMargin is added to each bound of time, for busy machines.
	TimeoutMargin time.Duration
	// Out gets a line for each fault, or is nil.
	Out io.Writer
}

// Result is what a run has shown.
type Result struct {
	Violations []Violation
	Faults     int
	// Served, Opened, Resets and TimedOut count requests and flows, Changes and Reads
	// those of operators that were answered.
	Served, Opened, Resets, TimedOut, Changes, Reads int64
}

// Run plays one seed. An error tells that the run itself could not be played.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Out == nil {
		o.Out = io.Discard
	}
	d, err := standin.Start(standin.Options{
		Binary: o.Binary, Dir: o.Dir, IPs: o.IPs, Controls: controls, Entries: entries, ToleratedLosses: 1, Zones: zones,
		Services: []standin.Service{{Name: firstService, Targets: firstTargets}, {Name: secondService, Targets: secondTargets}},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := d.Replace(config(1, firstService), startPatience); err != nil {
		return nil, errors.Wrap(err, "first configuration")
	}
	r := &run{options: o, d: d, truth: NewChecker(time.Now(), o.TimeoutMargin)}
	r.truth.RecordSent(1, firstService)
	r.truth.RecordAcked(1, time.Now())
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// run is a deployment under faults.
type run struct {
	options Options
	d       *standin.Deployment
	truth   *Checker
	caller  *standin.Caller
	counts  counts
	faults  int
}

func (r *run) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startPatience); r.d.Router.ReadyCount() < len(r.d.Entries); time.Sleep(lookPeriod) {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.New("the entry hosts do not become ready: see their logs")
		}
	}
	return nil
}

func (r *run) play(ctx context.Context) (*Result, error) {
	in, err := newInjector(r.d, r.truth, r.options)
	if err != nil {
		return nil, err
	}
	defer in.close()
	from, err := standin.NewCaller(r.d.CallerIPs()[0], r.d.Router)
	if err != nil {
		return nil, err
	}
	defer from.Close()
	r.caller = from
	playing, stop := context.WithCancel(ctx)
	defer stop()
	operators := &operators{truth: r.truth, urls: in.urls(), random: r.random(operatorStream), counts: &r.counts, version: 1}
	var load conc.WaitGroup
	for i := range callers {
		c := &caller{truth: r.truth, caller: from, random: r.random(callerStream + uint64(i)), counts: &r.counts, number: i, zoneOf: r.d.ZoneOf}
		load.Go(func() { c.run(playing) })
	}
	var changes conc.WaitGroup
	changing, settle := context.WithCancel(playing)
	defer settle()
	changes.Go(func() { operators.change(changing) })
	evacuating := &evacuations{truth: r.truth, orders: r.evacuationOrders(in), zones: r.d.Zones(), random: r.random(evacuationStream)}
	changes.Go(func() { evacuating.run(changing) })
	for _, url := range operators.urls {
		load.Go(func() { operators.read(playing, url) })
	}
	r.inject(playing, in)
	in.steps.Wait()
	// From here on the newest version stays, so that what is in force can be told.
	settle()
	changes.Wait()
	r.awaitBack(ctx, in, operators)
	stop()
	load.Wait()
	return r.result(), nil
}

// evacuationOrders draws the hosts that orders to evacuate go to, by chance of its own.
func (r *run) evacuationOrders(in *injector) *operators {
	return &operators{urls: in.urls(), random: r.random(evacuationHostStream)}
}

func (r *run) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}

// inject plays the plan.
func (r *run) inject(ctx context.Context, in *injector) {
	began := time.Now()
	for _, s := range Plan(r.options.Seed, r.options.Length) {
		for time.Since(began) < s.At && ctx.Err() == nil {
			time.Sleep(min(lookPeriod, s.At-time.Since(began)))
			in.watch()
		}
		if ctx.Err() != nil {
			return
		}
		if in.apply(s) {
			r.faults++
			fmt.Fprintf(r.options.Out, "%7.3f s  %s, number %d, for %s\n", time.Since(r.truth.began).Seconds(), s.Kind, s.Victim, s.For.Round(time.Millisecond))
		}
	}
}

// awaitBack waits until each route is served and each control host confirms the newest
// version.
func (r *run) awaitBack(ctx context.Context, in *injector, o *operators) {
	began := time.Now()
	bound := backBound + r.options.TimeoutMargin
	var missing string
	for time.Since(began) < bound && ctx.Err() == nil {
		in.watch()
		if missing = r.missing(o); missing == "" {
			return
		}
		time.Sleep(lookPeriod)
	}
	if ctx.Err() == nil {
		r.truth.AddViolation(RuleRecovery, "%s after %s", missing, bound)
	}
}

// missing tells what is not served, or nothing.
func (r *run) missing(o *operators) string {
	for _, url := range o.urls {
		if !o.readOne(url) {
			return "no confirmed read of the newest version at " + url
		}
	}
	for _, route := range []netip.AddrPort{firstRoute, secondRoute, changingRoute} {
		for range lastFlows {
			if what := r.serves(route); what != "" {
				return fmt.Sprintf("route %s: %s", route, what)
			}
		}
	}
	if ready := r.d.Router.ReadyCount(); ready < len(r.d.Entries) {
		return fmt.Sprintf("%d of %d entry hosts are ready", ready, len(r.d.Entries))
	}
	return ""
}

// serves opens a flow and sends a request on it. It tells what is wrong, or nothing.
func (r *run) serves(route netip.AddrPort) string {
	least := r.truth.NewestAcked(time.Now())
	f, err := r.caller.Open(route)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	bounded, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	if err := f.Do(bounded, "back"); err != nil {
		return err.Error()
	}
	if zone := r.d.ZoneOf(hostOf(f.Target)); r.truth.IsEvacuated(zone) {
		return "served in " + zone + ", which is evacuated"
	}
	if route == changingRoute && !r.truth.AllowsService(f.Service(), least) {
		return fmt.Sprintf("served by %s, which no version from %d on allows", f.Service(), least)
	}
	return ""
}

func (r *run) result() *Result {
	return &Result{
		Violations: r.truth.Violations(),
		Faults:     r.faults,
		Served:     r.counts.served.Load(),
		Opened:     r.counts.opened.Load(),
		Resets:     r.counts.resets.Load(),
		TimedOut:   r.counts.silent.Load(),
		Changes:    r.counts.changes.Load(),
		Reads:      r.counts.reads.Load(),
	}
}
