package agentd

import "time"

// clock measures time since the start of the process on the monotonic clock.
type clock struct {
	start time.Time
}

func newClock() clock {
	return clock{start: time.Now()}
}

// now returns the time since the start.
func (c clock) now() time.Duration {
	return time.Since(c.start)
}

// at returns the point in time, monotonic, of a time since the start.
func (c clock) at(since time.Duration) time.Time {
	return c.start.Add(since)
}
