package subscriber

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// confirmRequest is a request for a confirmation. What the answer confirms was the newest when the
// request was sent, however long both take.
type confirmRequest struct {
	number uint64
	sentAt time.Time
	// confirmedAt is the latest time that was told to OnConfirmed.
	confirmedAt time.Time
}

// RequestConfirmation asks the control host to confirm by a quorum that the active version is the
// newest, which OnConfirmed tells.
func (s *Subscriber) RequestConfirmation() {
	select {
	case s.confirm <- struct{}{}:
	default:
	}
}

// newConfirmRequest returns the number of a request that is sent now.
func (s *Subscriber) newConfirmRequest(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.number++
	s.pending.sentAt = now
	return s.pending.number
}

// confirmedBy returns as of when a heartbeat confirms the active version, and whether that is later
// than before. One that answers no request, as those of earlier releases, may have taken as long
// as a subscription lasts on which nothing arrives. The caller holds mu.
func (s *Subscriber) confirmedBy(h *controlpb.Heartbeat, now time.Time) (at time.Time, confirmed bool) {
	if h == nil || !s.versions.ready() || h.GetVersion() != s.versions.active.GetVersion() {
		return time.Time{}, false
	}
	state := stateOf(h)
	switch {
	case h.GetConfirm() != 0 && h.GetConfirm() == s.pending.number:
		at = s.pending.sentAt
	case state.Confirmed:
		at = now.Add(-state.Age - s.opts.ReceiveTimeout)
	default:
		return time.Time{}, false
	}
	if !at.After(s.pending.confirmedAt) {
		return time.Time{}, false
	}
	s.pending.confirmedAt = at
	return at, true
}
