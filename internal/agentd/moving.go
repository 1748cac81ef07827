package agentd

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

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
