package flow_test

import (
	"net/netip"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func endpoint(text string) flow.Endpoint { return flow.EndpointOf(netip.MustParseAddrPort(text)) }

var (
	public       = endpoint("198.18.0.1:443")
	entryA       = endpoint("10.1.0.1:7721")
	entryB       = endpoint("10.1.0.2:7721")
	agentA       = endpoint("10.1.0.11:8172")
	agentB       = endpoint("10.1.0.12:8172")
	agentC       = endpoint("10.1.0.13:8172")
	lodgement    = flow.ServiceHash("lodgement")
	certificates = flow.ServiceHash("certificates")
)

// Initial sequence numbers of the caller and of the targets.
const (
	opening = 1000
	firstA  = 5000
	firstB  = 9000
)

func key(port uint16) flow.Key {
	return flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: port}, Public: public}
}

func syn(port uint16) flow.Packet { return flow.Packet{Key: key(port), Flags: flow.SYN, Seq: opening} }

// request is the first packet after the opening, acknowledging first.
func request(port uint16, first uint32) flow.Packet {
	return flow.Packet{Key: key(port), Flags: flow.ACK, Seq: opening + 1, Ack: first + 1, Length: 100}
}

func synAck(port uint16, first uint32) flow.Packet {
	return flow.Packet{Key: key(port), Flags: flow.SYN | flow.ACK, Seq: first, Ack: opening + 1}
}

func response(port uint16, first uint32) flow.Packet {
	return flow.Packet{Key: key(port), Flags: flow.ACK, Seq: first + 1, Ack: opening + 101, Length: 1000}
}

func returned(p flow.Packet) flow.Packet {
	p.Flags |= flow.Returned
	return p
}

// fixedPlacer places flows round-robin.
type fixedPlacer struct {
	agents []flow.Endpoint
	reason flow.Reason
	next   int
	// incomplete: there may be other agents. gone is an agent without a target.
	incomplete bool
	notReady   bool
	gone       flow.Endpoint
}

func (p *fixedPlacer) Place(_ flow.Key, avoid flow.Endpoint, _ time.Duration) (flow.Placement, flow.Reason) {
	if len(p.agents) == 0 {
		return flow.Placement{}, p.reason
	}
	chosen := p.agents[p.next%len(p.agents)]
	if chosen == avoid {
		p.next++
		chosen = p.agents[p.next%len(p.agents)]
	}
	p.next++
	return flow.Placement{Agent: chosen, Service: lodgement}, flow.ReasonPlaced
}

func (p *fixedPlacer) Holders(to []flow.Endpoint, _ flow.Endpoint, limit int) []flow.Endpoint {
	return append(to, p.agents[:min(len(p.agents), limit)]...)
}

// serviceNumber is that of the service of all agents of a fixedPlacer.
const serviceNumber = 1

func (p *fixedPlacer) HeldElsewhere(_ flow.Endpoint, denied []flow.Endpoint, heldByNone []flow.ServiceDenial) bool {
	among := func(list []flow.Endpoint) func(flow.Endpoint) bool {
		return func(agent flow.Endpoint) bool { return slices.Contains(list, agent) }
	}
	covered := slices.Contains(heldByNone, flow.ServiceDenial{Service: serviceNumber, Digest: flow.Digest(p.agents)})
	all := !slices.ContainsFunc(p.agents, func(agent flow.Endpoint) bool { return !among(denied)(agent) })
	return p.incomplete || len(p.agents) == 0 || !covered && !all
}

func (p *fixedPlacer) Registrars(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return flow.AppendRegistrars(to, key, p.agents)
}

func (p *fixedPlacer) Preferred(to []flow.Endpoint, _ flow.Key) []flow.Endpoint { return to }

func (p *fixedPlacer) Coordinators(to []flow.Endpoint, key flow.Key, _ int) []flow.Endpoint {
	return flow.AppendRegistrars(to, key, p.agents)
}

func (p *fixedPlacer) Ready() bool { return !p.notReady }

func (p *fixedPlacer) HasTarget(agent flow.Endpoint) (known, complete bool) {
	return agent != p.gone, !p.incomplete
}

func denial(port uint16) flow.Frame { return flow.Frame{Kind: flow.Denied, Key: key(port)} }

func heldBy(port uint16, first uint32, opened bool) flow.Frame {
	return flow.Frame{Kind: flow.Held, Key: key(port), First: first, Known: true, Opened: opened, Service: lodgement}
}
