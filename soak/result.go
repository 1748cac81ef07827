package soak

import (
	"fmt"
	"sync"
	"time"
)

// Result is the result of a run.
type Result struct {
	Violations []Violation
	// Planned counts the faults of the plan, Faults those that were injected: the victims of
	// the others were busy.
	Planned, Faults int
	// Served, Opened, Resets and TimedOut count requests and flows, Changes and Reads
	// the successful calls of operators, ChangesTried and ReadsTried all of them.
	Served, Opened, Resets, TimedOut, Changes, Reads int64
	ChangesTried, ReadsTried                         int64
	// LastFailure describes the last valid change that was not acknowledged.
	LastFailure string
	// Recovery is the time from the end of the last fault to full service. Stop, Drain and
	// Start are the longest times that a process took to stop or to start, and a target
	// until its leaving was acknowledged.
	Recovery, Stop, Drain, Start time.Duration
}

// Missing describes each kind of event that the run had none of, and why. Such a run shows
// less than it seems to.
func (r *Result) Missing() []string {
	var out []string
	if r.Faults == 0 {
		out = append(out, fmt.Sprintf("no fault was injected, %d were planned", r.Planned))
	}
	if r.Served == 0 {
		out = append(out, fmt.Sprintf("no request was served: %d flows opened, %d requests timed out, %d were reset", r.Opened, r.TimedOut, r.Resets))
	}
	if r.Changes == 0 {
		out = append(out, fmt.Sprintf("no change was acknowledged: %d were tried, the last one: %s", r.ChangesTried, r.LastFailure))
	}
	if r.Reads == 0 {
		out = append(out, fmt.Sprintf("no read was confirmed, %d were tried", r.ReadsTried))
	}
	return out
}

func (r *run) result() *Result {
	return &Result{
		Violations:   r.checker.Violations(),
		Planned:      r.planned,
		Faults:       r.faults,
		Served:       r.counts.served.Load(),
		Opened:       r.counts.opened.Load(),
		Resets:       r.counts.resets.Load(),
		TimedOut:     r.counts.timedOut.Load(),
		Changes:      r.counts.changes.Load(),
		Reads:        r.counts.reads.Load(),
		ChangesTried: r.counts.changesTried.Load(),
		ReadsTried:   r.counts.readsTried.Load(),
		LastFailure:  r.counts.lastFailure(),
		Recovery:     r.recovery,
		Stop:         r.steps.stop,
		Drain:        r.steps.drain,
		Start:        r.steps.start,
	}
}

// steps has the longest time of each step of a fault that waits for the product.
type steps struct {
	mu                 sync.Mutex
	stop, drain, start time.Duration
}

// record stores the time since begun if it is the longest.
func (s *steps) record(longest *time.Duration, begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*longest = max(*longest, time.Since(begun))
}
