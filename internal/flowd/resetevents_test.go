package flowd

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

const (
	// modelSteps is the longest history.
	modelSteps = 60
	// modelHistories is the number of histories, unless -rapid.checks states another one.
	modelHistories = "2000"
)

// setChecks sets the number of checks of a property for one test.
func setChecks(t *testing.T, checks string) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	if before := f.Value.String(); before == f.DefValue {
		t.Cleanup(func() { _ = f.Value.Set(before) })
		if err := f.Value.Set(checks); err != nil {
			t.Fatal(err)
		}
	}
}

// openFlow opens a flow through an entry host.
func (m *resetModel) openFlow(h *modelHost) {
	m.next++
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, byte(m.next >> 8), byte(m.next)}, Port: 9}, Public: callerKey(1).Public}
	h.packet(flow.Packet{Key: key, Flags: flow.SYN, Seq: 100})
	if server := m.open[key]; server != nil {
		h.packet(m.request(key, server))
	}
	if server := m.open[key]; server == nil || !server.holds[key] {
		delete(m.open, key)
	}
}

func (m *resetModel) request(key flow.Key, server *modelServer) flow.Packet {
	return flow.Packet{Key: key, Flags: flow.ACK, Seq: 101, Ack: server.first + 1, Length: 10}
}

// use sends a request on an open flow through an entry host, with retransmissions.
func (m *resetModel) use(h *modelHost, key flow.Key) {
	p := m.request(key, m.open[key])
	for range 4 {
		h.packet(p)
		if m.queries {
			m.runQueries(p)
		}
		m.now += 200 * time.Millisecond
	}
}

// step draws an event.
func (m *resetModel) step() {
	host := m.hosts[rapid.IntRange(0, modelHosts-1).Draw(m.t, "host")]
	address := modelAddress(rapid.IntRange(0, modelAddresses-1).Draw(m.t, "address"))
	a := m.agents[address]
	m.cut = map[flow.Endpoint]bool{}
	m.now += time.Millisecond
	switch rapid.SampledFrom([]string{"open", "open", "use", "use", "use", "lead", "send", "send agents", "crash", "forget", "reuse", "take over", "replace", "lost", "restart host", "restart agent", "time"}).Draw(m.t, "event") {
	case "open":
		m.openFlow(host)
	case "use":
		m.cut[address] = rapid.IntRange(0, 3).Draw(m.t, "cut") == 0
		m.queries = rapid.IntRange(0, 4).Draw(m.t, "queries") > 0
		if len(m.open) > 0 {
			keys := slices.SortedFunc(maps.Keys(m.open), func(a, b flow.Key) int { return slices.Compare(a.Caller.IP[:], b.Caller.IP[:]) })
			for range 3 {
				m.use(host, rapid.SampledFrom(keys).Draw(m.t, "flow"))
			}
		}
	case "lead":
		m.lead(rapid.SampledFrom([][]string{modelServices[:1], modelServices[1:], modelServices}).Draw(m.t, "services")...)
	case "send":
		host.send()
	case "send agents":
		odd := rapid.IntRange(0, 2).Draw(m.t, "agents")
		m.sendAgents(func(to flow.Endpoint) bool { return odd == 2 || int(to.IP[3])%2 == odd })
	case "crash":
		m.crash(a)
	case "take over":
		service := rapid.SampledFrom(modelServices).Draw(m.t, "service")
		for i := range rapid.IntRange(1, 3).Draw(m.t, "addresses") {
			at := modelAddress((int(address.IP[3]) + i) % modelAddresses)
			m.crash(m.agents[at])
			m.startServer(at, service)
		}
	case "forget":
		m.forgetEnded()
	case "replace":
		if a.server != nil {
			m.replaceServer(a)
		}
	case "reuse":
		if a.server == nil {
			m.startServer(address, rapid.SampledFrom(modelServices).Draw(m.t, "service"))
		}
	case "lost":
		if a.server != nil {
			m.setLost(a.server, !a.server.record.GetLost())
		}
	case "restart host":
		host.restart()
	case "restart agent":
		m.restartAgent(address)
	case "time":
		m.now += time.Duration(rapid.IntRange(1, 90).Draw(m.t, "seconds")) * time.Second
		for _, h := range m.hosts {
			h.entry.Sweep(m.now, 20*time.Second, time.Hour)
		}
		for _, at := range m.addresses() {
			m.agents[at].flows.Sweep(m.now, modelIdle, time.Hour)
		}
	}
}

// crash ends the server and the agent at an address. The server stays listed as lost.
func (m *resetModel) crash(a *modelAgent) {
	if a.server == nil {
		return
	}
	a.server.holds = nil
	m.setLost(a.server, true)
	a.server = nil
}

// forgetEnded removes the servers that have ended from the list.
func (m *resetModel) forgetEnded() {
	for number, r := range m.records {
		running := slices.ContainsFunc(m.addresses(), func(at flow.Endpoint) bool {
			s := m.agents[at].server
			return s != nil && s.record.GetNumber() == number
		})
		if r.GetLost() && !running {
			delete(m.records, number)
		}
	}
}

// replaceServer restarts the server of an agent that goes on running.
func (m *resetModel) replaceServer(a *modelAgent) {
	service := a.server.service
	a.server.holds = nil
	delete(m.records, a.server.record.GetNumber())
	agent := *a
	m.startServer(a.address, service)
	server := m.agents[a.address].server
	agent.server = server
	m.agents[a.address] = &agent
	agent.flows.SetServer(flow.Server{State: flow.Serving, Service: flow.ServiceHash(service), Slots: 1000, Number: server.record.GetNumber(), Incarnation: 1})
}

// setLost sets whether the lease of a server has ended. Its record stays listed.
func (m *resetModel) setLost(s *modelServer, lost bool) {
	r := proto.CloneOf(s.record)
	r.Lost, r.Ill = lost, lost
	r.Sequence++
	s.record = r
	m.records[r.GetNumber()] = r
}

// Guards against resets of open flows by a host whose configuration or list is older than the
// flow, or by evidence about another service, list or time. See docs/design/0024.
func TestOpenFlowsAreNotReset(t *testing.T) {
	setChecks(t, modelHistories)
	resets, opened := map[string]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newResetModel(t)
		for range rapid.IntRange(modelSteps/2, modelSteps).Draw(t, "steps") {
			m.step()
		}
		for reason, n := range m.resets {
			resets[reason] += n
		}
		opened += len(m.open)
	})
	t.Logf("%d flows were opened; resets of flows whose target has ended: %v", opened, resets)
	if resets[string(flow.ReasonHeldNowhere)] == 0 || opened == 0 {
		t.Fatal("the model resets nothing")
	}
}
