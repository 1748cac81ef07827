package routing_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

var hashPolicy = &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_HASH}

// reasonCase is a choice between two serving targets past their ramps, with the changes
// of the case applied.
type reasonCase struct {
	name    string
	policy  *configpb.Policy
	change  func(list []routing.Target)
	reports map[uint32]routing.Report
	want    routing.Reason
	target  uint32 // 0: any
}

var reasonCases = []reasonCase{
	{name: "equal", want: routing.EqualCost},
	{name: "hash", policy: hashPolicy, want: routing.ByHash},
	{
		name:    "lower load",
		reports: map[uint32]routing.Report{1: {Load: 500}, 2: {Load: 400}},
		want:    routing.ByCost,
		target:  2,
	},
	{
		name:    "no report counts as average",
		reports: map[uint32]routing.Report{1: {Load: 500}},
		want:    routing.EqualCost,
		target:  0,
	},
	{
		name:   "one draining",
		change: func(list []routing.Target) { list[0].Draining = true },
		want:   routing.OnlyCandidate,
		target: 2,
	},
	{
		name:    "one draining by report",
		reports: map[uint32]routing.Report{1: {Draining: true}},
		want:    routing.OnlyCandidate,
		target:  2,
	},
	{
		name: "all draining",
		change: func(list []routing.Target) {
			list[0].Draining = true
			list[1].Draining = true
		},
		want: routing.LastResort,
	},
	{
		name:   "half unhealthy reaches the panic threshold",
		change: func(list []routing.Target) { list[0].Unhealthy = true },
		want:   routing.Panic,
		target: 2, // risk still counts
	},
	{
		name:   "unhealthy below the panic threshold",
		policy: &configpb.Policy{PanicPercent: 51},
		change: func(list []routing.Target) { list[0].Unhealthy = true },
		want:   routing.OnlyCandidate,
		target: 2,
	},
	{
		name:   "all unhealthy at any threshold",
		policy: &configpb.Policy{PanicPercent: 1000},
		change: func(list []routing.Target) {
			list[0].Unhealthy = true
			list[1].Unhealthy = true
		},
		want: routing.Panic,
	},
	{
		name:    "report overrides the directory",
		policy:  &configpb.Policy{PanicPercent: 100},
		change:  func(list []routing.Target) { list[0].Unhealthy = true },
		reports: map[uint32]routing.Report{1: {Unhealthy: false}, 2: {Unhealthy: true}},
		want:    routing.OnlyCandidate,
		target:  1,
	},
	{
		name:   "damping overrides the report",
		policy: &configpb.Policy{PanicPercent: 51},
		change: func(list []routing.Target) {
			list[0].Unhealthy = true
			list[0].Damped = true
		},
		reports: map[uint32]routing.Report{1: {Unhealthy: false}},
		want:    routing.OnlyCandidate,
		target:  2,
	},
}

func TestReasons(t *testing.T) {
	for _, tt := range reasonCases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := targets(2)
			if tt.change != nil {
				tt.change(list)
			}
			loads := routing.NewLoadReports(nil, list)
			for number, report := range tt.reports {
				is.True(loads.Record(number, 1, report, start))
			}
			table := routing.NewTable(tt.policy, service, list, loads, start)
			choice, ok := table.Choose(hashes(1)[0], start)
			is.True(ok)
			is.Equal(choice.Reason, tt.want)
			is.Equal(choice.Target.Address, address(choice.Target.Number))
			if tt.target != 0 {
				is.Equal(choice.Target.Number, tt.target)
			}
		})
	}
}

func TestNoTarget(t *testing.T) {
	is := is.New(t)
	table, _ := build(nil, nil)
	choice, ok := table.Choose(1, start)
	is.True(!ok)
	is.Equal(choice, routing.Choice{Reason: routing.NoTarget})
}

func TestAlternateIsTheOtherCandidate(t *testing.T) {
	is := is.New(t)
	table, _ := build(nil, targets(2))
	for _, hash := range hashes(100) {
		choice, ok := table.Choose(hash, start)
		is.True(ok)
		is.Equal(choice.Alternate, address(3-choice.Target.Number))
	}

	table, _ = build(nil, targets(1))
	choice, ok := table.Choose(1, start)
	is.True(ok)
	is.Equal(choice.Reason, routing.OnlyCandidate)
	is.Equal(choice.Alternate, netip.AddrPort{})
}

func TestInvalidAddressesAreSkipped(t *testing.T) {
	is := is.New(t)
	list := targets(4)
	list[0].Address = netip.MustParseAddrPort("[2001:db8::1]:7000")
	list[1].Address = netip.AddrPort{}
	list[2].Address = netip.MustParseAddrPort("10.0.0.1:0")
	table, _ := build(nil, list)
	is.Equal(table.Len(), 1)
}

