package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/flow"
	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"
)

const (
	leastIdle  = 20 * time.Second
	oldestFlow = 10 * time.Minute
)

// Guards against an agent that forgets flows sooner than a configuration allows, which it may not
// have yet.
func TestIdleTimeout(t *testing.T) {
	type set struct{ stated, at time.Duration }
	for name, tt := range map[string]struct {
		sets       []set
		at         time.Duration
		configured time.Duration
	}{
		"no configuration":        {nil, time.Hour, oldestFlow},
		"none stated":             {[]set{{0, 0}}, 1, leastIdle},
		"short":                   {[]set{{time.Second, 0}}, 1, leastIdle},
		"longer":                  {[]set{{45 * time.Second, 0}}, 1, 50 * time.Second},
		"longer than flows live":  {[]set{{48 * time.Hour, 0}}, 1, oldestFlow},
		"raised":                  {[]set{{15 * time.Second, 0}, {45 * time.Second, time.Minute}}, time.Minute, 50 * time.Second},
		"just lowered":            {[]set{{45 * time.Second, 0}, {15 * time.Second, time.Minute}}, time.Minute + 49*time.Second, 50 * time.Second},
		"lowered":                 {[]set{{45 * time.Second, 0}, {15 * time.Second, time.Minute}}, time.Minute + 50*time.Second, leastIdle},
		"lowered twice":           {[]set{{95 * time.Second, 0}, {45 * time.Second, time.Minute}, {15 * time.Second, time.Minute + 1}}, 2 * time.Minute, 100 * time.Second},
		"the same again":          {[]set{{45 * time.Second, 0}, {15 * time.Second, time.Minute}, {15 * time.Second, time.Minute + 49*time.Second}}, time.Minute + 50*time.Second, leastIdle},
		"first one is not longer": {[]set{{15 * time.Second, time.Minute}}, time.Minute, leastIdle},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			timeout := flow.NewIdleTimeout(leastIdle, oldestFlow)
			for _, s := range tt.sets {
				timeout.Set(s.stated, s.at)
			}
			is.Equal(timeout.Configured(tt.at), tt.configured)
			is.Equal(timeout.Keep(tt.at, true), tt.configured)
			is.Equal(timeout.Keep(tt.at, false), oldestFlow)
		})
	}
}

// idlePlay is an agent with a target on a played clock, while the operator changes the idle
// timeout. The agent learns of a change late, and knows nothing of those while it is away.
type idlePlay struct {
	now     time.Duration
	agent   *flow.Agent
	timeout flow.IdleTimeout
	// inForce has the timeout of each second since the start.
	inForce []time.Duration
	// learned is the second as of which the agent knows the timeout.
	learned int
	// flows has the second of the last packet of each flow that the target holds.
	flows map[uint16]int
}

// applySeconds is the time in which a change has to be in force.
const applySeconds = 3

func (p *idlePlay) second() int { return int(p.now / time.Second) }

// tick passes a second in which the operator states a timeout and the agent is connected or not.
func (p *idlePlay) tick(stated time.Duration, connected bool) {
	p.now += time.Second
	p.inForce = append(p.inForce, stated)
	if connected && p.second() > applySeconds {
		p.learned = p.second() - applySeconds
	}
	if p.learned > 0 {
		p.timeout.Set(p.inForce[p.learned-1], p.now)
	}
	confirmed := p.learned > 0 && p.second()-p.learned <= 2*applySeconds
	p.agent.SetIdleTimeout(p.timeout.Configured(p.now))
	p.agent.Sweep(p.now, p.timeout.Keep(p.now, confirmed), oldestFlow)
}

// open opens a flow at the target, request sends one on it.
func (p *idlePlay) open(port uint16) {
	p.agent.FromEntry(open(entryA), syn(port), p.now)
	p.agent.FromTarget(synAck(port, firstA), p.now)
	p.agent.FromEntry(data(entryA), request(port, firstA), p.now)
	p.agent.FromTarget(response(port, firstA), p.now)
	p.flows[port] = p.second()
}

// restart replaces the agent by one that knows nothing.
func (p *idlePlay) restart() {
	p.agent = newAgentAt(p.now)
	p.timeout, p.learned = flow.NewIdleTimeout(leastIdle, oldestFlow), 0
}

func newAgentAt(now time.Duration) *flow.Agent {
	a := flow.NewAgent(now)
	a.SetServer(serving())
	return a
}

// mayBeDiscarded reports whether at any second since the last packet of a flow a timeout that was in
// force, or had been until less than the time of a change before, had passed.
func (p *idlePlay) mayBeDiscarded(port uint16) bool {
	last := p.flows[port]
	for second := last + 1; second <= p.second(); second++ {
		for at := max(second-applySeconds, 1); at <= second; at++ {
			if time.Duration(second-last)*time.Second > p.inForce[at-1] {
				return true
			}
		}
	}
	return false
}

