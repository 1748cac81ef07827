package flow

import (
	"math"
	"time"
)

const (
	// loadWindow is the time over which the requests in progress are averaged: a
	// few times what a request takes.
	loadWindow = 500 * time.Millisecond
	// flowPermille is what an open flow adds to the load of a target, in
	// thousandths of one slot: an idle one is a request to come. Callers that keep a
	// flow open for many requests send one every 3 s on it, of 30 ms each.
	flowPermille = 10
	// fullLoad is the load of a target whose slots are all taken, maxLoad the
	// largest that a frame carries. Targets far above their capacity still differ.
	fullLoad = 1000
	maxLoad  = math.MaxUint16
)

// request notes that a request goes to the target.
func (a *Agent) request(f *agentFlow, p Packet, now time.Duration) {
	end := p.Seq + uint32(p.Length)
	if p.Length == 0 || f.sent && int32(end-f.upTo) <= 0 {
		// Nothing new: a copy may come after the answer.
		return
	}
	if !f.sent {
		a.warmup.request(f, now)
	}
	f.sent, f.upTo = true, end
	if f.running || f.targetDone {
		return
	}
	a.advance(now)
	f.running, f.requested = true, now
	a.running++
}

// answer notes that the target answers a request: its first data do.
func (a *Agent) answer(f *agentFlow, p Packet, now time.Duration) {
	if p.Length == 0 || !f.running {
		return
	}
	a.advance(now)
	a.stop(f)
}

func (a *Agent) stop(f *agentFlow) {
	if f.running {
		f.running = false
		a.running--
	}
}

// advance takes the time since the last change into the average.
func (a *Agent) advance(now time.Duration) {
	elapsed := now - a.averagedAt
	if elapsed <= 0 {
		return
	}
	a.averagedAt = now
	share := min(float64(elapsed)/float64(loadWindow), 1)
	a.average += (float64(a.running) - a.average) * share
}

// LoadFrame returns a Load frame.
func (a *Agent) LoadFrame() Frame {
	return Frame{
		Kind:         Load,
		Number:       a.server.Number,
		Incarnation:  a.server.Incarnation,
		LoadPermille: max(a.load(), a.warmup.load()),
		Draining:     a.server.State != Serving,
		Unhealthy:    a.server.Unhealthy,
	}
}

// load returns the load of the target in thousandths of its slots: the requests in
// progress, now or lately, and a little for each open flow.
func (a *Agent) load() uint16 {
	slots := max(a.server.Slots, 1)
	busy := max(float64(a.running), a.average) + float64(len(a.queue.openings))
	load := (busy*fullLoad + float64(a.live*flowPermille)) / float64(slots)
	return uint16(min(load, maxLoad))
}
