package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

func drawPolicy(t *rapid.T) *configpb.Policy {
	return &configpb.Policy{
		Strategy:         configpb.Strategy(rapid.IntRange(0, 2).Draw(t, "strategy")),
		BrokenFlowWeight: rapid.Float64Range(-1, 100).Draw(t, "broken flow weight"),
		ImbalanceWeight:  rapid.Float64Range(-1, 100).Draw(t, "imbalance weight"),
		PanicPercent:     rapid.Uint32Range(0, 120).Draw(t, "panic"),
		RampMs:           rapid.Uint32Range(0, 20_000).Draw(t, "ramp"),
	}
}

// drawTargets draws targets of several services in any state. Each number has
// one service, as numbers are never used again.
func drawTargets(t *rapid.T) []routing.Target {
	n := rapid.IntRange(0, 30).Draw(t, "targets")
	list := make([]routing.Target, 0, n)
	for range n {
		number := rapid.Uint32Range(1, 40).Draw(t, "number")
		list = append(list, routing.Target{
			Number:      number,
			Incarnation: rapid.Uint32Range(1, 3).Draw(t, "incarnation"),
			Service:     service + number%3,
			Address:     address(number),
			Draining:    rapid.Bool().Draw(t, "draining"),
			Unhealthy:   rapid.Bool().Draw(t, "unhealthy"),
			Age:         time.Duration(rapid.IntRange(0, 30_000).Draw(t, "age")) * time.Millisecond,
		})
	}
	return list
}

// newestRecords returns the targets of the service in their newest incarnation, with all
// records of that incarnation.
func newestRecords(list []routing.Target) map[uint32][]routing.Target {
	out := make(map[uint32][]routing.Target)
	for _, target := range list {
		if target.Service != service {
			continue
		}
		known := out[target.Number]
		switch {
		case len(known) == 0 || known[0].Incarnation < target.Incarnation:
			out[target.Number] = []routing.Target{target}
		case known[0].Incarnation == target.Incarnation:
			out[target.Number] = append(known, target)
		}
	}
	return out
}

func anyTarget(list map[uint32][]routing.Target, f func(routing.Target) bool) bool {
	for _, records := range list {
		for _, record := range records {
			if f(record) {
				return true
			}
		}
	}
	return false
}

func TestChoiceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		policy := drawPolicy(t)
		list := drawTargets(t)
		own := newestRecords(list)
		loads := routing.NewLoadReports(nil, list)
		reportsDraining := make(map[uint32]bool)
		for range rapid.IntRange(0, 10).Draw(t, "reports") {
			number := rapid.Uint32Range(1, 40).Draw(t, "reporter")
			report := routing.Report{
				Load:      rapid.Uint16().Draw(t, "load"),
				Draining:  rapid.Bool().Draw(t, "reports draining"),
				Unhealthy: rapid.Bool().Draw(t, "reports unhealthy"),
			}
			if records := own[number]; len(records) > 0 {
				is.True(loads.Record(number, records[0].Incarnation, report, start))
				reportsDraining[number] = report.Draining
			}
		}
		serving := func(target routing.Target) bool {
			return !target.Draining && !reportsDraining[target.Number]
		}
		hasServing := anyTarget(own, serving)
		table := routing.NewTable(policy, service, list, loads, start)

		for _, hash := range hashes(20) {
			choice, ok := table.Choose(hash, start)
			is.Equal(ok, len(own) > 0) // something is chosen whenever there is a target
			if !ok {
				continue
			}
			chosen := own[choice.Target.Number]
			is.True(len(chosen) > 0) // a target of this service
			is.Equal(choice.Target.Incarnation, chosen[0].Incarnation)
			is.Equal(choice.Target.Address, address(choice.Target.Number))
			is.True(choice.Alternate != choice.Target.Address)
			if hasServing {
				is.True(anyTarget(map[uint32][]routing.Target{0: chosen}, serving)) // no draining one while another exists
				is.True(choice.Reason != routing.LastResort)
			} else {
				is.Equal(choice.Reason, routing.LastResort)
			}
		}
	})
}

