package flow

import (
	"math"
	"slices"
	"time"
)

// Warmup limits the new flows of a target that has just started, as configured for its
// service. The agent enforces the limit for all entry hosts together.
type Warmup struct {
	// Until is when the target is warm.
	Until time.Duration
	// MaxFlows is the number of flows admitted within a second, 0 for no limit.
	MaxFlows int
}

const (
	// warmupWindow is the window of MaxFlows: a second and the jitter between agent and
	// target.
	warmupWindow = 1050 * time.Millisecond
	// firstRequestTimeout is how long the first request of a flow may take, lost
	// packets included: the caller retransmits after 200 ms, and after 600 ms.
	firstRequestTimeout = 2 * time.Second
)

// warmup counts recently admitted flows. A flow counts until warmupWindow after its first
// request, so that neither openings nor first requests exceed the limit in any second.
type warmup struct {
	Warmup
	admitted []admitted
	// checkedAt is when the limit was last checked.
	checkedAt time.Duration
	// incompleteUntil is when the count covers a full window since the agent's start.
	incompleteUntil time.Duration
}

// admitted is an admitted flow.
type admitted struct {
	flow       *agentFlow
	admittedAt time.Duration
	// requestedAt is when its first request arrived, 0 if none has.
	requestedAt time.Duration
}

// expired reports whether the flow no longer counts.
func (f *admitted) expired(now time.Duration) bool {
	switch {
	case f.requestedAt != 0:
		return now-f.requestedAt > warmupWindow
	case f.flow.stage == stageNotHeld || f.flow.callerDone:
		return now-f.admittedAt > warmupWindow
	}
	return now-f.admittedAt > firstRequestTimeout
}

// SetWarmup sets the end of the warmup and its limit.
func (a *Agent) SetWarmup(w Warmup) { a.warmup.Warmup = w }

// countFlow counts an admitted flow.
func (w *warmup) countFlow(f *agentFlow, now time.Duration) {
	w.removeExpired(now)
	if w.MaxFlows > 0 {
		w.admitted = append(w.admitted, admitted{flow: f, admittedAt: now})
	}
}

// startRequest records the first request of a flow.
func (w *warmup) startRequest(f *agentFlow, now time.Duration) {
	i := slices.IndexFunc(w.admitted, func(one admitted) bool { return one.flow == f })
	if i >= 0 {
		w.admitted[i].requestedAt = now
	}
}

func (w *warmup) removeExpired(now time.Duration) {
	w.admitted = slices.DeleteFunc(w.admitted, func(one admitted) bool { return one.expired(now) })
}

// active reports whether the target is warming up with a limit.
func (w *warmup) active(now time.Duration) bool { return w.MaxFlows > 0 && now < w.Until }

// refuse reports whether the limit allows no further flow now.
func (w *warmup) refuse(now time.Duration) bool {
	w.checkedAt = now
	if !w.active(now) {
		return false
	}
	if now < w.incompleteUntil {
		return true
	}
	w.removeExpired(now)
	return len(w.admitted) >= w.MaxFlows
}

// load returns the load to report for a warming target in thousandths, as of the last
// check: SaturatedLoad when the limit is reached, 0 for a warm target.
func (w *warmup) load() uint16 {
	if !w.active(w.checkedAt) {
		return 0
	}
	if w.refuse(w.checkedAt) {
		return SaturatedLoad
	}
	return uint16(len(w.admitted) * SaturatedLoad / w.MaxFlows)
}

// WarmupFlowLimit returns the limit for the requests a second that a service allows its
// warming targets, one per new flow, with an overshoot factor and an additional slack. 0
// means no limit.
func WarmupFlowLimit(perSecond, overshoot, slack float64) int {
	if perSecond <= 0 {
		return 0
	}
	limit := perSecond*max(overshoot, 1) + max(slack, 0)
	return int(max(math.Floor(min(limit, math.MaxInt32)), 1))
}
