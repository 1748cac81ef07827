package flow

import (
	"math"
	"time"

	"eelgrasswharf.example/eelgrasswharf/servicetime"
	"eelgrasswharf.example/eelgrasswharf/waitqueue"
)

const (
	// loadWindow is the averaging time of the requests in progress.
	loadWindow = 500 * time.Millisecond
	// openFlowLoad is the load of an open flow without a request, in thousandths of
	// one slot, where no route states anything: callers that keep a flow open send a request
	// of 30 ms on it every 3 s.
	openFlowLoad = 10
	// fullLoad is the load of a target whose slots are all in use, maxLoad the largest
	// that a frame carries.
	fullLoad = 1000
	maxLoad  = math.MaxUint16
	// overdueRequests bounds what one request counts that takes longer than expected, in
	// requests of the usual time: a slot whose request never ends counts as full, and the
	// other slots do not.
	overdueRequests = admitPerSlot
)

// work measures the service times of a target and the work that it has.
type work struct {
	times *servicetime.Estimator[Endpoint]
	queue servicetime.Queue
	// usual is the usual service time of the service as of the last sweep, 0 if unknown.
	usual time.Duration
	// openFlows is the expected work of open flows as of the last sweep, at sweptAt.
	openFlows time.Duration
	sweptAt   time.Duration
	// clock is the time of the last packet or sweep.
	clock time.Duration
}

func newWork(now time.Duration) work {
	return work{times: servicetime.NewEstimator[Endpoint](), sweptAt: now, clock: now}
}

// observe records the time.
func (w *work) observe(now time.Duration) { w.clock = max(w.clock, now) }

// Expected returns the expected service time of a request to a public address at this target.
func (a *Agent) Expected(public Endpoint) time.Duration { return a.work.times.Mean(public) }

// startRequest accounts for a request that is delivered to the target.
func (a *Agent) startRequest(f *agentFlow, p Packet, now time.Duration) {
	end := p.Seq + uint32(p.Length)
	if p.Length == 0 || f.dataSeen && int32(end-f.nextSeq) <= 0 {
		// No new data: a retransmission may arrive after the response.
		return
	}
	if !f.dataSeen {
		a.warmup.startRequest(f, now)
	}
	later := f.dataSeen
	f.dataSeen, f.nextSeq = true, end
	if f.running || f.targetDone {
		return
	}
	a.updateAverage(now)
	f.running, f.requestedAt = true, now
	a.running++
	if later {
		a.work.times.Later(p.Key.Public, now)
	}
	a.work.queue.Arrive(&f.request, a.Expected(p.Key.Public), a.server.Slots, now)
}

// finishRequest accounts for the first data of a response.
func (a *Agent) finishRequest(f *agentFlow, p Packet, now time.Duration) {
	if p.Length == 0 || !f.running {
		return
	}
	a.updateAverage(now)
	if d, known := a.work.queue.Finish(&f.request, a.server.Slots, now); known {
		a.work.times.Add(p.Key.Public, d, now)
	}
	a.endRequest(f)
}

func (a *Agent) endRequest(f *agentFlow) {
	if f.running {
		f.running = false
		a.running--
		a.work.queue.Abandon(&f.request, a.server.Slots, a.work.clock)
	}
}

// forgetRequests ends the requests at the target if another incarnation of it has started, which
// does not have them. Until a new one is registered its incarnation is zero.
func (a *Agent) forgetRequests(next Server) {
	if next.Incarnation == 0 || next.Incarnation == a.incarnation {
		return
	}
	if a.incarnation != 0 {
		for _, f := range a.flows {
			a.endRequest(f)
		}
		a.queue.expected = nil
	}
	a.incarnation = next.Incarnation
}

// updateAverage adds the time since the last update to the average.
func (a *Agent) updateAverage(now time.Duration) {
	a.work.observe(now)
	elapsed := now - a.averagedAt
	if elapsed <= 0 {
		return
	}
	a.averagedAt = now
	weight := min(float64(elapsed)/float64(loadWindow), 1)
	a.average += (float64(a.running) - a.average) * weight
}

