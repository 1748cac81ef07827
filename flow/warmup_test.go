package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// warming returns an agent whose target warms up for four seconds from begin on, with a
// limit of new flows a second.
func warming(limit int, begin time.Duration) *flow.Agent {
	a := newAgent(serving())
	a.SetWarmup(flow.Warmup{Until: begin + 4*time.Second, MaxFlows: limit})
	return a
}

const longAfterStart = time.Minute

func TestWarmingTargetIsLimited(t *testing.T) {
	is := is.New(t)
	a := warming(2, longAfterStart)
	a.SetPeers([]flow.Endpoint{agentB}, []flow.Endpoint{agentA, agentB}, agentA)
	now := longAfterStart
	is.Equal(a.FromEntry(open(entryA), syn(1), now).Action, flow.Deliver)
	is.Equal(a.FromEntry(open(entryA), syn(2), now).Action, flow.Deliver)
	is.Equal(a.LoadFrame().LoadPermille, uint16(flow.SaturatedLoad)) // as if it were full

	v := a.FromEntry(open(entryA), syn(3), now)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.Reason, flow.ReasonWarmingUp)
	is.Equal(v.To, agentB)

	forwarded := open(entryA)
	forwarded.Hops = 3
	is.Equal(a.FromEntry(forwarded, syn(4), now).Action, flow.Wait) // hop limit reached
	wantNoneQueued(t, a, now+400*millisecond)

	a.FromTarget(synAck(1, firstA), now)
	a.FromEntry(data(entryA), request(1, firstA), now+300*millisecond)
	is.Equal(a.FromEntry(open(entryA), syn(5), now+1100*millisecond).Action, flow.Send) // the first request came late
	is.Equal(a.FromEntry(open(entryA), syn(6), now+1400*millisecond).Action, flow.Deliver)
}

// The limit holds in every second, whatever arrives from any entry host.
func TestWarmupLimitPerSecond(t *testing.T) {
	is := is.New(t)
	const limit, length = 11, 4 * time.Second
	a := warming(limit, longAfterStart)
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
		if i >= limit {
			is.True(at[i]-at[i-limit] > time.Second) // sliding window
		}
	}
	is.True(len(at) >= 3*limit) // the limit is used
	is.Equal(a.FromEntry(open(entryA), syn(9999), longAfterStart+length).Action, flow.Deliver)
}

// An agent that has just started does not know what was admitted before.
func TestWarmupAfterAgentStart(t *testing.T) {
	is := is.New(t)
	a := warming(11, 0)
	is.Equal(a.FromEntry(open(entryA), syn(1), 500*millisecond).Action, flow.Wait)
	is.Equal(a.FromEntry(open(entryA), syn(2), 1100*millisecond).Action, flow.Deliver)
}

func TestWarmTargetIsNotLimited(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.SetWarmup(flow.Warmup{Until: time.Hour})
	for port := uint16(1); port <= 8; port++ {
		is.Equal(a.FromEntry(open(entryA), syn(port), 0).Action, flow.Deliver)
	}
}

func TestWarmupFlowLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		perSecond, overshoot, slack float64
		want                        int
	}{
		"not configured":   {0, 1.5, 5, 0},
		"negative":         {-3, 1.5, 5, 0},
		"configured":       {4, 1.5, 5, 11},
		"fraction":         {0.5, 1.5, 0.1, 1},
		"below one":        {0.1, 1, 0, 1},
		"no margin":        {4, 0, 0, 4},
		"a margin below 1": {4, 0.5, -1, 4},
		"overflow":         {1e300, 1e300, 0, 1<<31 - 1},
		"rounded down":     {3.9, 1, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(flow.WarmupFlowLimit(tt.perSecond, tt.overshoot, tt.slack), tt.want)
		})
	}
}
