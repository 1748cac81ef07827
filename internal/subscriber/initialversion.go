package subscriber

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// jitterShare is the maximum relative deviation, up and down.
const jitterShare = 0.2

// jitter randomizes a duration, so that processes do not act in sync.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*r.Float64()-1)))
}

// chooseInitialVersion activates the first version. Once there is an unconfirmed
// candidate, it queries all control hosts repeatedly until a version can be activated.
// Earlier replies would be of no use, and the queries of many processes that start
// together could overload the control hosts.
func (s *Subscriber) chooseInitialVersion(r *rand.Rand) {
	if !s.waitForCandidate() {
		return
	}
	interval := s.opts.QueryDelay
	for {
		_ = sleep.For(s.ctx, jitter(r, interval))
		if s.ctx.Err() != nil || s.initialVersionChosen() {
			return
		}
		s.recordVersions(s.queryVersions())
		s.applyUnconfirmed(time.Now())
		interval = min(2*interval, s.opts.RetryMax)
		interval = min(interval, max(s.unconfirmedDelayLeft(time.Now()), s.opts.QueryDelay))
	}
}

// waitForCandidate waits for the first configuration and reports whether it is not
// active yet.
func (s *Subscriber) waitForCandidate() bool {
	select {
	case <-s.candidate:
	case <-s.ctx.Done():
	}
	return s.ctx.Err() == nil && !s.initialVersionChosen()
}

func (s *Subscriber) initialVersionChosen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.ready()
}

// queryVersions queries the newest version of every reachable control host.
func (s *Subscriber) queryVersions() []hostVersion {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.QueryTimeout)
	defer cancel()
	s.counters.queryRounds.Inc(1)
	req := &controlpb.Request{Body: &controlpb.Request_Version{Version: &controlpb.VersionQuery{}}}
	var reported []hostVersion
	for _, result := range s.opts.Client.CallEach(ctx, req) {
		reply := result.Response.GetVersion()
		if result.Err != nil || reply == nil {
			s.counters.unansweredQueries.Inc(1)
			continue
		}
		reported = append(reported, hostVersion{
			address:   result.Address,
			version:   reply.GetVersion(),
			confirmed: reply.GetConfirmed(),
		})
	}
	return reported
}

func (s *Subscriber) recordVersions(reported []hostVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, newer := s.versions.recordVersions(reported)
	if changed {
		s.publish()
	}
	if newer != "" && newer != s.opts.Client.Address() {
		s.counters.movesToNewer.Inc(1)
		s.opts.Log.Info("moving to a control host with a newer version", zap.String("address", newer))
		s.requestMove(newer, errNewerElsewhere)
	}
}

func (s *Subscriber) applyUnconfirmed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions.ready() || !s.versions.activateUnconfirmed(now, s.opts.UnconfirmedDelay) {
		return
	}
	s.counters.unconfirmed.Inc(1)
	s.opts.Log.Warn("using a configuration version not confirmed by a quorum",
		zap.Uint64("version", s.versions.active.GetVersion()),
		zap.Duration("waited", s.opts.UnconfirmedDelay))
	s.publish()
}

// unconfirmedDelayLeft returns the time until the candidate may be activated
// unconfirmed.
func (s *Subscriber) unconfirmedDelayLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions.candidate == nil {
		return s.opts.RetryMax
	}
	return s.versions.candidateSince.Add(s.opts.UnconfirmedDelay).Sub(now)
}
