package flow_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// Preferred agents are those of the list with the highest ranks, in their order, and independent of
// the registrars.
func TestPreferredAgents(t *testing.T) {
	is := is.New(t)
	all := manyAgents(300)
	both := 0
	for port := range uint16(500) {
		ranking := key(port).Ranking()
		got := flow.AppendPreferred(nil, key(port), all)
		is.Equal(len(got), 8)
		lowest := ranking.Rank(got[7])
		for i := 1; i < len(got); i++ {
			is.True(ranking.Rank(got[i-1]) > ranking.Rank(got[i]))
		}
		higher := 0
		for _, agent := range all {
			if ranking.Rank(agent) >= lowest {
				higher++
			}
		}
		is.Equal(higher, 8)
		for _, agent := range flow.AppendRegistrars(nil, key(port), all) {
			if agent == got[0] {
				both++
			}
		}
	}
	is.True(both < 20)
	is.Equal(len(flow.AppendPreferred(nil, key(1), all[:3])), 3)
	is.Equal(len(flow.AppendPreferred(nil, key(1), nil)), 0)
}

// bounce lets the targets of all agents but the holder send back what was delivered to them.
func (c *cluster) bounce(port uint16, holder flow.Endpoint) {
	k := key(port)
	for len(c.delivered[k]) > 0 {
		at := c.delivered[k][0]
		c.delivered[k] = c.delivered[k][1:]
		c.targetPackets++
		if at == holder {
			_, held := c.agents[at].FromTarget(response(port, firstA), c.now)
			if held != nil {
				c.entry.Held(*held, at, c.now)
			}
			continue
		}
		v, _ := c.agents[at].FromTarget(returned(request(port, firstA)), c.now)
		if v.Action == flow.Deny {
			c.reply(v.To, v.Frame, at, request(port, firstA))
		}
	}
}

// After a restart of all processes no agent knows which flows its target holds, and nobody has
// a registration. Each flow is found with a packet to few targets, not one to each.
func TestFlowsAreFoundAfterRestartOfAll(t *testing.T) {
	is := is.New(t)
	const agents, flows = 300, 200
	c := newCluster(agents)
	c.placer.preferred = true
	for _, at := range c.all {
		a := flow.NewAgent(c.now)
		a.SetServer(flow.Server{State: flow.Serving, Service: lodgement, Slots: 4})
		a.SetPeers(nil, c.all, at)
		c.agents[at] = a
	}
	for port := range uint16(flows) {
		// Placed on the second agent of its order.
		holder := flow.AppendPreferred(nil, key(port), c.all)[1]
		c.packet(request(port, firstA))
		c.bounce(port, holder)
		is.Equal(len(c.reset), 0)
		before := c.targetPackets
		c.packet(request(port, firstA))
		is.Equal(c.delivered[key(port)], []flow.Endpoint{holder})
		c.bounce(port, holder)
		is.Equal(c.targetPackets, before+1)
	}
	is.True(c.targetPackets <= flows*(2+8+1))
}

// Agents that know their flows are not sent the packet of each lost one: a lookup costs less on
// a narrow link. So after the loss of all power, when targets have started after their agents.
func TestKnownFlowsAreLookedUp(t *testing.T) {
	is := is.New(t)
	const flows = 200
	c := newCluster(300)
	c.placer.preferred = true
	for port := range uint16(flows) {
		c.packet(request(port, firstA))
	}
	c.sendQueries()
	is.Equal(len(c.reset), flows)
	is.Equal(c.targetPackets, 0)
	is.True(c.toEntry <= 4*flows) // denials of the registrars, and the outcome
}
