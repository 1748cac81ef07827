package agentd

import "time"

// clock measures time since the start of the process on the monotonic clock.
type clock struct {
	start time.Time
	// read returns the present time.
	read func() time.Time
}

func newClock() clock {
	return clockOf(time.Now)
}

// clockOf returns a clock that starts now, as read tells it.
func clockOf(read func() time.Time) clock {
	return clock{start: read(), read: read}
}

// now returns the time since the start.
func (c clock) now() time.Duration {
	return c.read().Sub(c.start)
}

// at returns the point in time, monotonic, of a time since the start.
func (c clock) at(since time.Duration) time.Time {
	return c.start.Add(since)
}
