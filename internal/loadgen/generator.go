package loadgen

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// sessionRamp is the share of the run over which sessions are opened, unless
// the options say otherwise.
const sessionRamp = 0.1

// enoughPeriod is the time between two questions whether a run did enough.
const enoughPeriod = 20 * time.Millisecond

// generator is one run.
type generator struct {
	opts   Options
	rec    *recorder
	dialer *dialer
	slots  []*slot
}

// Run makes one run and reports it. It ends early, with a report of what was
// done, when ctx ends. It returns ErrOptions for options that make no sense.
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
		end.Go(func() { g.endEarly(runCtx, cancel) })
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

// endEarly ends the run once it has done enough.
func (g *generator) endEarly(runCtx context.Context, end context.CancelFunc) {
	for runCtx.Err() == nil {
		if g.opts.StopWhen(g.rec.report()) {
			end()
		}
		_ = sleep.For(runCtx, enoughPeriod)
	}
}

// openSessions spreads the opening of sessions over the start of the run.
func (g *generator) openSessions(ctx context.Context, wg *conc.WaitGroup) {
	step := g.opts.SessionRamp / time.Duration(max(1, g.opts.Sessions))
	for i := range g.opts.Sessions {
		wg.Go(func() {
			_ = sleep.For(ctx, time.Duration(i)*step)
			g.session(ctx)
		})
	}
}

// schedule starts requests at times drawn from the seed until runCtx ends.
// The requests themselves live on until their deadline, or ctx ends.
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
			g.rec.finished(q, notRun(reasonCallerFull), 0)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			g.perform(ctx, q)
		})
	}
}