func TestShareOfATargetIsBounded(t *testing.T) {
	const flows = 20_000
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(3, 20).Draw(t, "targets")
		list := targets(n)
		for i := range list {
			list[i].Age = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age")) * time.Millisecond
		}
		loads := routing.NewLoadReports(nil, list)
		for i := range list {
			if rapid.Bool().Draw(t, "known") {
				load := rapid.Uint16Range(0, 2000).Draw(t, "load")
				loads.Record(list[i].Number, 1, routing.Report{Load: load}, start)
			}
		}
		table := routing.NewTable(drawPolicy(t), service, list, loads, start)

		counts := make(map[uint32]int)
		for _, hash := range hashes(flows) {
			choice, ok := table.Choose(hash, start)
			is.True(ok)
			counts[choice.Target.Number]++
		}
		// A target is drawn for two flows in n, so no wrong load can attract more. The
		// margin of a tenth is for the variance of the hashes.
		for _, c := range counts {
			is.True(c <= flows*2/n*11/10)
		}
	})
}

func TestLoadsConverge(t *testing.T) {
	// The fullest target stays near the average under the weighted strategy.
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(2, 30).Draw(t, "targets")
		every := rapid.IntRange(1, 50).Draw(t, "flows between reports")
		list := targets(n)
		table, loads := build(nil, list)
		flows := make(map[uint32]int)
		const perTarget = 400

		for i, hash := range hashes(n * perTarget) {
			choice, ok := table.Choose(hash, start)
			is.True(ok)
			flows[choice.Target.Number]++
			if i%every == 0 {
				for number, f := range flows {
					loads.Record(number, 1, routing.Report{Load: uint16(f)}, start)
				}
			}
		}
		for _, f := range flows {
			is.True(f <= perTarget*125/100)
		}
	})
}

func TestShareGrowsOverTheRamp(t *testing.T) {
	for _, tt := range []struct {
		name   string
		policy *configpb.Policy
		// Bounds of the share of a cold target at age zero and halfway through its
		// ramp, in percent of the share of a full target. With a high broken flow
		// weight it may get nothing at first.
		startMin, startMax     int
		halfwayMin, halfwayMax int
	}{
		{"equal weights", &configpb.Policy{}, 3, 10, 45, 62},
		{"broken flows weigh more", &configpb.Policy{BrokenFlowWeight: 4, ImbalanceWeight: 1}, 0, 10, 5, 20},
		{"imbalance weighs more", &configpb.Policy{BrokenFlowWeight: 1, ImbalanceWeight: 4}, 3, 10, 75, 95},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const flows = 40_000
			const n = 8
			const ramp = 10 * time.Second
			last := 0
			for _, age := range []time.Duration{0, ramp / 4, ramp / 2, 3 * ramp / 4, ramp} {
				list := targets(n)
				list[0].Age = age
				// The load of the cold target is low, so it wins every draw in which it
				// takes part.
				loads := routing.NewLoadReports(nil, list)
				counts := 0
				table := routing.NewTable(tt.policy, service, list, loads, start)
				for _, hash := range hashes(flows) {
					for number := uint32(2); number <= n; number++ {
						loads.Record(number, 1, routing.Report{Load: 4000}, start)
					}
					loads.Record(1, 1, routing.Report{}, start)
					choice, _ := table.Choose(hash, start)
					if choice.Target.Number == 1 {
						counts++
					}
				}
				share := counts * 100 / (flows * 2 / n)
				is.True(share >= last) // the share grows with age
				last = share
				switch age {
				case 0:
					is.True(share >= tt.startMin) // a sixteenth
					is.True(share <= tt.startMax)
				case ramp / 2:
					is.True(share >= tt.halfwayMin)
					is.True(share <= tt.halfwayMax)
				case ramp:
					is.True(share >= 95)
				}
			}
		})
	}
}
