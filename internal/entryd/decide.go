package entryd

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// codecs holds the codecs and the hasher of one list of secrets. They are replaced
// together.
type codecs struct {
	ids    *connid.Codec
	frames *frame.Codec
	hasher *routing.Hasher
}

func newCodecs(secrets []connid.Secret) (*codecs, error) {
	ids, err := connid.NewCodec(secrets)
	if err != nil {
		return nil, errors.Wrap(err, "connection IDs")
	}
	frames, err := frame.NewCodec(secrets)
	if err != nil {
		return nil, errors.Wrap(err, "frames")
	}
	hasher, err := routing.NewHasher(secrets[0])
	if err != nil {
		return nil, err
	}
	return &codecs{ids: ids, frames: frames, hasher: hasher}, nil
}

// service is the service of a public address with its routing table. It is immutable.
type service struct {
	number uint32
	table  *routing.Table
}

// decision is how a datagram of a caller is handled.
type decision struct {
	// to is the frame address of the receiving agent.
	to      netip.AddrPort
	kind    frame.Kind
	reason  routing.Reason
	refused refusal
	// probe is an unresponsive target that gets a copy of the datagram, or zero.
	probe routing.TargetRef
}

// decider holds the immutable inputs of decisions.
type decider struct {
	networks []netip.Prefix
}

// decide decides on a datagram received on a public address of s and fills in the frame
// header except for Caller and Public. It does not allocate.
func (d *decider) decide(c *codecs, s *service, datagram []byte, caller netip.AddrPort, now time.Duration, h *frame.Header) decision {
	packet, ok := quicheader.Parse(datagram, connid.Length)
	if !ok {
		return decision{refused: malformed}
	}
	target, verdict := c.ids.Decode(packet.Destination)
	if verdict == connid.OK {
		return d.forwardEstablished(s, target, h)
	}
	if refused := checkFirst(packet, len(datagram), verdict); refused != accepted {
		return decision{refused: refused}
	}
	hash := c.hasher.Hash(caller, packet.Destination)
	if packet.Type == quicheader.ZeroRTT {
		// An agent drops early data without a reply.
		choice, ok := s.table.ChooseNoReply(hash, now)
		return forwardFirst(s, choice, ok, h)
	}
	choice, ok := s.table.Choose(hash, now)
	return forwardFirst(s, choice, ok, h)
}

// checkFirst returns why a packet can't open a flow, if its connection ID names no
// target.
func checkFirst(packet quicheader.Header, length int, verdict connid.Verdict) refusal {
	switch packet.Type {
	case quicheader.Short, quicheader.Handshake:
		return refusalOfID(verdict)
	case quicheader.Retry, quicheader.VersionNegotiation:
		return serverPacket
	}

	// A 0-RTT packet may be short, as it accompanies an Initial.
	if packet.Type != quicheader.ZeroRTT && length < quicheader.MinInitialSize {
		return shortFirst
	}
	if len(packet.Destination) < quicheader.MinInitialIDLength {
		return shortFirst
	}
	return accepted
}

// forwardEstablished forwards a datagram to the target named by its connection ID, even
// if the address now belongs to another service: the ID proves that the flow began there.
// The header has the current service.
func (d *decider) forwardEstablished(s *service, t connid.Target, h *frame.Header) decision {
	if !d.isAgentAddress(t.Address.Addr()) {
		return decision{refused: outsideNetworks}
	}
	h.Kind = frame.Forward
	h.Service = s.number
	h.Alternate = netip.AddrPort{}
	h.Target = t.Number
	h.Incarnation = t.Incarnation
	return decision{to: t.Address, kind: frame.Forward}
}

// forwardFirst forwards a datagram to the chosen target.
func forwardFirst(s *service, choice routing.Choice, ok bool, h *frame.Header) decision {
	if !ok {
		return decision{refused: noTarget}
	}
	h.Kind = frame.First
	h.Service = s.number
	h.Alternate = choice.Alternate
	h.Target = choice.Target.Number
	h.Incarnation = choice.Target.Incarnation
	return decision{to: choice.Target.Address, kind: frame.First, reason: choice.Reason, probe: choice.Probe}
}

func (d *decider) isAgentAddress(ip netip.Addr) bool {
	for _, network := range d.networks {
		if network.Contains(ip) {
			return true
		}
	}
	return false
}
