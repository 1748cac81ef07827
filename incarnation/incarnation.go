// Package incarnation puts the reports of a backend server in order. A backend
// server that starts again may have the name that it had, and reports that were
// delayed may arrive after its next life has begun: the start of a life orders
// lives, and a sequence number orders the reports of one life.
package incarnation

import "time"

// Instance names one life of a backend server.
type Instance struct {
	// ID is the name that it gives itself.
	ID string
	// StartedMS is the time of its start by its own clock, in milliseconds since
	// the Unix epoch, 0 if it does not tell. It is compared with other lives of the
	// same place only.
	StartedMS int64
}

// Report is what a backend server says of itself.
type Report struct {
	Instance Instance
	// Sequence grows with each report of a life.
	Sequence uint64
	// Draining: it takes no new flows.
	Draining bool
	// Stopped: it serves no more.
	Stopped bool
	// Slots is how many requests it runs at a time.
	Slots int
	// WarmupLeft is how much longer it is slow after its start.
	WarmupLeft time.Duration
}

// Result tells what a report is.
type Result string

// Verdicts.
const (
	// NewInstance report of a life that is newer than the one known.
	NewInstance Result = "first"
	// Update report of the life known.
	Update Result = "newer"
	// Stale report of the life known: a later one was taken in before.
	Stale Result = "late"
	// PreviousInstance life: a newer one has begun.
	PreviousInstance Result = "former_life"
	// StoppedInstance life: it said before that it is gone.
	StoppedInstance Result = "ended_life"
	// Unordered: the life known tells its start, this report does not.
	Unordered Result = "unordered"
)

const (
	// maxFormer bounds the former lives that are remembered.
	maxFormer = 16
	// revivedAfter is how many reports in a row, each newer than the one before, it
	// takes to believe that the life known is the former one: without a start to
	// order them, two lives that an observer hears of late can come in the wrong
	// order. A single delayed report does not suffice.
	revivedAfter = 2
)

// Tracker holds the newest life of the backend server at one place. The zero value
// knows of none.
type Tracker struct {
	known   bool
	current Report
	// former has the lives before that did not tell their start, oldest first.
	former []former
	// silent: the life known has not been heard of for long. earlier is the life with an
	// earlier start that has been heard since.
	silent  bool
	earlier Report
}

// former is a life that another one has succeeded.
type former struct {
	id string
	// sequence of its newest report, rising counts the newer ones since the last
	// report of the life known.
	sequence uint64
	rising   int
}

// Current returns the newest report, and whether there is one.
func (t *Tracker) Current() (Report, bool) { return t.current, t.known }

// MarkUnresponsive tells that the life known has not been heard of for so long that it may have
// ended. The time of day may have stepped back since it began.
func (t *Tracker) MarkUnresponsive() { t.silent, t.earlier = true, Report{} }

// Apply takes in a report, unless the verdict says that a newer one is known. A life
// that leaves does not return to service: a report that says otherwise was sent
// before, whatever its sequence number.
func (t *Tracker) Apply(r Report) Result {
	if !t.known {
		t.known, t.current = true, r
		return NewInstance
	}
	if r.Instance.StartedMS == 0 && t.current.Instance.StartedMS != 0 {
		return Unordered
	}
	if r.Instance != t.current.Instance {
		return t.another(r)
	}
	t.silent = false
	for i := range t.former {
		t.former[i].rising = 0
	}
	if t.current.Stopped {
		return StoppedInstance
	}
	if r.Sequence <= t.current.Sequence && !r.Stopped {
		return Stale
	}
	r.Draining = r.Draining || t.current.Draining
	r.Sequence = max(r.Sequence, t.current.Sequence)
	if r.Slots == 0 {
		r.Slots = t.current.Slots
	}
	t.current = r
	return Update
}

// another decides on a report of another life than the one known.
func (t *Tracker) another(r Report) Result {
	if !t.succeeds(r) {
		return PreviousInstance
	}
	if t.current.Instance.StartedMS == 0 {
		t.former = append(t.former, former{id: t.current.Instance.ID, sequence: t.current.Sequence})
		t.former = t.former[max(len(t.former)-maxFormer, 0):]
	}
	t.current = r
	t.silent = false
	return NewInstance
}

// succeeds reports whether a life is later than the one known. Of two that started
// in the same millisecond the one whose report came first stays, until it is gone.
func (t *Tracker) succeeds(r Report) bool {
	l, held := r.Instance, t.current.Instance
	if l.StartedMS < held.StartedMS {
		return t.silent && t.repeats(r)
	}
	if l.StartedMS > held.StartedMS {
		return true
	}
	if l.StartedMS != 0 {
		return t.current.Stopped
	}
	for i := range t.former {
		if t.former[i].id == l.ID {
			return t.revives(i, r)
		}
	}
	return !r.Stopped
}

// repeats reports whether a life with an earlier start than the silent one was heard
// before. One report may have been delayed.
func (t *Tracker) repeats(r Report) bool {
	again := t.earlier.Instance == r.Instance && r.Sequence > t.earlier.Sequence && !r.Stopped
	if t.earlier.Instance != r.Instance || again {
		t.earlier = r
	}
	return again
}

// revives reports whether a life that was held to be a former one is the present
// one after all. It is no longer remembered as a former one then.
func (t *Tracker) revives(i int, r Report) bool {
	f := &t.former[i]
	if r.Stopped || r.Sequence <= f.sequence {
		return false
	}
	f.sequence = r.Sequence
	f.rising++
	if f.rising < revivedAfter {
		return false
	}
	t.former = append(t.former[:i], t.former[i+1:]...)
	return true
}
