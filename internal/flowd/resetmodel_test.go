package flowd

import (
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/internal/targets"
)

// The model plays entry hosts, agents and targets on a played clock, with the placer, the flow
// tables and the state machine of the product. Each process has the configuration and the list of
// targets that it was last sent, others have newer ones.
const (
	modelHosts = 3
	// modelAddresses are enough for a search in stages, see flow.
	modelAddresses = 20
	modelIdle      = 10 * time.Minute
)

var modelServices = []string{"lodgement", "certificates"}

// modelServer is a backend server.
type modelServer struct {
	service string
	record  *controlpb.TargetRecord
	first   uint32
	holds   map[flow.Key]bool
}

// modelAgent is the agent at an address, with its server. server is nil once that has ended.
type modelAgent struct {
	flows   *flow.Agent
	server  *modelServer
	address flow.Endpoint
	list    agentSet
	applied []*controlpb.TargetRecord
}

type modelHost struct {
	*resetModel
	address flow.Endpoint
	placer  *placer
	entry   *flow.Entry
	copies  map[flow.Key]flow.Packet
}

type resetModel struct {
	t        *rapid.T
	now      time.Duration
	machine  *config.Machine
	revision uint64
	agents   map[flow.Endpoint]*modelAgent
	hosts    []*modelHost
	// records are the listed targets by number.
	records map[uint32]*controlpb.TargetRecord
	// open has the server that holds each flow.
	open map[flow.Key]*modelServer
	next int
	// cut has the addresses that get no frame in this step.
	cut map[flow.Endpoint]bool
	// queries: agents run their rounds of queries in this step.
	queries bool
	// resets counts the resets by reason.
	resets map[string]int
}

func newResetModel(t *rapid.T) *resetModel {
	m := &resetModel{
		t: t, now: time.Hour, machine: config.New(), agents: map[flow.Endpoint]*modelAgent{},
		records: map[uint32]*controlpb.TargetRecord{}, open: map[flow.Key]*modelServer{}, resets: map[string]int{},
	}
	m.lead(modelServices[0])
	for i := range modelAddresses {
		service := modelServices[0]
		if i >= modelAddresses-3 {
			service = modelServices[1]
		}
		m.startServer(modelAddress(i), service)
	}
	for i := range modelHosts {
		h := &modelHost{resetModel: m, address: flow.Endpoint{IP: [4]byte{10, 9, 0, byte(i + 1)}, Port: 7721}}
		m.hosts = append(m.hosts, h)
		h.restart()
	}
	for _, a := range m.agents {
		a.flows.MarkComplete(m.now)
	}
	m.sendAgents(func(flow.Endpoint) bool { return true })
	return m
}

func modelAddress(i int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, byte(i + 1)}, Port: 7000}
}

// lead applies a table whose route leads to the services.
func (m *resetModel) lead(services ...string) {
	m.revision++
	route := &configpb.Route{Address: "198.18.0.1:443", TimeoutMs: 1}
	for _, name := range services {
		route.Services = append(route.Services, &configpb.WeightedService{Service: name, Weight: 1})
	}
	r := &configpb.Replacement{Services: modelServices, Table: &configpb.RouteTable{Revision: m.revision, Routes: []*configpb.Route{route}}}
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Replacement{Replacement: r}})
	if err != nil {
		m.t.Fatal(err)
	}
	m.machine.Apply(m.revision, command)
}

func (m *resetModel) serviceNumber(name string) uint32 {
	for _, s := range m.machine.Current().GetServices() {
		if s.GetName() == name {
			return s.GetNumber()
		}
	}
	return 0
}

// startServer starts a server and an agent at an address.
func (m *resetModel) startServer(address flow.Endpoint, service string) {
	m.next++
	record := &controlpb.TargetRecord{Service: m.serviceNumber(service), Number: uint32(m.next), Incarnation: 1, Address: address.String(), AgeMs: 60_000}
	m.records[record.GetNumber()] = record
	server := &modelServer{service: service, record: record, first: uint32(10_000 * m.next), holds: map[flow.Key]bool{}}
	m.agents[address] = &modelAgent{server: server, address: address}
	m.restartAgent(address)
}

