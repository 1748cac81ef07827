package routing_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/routing"
)

// balanceFlows starts with every other target having twice as many flows as the rest,
// adds twice as many flows with a report after each, and returns the greatest number of
// flows over the mean. A full target has capacity flows.
func balanceFlows(flows, targetCount, capacity int) float64 {
	list := targets(targetCount)
	table, loads := build(nil, list)
	open := make(map[uint32]int)
	addFlows := func(number uint32, more int) {
		open[number] += more
		load := min(open[number]*1000/capacity, math.MaxUint16)
		loads.Record(number, 1, routing.Report{Load: uint16(load)}, start)
	}
	for _, target := range list {
		addFlows(target.Number, flows*int(1+target.Number%2))
	}
	for i, hash := range hashes(flows * targetCount) {
		if i%targetCount == 0 {
			table = routing.NewTable(nil, service, list, loads, start)
		}
		choice, _ := table.Choose(hash, start)
		addFlows(choice.Target.Number, 1)
	}
	most, sum := 0, 0
	for _, n := range open {
		most = max(most, n)
		sum += n
	}
	return float64(most*targetCount) / float64(sum)
}

// An uneven service becomes balanced, whatever number of flows counts as a full target.
func TestFlowsBalanceWithAnyCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targetCount := 2 * rapid.IntRange(1, 12).Draw(t, "half of the targets")
		flows := rapid.IntRange(200, 2000).Draw(t, "flows")
		// The load, 16 bits of per mille, holds 65 times the capacity.
		capacity := rapid.IntRange(flows/15, 4*flows).Draw(t, "capacity")
		if got := balanceFlows(flows, targetCount, capacity); got > 1.15 {
			t.Fatalf("most flows over the mean: %.2f", got)
		}
	})
}

// Above a full target, choices compare loads with the mean, so scaling all loads
// changes no choice.
func TestOverloadIsComparedWithMean(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(2 * rapid.IntRange(1, 6).Draw(t, "pairs of targets"))
		list[0].Age = time.Duration(rapid.IntRange(0, 10_000).Draw(t, "age")) * time.Millisecond
		factor := uint16(rapid.IntRange(2, 16).Draw(t, "factor"))
		_, once := build(nil, list)
		_, many := build(nil, list)
		mean, gap := rapid.Uint16Range(1001, 2000).Draw(t, "mean"), uint16(0)
		for i, target := range list {
			load := mean - gap
			if i%2 == 0 { // symmetric pairs keep the mean an integer
				gap = rapid.Uint16Range(0, mean).Draw(t, "gap")
				load = mean + gap
			}
			once.Record(target.Number, 1, routing.Report{Load: load}, start)
			many.Record(target.Number, 1, routing.Report{Load: load * factor}, start)
		}
		a := routing.NewTable(nil, service, list, once, start)
		b := routing.NewTable(nil, service, list, many, start)
		for _, hash := range hashes(200) {
			x, _ := a.Choose(hash, start)
			y, _ := b.Choose(hash, start)
			if x.Target.Number != y.Target.Number {
				t.Fatalf("target %d; with all loads scaled by %d, target %d", x.Target.Number, factor, y.Target.Number)
			}
		}
	})
}
