package flow_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/qos"
	"eelgrasswharf.example/eelgrasswharf/waitqueue"
)

// full is the load of a target at which nothing waits shorter than elsewhere.
const full = math.MaxUint16

// fullAgent returns an agent with two requests for each of its four slots and as many peers,
// and these.
func fullAgent(t *testing.T, peers int) (*flow.Agent, []flow.Endpoint) {
	t.Helper()
	a := saturatedAgent(t)
	a.SetClasses(flow.Classes{public: stated})
	list := agents(peers)
	a.SetPeers(list, append([]flow.Endpoint{agentA}, list...), agentA)
	return a, list
}

func loadOf(permille uint16) flow.Frame {
	return flow.Frame{Kind: flow.Load, LoadPermille: permille, ReadsGroup: true}
}

// handedOn offers openings of new flows to an agent. It returns how many it hands on, and to
// which agents.
func handedOn(a *flow.Agent, port *uint16, n int, now time.Duration) (count int, to map[flow.Endpoint]int) {
	to = map[flow.Endpoint]int{}
	for range n {
		*port++
		v := a.FromEntry(open(entryA), syn(*port), now)
		if v.Action == flow.Send && v.Reason == flow.ReasonBusy {
			count++
			to[v.To]++
		}
	}
	return count, to
}

// An opening goes where it waits shortest: to the agent with the lowest load, and nowhere if
// all have as much to do.
func TestOpeningEndsWhereItWaitsShortest(t *testing.T) {
	is := is.New(t)
	a, peers := fullAgent(t, 4)
	port := uint16(100)
	for i, load := range []uint16{1900, 300, 2500, 1200} {
		a.PeerFrame(loadOf(load), peers[i], 0)
	}
	n, to := handedOn(a, &port, 1, millisecond)
	is.Equal(n, 1)
	is.Equal(to[peers[1]], 1)
	for i, load := range []uint16{1900, 2400, 2500, 1700} {
		a.PeerFrame(loadOf(load), peers[i], 2*millisecond)
	}
	n, _ = handedOn(a, &port, 1, 3*millisecond)
	is.Equal(n, 0)
}

// One report of a free target must not send everything there: what was handed to it since
// counts, and at most as many requests as a target runs at a time.
func TestHandedOpeningsCount(t *testing.T) {
	is := is.New(t)
	a, peers := fullAgent(t, 2)
	port := uint16(100)
	a.PeerFrame(loadOf(1000), peers[0], 0)
	a.PeerFrame(loadOf(1250), peers[1], 0)
	n, to := handedOn(a, &port, 3, millisecond)
	is.Equal(n, 3) // to 1250, 1500, 1500
	is.Equal(to[peers[0]], 2)
	is.Equal(to[peers[1]], 1)
	a, peers = fullAgent(t, 1)
	a.PeerFrame(loadOf(0), peers[0], 0)
	n, _ = handedOn(a, &port, 50, millisecond)
	is.Equal(n, 4)
}

// Targets that drain, are unhealthy, have no agent in the list any more, or are not preferred
// for the flow get nothing.
func TestHandOnCandidates(t *testing.T) {
	is := is.New(t)
	a, peers := fullAgent(t, 40)
	port := uint16(100)
	for _, peer := range peers {
		a.PeerFrame(loadOf(0), peer, 0)
	}
	for range 50 {
		port++
		v := a.FromEntry(open(entryA), syn(port), millisecond)
		is.Equal(v.Action, flow.Send)
		found := false
		for _, agent := range flow.AppendPreferred(nil, key(port), peers) {
			found = found || agent == v.To
		}
		is.True(found)
		a.PeerFrame(loadOf(0), v.To, millisecond)
	}

	a, peers = fullAgent(t, 2)
	draining, unhealthy := loadOf(0), loadOf(0)
	draining.Draining, unhealthy.Unhealthy = true, true
	a.PeerFrame(draining, peers[0], 0)
	a.PeerFrame(unhealthy, peers[1], 0)
	n, _ := handedOn(a, &port, 10, millisecond)
	is.Equal(n, 0)

	a, peers = fullAgent(t, 2) // an old list: one peer is gone, one is unknown
	a.PeerFrame(loadOf(0), peers[0], 0)
	a.PeerFrame(loadOf(0), agentC, 0)
	a.SetPeers(peers[1:], []flow.Endpoint{agentA, peers[1]}, agentA)
	_, to := handedOn(a, &port, 10, millisecond)
	is.Equal(to[peers[0]]+to[agentC], 0)
}

// While all are full, or a partition keeps their reports away, or they are of a release that
// sends none, handing on must stop but for a small share.
func TestHandingOnIsBoundedWithoutRoom(t *testing.T) {
	for name, report := range map[string]func(a *flow.Agent, to flow.Endpoint, now time.Duration){
		"all full":   func(a *flow.Agent, to flow.Endpoint, now time.Duration) { a.PeerFrame(loadOf(full), to, now) },
		"no reports": func(*flow.Agent, flow.Endpoint, time.Duration) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, _ := fullAgent(t, 40)
			port := uint16(100)
			count := 0
			for now := time.Duration(0); now < 2*time.Second; now += millisecond {
				n, to := handedOn(a, &port, 1, now)
				count += n
				for agent := range to {
					report(a, agent, now+millisecond)
				}
			}
			is.True(count >= 40)  // it keeps trying
			is.True(count <= 275) // of 2,000: eight, and one each 7.5 ms
		})
	}
}

