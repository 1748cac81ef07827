package flow

import "time"

// confirmation is as of when the services and targets that an entry host knows are known to have
// been the newest. A flow may have been opened by a host with a newer configuration, at a target
// that this one does not know yet. So it is reset only after a confirmation that began after its
// first packet arrived here, or after its agent was probed.
type confirmation struct {
	required bool
	// at is when the last confirmation began, 0 without one.
	at time.Duration
	// awaiting has the flows that would be reset if there was one.
	awaiting map[Key]bool
	// requested: one is needed for a flow whose agent does not answer.
	requested bool
}

// covers reports whether a flow whose search began at a time, 0 without one, may be reset.
func (c *confirmation) covers(since time.Duration) bool { return !c.required || since <= c.at }

func (c *confirmation) await(key Key) {
	if c.awaiting == nil {
		c.awaiting = make(map[Key]bool)
	}
	c.awaiting[key] = true
}

// request asks for a confirmation.
func (c *confirmation) request() { c.requested = c.required }

// RequireConfirmation lets no flow be reset before Confirm was called for it.
func (e *Entry) RequireConfirmation() { e.confirmation.required = true }

// AwaitsConfirmation reports whether flows wait for a confirmation.
func (e *Entry) AwaitsConfirmation() bool {
	return e.confirmation.requested || len(e.confirmation.awaiting) > 0
}

// ConfirmedReset is a flow that a confirmation lets be reset.
type ConfirmedReset struct {
	Verdict Verdict
	Packet  Packet
}

// Confirm records that what the placer knows was the newest at a time, and returns the flows that
// can be reset now.
func (e *Entry) Confirm(at, now time.Duration) []ConfirmedReset {
	e.confirmation.at = max(e.confirmation.at, at)
	e.confirmation.requested = false
	if !e.MayReset(now) {
		return nil
	}
	var out []ConfirmedReset
	for key := range e.confirmation.awaiting {
		f := e.flows[key]
		if f != nil && f.count == 0 && !e.confirmation.covers(f.searchedSince) {
			continue
		}
		delete(e.confirmation.awaiting, key)
		if f == nil || f.count > 0 {
			continue
		}
		if v, p := e.resetIfHeldByNone(f, key); v.Action == Reset {
			out = append(out, ConfirmedReset{Verdict: v, Packet: p})
		}
	}
	return out
}
