package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/health"
)

func TestDrainRamp(t *testing.T) {
	is := is.New(t)
	const drainStart = time.Minute
	timing := defaultTiming()
	self := identity{serviceNumber: 1, number: 2, incarnation: 3}
	record := func(number, incarnation uint32, state controlpb.TargetState) *controlpb.TargetRecord {
		return &controlpb.TargetRecord{Service: 1, Number: number, Incarnation: incarnation, State: state}
	}
	const serving, draining = controlpb.TargetState_TARGET_STATE_SERVING, controlpb.TargetState_TARGET_STATE_DRAINING
	others := []*controlpb.TargetRecord{record(1, 9, serving), record(2, 3, draining), record(2, 2, serving)}
	is.True(successor(self, others) == nil)
	next := successor(self, append(others, record(2, 4, draining), record(2, 5, serving)))
	is.Equal(next.GetIncarnation(), uint32(5))

	r := drainRamp{drainStart: drainStart}
	is.Equal(r.share(drainStart+timing.successorTimeout-1, nil, timing), 0.0)
	seenAt := drainStart + timing.successorTimeout - 1
	is.Equal(r.share(seenAt, next, timing), 0.0)
	is.Equal(r.share(seenAt+timing.goAwayRamp/2, next, timing), 0.5)
	is.Equal(r.share(seenAt+timing.goAwayRamp/2, nil, timing), 0.5) // the successor is no longer known
	is.Equal(r.share(seenAt+time.Hour, next, timing), 1.0)

	alone := drainRamp{drainStart: drainStart}
	is.Equal(alone.share(drainStart+timing.successorTimeout, nil, timing), 1.0)
	stopping := drainRamp{drainStart: drainStart}
	is.Equal(stopping.share(drainStart, record(2, 4, draining), timing), 1.0)
}

// The number of callers that get GOAWAY rises with the share. Closed connections count.
func TestSelectForGoAwayIsGradual(t *testing.T) {
	is := is.New(t)
	const callers = 10
	s := newSessions(nil, newClock(), testTiming())
	for range callers {
		s.open[&session{}] = struct{}{}
	}
	selected := 0
	for tenth := range callers + 1 {
		for _, sess := range s.selectForGoAway(float64(tenth) / callers) {
			sess.draining.Store(true)
			delete(s.open, sess)
			selected++
		}
		is.Equal(selected, tenth)
	}
}

func TestShouldShed(t *testing.T) {
	self := identity{serviceNumber: 1, number: 1, incarnation: 1}
	const serving, draining = controlpb.TargetState_TARGET_STATE_SERVING, controlpb.TargetState_TARGET_STATE_DRAINING
	record := func(service, number uint32, state controlpb.TargetState, unhealthy bool) *controlpb.TargetRecord {
		return &controlpb.TargetRecord{Service: service, Number: number, Incarnation: 1, State: state, Ill: unhealthy}
	}
	allHealthy := []*controlpb.TargetRecord{record(1, 1, serving, false), record(1, 2, serving, false), record(1, 3, serving, false)}
	observed := health.Verdict{Ill: true, Basis: health.BasisObservation}
	for _, c := range []struct {
		name    string
		verdict health.Verdict
		records []*controlpb.TargetRecord
		percent uint32
		want    bool
	}{
		{"healthy", health.Verdict{Basis: health.BasisObservation}, allHealthy, 0, false},
		{"observed failures", observed, allHealthy, 0, true},
		{"reported unhealthy", health.Verdict{Ill: true, Basis: health.BasisReport}, allHealthy, 0, false},
		{"only target", observed, allHealthy[:1], 0, false},
		{"one of two", observed, allHealthy[:2], 0, false},
		{"one of two, panic at 60 %", observed, allHealthy[:2], 60, true},
		{"two of three", observed, append(allHealthy[:2:2], record(1, 3, serving, true)), 0, false},
		{"others drain", observed, append(allHealthy[:1:1], record(1, 2, draining, false), record(1, 3, draining, false)), 0, false},
		{"others are of another service", observed, append(allHealthy[:1:1], record(2, 2, serving, false), record(2, 3, serving, false)), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(shouldShed(c.verdict, self, c.records, &configpb.Policy{PanicPercent: c.percent}), c.want)
		})
	}
}

func TestShedRamp(t *testing.T) {
	is := is.New(t)
	const began = time.Minute
	timing := defaultTiming()
	var r shedRamp
	is.Equal(r.share(began, false, timing), 0.0)
	is.Equal(r.share(began, true, timing), 0.0)
	is.Equal(r.share(began+timing.goAwayRamp/2, true, timing), 0.5)
	is.Equal(r.share(began+time.Hour, true, timing), maxShedShare)
	is.Equal(r.share(began+time.Hour, false, timing), 0.0) // healthy again
	is.Equal(r.share(began+2*time.Hour, true, timing), 0.0)
}