// An agent that found all full hands on again soon after one of them has room.
func TestHandingOnResumes(t *testing.T) {
	is := is.New(t)
	a, _ := fullAgent(t, 3)
	port := uint16(100)
	load := uint16(full)
	resumed := time.Duration(0)
	for now := time.Duration(0); now < 3*time.Second; now += 2 * millisecond {
		if now == time.Second {
			load = 200
		}
		n, to := handedOn(a, &port, 1, now)
		for agent := range to {
			a.PeerFrame(loadOf(load), agent, now+millisecond)
		}
		if n > 0 && load == 200 && resumed == 0 {
			resumed = now - time.Second
		}
	}
	is.True(resumed > 0 && resumed <= 200*millisecond)
	n, _ := handedOn(a, &port, 3, 3*time.Second)
	is.Equal(n, 3) // no longer a share
}

// An old report says nothing about now.
func TestOldPeerLoadIsNotUsed(t *testing.T) {
	is := is.New(t)
	a, peers := fullAgent(t, 1)
	port := uint16(100)
	a.PeerFrame(loadOf(full), peers[0], 0)
	n, _ := handedOn(a, &port, 1, 250*millisecond)
	is.Equal(n, 0)
	n, _ = handedOn(a, &port, 1, 251*millisecond) // unknown again: a trial
	is.Equal(n, 1)
	a.PeerFrame(loadOf(0), peers[0], 252*millisecond)
	n, _ = handedOn(a, &port, 1, 300*millisecond)
	is.Equal(n, 1)
}

// A target that refuses openings, and is faster than the others, must not be reported as one with
// room: what is handed on to it is refused there as well.
func TestRefusingAgentReportsNoRoom(t *testing.T) {
	is := is.New(t)
	a, peers := fullAgent(t, 4)
	for _, peer := range peers {
		a.PeerFrame(paceFrom(60*millisecond), peer, 0)
	}
	a.Sweep(millisecond, time.Minute, time.Minute)
	is.True(a.PeerLoadFrame().LoadPermille < flow.SaturatedLoad) // an opening waits briefly

	// Two requests of 30 ms a slot leave an opening no time to meet such an objective.
	hasty := flow.Endpoint{IP: public.IP, Port: public.Port + 1}
	a.SetClasses(flow.Classes{
		public: qos.Class{Priority: 1, Objective: 40 * millisecond},
		hasty:  qos.Class{Priority: 2, Objective: time.Second},
	})
	handed := open(entryA)
	handed.Hops, handed.Alternate = 2, agentB
	is.Equal(a.FromEntry(handed, syn(500), millisecond).Reason, flow.Reason(waitqueue.Full))
	is.Equal(a.PeerLoadFrame().LoadPermille, uint16(full))
}

func BenchmarkHandOn(b *testing.B) {
	for _, n := range []int{40, 12_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			a := newAgent(serving())
			a.SetClasses(flow.Classes{public: stated})
			list := []flow.Endpoint{agentA}
			for i := range n {
				list = append(list, flow.Endpoint{IP: [4]byte{10, 3, byte(i >> 8), byte(i)}, Port: 8172})
			}
			a.SetPeers(list[1:], list, agentA)
			for port := uint16(1); port <= 8; port++ {
				begin(a, port, 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a.FromEntry(open(entryA), syn(uint16(100+i%256)), time.Duration(i)*time.Second)
				a.NextQueued(time.Duration(i) * time.Second)
			}
		})
	}
}

func TestHandingOnDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	a, peers := fullAgent(t, 40)
	p := syn(500)
	now := time.Duration(0)
	is.Equal(testing.AllocsPerRun(100, func() {
		now += millisecond
		for _, peer := range peers {
			a.PeerFrame(loadOf(0), peer, now)
		}
		if a.FromEntry(open(entryA), p, now).Action != flow.Send {
			t.Fatal("not handed on")
		}
	}), 0.0)
}

// While no target has more requests than its slots take, packets are handled as before, whatever
// routes state and other agents report. Only the loads in reports differ.
func TestNothingIsHandedOnWithFreeSlots(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 9))
		plain, with := newAgent(serving()), newAgent(serving())
		with.SetClasses(flow.Classes{public: stated})
		list := agents(10)
		for _, a := range []*flow.Agent{plain, with} {
			a.SetPeers(list, append([]flow.Endpoint{agentA}, list...), agentA)
		}
		same := func(packet func(a *flow.Agent) flow.Verdict) {
			is.Equal(packet(with), packet(plain))
		}
		now := time.Duration(0)
		var running []uint16
		for port := uint16(1); port < 300; port++ {
			now += time.Duration(random.IntN(40)) * millisecond
			with.PeerFrame(loadOf(uint16(random.IntN(3000))), list[random.IntN(10)], now)
			for len(running) == 4 || len(running) > 0 && random.IntN(2) == 0 {
				p := running[0]
				running = running[1:]
				same(func(a *flow.Agent) flow.Verdict { v, _ := a.FromTarget(response(p, firstA), now); return v })
			}
			same(func(a *flow.Agent) flow.Verdict { return a.FromEntry(open(entryA), syn(port), now) })
			same(func(a *flow.Agent) flow.Verdict { v, _ := a.FromTarget(synAck(port, firstA), now); return v })
			same(func(a *flow.Agent) flow.Verdict { return a.FromEntry(data(entryA), request(port, firstA), now) })
			running = append(running, port)
		}
		is.Equal(with.QueueLen(), 0)
	}
}
