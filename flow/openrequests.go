package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/waitqueue"
)

// maxRequestPackets bounds the packets of a waiting request: what a caller has in flight at
// most.
const maxRequestPackets = 16

// openRequest is a request on an open flow that waits beside the target.
type openRequest struct {
	// first is its first packet, seqs has the sequence numbers of all count packets.
	first Packet
	seqs  [maxRequestPackets]uint32
	count int
	// end is the sequence number after its last byte.
	end uint32
}

func (r *openRequest) has(seq uint32) bool {
	for _, s := range r.seqs[:r.count] {
		if s == seq {
			return true
		}
	}
	return false
}

// forget removes a packet that was added.
func (r *openRequest) forget(seq uint32) {
	for i, s := range r.seqs[:r.count] {
		if s == seq {
			r.count--
			r.seqs[i] = r.seqs[r.count]
			return
		}
	}
}

func (r *openRequest) add(p Packet) {
	r.seqs[r.count] = p.Seq
	r.count++
	if end := p.Seq + uint32(p.Length); int32(end-r.end) > 0 {
		r.end = end
	}
}

// holdRequest lets a packet of an open flow wait if it has new data and the target has its fill
// of requests, or if earlier data of the flow waits. It reports false for packets that are
// delivered at once: all but data, and retransmissions of what the target has. Nothing on an
// open flow is refused: a request that finds no room in the queue is delivered.
func (a *Agent) holdRequest(f *agentFlow, p Packet, now time.Duration) (Verdict, bool) {
	if r := a.waiting.requests[p.Key]; r != nil {
		return a.holdMore(f, r, p)
	}
	if !a.mustWait(f, p, now) {
		return Verdict{}, false
	}
	if reason, _ := a.add(a.item(p, f.group, now, now, false), now); reason != "" {
		return Verdict{}, false
	}
	r := a.waiting.newRequest()
	r.first, r.end = p, p.Seq
	r.add(p)
	a.waiting.requests[p.Key] = r
	return Verdict{Action: Wait, Reason: ReasonQueued}, true
}

// mustWait reports whether a packet is the first new data of the caller after an answer while
// the target has its fill. The first request of a flow has a place: it came with its opening.
func (a *Agent) mustWait(f *agentFlow, p Packet, now time.Duration) bool {
	s := a.server
	switch {
	case p.Length == 0 || p.Flags.Has(FIN) || p.Flags.Has(RST):
	case f.stage != stageOpened || !f.dataSeen || f.running || f.targetDone || f.callerDone:
	case int32(p.Seq+uint32(p.Length)-f.nextSeq) <= 0:
	case s.State != Serving || s.Evacuated || s.Unhealthy:
	case !a.classOf(p.Key).Stated():
	default:
		return a.busy(now)
	}
	return false
}

// holdMore handles a packet of a flow with a waiting request.
func (a *Agent) holdMore(f *agentFlow, r *openRequest, p Packet) (Verdict, bool) {
	switch {
	case p.Flags.Has(RST):
		a.waiting.remove(p.Key)
		return Verdict{}, false
	case p.Flags.Has(FIN):
		// The caller sends nothing else, and its data must not come after the end.
		a.waiting.due = append(a.waiting.due, p.Key)
		return Verdict{}, false
	case p.Length == 0 || int32(p.Seq+uint32(p.Length)-f.nextSeq) <= 0:
		return Verdict{}, false
	case r.has(p.Seq) || r.count == maxRequestPackets:
		return Verdict{Action: Drop, Reason: ReasonQueued}, true
	}
	r.add(p)
	return Verdict{Action: Wait, Reason: ReasonQueued}, true
}

func (w *waiting) newRequest() *openRequest {
	last := len(w.free) - 1
	if last < 0 {
		return &openRequest{}
	}
	r := w.free[last]
	w.free = w.free[:last]
	*r = openRequest{}
	return r
}

// releaseRequest delivers the packets of a waiting request in the order in which they arrived.
func (a *Agent) releaseRequest(it waitqueue.Item[Key], now time.Duration) (Verdict, Packet) {
	r := a.waiting.requests[it.Key]
	if r == nil {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{Key: it.Key}
	}
	p := r.first
	whole := p
	whole.Length = int(r.end - p.Seq)
	a.waiting.remove(it.Key)
	if f := a.flows[it.Key]; f != nil {
		a.startRequest(f, whole, now)
		if f.callerDone {
			a.endRequest(f)
		}
	}
	v := Verdict{Action: Deliver, Reason: ReasonAdmitted, UseCopy: true}
	v.Waiting.describe(&it, now)
	return v, p
}
