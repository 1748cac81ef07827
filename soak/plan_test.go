package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlan(t *testing.T) {
	is := is.New(t)
	const length = time.Minute
	seen := map[Kind]int{}
	for seed := range uint64(50) {
		plan := Plan(seed, length)
		is.Equal(plan, Plan(seed, length)) // the same seed, the same plan
		for i, fault := range plan {
			seen[fault.Kind]++
			is.True(fault.At < length && fault.For >= minFaultTime && fault.For <= maxFaultTime)
			for _, other := range plan[:i] {
				lost := fault.Kind == WipeControl || other.Kind == WipeControl
				if lost && affectsControl(fault.Kind) && affectsControl(other.Kind) {
					is.True(fault.At >= other.At+other.For+catchUpTime) // one lost disk at a time
				}
			}
		}
	}
	for _, w := range append(slices.Clone(faultWeights), plannedWeights...) {
		is.True(seen[w.kind] > 0) // each kind occurs
	}
}
