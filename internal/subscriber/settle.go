package subscriber

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// jitterShare is how far a period is varied, up and down.
const jitterShare = 0.2

// jitter varies a duration, so that many processes do not act together.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*r.Float64()-1)))
}

// settle brings a process that has just started to its first version: once it
// holds one that no quorum has confirmed, it asks every control host, round by
// round, until there is one to act on.
//
// It does not ask before. It could not act on the answers, and when many
// processes come at once the answers are late just because of the load, which
// a handshake with every control host for each process would multiply.
func (s *Subscriber) settle(r *rand.Rand) {
	if !s.awaitCandidate() {
		return
	}
	pause := s.opts.QueryDelay
	for {
		_ = sleep.For(s.ctx, jitter(r, pause))
		if s.ctx.Err() != nil || s.settled() {
			return
		}
		s.learn(s.ask())
		s.actUnconfirmed(time.Now())
		pause = min(2*pause, s.opts.RetryMax)
		pause = min(pause, max(s.untilUnconfirmed(time.Now()), s.opts.QueryDelay))
	}
}

// awaitCandidate waits for a first configuration. It reports whether there is
// one that is not acted on yet.
func (s *Subscriber) awaitCandidate() bool {
	select {
	case <-s.candidate:
	case <-s.ctx.Done():
	}
	return s.ctx.Err() == nil && !s.settled()
}

func (s *Subscriber) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.ready()
}

// ask queries the newest version of every control host that can be reached.
func (s *Subscriber) ask() []answer {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.QueryTimeout)
	defer cancel()
	s.counters.asked.Inc(1)
	req := &controlpb.Request{Body: &controlpb.Request_Version{Version: &controlpb.VersionQuery{}}}
	var answers []answer
	for _, a := range s.opts.Client.CallEach(ctx, req) {
		reply := a.Response.GetVersion()
		if a.Err != nil || reply == nil {
			s.counters.unansweredQueries.Inc(1)
			continue
		}
		answers = append(answers, answer{
			address:   a.Address,
			version:   reply.GetVersion(),
			confirmed: reply.GetConfirmed(),
		})
	}
	return answers
}

func (s *Subscriber) learn(answers []answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, newer := s.versions.learn(answers)
	if changed {
		s.publish()
	}
	if newer != "" && newer != s.opts.Client.Address() {
		s.counters.moved.Inc(1)
		s.opts.Log.Info("moving to a control host that knows more", zap.String("address", newer))
		s.opts.Client.Move(newer)
	}
}

func (s *Subscriber) actUnconfirmed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions.ready() || !s.versions.settleUnconfirmed(now, s.opts.UnconfirmedDelay) {
		return
	}
	s.counters.unconfirmed.Inc(1)
	s.opts.Log.Warn("no quorum confirmed the first version",
		zap.Uint64("version", s.versions.acted.GetVersion()),
		zap.Duration("waited", s.opts.UnconfirmedDelay))
	s.publish()
}

// untilUnconfirmed returns how long the candidate has to wait still.
func (s *Subscriber) untilUnconfirmed(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions.candidate == nil {
		return s.opts.RetryMax
	}
	return s.versions.candidateSince.Add(s.opts.UnconfirmedDelay).Sub(now)
}
