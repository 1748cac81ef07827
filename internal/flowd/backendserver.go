package flowd

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/incarnation"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/internal/targets"
)

// HandleReport applies a report of the backend server. The new state is effective when it
// returns: no opening is delivered to a draining backend server.
func (a *Agent) HandleReport(r incarnation.Report) incarnation.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, known := a.tracker.Current()
	result := a.tracker.Apply(r)
	if result == incarnation.StopUnconfirmed {
		a.opts.Log.Info("backend server has said that it stops, its start unknown", zap.String("server", r.Instance.ID))
		a.stopSaidAt = time.Now()
		return result
	}
	if result != incarnation.NewInstance && result != incarnation.Update {
		a.opts.Log.Info("report ignored", zap.String("reason", string(result)),
			zap.String("server", r.Instance.ID), zap.Int64("started_ms", r.Instance.StartedMS), zap.Uint64("sequence", r.Sequence))
		return result
	}
	a.lastSeen, a.unhealthy = time.Now(), false
	current, _ := a.tracker.Current()
	a.updateWarmup(current.WarmupLeft)
	if result == incarnation.NewInstance || !known || before.Draining != current.Draining || before.Stopped != current.Stopped {
		a.logState(current)
	}
	if current.Stopped && !before.Stopped {
		a.unregister()
	}
	if result == incarnation.NewInstance {
		a.announce(current)
	}
	a.refresh()
	return result
}

// confirmStop unregisters a backend server that has said that it stops and has not reported
// since. The lock is held.
func (a *Agent) confirmStop() {
	if !a.tracker.ConfirmStop() {
		return
	}
	current, _ := a.tracker.Current()
	a.logState(current)
	a.unregister()
	a.refresh()
}

func (a *Agent) logState(r incarnation.Report) {
	a.opts.Log.Info("backend server state changed", zap.String("server", r.Instance.ID), zap.Int64("started_ms", r.Instance.StartedMS),
		zap.Uint64("sequence", r.Sequence), zap.Bool("draining", r.Draining), zap.Bool("stopped", r.Stopped))
}

// unregister removes the stopped target from the directory. The lock is held.
func (a *Agent) unregister() {
	previous := a.announcer
	if previous == nil {
		return
	}
	a.announcer, a.stoppedTarget = nil, previous
	previous.Update(subscriber.Status{State: controlpb.TargetState_TARGET_STATE_DRAINING})
	if a.ctx.Err() != nil {
		return
	}
	a.workers.Go(func() { a.unregisterStopped(a.ctx, previous) })
}

// unregisterStopped removes the registration of a stopped target.
func (a *Agent) unregisterStopped(ctx context.Context, stopped *subscriber.Announcer) {
	if err := stopped.Unregister(ctx); err != nil {
		a.opts.Log.Info("failed to unregister target", zap.Error(err))
		return
	}
	a.opts.Log.Info("target unregistered", zap.Uint32("number", stopped.Registration().GetTargetNumber()))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stoppedTarget == stopped {
		a.stoppedTarget = nil
	}
}

// announce registers a new instance of the target. The lock is held.
func (a *Agent) announce(r incarnation.Report) {
	if a.announcer != nil {
		previous := a.announcer
		a.workers.Go(previous.Close)
	}
	if a.ctx.Err() != nil || r.Stopped {
		a.announcer = nil
		return
	}
	announcer := subscriber.StartAnnouncer(subscriber.AnnouncerOptions{
		Client:        a.client,
		Log:           a.opts.Log,
		Scope:         a.opts.Scope,
		Service:       a.opts.Service,
		CreateService: true,
		Target:        a.opts.Target,
		Process:       instanceID(r.Instance),
		FailureDomain: a.opts.FailureDomain,
		Address:       a.frames.local().String(),
		Started:       coldStart(r.WarmupLeft),
		Status:        a.status(r),
		FirstSequence: subscriber.SequenceAt(time.Now()),
		Capacity:      a.capacityState,
		CallTimeout:   callTimeout,
		RetryMax:      maxBackoff,
	})
	a.announcer = announcer
	a.workers.Go(func() { a.awaitRegistration(announcer) })
}

