package flow

import "time"

const (
	// incompleteFor is how long after its start an agent may not know all flows that
	// its target holds. It learns of each from its next packet, and flows that were idle
	// for longer may be discarded, unless the idle timeout is longer.
	incompleteFor = 60 * time.Second
	// evictionSample is how many flows are compared to evict the one that is idle for longest.
	evictionSample = 64
	// shortIdle is after which time without packets a flow may be evicted, and forgotten if it
	// is not open at both ends.
	shortIdle = 20 * time.Second
)

// completeness decides whether an agent knows all flows that its target holds. If it does not,
// that it does not know a flow proves nothing.
type completeness struct {
	// since is when it began not to know all, proven: it does all the same.
	since  time.Duration
	proven bool
	// idleTimeout is the time without packets after which flows may be discarded.
	idleTimeout time.Duration
}

func (c *completeness) complete(now time.Duration) bool {
	return c.proven || now-c.since >= max(incompleteFor, c.idleTimeout)
}

// missed records that the target holds a flow that is not in the table.
func (c *completeness) missed(now time.Duration) { c.since, c.proven = now, false }

// MarkComplete records that the target holds no flow that the agent has not seen. A wrong call
// resets open flows.
func (a *Agent) MarkComplete(time.Duration) { a.known.proven = true }

// SetIdleTimeout sets the time without packets after which the target's flows may be discarded.
func (a *Agent) SetIdleTimeout(d time.Duration) { a.known.idleTimeout = d }

// makeRoom reports whether the table has room for another flow. If it is full, a flow that is idle
// for long is evicted; the agent does not know all flows then.
func (a *Agent) makeRoom(now time.Duration) bool {
	if len(a.flows) < MaxAgentFlows {
		return true
	}
	var longest Key
	since, sampled := now-shortIdle, 0
	for key, f := range a.flows {
		if f.lastSeen < since {
			longest, since = key, f.lastSeen
		}
		if sampled++; sampled >= evictionSample {
			break
		}
	}
	f := a.flows[longest]
	if f == nil {
		return false
	}
	a.removeFlow(longest, f)
	a.evicted++
	a.known.missed(now)
	return true
}

// TakeEvicted returns the number of flows that were evicted since the last call.
func (a *Agent) TakeEvicted() int {
	n := a.evicted
	a.evicted = 0
	return n
}
