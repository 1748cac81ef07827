package health

import (
	"math"
	"time"
)

// EWMATimeConstant is the time over which a Meter averages. A request takes tens of
// milliseconds, so the number that runs at a moment says little about the work
// that a target has; over seconds it does.
const EWMATimeConstant = 4 * time.Second

// EWMA averages the requests of a target.
type EWMA struct {
	requests float64
}

// Observe records the mean number of requests that ran or waited over the
// last while.
func (m *EWMA) Observe(requests float64, over time.Duration) {
	share := 1 - math.Exp(-float64(over)/float64(EWMATimeConstant))
	m.requests += share * (requests - m.requests)
}

// Value returns the average.
func (m *EWMA) Value() float64 { return m.requests }
