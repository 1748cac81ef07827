package loadgen

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// sessionRamp is the default share of the run over which sessions are opened.
const sessionRamp = 0.1

// stopCheckInterval is the time between two calls of Options.StopWhen.
const stopCheckInterval = 20 * time.Millisecond

// generator holds the state of one run.
type generator struct {
	opts   Options
	rec    *recorder
	dialer *dialer
	slots  []*slot
}

// Run makes one run and reports it. When ctx ends, it stops early and reports what was
// done so far. It returns ErrInvalidOptions for invalid options.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	rec := newRecorder(o)
	g := &generator{opts: o, rec: rec, dialer: &dialer{opts: o, rec: rec}}
	for i := range o.Connections {
		g.slots = append(g.slots, newSlot(g.dialer, i))
	}
	runCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var sessions, requests, end conc.WaitGroup
	if o.StopWhen != nil {
		end.Go(func() { g.stopEarly(runCtx, cancel) })
	}
	g.openSessions(runCtx, &sessions)
	g.schedule(runCtx, ctx, &requests)
	requests.Wait()
	sessions.Wait()
	end.Wait()
	for _, s := range g.slots {
		s.close()
	}
	report := rec.report()
	if err := g.checkRuns(ctx, report); err != nil {
		report.Doubled = nil
		report.DoubledUnknown = err.Error()
	}
	return report, nil
}

// stopEarly cancels the run once StopWhen returns true.
func (g *generator) stopEarly(runCtx context.Context, cancel context.CancelFunc) {
	for runCtx.Err() == nil {
		if g.opts.StopWhen(g.rec.report()) {
			cancel()
		}
		_ = sleep.For(runCtx, stopCheckInterval)
	}
}

// openSessions opens the sessions evenly over SessionRamp.
func (g *generator) openSessions(ctx context.Context, wg *conc.WaitGroup) {
	step := g.opts.SessionRamp / time.Duration(max(1, g.opts.Sessions))
	for i := range g.opts.Sessions {
		wg.Go(func() {
			_ = sleep.For(ctx, time.Duration(i)*step)
			g.runSession(ctx)
		})
	}
}

// schedule starts requests at random times with exponential gaps until runCtx ends.
// Requests in flight continue until their deadline or the end of ctx.
func (g *generator) schedule(runCtx, ctx context.Context, wg *conc.WaitGroup) {
	if g.opts.Rate == 0 {
		<-runCtx.Done()
		return
	}
	draw := rand.New(rand.NewPCG(g.opts.Seed, 0))
	next := g.rec.start
	inFlight := make(chan struct{}, maxInFlight)
	for number := 0; ; number++ {
		gap := draw.ExpFloat64() / g.opts.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		q := request{
			number:        number,
			nonRepeatable: draw.Float64() < g.opts.NonRepeatable,
			scheduled:     next,
			seed:          draw.Uint64(),
		}
		_ = sleep.For(runCtx, time.Until(next))
		if runCtx.Err() != nil {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			g.rec.requestFinished(q, notRun(reasonCallerFull), 0)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			g.runRequest(ctx, q)
		})
	}
}
