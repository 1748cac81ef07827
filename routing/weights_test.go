package routing_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// fleet simulates a service whose targets restart in turn. Flows do not end. A cold
// backend server breaks a share of its new flows, which falls over its ramp.
type fleet struct {
	list     []routing.Target
	flows    []int
	restarts []time.Duration
	loads    *routing.LoadReports
	rand     *rand.Rand

	broken    int
	imbalance float64
	samples   int
}

const (
	fleetTargets  = 8
	fleetFlows    = 100 // a second
	fleetLength   = 5 * time.Minute
	fleetRestart  = 25 * time.Second // between two restarts
	fleetRamp     = 20 * time.Second
	fleetCapacity = 10_000
	fleetColdLoss = 0.3
	fleetReports  = 4 // of random targets, for each flow
	fleetStep     = time.Second / fleetFlows
	fleetRebuild  = time.Second
	fleetSeedFlow = 400 // flows on each target at the start
	millePerFlow  = 1000.0 / fleetCapacity
)

func newFleet() *fleet {
	list := targets(fleetTargets)
	f := &fleet{
		list:     list,
		flows:    make([]int, len(list)),
		restarts: make([]time.Duration, len(list)),
		loads:    routing.NewLoadReports(nil, list),
		rand:     rand.New(rand.NewPCG(1, 2)),
	}
	for i := range f.flows {
		f.flows[i] = fleetSeedFlow
		f.restarts[i] = -warmAge
	}
	return f
}

// run runs the simulation under a policy.
func (f *fleet) run(p *configpb.Policy) {
	var table *routing.Table
	next := 0
	for now := time.Duration(0); now < fleetLength; now += fleetStep {
		if now%fleetRestart == 0 && now > 0 {
			f.restart(next%len(f.list), now)
			next++
		}
		if now%fleetRebuild == 0 {
			table = f.rebuild(p, now)
			f.measure()
		}
		f.report(now)
		f.open(table, now)
	}
}

func (f *fleet) restart(i int, now time.Duration) {
	f.list[i].Incarnation++
	f.flows[i] = 0
	f.restarts[i] = now
}

func (f *fleet) rebuild(p *configpb.Policy, now time.Duration) *routing.Table {
	for i := range f.list {
		f.list[i].Age = now - f.restarts[i]
	}
	f.loads = routing.NewLoadReports(f.loads, f.list)
	f.loads.Decay()
	return routing.NewTable(p, service, f.list, f.loads, now)
}

func (f *fleet) report(now time.Duration) {
	for range fleetReports {
		i := f.rand.IntN(len(f.list))
		load := uint16(float64(f.flows[i]) * millePerFlow)
		f.loads.Record(f.list[i].Number, f.list[i].Incarnation, routing.Report{Load: load}, now)
	}
}

func (f *fleet) open(table *routing.Table, now time.Duration) {
	choice, ok := table.Choose(f.rand.Uint64(), now)
	if !ok {
		panic("no target")
	}
	i := choice.Target.Number - 1
	cold := max(1-float64(now-f.restarts[i])/float64(fleetRamp), 0)
	if f.rand.Float64() < fleetColdLoss*cold {
		f.broken++
		return
	}
	f.flows[i]++
}

// measure adds the standard deviation of flows over their mean.
func (f *fleet) measure() {
	mean := 0.0
	for _, n := range f.flows {
		mean += float64(n)
	}
	mean /= float64(len(f.flows))
	variance := 0.0
	for _, n := range f.flows {
		variance += (float64(n) - mean) * (float64(n) - mean)
	}
	f.imbalance += math.Sqrt(variance/float64(len(f.flows))) / mean
	f.samples++
}

func TestWeightsTradeBrokenFlowsForImbalance(t *testing.T) {
	is := is.New(t)
	simulate := func(name string, p *configpb.Policy) (broken int, imbalance float64) {
		p.RampMs = uint32(fleetRamp.Milliseconds())
		f := newFleet()
		f.run(p)
		imbalance = f.imbalance / float64(f.samples)
		t.Logf("%-12s broken %4d, imbalance %.4f", name, f.broken, imbalance)
		return f.broken, imbalance
	}

	simulate("hash", &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_HASH})
	baseline, _ := simulate("two choices", &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_TWO_CHOICES})
	equal, _ := simulate("equal", &configpb.Policy{})
	careful, carefulImbalance := simulate("broken flows", &configpb.Policy{BrokenFlowWeight: 4, ImbalanceWeight: 1})
	even, evenImbalance := simulate("imbalance", &configpb.Policy{BrokenFlowWeight: 1, ImbalanceWeight: 4})

	is.True(careful < even)                      // fewer broken flows with a higher weight of these
	is.True(evenImbalance < carefulImbalance)    // less imbalance with a higher weight of that
	is.True(careful < equal && equal < baseline) // fewer broken flows than without weights
}
