package health

import (
	"math"
	"time"
)

// EWMATimeConstant is the time constant of EWMA. It is far longer than a request
// takes, which smooths out short bursts.
const EWMATimeConstant = 4 * time.Second

// EWMA is an exponentially weighted moving average over time.
type EWMA struct {
	value float64
}

// Observe records the mean value over the last interval.
func (e *EWMA) Observe(value float64, over time.Duration) {
	share := 1 - math.Exp(-float64(over)/float64(EWMATimeConstant))
	e.value += share * (value - e.value)
}

// Value returns the current average.
func (e *EWMA) Value() float64 { return e.value }
