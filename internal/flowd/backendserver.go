package flowd

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/incarnation"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// HandleReport takes in a report of the backend server. When it returns, what the report
// says is in force here: no opening packet reaches one that leaves.
func (a *Agent) HandleReport(r incarnation.Report) incarnation.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, known := a.tracker.Current()
	verdict := a.tracker.Apply(r)
	if verdict != incarnation.NewInstance && verdict != incarnation.Update {
		a.opts.Log.Info("report passed over", zap.String("reason", string(verdict)),
			zap.String("server", r.Instance.ID), zap.Int64("started_ms", r.Instance.StartedMS), zap.Uint64("sequence", r.Sequence))
		return verdict
	}
	a.heardAt, a.ill = time.Now(), false
	current, _ := a.tracker.Current()
	a.noteWarmup(current.WarmupLeft)
	if verdict == incarnation.NewInstance || !known || before.Draining != current.Draining || before.Stopped != current.Stopped {
		a.opts.Log.Info("backend server", zap.String("server", current.Instance.ID), zap.Int64("started_ms", current.Instance.StartedMS),
			zap.Uint64("sequence", current.Sequence), zap.Bool("leaving", current.Draining), zap.Bool("gone", current.Stopped))
	}
	if current.Stopped && !before.Stopped {
		a.withdraw()
	}
	if verdict == incarnation.NewInstance {
		if known || a.startedBefore(r) {
			a.flows.MarkComplete(a.now())
		}
		a.announce(current)
	}
	a.refresh()
	return verdict
}

// withdraw tells the control hosts that the target is gone for good. The lock is
// held.
func (a *Agent) withdraw() {
	former := a.announcer
	if former == nil || a.ctx.Err() != nil {
		return
	}
	a.announcer = nil
	former.Update(subscriber.Status{State: controlpb.TargetState_TARGET_STATE_DRAINING})
	a.workers.Go(func() {
		if err := former.Unregister(a.ctx); err != nil {
			a.opts.Log.Info("target left registered", zap.Error(err))
		}
	})
}

// startedBefore reports whether this agent has started before the backend server that
// sends its first report. It has to be sure: an agent that takes flows of its target
// for none has their callers told that they are gone.
func (a *Agent) startedBefore(r incarnation.Report) bool {
	told := r.Instance.StartedMS != 0
	return r.Sequence <= newSequence && (!told || r.Instance.StartedMS >= a.began.UnixMilli())
}

// announce registers another life of the target. The lock is held.
func (a *Agent) announce(r incarnation.Report) {
	if a.announcer != nil {
		former := a.announcer
		a.workers.Go(former.Close)
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
		Process:       processOf(r.Instance),
		FailureDomain: a.opts.FailureDomain,
		Address:       a.frames.local().String(),
		Started:       coldStart(r.WarmupLeft),
		Status:        a.status(r),
		CallTimeout:   callTimeout,
		RetryMax:      retryMax,
	})
	a.announcer = announcer
	a.workers.Go(func() { a.awaitNumber(announcer) })
}

// processOf identifies a life of the backend server: an agent that starts again
// beside it gets the same registration.
func processOf(l incarnation.Instance) []byte {
	h := fnv.New128a()
	_, _ = h.Write([]byte(l.ID))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(l.StartedMS)))
	return h.Sum(nil)
}

// awaitNumber takes in the number of the target once it is registered.
func (a *Agent) awaitNumber(announcer *subscriber.Announcer) {
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
	a.refresh()
	if a.following == nil {
		a.following = subscriber.Start(subscriber.Options{
			Client:        a.client,
			Log:           a.opts.Log,
			Scope:         a.opts.Scope,
			FailureDomain: a.opts.FailureDomain,
			Services:      []uint32{announcer.Registration().GetServiceNumber()},
			ScopedConfig:  true,
			RetryMax:      retryMax,
			OnView:        a.onView,
		})
	}
}

// onView takes in the other targets of the service.
func (a *Agent) onView(v *subscriber.View) {
	own := flow.EndpointOf(a.frames.local())
	var peers, all []flow.Endpoint
	for _, record := range v.Targets {
		t, err := subscriber.TargetOf(record)
		if err != nil {
			continue // counted by entry hosts, which name it
		}
		agent := flow.EndpointOf(t.Address)
		all = append(all, agent)
		if t.Draining || t.Unhealthy || agent == own || v.Evacuated(record) {
			continue
		}
		peers = append(peers, agent)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flows.SetPeers(peers, all, own)
	a.warmup, a.told = warmupOf(v.Config, a.opts.Service), v.Config != nil
	a.boundWarmup()
	a.noteEvacuation(config.IsEvacuated(v.Config, a.opts.FailureDomain))
}

// warmupOf returns what a service states of its targets' start, nil if it states nothing.
func warmupOf(c *configpb.Configuration, service string) *configpb.Warmup {
	for _, s := range c.GetServices() {
		if s.GetName() == service {
			return s.GetWarmup()
		}
	}
	return nil
}

// noteWarmup takes in how much longer the backend server is slow. One whose failure domain
// was evacuated may have become so again without a start. The lock is held.
func (a *Agent) noteWarmup(left time.Duration) {
	before := a.warmAt
	a.warmAt = a.now() + left
	a.boundWarmup()
	if a.announcer != nil && left > 0 && a.warmAt > before+againMargin {
		a.announcer.Restarted(coldStart(left))
	}
}

// coldStart returns the cold start that the ramp of entry hosts is to begin at for a backend
// server that is slow for that much longer.
func coldStart(left time.Duration) time.Time { return time.Now().Add(left - rampMS*time.Millisecond) }

// boundWarmup brings the bound of a warming target into force. An agent that does not know
// yet what the service states keeps to what any may be given. The lock is held.
func (a *Agent) boundWarmup() {
	margin := a.opts.Warmup
	most := flow.WarmupFlowLimit(a.warmup.GetRequestsPerSecond(), margin.Overshoot, margin.Slack)
	if !a.told {
		most = max(int(margin.Slack), 1)
	}
	a.flows.SetWarmup(flow.Warmup{Until: a.warmAt, MaxFlows: most})
}

// noteEvacuation takes in whether the own failure domain takes new flows. The lock is held.
func (a *Agent) noteEvacuation(evacuated bool) {
	if a.evacuated == evacuated {
		return
	}
	a.evacuated = evacuated
	a.opts.Log.Info("failure domain", zap.String("failure_domain", a.opts.FailureDomain), zap.Bool("evacuated", evacuated))
	a.refresh()
}

func (a *Agent) status(r incarnation.Report) subscriber.Status {
	state := controlpb.TargetState_TARGET_STATE_SERVING
	if r.Draining || r.Stopped {
		state = controlpb.TargetState_TARGET_STATE_DRAINING
	}
	return subscriber.Status{State: state, Ill: a.ill, Slots: uint32(r.Slots)}
}

// refresh brings what is known of the backend server into force here and tells it
// to the control hosts. The lock is held.
func (a *Agent) refresh() {
	r, known := a.tracker.Current()
	s := flow.Server{Service: a.service, Slots: r.Slots, Unhealthy: a.ill, Evacuated: a.evacuated}
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
