package soak

import (
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
		for i, s := range plan {
			seen[s.Kind]++
			is.True(s.At < length && s.For >= minFaultTime && s.For <= maxFaultTime)
			for _, other := range plan[:i] {
				lost := s.Kind == WipeControl || other.Kind == WipeControl
				if lost && affectsControl(s.Kind) && affectsControl(other.Kind) {
					is.True(s.At >= other.At+other.For+catchUp) // one lost disk at a time
				}
			}
		}
	}
	for _, w := range faultWeights {
		is.True(seen[w.kind] > 0) // each kind occurs
	}
}
