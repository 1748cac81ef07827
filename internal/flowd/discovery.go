package flowd

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

const (
	// firstDialTimeout replaces dialTimeout until a process has had a link: QUIC sends the first
	// packet again after 0.2 s, so a control host without an answer by then was probably not
	// up yet when the first one arrived.
	firstDialTimeout = 200 * time.Millisecond
	// completeAfter is how long the list of agents has to stay unchanged to count as
	// complete if the control host does not report it as complete. Agents that start
	// together register within a second.
	completeAfter = 2 * time.Second
	// discoveryTime is how long a host that has just started waits for more targets
	// before it places flows: longer than control hosts take to propagate targets, 50 ms
	// to each other and 100 ms more to subscribers, and shorter than callers wait before
	// they retransmit an opening, 200 ms.
	discoveryTime = 180 * time.Millisecond
	// maxAwaitedShare is the part of the targets that may be missing when a host that has
	// just started places flows: the others get at most a sixteenth more than their share.
	maxAwaitedShare = 16
)

// discovering reports whether this host has just started and may not know all targets yet.
// Flows would all be placed on the first few that are known.
func (p *placer) discovering() bool {
	if p.view.DirectoryComplete || p.discovered {
		return false
	}
	waited := time.Since(p.firstTargetsAt) >= discoveryTime
	p.discovered = p.agents.len() > 0 && (waited || fewAwaited(p.view))
	return !p.discovered
}

// fewAwaited reports whether the control host has said that few or no targets are missing.
func fewAwaited(v *subscriber.View) bool {
	return v.AwaitedTargets != nil && int(*v.AwaitedTargets)*maxAwaitedShare <= len(v.Targets)
}

// complete reports whether the list of targets is complete. The lock is held.
func (p *placer) complete() bool {
	known := p.view.DirectoryComplete || p.view.TargetsRestarted
	return p.view.Connected && (known || time.Since(p.agentsChangedAt) > completeAfter)
}
