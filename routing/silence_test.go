package routing_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// answering lets the targets that are alive answer a choice and the copy for a
// probe.
func answering(loads *routing.LoadReports, choice routing.Choice, dead map[uint32]bool, now time.Duration) {
	for _, number := range []uint32{choice.Target.Number, choice.Probe.Number} {
		if !dead[number] {
			loads.Record(number, 1, routing.Report{}, now)
		}
	}
}

// TestDeadTargetsGetNoNewFlows loses some of the targets. Once the first packets
// to one have stayed without an answer for SilentAfter, no flow goes to it, and
// one copy in ProbePeriod at most.
func TestDeadTargetsGetNoNewFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(2, 40).Draw(t, "targets")
		dead := make(map[uint32]bool)
		for range rapid.IntRange(1, n-1).Draw(t, "dead") {
			dead[rapid.Uint32Range(1, uint32(n)).Draw(t, "number")] = true
		}
		if len(dead) == n {
			delete(dead, 1)
		}
		strategy := rapid.SampledFrom([]configpb.Strategy{
			configpb.Strategy_STRATEGY_WEIGHTED, configpb.Strategy_STRATEGY_TWO_CHOICES,
		}).Draw(t, "strategy")
		pause := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms between flows")) * time.Millisecond
		table, loads := build(&configpb.Policy{Strategy: strategy}, targets(n))
		first := make(map[uint32]time.Duration)
		probed := make(map[uint32]time.Duration)

		now := start
		for _, hash := range hashes(300) {
			now += pause
			choice, ok := table.Choose(hash, now)
			is.True(ok)
			number := choice.Target.Number
			since, sent := first[number]
			is.True(!sent || now-since <= routing.UnresponsiveAfter) // not to a silent one
			if dead[number] && !sent {
				first[number] = now
			}
			if probe := choice.Probe.Number; probe != 0 {
				is.Equal(choice.Reason, routing.Unresponsive)
				is.True(dead[probe])
				is.True(now-max(first[probe], probed[probe]) >= routing.ProbeInterval)
				probed[probe] = now
			}
			answering(loads, choice, dead, now)
			if now-start > 10*time.Second {
				break
			}
		}
	})
}

// silence makes one of the targets of a list silent and returns its table, its
// loads and a time at which it counts as silent.
func silence(t *testing.T, p *configpb.Policy, n int, silent ...uint32) (*routing.Table, *routing.LoadReports, time.Duration) {
	t.Helper()
	is := is.New(t)
	table, loads := build(p, targets(n))
	for _, hash := range hashes(50 * n) {
		_, ok := table.Choose(hash, start)
		is.True(ok)
	}
	later := start + routing.UnresponsiveAfter + 2*time.Millisecond
	for number := uint32(1); number <= uint32(n); number++ {
		if !slices.Contains(silent, number) {
			loads.Record(number, 1, routing.Report{}, later)
		}
	}
	return table, loads, later
}

func TestAnyFrameEndsSilence(t *testing.T) {
	is := is.New(t)
	table, loads, later := silence(t, nil, 2, 1)
	for _, hash := range hashes(20) {
		choice, _ := table.Choose(hash, later)
		is.Equal(choice.Target.Number, uint32(2))
		is.Equal(choice.Reason, routing.Unresponsive)
		is.True(!choice.Alternate.IsValid()) // an agent that leaves must not hand it on there
	}
	is.True(!loads.Record(1, 2, routing.Report{}, later)) // of another incarnation
	choice, _ := table.Choose(1, later)
	is.Equal(choice.Target.Number, uint32(2))

	loads.Record(1, 1, routing.Report{}, later)
	is.True(count(t, table, hashes(100))[1] > 0)
}

func TestNewIncarnationIsNotSilent(t *testing.T) {
	is := is.New(t)
	_, loads, later := silence(t, nil, 2, 1)
	list := targets(2)
	list[0].Incarnation = 2
	table := routing.NewTable(nil, service, list, routing.NewLoadReports(loads, list), later)
	choice, _ := table.Choose(hashes(1)[0], later)
	is.Equal(choice.Reason, routing.EqualCost)
}

// TestWhereAllAreSilentNoneIs is a host whose own way is cut, or one that thaws:
// its clock jumped while the answers stood in its sockets.
func TestWhereAllAreSilentNoneIs(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 7, 40} {
		all := make([]uint32, n)
		for i := range all {
			all[i] = uint32(i + 1)
		}
		table, loads, later := silence(t, nil, n, all...)
		counts := make(map[uint32]int)
		for _, hash := range hashes(1000) {
			choice, _ := table.Choose(hash, later+time.Hour)
			is.True(choice.Reason != routing.Unresponsive)
			counts[choice.Target.Number]++
		}
		is.True(len(counts) > n/2)
		for _, number := range all { // the answers are read
			loads.Record(number, 1, routing.Report{}, later+time.Hour)
		}
		is.Equal(len(count(t, table, hashes(1000))), n)
	}
}

// TestOneWorkerProbes has many flows begin at the time that a probe is due.
func TestOneWorkerProbes(t *testing.T) {
	is := is.New(t)
	table, loads, _ := silence(t, nil, 2, 1)
	for _, moment := range []time.Duration{start + routing.ProbeInterval, start + 2*routing.ProbeInterval} {
		probes := 0
		for _, hash := range hashes(100) {
			choice, _ := table.Choose(hash, moment)
			loads.Record(2, 1, routing.Report{}, moment)
			if choice.Probe.Number != 0 {
				is.Equal(choice.Probe, routing.TargetRef{Number: 1, Incarnation: 1, Address: address(1)})
				probes++
			}
		}
		is.Equal(probes, 1)
	}
}

func TestBaselineAndEarlyDataLeaveSilenceAlone(t *testing.T) {
	is := is.New(t)
	table, _, later := silence(t, &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_HASH}, 2, 1)
	choices := make(map[uint32]int)
	for _, hash := range hashes(100) {
		choice, _ := table.Choose(hash, later)
		is.Equal(choice.Reason, routing.ByHash)
		choices[choice.Target.Number]++
	}
	is.True(choices[1] > 30)

	table, _ = build(nil, targets(2))
	for _, moment := range []time.Duration{start, later} {
		choice, ok := table.ChooseNoReply(hashes(1)[0], moment)
		is.True(ok)
		is.True(choice.Reason != routing.Unresponsive)
	}
}

// TestLostDomainLeavesNoHotSpot makes a run of neighbours silent. The next one
// behind them gets no more flows than others.
func TestLostDomainLeavesNoHotSpot(t *testing.T) {
	is := is.New(t)
	const n, lost, flows = 40, 10, 30_000
	var silent []uint32
	for number := uint32(1); number <= lost; number++ {
		silent = append(silent, number)
	}
	table, loads, later := silence(t, nil, n, silent...)
	counts := make(map[uint32]int)
	for _, hash := range hashes(flows) {
		choice, _ := table.Choose(hash, later)
		counts[choice.Target.Number]++
		loads.Record(choice.Target.Number, 1, routing.Report{}, later)
	}
	for number := uint32(1); number <= n; number++ {
		if number <= lost {
			is.Equal(counts[number], 0)
		} else {
			is.True(counts[number] <= flows/(n-lost)*2)
		}
	}
}
