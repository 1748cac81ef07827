package agentd

import "time"

// clock measures time since its creation on the monotonic clock.
type clock struct {
	start time.Time
	// read returns the current time.
	read func() time.Time
}

func newClock() clock {
	return clockOf(time.Now)
}

// clockOf returns a clock that reads the time with read.
func clockOf(read func() time.Time) clock {
	return clock{start: read(), read: read}
}

// now returns the time since the start.
func (c clock) now() time.Duration {
	return c.read().Sub(c.start)
}

// at converts a time since the start to a time.Time.
func (c clock) at(since time.Duration) time.Time {
	return c.start.Add(since)
}
