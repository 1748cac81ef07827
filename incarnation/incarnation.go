// Package incarnation orders the reports of a backend server. A restarted backend server
// may reuse its name, and delayed reports may arrive after the next instance has started.
// The start time orders instances, a sequence number the reports of one instance.
package incarnation

import "time"

// Instance identifies one run of a backend server process.
type Instance struct {
	// ID is the name that the backend server reports.
	ID string
	// StartedMS is the start time by its own clock in milliseconds since the Unix epoch,
	// 0 if unknown. It is only compared between instances that report to the same agent.
	StartedMS int64
}

// Report is the state that a backend server reports.
type Report struct {
	Instance Instance
	// Sequence grows with each report of an instance.
	Sequence uint64
	// Draining: it takes no new flows.
	Draining bool
	// Stopped: it has terminated.
	Stopped bool
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// WarmupLeft is the remaining warmup time.
	WarmupLeft time.Duration
}

// Result is how a report relates to the earlier ones.
type Result string

// Results.
const (
	// NewInstance: the first report of a newer instance.
	NewInstance Result = "first"
	// Update: a newer report of the current instance.
	Update Result = "newer"
	// Stale: an older or repeated report of the current instance, which changes nothing.
	Stale Result = "late"
	// Overtaken: an older report of the current instance that says that it drains, which a newer
	// one did not.
	Overtaken Result = "overtaken"
	// PreviousInstance: a report of an earlier instance.
	PreviousInstance Result = "former_life"
	// StoppedInstance: a report of the current instance after it has stopped.
	StoppedInstance Result = "ended_life"
	// Unordered: the start of the current instance is known, that of the report is not.
	Unordered Result = "unordered"
	// StopUnconfirmed: a notice, without its start, that the current instance has stopped,
	// which is draining. It may be a delayed one of an earlier instance of that name, see
	// ConfirmStop.
	StopUnconfirmed Result = "stop_unconfirmed"
)

// Taken reports whether what the report says is in effect, or is known and waits to be confirmed.
// The sender of any other report must not be told that it was taken.
func (r Result) Taken() bool {
	return r == NewInstance || r == Update || r == Stale || r == StopUnconfirmed
}

const (
	// maxPrevious bounds the previous instances that are remembered.
	maxPrevious = 16
	// reinstateAfter is how many consecutive newer reports make a previous instance the
	// current one. Without start times the first reports of two instances may arrive in
	// the wrong order, but a single report may be delayed.
	reinstateAfter = 2
)

// Tracker tracks the current instance of the backend server of one agent. The zero value
// has none.
type Tracker struct {
	known   bool
	current Report
	// previous has the previous instances without a known start, oldest first.
	previous []previous
	// unresponsive: the current instance has not reported for long. candidate is the last
	// report since then of an instance with an earlier start.
	unresponsive bool
	candidate    Report
	// stopPending: a notice that the current instance has stopped is not confirmed.
	stopPending bool
}

// previous is an instance that another one has replaced.
type previous struct {
	id string
	// sequence is that of its newest report, newerReports counts the newer ones since the
	// last report of the current instance.
	sequence     uint64
	newerReports int
}

// Current returns the newest report, and whether there is one.
func (t *Tracker) Current() (Report, bool) { return t.current, t.known }

// MarkUnresponsive records that the current instance has not reported for so long that it
// may have ended. An instance with an earlier start may then replace it, since the wall
// clock may have stepped back.
func (t *Tracker) MarkUnresponsive() { t.unresponsive, t.candidate = true, Report{} }

// Apply applies a report unless it is outdated. A draining instance does not return to
// service: it stays draining even if a later report does not say so.
func (t *Tracker) Apply(r Report) Result {
	if !t.known {
		t.known, t.current = true, r
		return NewInstance
	}
	if r.Instance.StartedMS == 0 && t.current.Instance.StartedMS != 0 {
		return t.applyUnordered(r)
	}
	if r.Instance != t.current.Instance {
		return t.applyOther(r)
	}
	t.unresponsive = false
	t.stopPending = false
	for i := range t.previous {
		t.previous[i].newerReports = 0
	}
	switch {
	case t.current.Stopped && r.Stopped:
		return Stale // repeated
	case t.current.Stopped:
		return StoppedInstance
	case r.Sequence <= t.current.Sequence && r.Draining && !r.Stopped && !t.current.Draining:
		return Overtaken
	case r.Sequence <= t.current.Sequence && !r.Stopped:
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

// applyUnordered applies a report whose start is unknown, while that of the current instance
// is known. Only a notice of the end of a draining instance counts: an instance drains before
// it stops.
func (t *Tracker) applyUnordered(r Report) Result {
	if !r.Stopped || r.Instance.ID != t.current.Instance.ID || !t.current.Draining || t.current.Stopped {
		return Unordered
	}
	t.stopPending = true
	return StopUnconfirmed
}

// ConfirmStop makes the current instance a stopped one if a notice of that is not confirmed
// yet, and reports whether it did. It is called once the instance has been silent for longer
// than between two reports, as any report of it shows that the notice was an earlier one's.
func (t *Tracker) ConfirmStop() bool {
	if !t.stopPending {
		return false
	}
	t.stopPending = false
	t.current.Stopped = true
	return true
}

// applyOther applies a report of an instance other than the current one.
func (t *Tracker) applyOther(r Report) Result {
	if !t.supersedes(r) {
		return PreviousInstance
	}
	if t.current.Instance.StartedMS == 0 {
		t.previous = append(t.previous, previous{id: t.current.Instance.ID, sequence: t.current.Sequence})
		t.previous = t.previous[max(len(t.previous)-maxPrevious, 0):]
	}
	t.current = r
	t.unresponsive = false
	t.stopPending = false
	return NewInstance
}

// supersedes reports whether the instance of a report is newer than the current one. Of two
// with the same start time the first one stays until it has stopped.
func (t *Tracker) supersedes(r Report) bool {
	next, known := r.Instance, t.current.Instance
	if next.StartedMS < known.StartedMS {
		return t.unresponsive && t.confirms(r)
	}
	if next.StartedMS > known.StartedMS {
		return true
	}
	if next.StartedMS != 0 {
		return t.current.Stopped
	}
	for i := range t.previous {
		if t.previous[i].id == next.ID {
			return t.reinstates(i, r)
		}
	}
	return !r.Stopped
}

// confirms reports whether this is the second report of an instance with an earlier start
// than the unresponsive one. A single report may be delayed.
func (t *Tracker) confirms(r Report) bool {
	confirmed := t.candidate.Instance == r.Instance && r.Sequence > t.candidate.Sequence && !r.Stopped
	if t.candidate.Instance != r.Instance || confirmed {
		t.candidate = r
	}
	return confirmed
}

// reinstates reports whether a previous instance is the current one after all, and removes
// it from the previous ones then.
func (t *Tracker) reinstates(i int, r Report) bool {
	p := &t.previous[i]
	if r.Stopped || r.Sequence <= p.sequence {
		return false
	}
	p.sequence = r.Sequence
	p.newerReports++
	if p.newerReports < reinstateAfter {
		return false
	}
	t.previous = append(t.previous[:i], t.previous[i+1:]...)
	return true
}