// Guards against denials of flows that are not idle for too long, by an agent that has forgotten
// them, did not learn of a longer timeout, or has started since.
func TestIdleFlowsAreNotDenied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &idlePlay{agent: newAgentAt(0), timeout: flow.NewIdleTimeout(leastIdle, oldestFlow), flows: map[uint16]int{}}
		stated, connected, next := 15*time.Second, true, uint16(1)
		for range rapid.IntRange(1, 14).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"open", "timeout", "cut", "restart", "packet"}).Draw(t, "event") {
			case "open":
				p.open(next)
				next++
			case "timeout":
				stated = time.Duration(rapid.SampledFrom([]int{0, 15, 45, 300}).Draw(t, "stated")) * time.Second
			case "cut":
				connected = !connected
			case "restart":
				p.restart()
			case "packet":
				port := uint16(rapid.IntRange(1, int(next)).Draw(t, "flow"))
				if _, held := p.flows[port]; held && !p.mayBeDiscarded(port) {
					p.agent.FromEntry(search(entryA), request(port, firstA), p.now)
					p.agent.FromTarget(response(port, firstA), p.now)
					p.flows[port] = p.second()
				}
			}
			for range rapid.IntRange(0, 80).Draw(t, "seconds") {
				p.tick(stated, connected)
			}
			for port := range p.flows {
				notHeld, _ := p.agent.AnswerQuery([]flow.Key{key(port)}, p.now)
				if len(notHeld) > 0 && !p.mayBeDiscarded(port) {
					t.Fatalf("flow %d, idle for %d s, is denied at second %d", port, p.second()-p.flows[port], p.second())
				}
			}
		}
	})
}

// Guards against flows that ended, or never opened, and fill the table for the idle timeout.
func TestFlowsThatAreNotOpenAreForgottenSoon(t *testing.T) {
	is := is.New(t)
	a := agentWithOpenFlow(t, 1, wellAfterStart)
	a.FromEntry(open(entryA), syn(2), wellAfterStart)
	fin := request(1, firstA)
	fin.Flags |= flow.FIN
	a.FromEntry(data(entryA), fin, wellAfterStart)
	is.Equal(a.Len(), 2)
	a.Sweep(wellAfterStart+leastIdle+1, oldestFlow, oldestFlow)
	is.Equal(a.Len(), 0)
}

// Guards against a denial of a flow that was evicted for room: that the agent does not know it
// proves nothing then.
func TestEvictedFlowIsNotDenied(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.MarkComplete(0)
	start := wellAfterStart
	flowKey := func(i int) flow.Key {
		return flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: 9}, Public: public}
	}
	fill := func(i int, at time.Duration) flow.Action {
		p := flow.Packet{Key: flowKey(i), Flags: flow.SYN | flow.ACK, Seq: firstA}
		v, _ := a.FromTarget(p, at)
		return v.Action
	}
	for i := range flow.MaxAgentFlows {
		is.Equal(fill(i, start+time.Duration(i)), flow.Reply)
	}
	opening := flow.Packet{Key: flowKey(flow.MaxAgentFlows), Flags: flow.SYN, Seq: opening}
	is.Equal(a.FromEntry(open(entryA), opening, start+time.Second).Reason, flow.ReasonTableFull) // all are in use
	later := start + time.Minute
	is.Equal(a.FromEntry(open(entryA), opening, later).Action, flow.Deliver)
	is.Equal(a.Len(), flow.MaxAgentFlows)
	is.Equal(a.TakeEvicted(), 1)
	is.Equal(a.TakeEvicted(), 0)
	var keys []flow.Key
	for i := range flow.MaxAgentFlows {
		keys = append(keys, flowKey(i))
	}
	notHeld, _ := a.AnswerQuery(keys, later)
	is.Equal(len(notHeld), 0)
	unknown := []flow.Key{flowKey(flow.MaxAgentFlows + 1)}
	notHeld, _ = a.AnswerQuery(unknown, later)
	is.Equal(len(notHeld), 0)
	notHeld, _ = a.AnswerQuery(unknown, later+2*time.Minute)
	is.Equal(len(notHeld), 1)
}

// Guards against a denial of a flow for which there was no room when its target answered.
func TestFlowWithoutRoomIsNotDenied(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.MarkComplete(0)
	for i := range flow.MaxAgentFlows + 1 {
		p := flow.Packet{Key: key(uint16(i + 1)), Flags: flow.ACK, Seq: firstA, Length: 9}
		v, _ := a.FromTarget(p, wellAfterStart)
		is.Equal(v.Action, flow.Reply)
	}
	notHeld, mayHold := a.AnswerQuery([]flow.Key{key(flow.MaxAgentFlows + 1)}, wellAfterStart)
	is.Equal(len(notHeld), 0)
	is.Equal(len(mayHold), 1)
}

// Guards against a denial by an agent that started less than the idle timeout ago, of a flow that its
// target holds and that has been idle since.
func TestStartedAgentDeniesAfterIdleTimeout(t *testing.T) {
	is := is.New(t)
	a := newAgentAt(time.Hour)
	a.SetIdleTimeout(5 * time.Minute)
	for at, denied := range map[time.Duration]bool{
		time.Hour + 61*time.Second:    false,
		time.Hour + 5*time.Minute - 1: false,
		time.Hour + 5*time.Minute:     true,
	} {
		notHeld, _ := a.AnswerQuery([]flow.Key{key(1)}, at)
		is.Equal(len(notHeld) > 0, denied)
	}
}
