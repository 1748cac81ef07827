package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

func TestCallersOfAStoppingAgentMoveToItsSuccessor(t *testing.T) {
	is := is.New(t)
	const began = time.Minute
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

	m := moving{began: began}
	is.Equal(m.share(began+timing.successorWait-1, nil, timing), 0.0)
	met := began + timing.successorWait - 1
	is.Equal(m.share(met, next, timing), 0.0)
	is.Equal(m.share(met+timing.moveSpan/2, next, timing), 0.5)
	is.Equal(m.share(met+timing.moveSpan/2, nil, timing), 0.5) // lost from sight
	is.Equal(m.share(met+time.Hour, next, timing), 1.0)

	alone := moving{began: began}
	is.Equal(alone.share(began+timing.successorWait, nil, timing), 1.0)
	leaving := moving{began: began}
	is.Equal(leaving.share(began, record(2, 4, draining), timing), 1.0)
}

// Callers are told by and by; those that are gone count as told.
func TestCallersAreToldByAndBy(t *testing.T) {
	is := is.New(t)
	const callers = 10
	s := newSessions(nil, newClock(), testTiming())
	for range callers {
		s.open[&session{}] = struct{}{}
	}
	told := 0
	for tenth := range callers + 1 {
		for _, one := range s.next(float64(tenth) / callers) {
			one.leaving.Store(true)
			delete(s.open, one)
			told++
		}
		is.Equal(told, tenth)
	}
}
