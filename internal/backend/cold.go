package backend

import "time"

// ColdStart describes how a server warms up after its start: work takes
// Slowdown times as long at first, and falls evenly to its usual time over
// Lasts. The zero value is a server that starts warm.
type ColdStart struct {
	Duration time.Duration
	Slowdown float64
}

// stretch returns the time that work takes at an age of the server.
func (c ColdStart) stretch(work, age time.Duration) time.Duration {
	if age >= c.Duration || c.Slowdown <= 1 {
		return work
	}
	left := 1 - float64(age)/float64(c.Duration)
	return time.Duration(float64(work) * (1 + (c.Slowdown-1)*left))
}