// instanceID returns the process ID to register an instance of the backend server with. It
// is the same after a restart of the agent, which then gets the same registration.
func instanceID(i incarnation.Instance) []byte {
	h := fnv.New128a()
	_, _ = h.Write([]byte(i.ID))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(i.StartedMS)))
	return h.Sum(nil)
}

// awaitRegistration applies the number of the target once it is registered.
func (a *Agent) awaitRegistration(announcer *subscriber.Announcer) {
	select {
	case <-announcer.Registered():
	case <-a.ctx.Done():
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announcer != announcer {
		return
	}
	if isFirst(announcer.Registration(), announcer.CreatedRegistration()) {
		a.flows.MarkComplete(a.now())
	}
	a.refresh()
	if a.subscription == nil {
		a.serviceNumber = announcer.Registration().GetServiceNumber()
		a.flows.SetServiceNumber(a.serviceNumber)
		a.subscription = subscriber.Start(subscriber.Options{
			Client:        a.client,
			Log:           a.opts.Log,
			Scope:         a.opts.Scope,
			FailureDomain: a.opts.FailureDomain,
			Services:      []uint32{a.serviceNumber},
			ScopedConfig:  true,
			RetryMax:      maxBackoff,
			OnView:        a.onView,
		})
	}
}

// isFirst reports whether a registration, created by this agent or not, proves that the backend
// server holds no flow that this agent has not seen: no process of this agent has registered one before, and without any no
// opening is delivered. Later incarnations prove less, since an earlier process may have
// delivered openings to a backend server whose first report it did not get. Neither do low
// sequence numbers nor the start time: reports get lost, and clocks step.
func isFirst(r *configpb.Registration, created bool) bool { return created && r.GetIncarnation() == 1 }

// onView applies changes of the targets of the service and of its configuration.
func (a *Agent) onView(v *subscriber.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyTargets(v)
	a.applyClasses(v.Config.GetTable())
	if v.Config.GetTable() != nil {
		a.idleTimeout.Set(time.Duration(v.Config.GetTable().GetIdleTimeoutMs())*time.Millisecond, a.now())
	}
	a.warmup, a.configKnown = warmupOf(v.Config, a.opts.Service), v.Config != nil
	a.applyWarmup()
	a.setEvacuated(config.IsEvacuated(v.Config, a.opts.FailureDomain))
}

// applyTargets applies changes of the targets of the service. The lock is held.
func (a *Agent) applyTargets(v *subscriber.View) {
	own := flow.EndpointOf(a.frames.local())
	deleted, put := targets.Diff(a.applied.Targets, v.Targets)
	// Records without a valid address are logged by entry hosts.
	change := a.serviceAgents.apply(deleted, put)
	if sameEvacuations(a.applied.Config, v.Config) {
		a.forwardTo.apply(acceptingNew(deleted, a.applied, own), acceptingNew(put, v, own))
	} else {
		a.forwardTo = newAgentSet()
		a.forwardTo.apply(nil, acceptingNew(v.Targets, v, own))
	}
	a.applied = v
	a.flows.ChangePeers(a.forwardTo.ofService(a.serviceNumber), own, change.added, change.removed)
}

// acceptingNew returns the records of targets that new flows may be forwarded to, without
// that of the own agent.
func acceptingNew(records []*controlpb.TargetRecord, v *subscriber.View, own flow.Endpoint) []*controlpb.TargetRecord {
	var out []*controlpb.TargetRecord
	for _, record := range records {
		t, err := subscriber.TargetOf(record)
		if err != nil || t.Draining || t.Unhealthy || flow.EndpointOf(t.Address) == own || v.Evacuated(record) {
			continue
		}
		out = append(out, record)
	}
	return out
}

// sameEvacuations reports whether two configurations have the same failure domains evacuated.
func sameEvacuations(a, b *configpb.Configuration) bool {
	return slices.EqualFunc(a.GetEvacuations(), b.GetEvacuations(), func(x, y *configpb.Evacuation) bool {
		return x.GetFailureDomain() == y.GetFailureDomain()
	})
}

// warmupOf returns the warmup configuration of a service, nil if there is none.
func warmupOf(c *configpb.Configuration, service string) *configpb.Warmup {
	for _, s := range c.GetServices() {
		if s.GetName() == service {
			return s.GetWarmup()
		}
	}
	return nil
}

// updateWarmup sets the remaining warmup time of the backend server. After an evacuation it
// may become cold again without a restart. The lock is held.
func (a *Agent) updateWarmup(left time.Duration) {
	before := a.warmUntil
	a.warmUntil = a.now() + left
	a.applyWarmup()
	if a.announcer != nil && left > 0 && a.warmUntil > before+rewarmMargin {
		a.announcer.Restarted(coldStart(left))
	}
}

// coldStart returns the start time to announce, so that the ramp of entry hosts ends after
// the remaining warmup time.
func coldStart(left time.Duration) time.Time { return time.Now().Add(left - rampMS*time.Millisecond) }

// applyWarmup sets the limit of a warming target, the smallest one until the configuration
// is known. The lock is held.
func (a *Agent) applyWarmup() {
	margin := a.opts.Warmup
	limit := flow.WarmupFlowLimit(a.warmup.GetRequestsPerSecond(), margin.Overshoot, margin.Slack)
	if !a.configKnown {
		limit = max(int(margin.Slack), 1)
	}
	a.flows.SetWarmup(flow.Warmup{Until: a.warmUntil, MaxFlows: limit})
}

// setEvacuated sets whether the own failure domain is evacuated. The lock is held.
func (a *Agent) setEvacuated(evacuated bool) {
	if a.evacuated == evacuated {
		return
	}
	a.evacuated = evacuated
	a.opts.Log.Info("failure domain evacuation changed", zap.String("failure_domain", a.opts.FailureDomain), zap.Bool("evacuated", evacuated))
	a.refresh()
}

func (a *Agent) status(r incarnation.Report) subscriber.Status {
	state := controlpb.TargetState_TARGET_STATE_SERVING
	if r.Draining || r.Stopped {
		state = controlpb.TargetState_TARGET_STATE_DRAINING
	}
	return subscriber.Status{State: state, Ill: a.unhealthy, Slots: uint32(r.Slots)}
}

// countRefusal counts an opening that is refused for lack of capacity. Reading the clock is
// left to the few verdicts that may be one. The lock is held.
func (a *Agent) countRefusal(v *flow.Verdict, key flow.Key) {
	if v.Action == flow.Return {
		a.flows.CountRefusal(v, key, a.now())
	}
}

// capacityState returns the state to announce of the target's capacity.
func (a *Agent) capacityState() *controlpb.CapacityState {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	return subscriber.NewCapacityState(a.flows.CapacityState(now), now, uint32(a.flows.LoadFrame().LoadPermille))
}

// refresh applies the state of the backend server and reports it to the control hosts. The
// lock is held.
func (a *Agent) refresh() {
	r, known := a.tracker.Current()
	s := flow.Server{Service: a.service, Slots: r.Slots, Unhealthy: a.unhealthy, Evacuated: a.evacuated}
	switch {
	case !known || r.Stopped:
		s.State = flow.Absent
	case r.Draining:
		s.State = flow.Draining
	default:
		s.State = flow.Serving
	}
	if a.announcer != nil {
		registration := a.announcer.Registration()
		s.Number, s.Incarnation = registration.GetTargetNumber(), registration.GetIncarnation()
		a.announcer.Update(a.status(r))
	}
	a.flows.SetServer(s)
}