// restartAgent starts an agent that knows nothing.
func (m *resetModel) restartAgent(address flow.Endpoint) {
	a := m.agents[address]
	a.flows, a.list, a.applied = flow.NewAgent(m.now), newAgentSet(), nil
	a.flows.SetIdleTimeout(modelIdle)
	if a.server != nil {
		a.flows.SetServer(flow.Server{State: flow.Serving, Service: flow.ServiceHash(a.server.service), Slots: 1000, Number: a.server.record.GetNumber(), Incarnation: 1})
		a.flows.SetServiceNumber(a.server.record.GetService())
	}
}

// sendAgents sends some agents the list of their service.
func (m *resetModel) sendAgents(to func(flow.Endpoint) bool) {
	for _, address := range m.addresses() {
		a := m.agents[address]
		if a.server == nil || !to(address) {
			continue
		}
		list := m.list(func(r *controlpb.TargetRecord) bool { return r.GetService() == a.server.record.GetService() })
		deleted, put := targets.Diff(a.applied, list)
		change := a.list.apply(deleted, put)
		a.applied = list
		a.flows.ChangePeers(nil, address, change.added, change.removed)
	}
}

func (m *resetModel) addresses() []flow.Endpoint {
	return slices.SortedFunc(maps.Keys(m.agents), func(a, b flow.Endpoint) int { return slices.Compare(a.IP[:], b.IP[:]) })
}

// list returns the listed targets by number.
func (m *resetModel) list(include func(*controlpb.TargetRecord) bool) []*controlpb.TargetRecord {
	var out []*controlpb.TargetRecord
	for _, number := range slices.Sorted(maps.Keys(m.records)) {
		if r := m.records[number]; include(r) {
			out = append(out, r)
		}
	}
	return out
}

// restart starts an entry host that knows nothing but the present view.
func (h *modelHost) restart() {
	h.placer = newPlacer(zap.NewNop(), tally.NoopScope, time.Minute)
	h.entry = flow.NewEntry(h.placer, h.address)
	h.entry.RequireConfirmation()
	h.copies = map[flow.Key]flow.Packet{}
	h.send()
}

// send sends an entry host the present view, and confirms it.
func (h *modelHost) send() {
	all := h.list(func(*controlpb.TargetRecord) bool { return true })
	h.placer.apply(subscriber.NewView(h.machine.Current(), all, time.Now()), h.now)
	for _, r := range h.entry.Confirm(h.now, h.now) {
		h.apply(r.Verdict, r.Packet)
	}
}

func (h *modelHost) packet(p flow.Packet) { h.apply(h.entry.Packet(p, h.now), p) }

func (h *modelHost) apply(v flow.Verdict, p flow.Packet) {
	if v.UseCopy {
		var kept bool
		if p, kept = h.copies[p.Key]; !kept {
			return
		}
	}
	if v.KeepCopy {
		h.copies[p.Key] = p
	}
	switch v.Action {
	case flow.Send:
		h.toAgent(v.To, v.Frame, p)
	case flow.SendAll:
		for _, to := range slices.Clone(v.All) {
			h.toAgent(to, v.Frame, p)
		}
	case flow.Reset:
		h.checkReset(p.Key, string(v.Reason))
	}
}

// checkReset fails if the server that holds a flow runs.
func (m *resetModel) checkReset(key flow.Key, reason string) {
	m.resets[reason]++
	if server := m.open[key]; server != nil && server.holds[key] {
		m.t.Fatalf("flow %v is reset (%s), target %d at %s holds it", key, reason, server.record.GetNumber(), server.record.GetAddress())
	}
}

// toAgent handles a frame with a packet at an agent.
func (m *resetModel) toAgent(to flow.Endpoint, f flow.Frame, p flow.Packet) {
	a := m.agents[to]
	if a == nil || a.server == nil || m.cut[to] {
		return
	}
	if f.Kind == flow.Search && f.Hops == flow.HopsLookup {
		m.notices(a, a.flows.Lookup(f.Entry, p.Key, m.now), p)
		f.Hops, f.Entry = 1, to
	}
	v := a.flows.FromEntry(f, p, m.now)
	if !v.Holder.IsZero() {
		m.reply(f.Entry, flow.Frame{Kind: flow.Located, Key: p.Key, Alternate: v.Holder}, a, p)
	}
	m.applyAgent(a, v, p)
	if f.Kind == flow.Search && v.Action == flow.Deliver {
		if held := a.flows.HeldNotice(p.Key); held != nil {
			m.reply(held.Entry, *held, a, p)
		}
	}
}

