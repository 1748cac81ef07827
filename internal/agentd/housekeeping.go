package agentd

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/health"
)

// check brings the state of the target up to date and tells the control hosts
// of each change.
func (d *Daemon) check(one *plane) {
	backend := d.backend.figures(d.clock.now(), d.timing.announceLease)
	verdict, reported := d.health.verdict()
	stopping := d.stopping.Load()
	goAway := stopping || backend.draining
	leaving := goAway || backend.lapsed
	d.applyConfig(one.self.serviceNumber, backend.slots)
	gate := d.gate.figures()
	state := &targetState{
		load: health.Load(health.LoadInput{
			Running: gate.running, Waiting: gate.waiting, Slots: gate.slots, ReportedRunning: reported,
			Flows: one.sessions.count(), FlowCapacity: flowCapacity,
		}),
		draining: leaving,
		ill:      verdict.Ill,
	}
	d.logChange(one.current(), *state, verdict)
	one.state.Store(state)
	one.setLeaving(leaving, goAway)
	if goAway {
		one.sessions.closeIdle()
	}
	d.gauges(one, gate, verdict)
	d.publish(one.self, state, gate.slots, uint64(backend.age.Milliseconds()))
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
	config := d.parts.directory.Service(service)
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

// publish tells the control hosts of the target when its record changed. Its
// age is sent along but is no change: control hosts count on by themselves.
func (d *Daemon) publish(self identity, state *targetState, slots int, ageMS uint64) {
	record := &controlpb.TargetRecord{
		Service:       self.serviceNumber,
		Number:        self.number,
		Incarnation:   self.incarnation,
		Name:          self.target,
		FailureDomain: d.settings.GetHost().GetFailureDomain(),
		Address:       self.address.String(),
		State:         controlpb.TargetState_TARGET_STATE_SERVING,
		Slots:         uint32(slots),
		Ill:           state.ill,
	}
	if state.draining {
		record.State = controlpb.TargetState_TARGET_STATE_DRAINING
	}
	if d.published != nil && proto.Equal(d.published, record) {
		return
	}
	d.published = proto.CloneOf(record)
	d.sequence++
	record.Sequence = d.sequence
	record.AgeMs = ageMS
	d.parts.publisher.Publish(record)
}
