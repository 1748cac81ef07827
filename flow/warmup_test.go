package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// warming returns an agent, long started, whose target is warming up from time begin on for
// four seconds and may be let in some flows a second.
func warming(most int, begin time.Duration) *flow.Agent {
	a := newAgent(serving())
	a.SetWarmup(flow.Warmup{Until: begin + 4*time.Second, MaxFlows: most})
	return a
}

const longAfterStart = time.Minute

func TestWarmingTargetIsLetInWhatItBears(t *testing.T) {
	is := is.New(t)
	a := warming(2, longAfterStart)
	a.SetPeers([]flow.Endpoint{agentB}, []flow.Endpoint{agentA, agentB}, agentA)
	now := longAfterStart
	is.Equal(a.FromEntry(open(entryA), syn(1), now).Action, flow.Deliver)
	is.Equal(a.FromEntry(open(entryA), syn(2), now).Action, flow.Deliver)
	is.Equal(a.LoadFrame().LoadPermille, uint16(flow.SaturatedLoad)) // entry hosts take it for full

	v := a.FromEntry(open(entryA), syn(3), now)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.Reason, flow.ReasonWarmingUp)
	is.Equal(v.To, agentB)

	handedOn := open(entryA)
	handedOn.Hops = 3
	is.Equal(a.FromEntry(handedOn, syn(4), now).Action, flow.Wait) // nobody else takes it
	nothing(t, a, now+400*millisecond)

	a.FromTarget(synAck(1, firstA), now)
	a.FromEntry(data(entryA), request(1, firstA), now+300*millisecond)
	is.Equal(a.FromEntry(open(entryA), syn(5), now+1100*millisecond).Action, flow.Send) // the first request came late
	is.Equal(a.FromEntry(open(entryA), syn(6), now+1400*millisecond).Action, flow.Deliver)
}

// Whatever comes, and from however many entry hosts, no second holds more than the bound.
func TestNoSecondHoldsMoreThanTheBound(t *testing.T) {
	is := is.New(t)
	const most, length = 11, 4 * time.Second
	a := warming(most, longAfterStart)
	var at []time.Duration
	port := uint16(0)
	for now := longAfterStart; now < longAfterStart+length; now += 7 * millisecond {
		port++
		entry := entryA
		if port%2 == 0 {
			entry = entryB
		}
		if a.FromEntry(open(entry), syn(port), now).Action == flow.Deliver {
			at = append(at, now)
		}
		if v, p, ok := a.NextQueued(now); ok && v.Action == flow.Deliver {
			at = append(at, now)
			a.FromTarget(synAck(p.Key.Caller.Port, firstA), now)
		}
		a.FromEntry(data(entryA), request(port, firstA), now)
	}
	for i := range at {
		if i >= most {
			is.True(at[i]-at[i-most] > time.Second) // a sliding second
		}
	}
	is.True(len(at) >= 3*most) // it is let in what it bears
	is.Equal(a.FromEntry(open(entryA), syn(9999), longAfterStart+length).Action, flow.Deliver)
}

// An agent that has just started cannot know what its target was let in before.
func TestAgentThatHasJustStartedLetsNothingIn(t *testing.T) {
	is := is.New(t)
	a := warming(11, 0)
	is.Equal(a.FromEntry(open(entryA), syn(1), 500*millisecond).Action, flow.Wait)
	is.Equal(a.FromEntry(open(entryA), syn(2), 1100*millisecond).Action, flow.Deliver)
}

func TestWarmTargetIsNotBounded(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.SetWarmup(flow.Warmup{Until: time.Hour})
	for port := uint16(1); port <= 8; port++ {
		is.Equal(a.FromEntry(open(entryA), syn(port), 0).Action, flow.Deliver)
	}
}

func TestFlowsWhileWarming(t *testing.T) {
	for name, tt := range map[string]struct {
		perSecond, overshoot, slack float64
		want                        int
	}{
		"nothing stated":   {0, 1.5, 5, 0},
		"negative":         {-3, 1.5, 5, 0},
		"stated":           {4, 1.5, 5, 11},
		"a part":           {0.5, 1.5, 0.1, 1},
		"very little":      {0.1, 1, 0, 1},
		"no margin":        {4, 0, 0, 4},
		"a margin below 1": {4, 0.5, -1, 4},
		"more than can be": {1e300, 1e300, 0, 1<<31 - 1},
		"rounded down":     {3.9, 1, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(flow.WarmupFlowLimit(tt.perSecond, tt.overshoot, tt.slack), tt.want)
		})
	}
}
