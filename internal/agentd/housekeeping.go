package agentd

import (
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// updateState updates the state of the target and publishes changes to the control
// hosts.
func (d *Daemon) updateState(p *dataPlane) {
	backend := d.backend.snapshot(d.clock.now())
	verdict, reported := d.health.verdict()
	d.proxy.grantClient.updateLinks(d.deps.connected())
	stopping := d.stopping.Load()
	notServing := stopping || backend.draining || backend.expired
	goAwayShare := d.goAwayShare(p, stopping, backend.draining, verdict)
	d.applyConfig(p.self.serviceNumber, backend.slots)
	limiter := d.limiter.snapshot()
	load := health.LoadInput{
		Requests: float64(limiter.running + limiter.waiting), Slots: limiter.slots, ReportedRunning: reported,
	}
	state := &targetState{currentLoad: health.Load(load), draining: notServing, unhealthy: verdict.Ill}
	load.Requests = d.averageRequests(limiter)
	load.FlowCapacity = d.limits.flows
	p.lastInput.Store((*loadInput)(&load))
	before := p.currentState()
	p.state.Store(state)
	// Open sessions and the registration of the target remain: entry hosts learn of the
	// evacuation from the configuration.
	evacuated := d.directory.Evacuated(d.settings.GetHost().GetFailureDomain())
	p.updateDrain(notServing || evacuated, goAwayShare)
	d.logChange(before, *state, verdict) // logged only after it has taken effect
	if goAwayShare > 0 {
		p.sessions.closeIdle()
	}
	d.updateGauges(p, limiter, verdict)
	d.counters.backendAge.Update((d.clock.now() - backend.startTime).Seconds())
	d.publish(state, limiter.slots, backend.startTime)
}

// goAwayShare returns the share of callers to send GOAWAY.
func (d *Daemon) goAwayShare(p *dataPlane, stopping, draining bool, verdict health.Verdict) float64 {
	now, targets := d.clock.now(), d.directory.Targets()
	switch {
	case draining:
		return 1
	case stopping:
		return d.drainRamp.share(now, successor(p.self, targets), d.timing)
	default:
		policy := d.directory.Service(p.self.serviceNumber).GetPolicy()
		return d.shedRamp.share(now, shouldShed(verdict, p.self, targets, policy), d.timing)
	}
}

// averageRequests returns the average number of running and queued requests.
func (d *Daemon) averageRequests(stats limiterSnapshot) float64 {
	requests, over := stats.meanSince(d.lastSnapshot)
	d.lastSnapshot = stats
	d.requestsEWMA.Observe(requests, over)
	return d.requestsEWMA.Value()
}

func (d *Daemon) logChange(old, now targetState, verdict health.Verdict) {
	if old.draining != now.draining {
		d.log.Info("accepting new flows", zap.Bool("yes", !now.draining))
	}
	if old.unhealthy != now.unhealthy {
		d.log.Info("backend server health changed", zap.Bool("unhealthy", now.unhealthy), zap.Stringer("basis", verdict.Basis))
	}
}

// applyConfig applies slots and retry budget from the configuration. The smaller of
// the configured and the announced number of slots is used.
func (d *Daemon) applyConfig(service, announced uint32) {
	slots := announced
	config := d.directory.Service(service)
	if configured := config.GetSlots(); configured > 0 && (slots == 0 || configured < slots) {
		slots = configured
	}
	d.limiter.setLimits(d.limiterLimits(int(slots)))
	percent := config.GetPolicy().GetRetryPercent()
	if percent == 0 {
		percent = defaultRetryPercent
	}
	d.proxy.setRetryPercent(percent)
}

func (d *Daemon) updateGauges(p *dataPlane, stats limiterSnapshot, verdict health.Verdict) {
	d.counters.sessions.Update(float64(p.sessions.count()))
	d.counters.watches.Update(float64(d.proxy.watches.Load()))
	d.counters.running.Update(float64(stats.running))
	d.counters.waiting.Update(float64(stats.waiting))
	unhealthy := 0.0
	if verdict.Ill {
		unhealthy = 1
	}
	d.counters.unhealthy.Update(unhealthy)
}

// publish announces the target to the control hosts when its status has changed.
func (d *Daemon) publish(state *targetState, slots int, startTime time.Duration) {
	if startTime != d.started {
		d.started = startTime
		d.announcer.Restarted(d.clock.at(startTime))
	}
	status := subscriber.Status{State: stateOf(state.draining), Ill: state.unhealthy, Slots: uint32(slots)}
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
