package health_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/health"
)

func TestEWMAConvergesWithinItsTimeConstant(t *testing.T) {
	for _, tt := range []struct {
		name string
		over []time.Duration
		want float64
	}{
		{"nothing observed", nil, 0},
		{"no time", []time.Duration{0}, 0},
		{"one time constant at once", []time.Duration{health.EWMATimeConstant}, 4 * (1 - 1/math.E)},
		{"in steps", []time.Duration{health.EWMATimeConstant / 2, health.EWMATimeConstant / 4, health.EWMATimeConstant / 4}, 4 * (1 - 1/math.E)},
		{"long", []time.Duration{100 * health.EWMATimeConstant}, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var e health.EWMA
			for _, over := range tt.over {
				e.Observe(4, over)
			}
			is.New(t).True(math.Abs(e.Value()-tt.want) < 1e-9)
		})
	}
}
