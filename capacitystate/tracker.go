package capacitystate

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/qos"
)

const (
	// waitingLimit is how long openings have to wait without interruption for the target to
	// count as overloaded. It is the time that a caller's attempt takes without an answer:
	// throughout it, the target had more than its slots take.
	waitingLimit = 1400 * time.Millisecond
	// ClearAfter is how long after the last refusal or wait a target is no longer overloaded.
	// A refused caller opens its next attempt within 0.1 s and waits at most 1.4 s for it, so
	// that shorter pauses belong to the same shortage. It also exceeds the 3.6 s between two
	// announcements of an agent, so that each overload is in one of them.
	ClearAfter = 5 * time.Second
	// Groups is the number of groups of priorities that refusals are counted by: 0 to 3, and
	// one for all others and for routes that state neither an objective nor a timeout.
	Groups = 5
)

// GroupNames are the names of the groups.
var GroupNames = [Groups]string{"0", "1", "2", "3", "other"}

// Refused counts refused openings by group of priorities.
type Refused [Groups]uint64

// groupOf returns the group of a class.
func groupOf(c qos.Class) int {
	if !c.Stated() || c.Priority >= Groups {
		return Groups - 1
	}
	return int(c.Priority)
}

// State is the state of a target at one time. Since and Refused are zero unless it is
// overloaded.
type State struct {
	Overloaded bool
	// Since is when the overload began.
	Since time.Duration
	// Refused counts the openings refused since then.
	Refused Refused
}

// Tracker keeps the state of one target. The zero value is a target that is not overloaded.
type Tracker struct {
	// waiting: openings wait, since waitingSince.
	waiting      bool
	waitingSince time.Duration
	// state is that of lastEvidence, the time of the last refusal or excessive wait.
	state        State
	lastEvidence time.Duration
}

// Observe records whether openings wait now. Call it after each change, and every few
// milliseconds while openings wait.
func (t *Tracker) Observe(now time.Duration, waiting bool) {
	if !waiting {
		t.waiting = false
		return
	}
	if !t.waiting {
		t.waiting, t.waitingSince = true, now
	}
	if now-t.waitingSince >= waitingLimit {
		t.recordEvidence(t.waitingSince, now)
	}
}

// Refuse records that an opening of a class is refused for lack of capacity now.
func (t *Tracker) Refuse(now time.Duration, class qos.Class) {
	since := now
	if t.waiting {
		since = t.waitingSince
	}
	t.recordEvidence(since, now)
	t.state.Refused[groupOf(class)]++
}

// recordEvidence records that the target has been overloaded since a time. It continues the
// current overload unless that has ended.
func (t *Tracker) recordEvidence(since, now time.Duration) {
	if !t.State(now).Overloaded {
		t.state = State{Overloaded: true, Since: since}
	}
	t.lastEvidence = now
}

// State returns the state at a time.
func (t *Tracker) State(now time.Duration) State {
	if !t.state.Overloaded || now-t.lastEvidence >= ClearAfter {
		return State{}
	}
	return t.state
}
