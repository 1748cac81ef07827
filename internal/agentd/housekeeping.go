package agentd

import (
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// check brings the state of the target up to date and tells the control hosts
// of each change.
func (d *Daemon) check(one *plane) {
	backend := d.backend.figures(d.clock.now())
	verdict, reported := d.health.verdict()
	d.proxy.once.checkLines(d.parts.linked())
	stopping := d.stopping.Load()
	leaving := stopping || backend.draining || backend.lapsed
	goAway := d.goAway(one, stopping, backend.draining, verdict)
	d.applyConfig(one.self.serviceNumber, backend.slots)
	gate := d.gate.figures()
	load := health.LoadInput{
		Requests: float64(gate.running + gate.waiting), Slots: gate.slots, ReportedRunning: reported,
	}
	state := &targetState{present: health.Load(load), draining: leaving, ill: verdict.Ill}
	load.Requests = d.averageRequests(gate)
	load.FlowCapacity = d.limits.flows
	one.basis.Store((*loadBasis)(&load))
	before := one.current()
	one.state.Store(state)
	// Open sessions stay, and so does the record of the target: entry hosts learn of an
	// evacuation from the configuration.
	evacuated := d.directory.Evacuated(d.settings.GetHost().GetFailureDomain())
	one.setLeaving(leaving || evacuated, goAway)
	d.logChange(before, *state, verdict) // what a line tells is in force already
	if goAway > 0 {
		one.sessions.closeIdle()
	}
	d.gauges(one, gate, verdict)
	d.counters.backendAge.Update((d.clock.now() - backend.since).Seconds())
	d.publish(state, gate.slots, backend.since)
}

// goAway returns the share of the callers that are told to go elsewhere.
func (d *Daemon) goAway(one *plane, stopping, draining bool, verdict health.Verdict) float64 {
	now, targets := d.clock.now(), d.directory.Targets()
	switch {
	case draining:
		return 1
	case stopping:
		return d.moving.share(now, successor(one.self, targets), d.timing)
	default:
		policy := d.directory.Service(one.self.serviceNumber).GetPolicy()
		return d.shedding.share(now, shouldShed(verdict, one.self, targets, policy), d.timing)
	}
}

// averageRequests returns the requests that run or wait on average.
func (d *Daemon) averageRequests(gate gateFigures) float64 {
	requests, over := gate.since(d.lastGate)
	d.lastGate = gate
	d.meter.Observe(requests, over)
	return d.meter.Value()
}

func (d *Daemon) logChange(old, now targetState, verdict health.Verdict) {
	if old.draining != now.draining {
		d.log.Info("taking new flows", zap.Bool("yes", !now.draining))
	}
	if old.ill != now.ill {
		d.log.Info("backend server", zap.Bool("ill", now.ill), zap.Stringer("basis", verdict.Basis))
	}
}

// applyConfig takes slots and retry budget from the configuration. The smaller
// of the configured and the announced number of slots holds.
func (d *Daemon) applyConfig(service, announced uint32) {
	slots := announced
	config := d.directory.Service(service)
	if configured := config.GetSlots(); configured > 0 && (slots == 0 || configured < slots) {
		slots = configured
	}
	d.gate.setLimits(d.gateLimits(int(slots)))
	percent := config.GetPolicy().GetRetryPercent()
	if percent == 0 {
		percent = defaultRetryPercent
	}
	d.proxy.setRetryPercent(percent)
}

func (d *Daemon) gauges(one *plane, gate gateFigures, verdict health.Verdict) {
	d.counters.sessions.Update(float64(one.sessions.count()))
	d.counters.watches.Update(float64(d.proxy.watches.Load()))
	d.counters.running.Update(float64(gate.running))
	d.counters.waiting.Update(float64(gate.waiting))
	ill := 0.0
	if verdict.Ill {
		ill = 1
	}
	d.counters.ill.Update(ill)
}

// publish tells the control hosts of the target when its status changed.
func (d *Daemon) publish(state *targetState, slots int, since time.Duration) {
	if since != d.started {
		d.started = since
		d.announcer.Restarted(d.clock.at(since))
	}
	status := subscriber.Status{State: stateOf(state.draining), Ill: state.ill, Slots: uint32(slots)}
	if status != d.status {
		d.status = status
		d.announcer.Update(status)
	}
}

func stateOf(draining bool) controlpb.TargetState {
	if draining {
		return controlpb.TargetState_TARGET_STATE_DRAINING
	}
	return controlpb.TargetState_TARGET_STATE_SERVING
}