func (m *resetModel) applyAgent(a *modelAgent, v flow.Verdict, p flow.Packet) {
	switch v.Action {
	case flow.Deliver:
		m.toServer(a, p)
	case flow.Send:
		m.toAgent(v.To, v.Frame, p)
	case flow.Deny, flow.Return:
		m.reply(v.To, v.Frame, a, p)
	case flow.Reset:
		m.checkReset(p.Key, string(v.Reason))
	}
}

// toServer handles a packet at the server of an agent.
func (m *resetModel) toServer(a *modelAgent, p flow.Packet) {
	s := a.server
	answer := flow.Packet{Key: p.Key, Flags: flow.ACK, Seq: s.first + 1, Ack: p.Seq + uint32(p.Length), Length: 10}
	switch {
	case p.Flags.Has(flow.SYN):
		answer.Flags, answer.Seq, answer.Length = flow.SYN|flow.ACK, s.first, 0
		if m.open[p.Key] == nil {
			m.open[p.Key] = s
		}
	case m.open[p.Key] == s && p.Ack == s.first+1:
		s.holds[p.Key] = true
	default:
		answer = p
		answer.Flags |= flow.Returned
	}
	v, notice := a.flows.FromTarget(answer, m.now)
	if notice != nil && !notice.Entry.IsZero() {
		m.reply(notice.Entry, *notice, a, p)
	}
	if answer.Flags.Has(flow.Returned) {
		m.applyAgent(a, v, p)
	}
}

// reply handles a frame of an agent at an entry host or at an agent that looks a flow up.
func (m *resetModel) reply(to flow.Endpoint, f flow.Frame, from *modelAgent, p flow.Packet) {
	if c := m.agents[to]; c != nil {
		switch {
		case c.server == nil || m.cut[to]:
		case f.Kind == flow.Held:
			m.notices(c, c.flows.RecordHolder(f.Key, from.address), p)
		case f.Kind == flow.Denied:
			m.notices(c, c.flows.HandleNotHeld([]flow.Key{f.Key}, from.address), p)
		}
		return
	}
	for _, h := range m.hosts {
		if h.address == to {
			h.frame(f, from.address, p)
		}
	}
}

// frame handles a frame of an agent.
func (h *modelHost) frame(f flow.Frame, from flow.Endpoint, p flow.Packet) {
	h.entry.MarkSeen(from, h.now)
	switch f.Kind {
	case flow.Held:
		h.entry.Held(f, from, h.now)
	case flow.Located:
		h.entry.Located(f, from, h.now)
	case flow.Denied:
		h.apply(h.entry.Denied(f, from, h.now))
	case flow.HeldByNone:
		h.apply(h.entry.HeldByNone(f, h.now))
	case flow.Missed:
		h.apply(h.entry.Missed(f, p, from, h.now), p)
	}
}

func (m *resetModel) notices(a *modelAgent, notices []flow.Notice, p flow.Packet) {
	for _, n := range notices {
		if n.Frame.Kind == flow.Search {
			m.toAgent(n.To, n.Frame, p)
			continue
		}
		m.reply(n.To, n.Frame, a, p)
	}
}

// runQueries runs the due rounds of queries for a flow.
func (m *resetModel) runQueries(p flow.Packet) {
	for _, address := range m.addresses() {
		a := m.agents[address]
		if _, due := a.flows.NextQueryIn(m.now); !due || a.server == nil || m.cut[address] {
			continue
		}
		for _, q := range slices.Clone(a.flows.Queries(m.now)) {
			other := m.agents[q.To]
			if other == nil || other.server == nil || m.cut[q.To] {
				continue
			}
			notHeld, mayHold := other.flows.AnswerQuery(q.Keys, m.now)
			m.notices(a, a.flows.HandleNotHeld(notHeld, q.To), p)
			m.notices(a, a.flows.HandleMayHold(mayHold, q.To), p)
		}
	}
}
