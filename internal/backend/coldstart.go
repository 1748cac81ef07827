package backend

import "time"

// ColdStart describes how a server warms up after its start. Work initially takes
// Slowdown times as long. The factor decreases linearly to 1 over Duration. The zero
// value is a warm server.
type ColdStart struct {
	Duration time.Duration
	Slowdown float64
}

// scale returns the duration of work at the given age of the server.
func (c ColdStart) scale(work, age time.Duration) time.Duration {
	if age >= c.Duration || c.Slowdown <= 1 {
		return work
	}
	remaining := 1 - float64(age)/float64(c.Duration)
	return time.Duration(float64(work) * (1 + (c.Slowdown-1)*remaining))
}
