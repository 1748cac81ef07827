package agentd

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// maxShedShare is the greatest share of the callers that an unhealthy target sends
// away. It is below 1 because at 1 new connections get GOAWAY too, and their callers
// have no other target.
const maxShedShare = 0.99

// drainRamp determines the share of callers that get GOAWAY while the agent stops. It
// stays at 0 until a successor process of the target serves, so that other targets
// need not take the load, and then rises gradually, so that entry hosts can follow
// the load.
type drainRamp struct {
	// successorSeen is the time at which the successor was first known.
	drainStart, successorSeen time.Duration
	hasSuccessor              bool
}

// share returns the share, from 0 to 1, of callers to send GOAWAY so far. successor
// is the record of the newest other process of the target, nil without one.
func (r *drainRamp) share(now time.Duration, successor *controlpb.TargetRecord, t timing) float64 {
	if successor != nil && !r.hasSuccessor {
		r.hasSuccessor = true
		r.successorSeen = now
	}
	switch {
	case successor.GetState() == controlpb.TargetState_TARGET_STATE_DRAINING:
		return 1 // the backend server drains too
	case r.hasSuccessor:
		return min(float64(now-r.successorSeen)/float64(t.goAwayRamp), 1)
	case now-r.drainStart >= t.successorTimeout:
		return 1
	default:
		return 0
	}
}

// successor returns the record of the newest process that replaces this one, nil if
// none is known.
func successor(self identity, records []*controlpb.TargetRecord) *controlpb.TargetRecord {
	var newest *controlpb.TargetRecord
	for _, r := range records {
		same := r.GetService() == self.serviceNumber && r.GetNumber() == self.number
		if same && r.GetIncarnation() > max(self.incarnation, newest.GetIncarnation()) {
			newest = r
		}
	}
	return newest
}

// shedRamp determines the share of callers that get GOAWAY while the target is
// unhealthy. It rises gradually, so that entry hosts can follow the load and a short
// failure moves few callers.
type shedRamp struct {
	unhealthySince time.Duration
	active         bool
}

// share returns the share, from 0 to maxShedShare, of callers to send GOAWAY so far.
// shed is the result of shouldShed.
func (r *shedRamp) share(now time.Duration, shed bool, t timing) float64 {
	if !shed {
		r.active = false
		return 0
	}
	if !r.active {
		r.active = true
		r.unhealthySince = now
	}
	return min(float64(now-r.unhealthySince)/float64(t.goAwayRamp), maxShedShare)
}

// shouldShed reports whether an unhealthy target should send its callers away: only
// if the agent itself observed failures, and not while so many targets of the service
// are unhealthy that the signal is likely wrong.
func shouldShed(verdict health.Verdict, self identity, records []*controlpb.TargetRecord, policy *configpb.Policy) bool {
	if !verdict.Ill || verdict.Basis != health.BasisObservation {
		return false
	}
	unhealthy, total := 1, 1
	for _, r := range records {
		other := r.GetService() == self.serviceNumber && r.GetNumber() != self.number
		if !other || r.GetState() != controlpb.TargetState_TARGET_STATE_SERVING {
			continue
		}
		total++
		if r.GetIll() {
			unhealthy++
		}
	}
	return !routing.InPanicMode(policy, unhealthy, total)
}
