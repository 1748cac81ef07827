package flow

import "time"

// idleMargin is added to the configured idle timeout: the packet that ends a pause just below it
// may be lost and retransmitted.
const idleMargin = 5 * time.Second

// IdleTimeout is how long agents keep flows without packets. What an agent has forgotten it
// denies, so it keeps flows for the longest time that may be in force: that is safe, and costs
// memory. Entry hosts need none, since they search for a flow that they do not know.
type IdleTimeout struct {
	// min applies if the configuration states less or nothing, max is the age after which all
	// flows may be discarded.
	min, max time.Duration
	// known is set once there is a configuration, configured is what it states with the margin.
	known      bool
	configured time.Duration
	// former is a longer timeout that was in force before, kept until formerUntil for the flows
	// that were idle then.
	former, formerUntil time.Duration
}

// NewIdleTimeout returns the timeout of a process that has no configuration yet.
func NewIdleTimeout(min, max time.Duration) IdleTimeout { return IdleTimeout{min: min, max: max} }

// Set sets the timeout that the configuration states, 0 if it states none.
func (t *IdleTimeout) Set(stated, now time.Duration) {
	next := min(max(stated+idleMargin, t.min), t.max)
	if t.known && t.configured > next {
		t.former, t.formerUntil = t.Configured(now), max(t.formerUntil, now+t.configured)
	}
	t.known, t.configured = true, next
}

// Configured returns the timeout by the last known configuration.
func (t *IdleTimeout) Configured(now time.Duration) time.Duration {
	switch {
	case !t.known:
		return t.max
	case now < t.formerUntil:
		return max(t.former, t.configured)
	}
	return t.configured
}

// Keep returns how long flows are kept. Without confirmation that the configuration is the newest,
// a later one may have a longer timeout.
func (t *IdleTimeout) Keep(now time.Duration, confirmed bool) time.Duration {
	if !confirmed {
		return t.max
	}
	return t.Configured(now)
}