func TestOnlyTheNewestIncarnationTakesNewFlows(t *testing.T) {
	is := is.New(t)
	list := targets(1)
	newer := list[0]
	newer.Incarnation = 2
	newer.Address = netip.MustParseAddrPort("10.9.9.9:7000")
	for _, order := range [][]routing.Target{{list[0], newer}, {newer, list[0]}} {
		table, loads := build(nil, order)
		is.Equal(table.Len(), 1)
		choice, ok := table.Choose(1, start)
		is.True(ok)
		is.Equal(choice.Target, routing.TargetRef{Number: 1, Incarnation: 2, Address: newer.Address})
		is.True(!loads.Record(1, 1, routing.Report{}, start)) // reports of the old one are ignored
	}
}

func TestReportTakesEffectWithoutANewTable(t *testing.T) {
	is := is.New(t)
	list := targets(7)
	table, loads := build(nil, list)
	loads.Record(3, 1, routing.Report{Draining: true}, start)
	counts := count(t, table, hashes(1000))
	is.Equal(counts[3], 0)
	is.Equal(len(counts), 6)
}

func TestStaleReportIsIgnored(t *testing.T) {
	is := is.New(t)
	list := targets(2)
	loads := routing.NewLoadReports(nil, list)
	loads.Record(1, 1, routing.Report{Load: 900, Draining: true}, start)

	later := start + routing.MaxReportAge + time.Millisecond
	table := routing.NewTable(nil, service, list, loads, later)
	is.Equal(table.Len(), 2)
	choice, ok := table.Choose(1, later)
	is.True(ok)
	is.Equal(choice.Reason, routing.EqualCost)
}

// A target that became idle sends no newer report and must not stay at its last high
// load.
func TestStaleLoadCountsAsAverage(t *testing.T) {
	is := is.New(t)
	list := targets(2)
	loads := routing.NewLoadReports(nil, list)
	loads.Record(1, 1, routing.Report{Load: 250}, start)
	later := start + 1100*time.Millisecond
	loads.Record(2, 1, routing.Report{}, later)
	counts := map[uint32]int{}
	table := routing.NewTable(nil, service, list, loads, later)
	for _, hash := range hashes(100) {
		choice, ok := table.Choose(hash, later)
		is.True(ok)
		counts[choice.Target.Number]++
		loads.Record(2, 1, routing.Report{}, later)
	}
	is.True(counts[1] > 0)
}

func TestBurstBetweenReportsSpreads(t *testing.T) {
	is := is.New(t)
	table, loads := build(nil, targets(2))
	loads.Record(1, 1, routing.Report{Load: 100}, start)
	loads.Record(2, 1, routing.Report{Load: 110}, start)
	counts := count(t, table, hashes(1000))
	// A lead of 10 per mille counts half, as the weights are equal: after five flows
	// the costs are the same, then flows alternate.
	is.Equal(counts[1]+counts[2], 1000)
	lead := counts[1] - counts[2]
	is.True(lead >= 4 && lead <= 6)
}

func TestUnansweredFlowsCountUntilDecay(t *testing.T) {
	is := is.New(t)
	table, loads := build(nil, targets(2))
	choose := func() uint32 {
		choice, _ := table.Choose(hashes(1)[0], start)
		return choice.Target.Number
	}
	unanswered := choose()
	for range 100 {
		choose()
		loads.Record(3-unanswered, 1, routing.Report{}, start) // the other target replies
	}
	is.Equal(choose(), 3-unanswered)

	loads.Decay()
	loads.Record(3-unanswered, 1, routing.Report{}, start)
	is.Equal(choose(), unanswered) // it is tried again
}

func TestBaselinesIgnoreRampAndRisk(t *testing.T) {
	is := is.New(t)
	list := targets(2)
	list[0].Age = 0
	for _, strategy := range []configpb.Strategy{
		configpb.Strategy_STRATEGY_HASH,
		configpb.Strategy_STRATEGY_TWO_CHOICES,
	} {
		table, _ := build(&configpb.Policy{Strategy: strategy}, list)
		counts := count(t, table, hashes(10_000))
		is.True(counts[1] > 4800 && counts[1] < 5200)
	}
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	list := targets(12)
	list[3].Age = time.Second
	table, loads := build(nil, list)
	hash := uint64(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		hash += 0x9e3779b97f4a7c15
		table.Choose(hash, start)
	}), 0.0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		loads.Record(1, 1, routing.Report{Load: 1}, start)
	}), 0.0)
}
