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

// recordReplies records a reply from the chosen and the probed target unless they are
// dead.
func recordReplies(loads *routing.LoadReports, choice routing.Choice, dead map[uint32]bool, now time.Duration) {
	for _, number := range []uint32{choice.Target.Number, choice.Probe.Number} {
		if !dead[number] {
			loads.Record(number, 1, routing.Report{}, now)
		}
	}
}

// A target that never answers gets no flow after UnresponsiveAfter, and one probe per
// ProbeInterval at most.
func TestUnresponsiveTargetsGetNoNewFlows(t *testing.T) {
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
		interval := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms between flows")) * time.Millisecond
		table, loads := build(&configpb.Policy{Strategy: strategy}, targets(n))
		first := make(map[uint32]time.Duration)
		probed := make(map[uint32]time.Duration)

		now := start
		for _, hash := range hashes(300) {
			now += interval
			choice, ok := table.Choose(hash, now)
			is.True(ok)
			number := choice.Target.Number
			since, sent := first[number]
			is.True(!sent || now-since <= routing.UnresponsiveAfter) // not to an unresponsive one
			if dead[number] && !sent {
				first[number] = now
			}
			if probe := choice.Probe.Number; probe != 0 {
				is.Equal(choice.Reason, routing.Unresponsive)
				is.True(dead[probe])
				is.True(now-max(first[probe], probed[probe]) >= routing.ProbeInterval)
				probed[probe] = now
			}
			recordReplies(loads, choice, dead, now)
			if now-start > 10*time.Second {
				break
			}
		}
	})
}

// buildUnresponsive returns a table, its reports, and a time at which the given targets
// are unresponsive.
func buildUnresponsive(t *testing.T, p *configpb.Policy, n int, unresponsive ...uint32) (*routing.Table, *routing.LoadReports, time.Duration) {
	t.Helper()
	is := is.New(t)
	table, loads := build(p, targets(n))
	for _, hash := range hashes(50 * n) {
		_, ok := table.Choose(hash, start)
		is.True(ok)
	}
	later := start + routing.UnresponsiveAfter + 2*time.Millisecond
	for number := uint32(1); number <= uint32(n); number++ {
		if !slices.Contains(unresponsive, number) {
			loads.Record(number, 1, routing.Report{}, later)
		}
	}
	return table, loads, later
}

func TestAnyFrameMakesTargetResponsive(t *testing.T) {
	is := is.New(t)
	table, loads, later := buildUnresponsive(t, nil, 2, 1)
	for _, hash := range hashes(20) {
		choice, _ := table.Choose(hash, later)
		is.Equal(choice.Target.Number, uint32(2))
		is.Equal(choice.Reason, routing.Unresponsive)
		is.True(!choice.Alternate.IsValid()) // a draining agent must not forward to it
	}
	is.True(!loads.Record(1, 2, routing.Report{}, later)) // of another incarnation
	choice, _ := table.Choose(1, later)
	is.Equal(choice.Target.Number, uint32(2))

	loads.Record(1, 1, routing.Report{}, later)
	is.True(count(t, table, hashes(100))[1] > 0)
}

func TestNewIncarnationIsResponsive(t *testing.T) {
	is := is.New(t)
	_, loads, later := buildUnresponsive(t, nil, 2, 1)
	list := targets(2)
	list[0].Incarnation = 2
	table := routing.NewTable(nil, service, list, routing.NewLoadReports(loads, list), later)
	choice, _ := table.Choose(hashes(1)[0], later)
	is.Equal(choice.Reason, routing.EqualCost)
}

// If all targets are unresponsive, the fault is on this host: its network is cut, or it
// was suspended.
func TestAllUnresponsiveTargetsAreUsed(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 7, 40} {
		all := make([]uint32, n)
		for i := range all {
			all[i] = uint32(i + 1)
		}
		table, loads, later := buildUnresponsive(t, nil, n, all...)
		counts := make(map[uint32]int)
		for _, hash := range hashes(1000) {
			choice, _ := table.Choose(hash, later+time.Hour)
			is.True(choice.Reason != routing.Unresponsive)
			counts[choice.Target.Number]++
		}
		is.True(len(counts) > n/2)
		for _, number := range all { // the replies arrive
			loads.Record(number, 1, routing.Report{}, later+time.Hour)
		}
		is.Equal(len(count(t, table, hashes(1000))), n)
	}
}

// Of many flows that start when a probe is due, only one sends it.
func TestOneProbePerInterval(t *testing.T) {
	is := is.New(t)
	table, loads, _ := buildUnresponsive(t, nil, 2, 1)
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

func TestHashStrategyAndEarlyDataIgnoreUnresponsive(t *testing.T) {
	is := is.New(t)
	table, _, later := buildUnresponsive(t, &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_HASH}, 2, 1)
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

// Flows of lost targets with adjacent numbers are spread over all others.
func TestDomainLossCausesNoHotSpot(t *testing.T) {
	is := is.New(t)
	const n, lost, flows = 40, 10, 30_000
	var unresponsive []uint32
	for number := uint32(1); number <= lost; number++ {
		unresponsive = append(unresponsive, number)
	}
	table, loads, later := buildUnresponsive(t, nil, n, unresponsive...)
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
