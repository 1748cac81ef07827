package flow

import (
	"math"
	"slices"
	"time"
)

// Warmup bounds the flows of a target that has just started, by what its service states.
// The bound holds for all entry hosts together, so the agent beside the target keeps it,
// whichever of them know of it.
type Warmup struct {
	// Until is when the target is warm.
	Until time.Duration
	// MaxFlows is how many flows it may be let in within a second, 0 if nothing bounds
	// them.
	MaxFlows int
}

const (
	// warmupSpan is the time in which MostFlows are let in: a second, and what the time
	// between agent and target may vary.
	warmupSpan = 1050 * time.Millisecond
	// firstRequestFor is how long the first request of a flow may take: its caller sends a
	// packet that was lost again after 200 ms, and after 600.
	firstRequestFor = 2 * time.Second
)

// warmup counts the flows that a target was let in lately. A flow counts from its opening
// until a span after its first request, so that neither the openings nor the first
// requests of any second are more than the bound.
type warmup struct {
	Warmup
	admitted []admitted
	// at is when the count was looked at last.
	at time.Duration
	// unknownUntil is when an agent that has just started knows what its target was let
	// in within the last span.
	unknownUntil time.Duration
}

// admitted is a flow that was let in.
type admitted struct {
	flow *agentFlow
	at   time.Duration
	// requested is when its first request came, 0 if none has.
	requested time.Duration
}

// over reports whether the flow counts no longer.
func (f *admitted) over(now time.Duration) bool {
	switch {
	case f.requested != 0:
		return now-f.requested > warmupSpan
	case f.flow.stage == absent || f.flow.callerDone:
		return now-f.at > warmupSpan
	}
	return now-f.at > firstRequestFor
}

// SetWarmup takes in whether the target is warming up, and the bound for that time.
func (a *Agent) SetWarmup(w Warmup) { a.warmup.Warmup = w }

// count notes that a flow is let in.
func (w *warmup) count(f *agentFlow, now time.Duration) {
	w.forget(now)
	if w.MaxFlows > 0 {
		w.admitted = append(w.admitted, admitted{flow: f, at: now})
	}
}

// request notes that the first request of a flow comes.
func (w *warmup) request(f *agentFlow, now time.Duration) {
	i := slices.IndexFunc(w.admitted, func(one admitted) bool { return one.flow == f })
	if i >= 0 {
		w.admitted[i].requested = now
	}
}

func (w *warmup) forget(now time.Duration) {
	w.admitted = slices.DeleteFunc(w.admitted, func(one admitted) bool { return one.over(now) })
}

// bounds reports whether the target is warming up under a bound.
func (w *warmup) bounds(now time.Duration) bool { return w.MaxFlows > 0 && now < w.Until }

// spent reports whether the target is warming up and is let in no more flows for now.
func (w *warmup) spent(now time.Duration) bool {
	w.at = now
	if !w.bounds(now) {
		return false
	}
	if now < w.unknownUntil {
		return true
	}
	w.forget(now)
	return len(w.admitted) >= w.MaxFlows
}

// load returns what a warming target is to be taken for by those who place flows, in
// thousandths, as of the last look: full once it is let in no more. It is 0 for one that is
// warm.
func (w *warmup) load() uint16 {
	if !w.bounds(w.at) {
		return 0
	}
	if w.spent(w.at) {
		return SaturatedLoad
	}
	return uint16(len(w.admitted) * SaturatedLoad / w.MaxFlows)
}

// WarmupFlowLimit returns the bound that follows from the requests a second that a
// service states for its warming targets, of which each flow brings one at once, and how
// far over that they may go: by a factor, and by a number beside it. It is 0, which bounds
// nothing, if the service states none.
func WarmupFlowLimit(perSecond, overshoot, slack float64) int {
	if perSecond <= 0 {
		return 0
	}
	most := perSecond*max(overshoot, 1) + max(slack, 0)
	return int(max(math.Floor(min(most, math.MaxInt32)), 1))
}