// LoadFrame returns a Load frame with the current load.
func (a *Agent) LoadFrame() Frame {
	return Frame{
		Kind:         Load,
		Number:       a.server.Number,
		Incarnation:  a.server.Incarnation,
		LoadPermille: max(a.load(), a.warmup.load()),
		Draining:     a.server.State != Serving,
		Unhealthy:    a.server.Unhealthy,
		ReadsGroup:   true,
	}
}

// PeerLoadFrame returns a Load frame for another agent, with the load of the moment: it decides
// on the next openings, not on those until the next report. While the most urgent openings are
// refused the load is the largest one: what is handed on is refused too, whatever the load.
func (a *Agent) PeerLoadFrame() Frame {
	m := a.LoadFrame()
	m.LoadPermille = max(a.currentLoad(), a.warmup.load())
	if a.refusesAll(a.work.clock) {
		m.LoadPermille = maxLoad
	}
	return m
}

// refusesAll reports whether an opening of the most urgent route of the service would be
// refused now, or take the place of another one.
func (a *Agent) refusesAll(now time.Duration) bool {
	if !a.mostUrgent.Stated() || !a.busy(now) {
		return false
	}
	opening := waitqueue.Item[Key]{
		Class:     a.mostUrgent,
		QueuedAt:  now,
		SentAt:    now,
		Work:      a.waiting.mean,
		Refusable: true,
	}
	return !a.waiting.queue.HasRoom(opening, a.targetLoad(now), now)
}

// load returns the load of the target in thousandths of its slots. If no route of the service
// states anything, it is current or averaged requests in progress, queued openings and open
// flows. Otherwise it is the work that these are expected to be, where a request of the usual
// service time counts as one, so that targets of unequal speed compare.
func (a *Agent) load() uint16 { return a.loadAt(a.average) }

// currentLoad is load without the average of the requests in progress.
func (a *Agent) currentLoad() uint16 { return a.loadAt(0) }

func (a *Agent) loadAt(average float64) uint16 {
	slots := max(a.server.Slots, 1)
	if len(a.classes) == 0 {
		busy := max(float64(a.running), average) + float64(len(a.queue.openings))
		load := (busy*fullLoad + float64(a.activeFlows*openFlowLoad)) / float64(slots)
		return uint16(min(load, maxLoad))
	}
	w := &a.work
	mean, _ := w.times.Overall()
	usual := a.usualTime()
	overdue := w.queue.Overdue(overdueRequests*usual, w.clock)
	total := max(float64(w.queue.Expected()), average*float64(mean)) + float64(overdue+w.openFlows)
	total += float64(a.QueueLen()+a.queue.pendingRequests(w.clock)) * float64(mean)
	return uint16(min(total*fullLoad/float64(usual)/float64(slots), maxLoad))
}

// usualTime returns the usual service time of the service. While too few targets are known,
// it is that of the own target, with which the load is requests over slots.
func (a *Agent) usualTime() time.Duration {
	if a.work.usual > 0 {
		return a.work.usual
	}
	mean, _ := a.work.times.Overall()
	return max(mean, time.Microsecond)
}

// pace returns the service time of the own target as told to other agents.
func (a *Agent) pace() servicetime.Pace {
	mean, known := a.work.times.Overall()
	if !known {
		return 0
	}
	return servicetime.PaceOf(mean)
}

// sweepWork starts a new count of open flows. It returns the time since the last one.
func (a *Agent) sweepWork(now time.Duration) (elapsed time.Duration) {
	elapsed = max(now-a.work.sweptAt, 0)
	a.work.sweptAt = now
	a.work.times.AdvanceFlows(elapsed)
	a.work.usual = a.peerStates.usual(a.pace(), now)
	return elapsed
}

// AppendRegister encodes a Register frame of this agent.
func (a *Agent) AppendRegister(b []byte, keys []Key) []byte {
	m := Frame{Kind: Register, ReadsGroup: true, Pace: a.pace()}
	return appendKeys(m.Append(b), keys)
}
