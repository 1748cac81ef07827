package flowd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// Guards against an agent that forgets flows by a constant, whatever idle timeout the configuration
// states, and denies them.
func TestConfiguredIdleTimeout(t *testing.T) {
	is := is.New(t)
	a, _, _, _ := busyTestAgent(t)
	a.opts.Limits = Limits{Idle: 20 * time.Second, Age: time.Hour}
	a.idleTimeout = flow.NewIdleTimeout(a.opts.Limits.Idle, a.opts.Limits.Age)
	a.flows.MarkComplete(0)
	a.applied, a.serviceAgents, a.forwardTo = &subscriber.View{}, newAgentSet(), newAgentSet()
	state := func(revision uint64, ms uint32) {
		a.onView(&subscriber.View{Config: &configpb.Configuration{Version: revision, Table: &configpb.RouteTable{Revision: revision, IdleTimeoutMs: ms}}})
	}
	keep := func() time.Duration { return a.idleTimeout.Keep(a.now(), true) }
	state(1, 15_000)
	is.Equal(keep(), 20*time.Second)
	state(2, 45_000)
	is.Equal(keep(), 50*time.Second)
	idle := flow.Key{Caller: flow.Endpoint{IP: [4]byte{127, 0, 0, 1}, Port: 1}, Public: publicEndpoint}
	a.startedAt = a.startedAt.Add(-28 * time.Second)
	a.flows.Sweep(a.now(), keep(), a.opts.Limits.Age)
	notHeld, _ := a.flows.AnswerQuery([]flow.Key{idle}, a.now())
	is.Equal(len(notHeld), 0)
	a.startedAt = a.startedAt.Add(-28 * time.Second)
	a.sweepFlows(a.now()) // the configuration is not confirmed
	notHeld, _ = a.flows.AnswerQuery([]flow.Key{idle}, a.now())
	is.Equal(len(notHeld), 0)
	a.flows.Sweep(a.now(), keep(), a.opts.Limits.Age)
	notHeld, _ = a.flows.AnswerQuery([]flow.Key{idle}, a.now())
	is.Equal(len(notHeld), 1)
}
