package agentd

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// maxShed is the greatest share of the callers that an ill target sends away.
// It is below 1, from which new connections would be refused their requests:
// whoever still begins here has nowhere else to go.
const maxShed = 0.99

// moving decides which share of the callers of a stopping agent are told to go
// elsewhere. They stay until another process of the same target takes flows, so
// that the other targets need not carry them in between, and then go one after
// another, so that entry hosts see the loads change.
type moving struct {
	// began is the start of the stop, met the time from which the successor is
	// known.
	began, met time.Duration
	knows      bool
}

// share returns the share, from 0 to 1, of the callers that are told by now.
// successor is the record of the newest other process of the target, nil
// without one.
func (m *moving) share(now time.Duration, successor *controlpb.TargetRecord, t timing) float64 {
	if successor != nil && !m.knows {
		m.knows = true
		m.met = now
	}
	switch {
	case successor.GetState() == controlpb.TargetState_TARGET_STATE_DRAINING:
		return 1 // the backend server leaves
	case m.knows:
		return min(float64(now-m.met)/float64(t.moveSpan), 1)
	case now-m.began >= t.successorWait:
		return 1
	default:
		return 0
	}
}

// successor returns the record of the newest process that took the place of
// this one, nil if none is known.
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

// shedding decides which share of the callers of an ill target are told to send
// their next requests elsewhere: one after another, so that the others see the
// loads change, and a short illness moves few.
type shedding struct {
	since time.Duration
	began bool
}

// share returns the share, from 0 to maxShed, of the callers that are told by
// now. sheds is the verdict of shouldShed.
func (s *shedding) share(now time.Duration, sheds bool, t timing) float64 {
	if !sheds {
		s.began = false
		return 0
	}
	if !s.began {
		s.began = true
		s.since = now
	}
	return min(float64(now-s.since)/float64(t.moveSpan), maxShed)
}

// shouldShed reports whether the callers of this target would fare better
// elsewhere: the agent itself saw the backend server fail, and not so many targets
// of the service look ill that the signal is more likely wrong. What the backend
// server only reports of itself moves nobody.
func shouldShed(verdict health.Verdict, self identity, records []*controlpb.TargetRecord, policy *configpb.Policy) bool {
	if !verdict.Ill || verdict.Basis != health.BasisObservation {
		return false
	}
	ill, all := 1, 1
	for _, r := range records {
		other := r.GetService() == self.serviceNumber && r.GetNumber() != self.number
		if !other || r.GetState() != controlpb.TargetState_TARGET_STATE_SERVING {
			continue
		}
		all++
		if r.GetIll() {
			ill++
		}
	}
	return !routing.InPanicMode(policy, ill, all)
}
