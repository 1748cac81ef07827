package membership

import "time"

// ReturnTime is how long after the start of all control hosts an agent that has been running
// all the time may need until it has announced its target again. Agents of packet flows send a
// heartbeat at least every 1.2 s, which a restarted host refuses at once; connecting and
// announcing again take 0.1 s more.
const ReturnTime = 1400 * time.Millisecond

// maxAddedShare is the part of the registered targets that may be new ones while the others
// tell how many are missing.
const maxAddedShare = 16

// RegisteredTarget is a registered target as a control host that has just started sees it.
type RegisteredTarget struct {
	// Present: the directory has a record of this incarnation or of a later one.
	Present bool
	// Leaving: this incarnation is known to be draining.
	Leaving bool
	// Recent: it was registered in the current term of a group whose members have all
	// started lately.
	Recent bool
	// First: it is the first incarnation of its target.
	First bool
}

// Restart summarizes the registered targets after a start of control hosts. The zero value
// has none.
type Restart struct {
	awaited, restarted int
	// total and added are the numbers of all targets and of those that did not exist before
	// the current term.
	total, added int
	// mayRun: a target that has not restarted runs, or may run.
	mayRun bool
}

// Add adds a registered target.
func (r *Restart) Add(t RegisteredTarget) {
	r.total++
	if t.Recent && t.First {
		r.added++
	}
	switch {
	case t.Present && t.Recent:
		r.restarted++
	case t.Present:
		// A target that has run all the time shows that others may, too.
		r.mayRun = true
	case !t.Leaving:
		r.awaited++
	case t.Recent:
		// It has started since, drains already and may be late.
		r.mayRun = true
	}
}

// Awaited returns the number of targets that may take new flows and are missing. It is not
// known while a deployment starts for the first time or under other names: the registrations
// do not tell then how many targets will come.
func (r *Restart) Awaited() (missing int, known bool) {
	return r.awaited, r.total > 0 && r.added*maxAddedShare <= r.total
}

// Complete reports whether every target that may hold flows is in the directory: all that
// were not leaving have started since the control hosts have, so the missing ones, which
// were leaving, have ended in the same loss. There has to be a restarted target at least.
func (r *Restart) Complete() bool { return r.restarted > 0 && r.awaited == 0 && !r.mayRun }

// maxRestartStep is how much of ReturnTime one check may count: three periods of 20 ms. A longer
// gap between two checks means that this host stood still and took no announcements meanwhile.
const maxRestartStep = 60 * time.Millisecond

// RestartTracker decides whether all control hosts have started lately and for long enough.
// The zero value is ready for use.
type RestartTracker struct {
	known bool
	// updatedAt is the last check, counted the part of ReturnTime that has passed.
	updatedAt, counted time.Duration
	// returnedAt is when ReturnTime had passed, valid if counted says so.
	returnedAt time.Duration
}

// Update records whether this host and all other members of the group are known to have
// started within a lease. Time in which this host stood still does not count.
func (t *RestartTracker) Update(now time.Duration, allStarting bool) {
	switch {
	case !allStarting || !t.known:
		t.counted = 0
	case t.counted < ReturnTime:
		t.counted += min(now-t.updatedAt, maxRestartStep)
		t.returnedAt = now
	}
	t.known, t.updatedAt = allStarting, now
}

// Settled reports whether agents that run have had time to announce their targets again, and
// this host has what was announced until then. confirmedAt is the start of the last read that a
// quorum has confirmed: the leader of an earlier term leads no more, and all leaves proposed
// before are applied. heardAt is when the last of the other members was known to have the same
// targets as this host has of it: one that went silent may have others.
func (t *RestartTracker) Settled(confirmedAt, heardAt time.Duration) bool {
	return t.known && t.counted >= ReturnTime && confirmedAt >= t.returnedAt && heardAt >= t.returnedAt
}
