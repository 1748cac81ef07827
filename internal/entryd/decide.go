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

// codecs are made from one list of secrets and swapped together.
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

// service is what a public address stands for at the moment. It is immutable.
type service struct {
	number uint32
	table  *routing.Table
}

// decision tells what becomes of a datagram of a caller.
type decision struct {
	// to is the frame address of the agent that gets it.
	to      netip.AddrPort
	kind    frame.Kind
	reason  routing.Reason
	refused refusal
	// probe is a target that gets a copy of the datagram, or zero.
	probe routing.TargetRef
}

// decider holds what decides on datagrams and stays the same while the
// forwarder lives.
type decider struct {
	networks []netip.Prefix
}

// decide tells where a datagram goes that came in on a public address of s,
// and fills in the header of its frame. Caller and public address are left to
// the worker. It allocates nothing.
func (d *decider) decide(c *codecs, s *service, datagram []byte, caller netip.AddrPort, now time.Duration, h *frame.Header) decision {
	packet, ok := quicheader.Parse(datagram, connid.Length)
	if !ok {
		return decision{refused: garbage}
	}
	target, verdict := c.ids.Decode(packet.Destination)
	if verdict == connid.OK {
		return d.forward(s, target, h)
	}
	if refused := checkFirst(packet, len(datagram), verdict); refused != accepted {
		return decision{refused: refused}
	}
	hash := c.hasher.Hash(caller, packet.Destination)
	if packet.Type == quicheader.ZeroRTT {
		// An agent drops early data, without a word.
		choice, ok := s.table.ChooseNoReply(hash, now)
		return first(s, choice, ok, h)
	}
	choice, ok := s.table.Choose(hash, now)
	return first(s, choice, ok, h)
}

// checkFirst tells why a packet whose connection ID names no target can't be
// the first of a flow.
func checkFirst(packet quicheader.Header, length int, verdict connid.Verdict) refusal {
	switch packet.Type {
	case quicheader.Short, quicheader.Handshake:
		return refusalOfID(verdict)
	case quicheader.Retry, quicheader.VersionNegotiation:
		return serverPacket
	}

	// A packet with early data may be short: it comes along with an Initial.
	if packet.Type != quicheader.ZeroRTT && length < quicheader.MinInitialSize {
		return shortFirst
	}
	if len(packet.Destination) < quicheader.MinInitialIDLength {
		return shortFirst
	}
	return accepted
}

// forward sends a datagram to the target that its connection ID names. The ID
// is proof that the flow began there, also when the address has passed to
// another service since; the service in the header says only what the address
// stands for here.
func (d *decider) forward(s *service, t connid.Target, h *frame.Header) decision {
	if !d.inside(t.Address.Addr()) {
		return decision{refused: outsideNetworks}
	}
	h.Kind = frame.Forward
	h.Service = s.number
	h.Alternate = netip.AddrPort{}
	h.Target = t.Number
	h.Incarnation = t.Incarnation
	return decision{to: t.Address, kind: frame.Forward}
}

// first sends a datagram to the target that routing chose.
func first(s *service, choice routing.Choice, ok bool, h *frame.Header) decision {
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

func (d *decider) inside(ip netip.Addr) bool {
	for _, network := range d.networks {
		if network.Contains(ip) {
			return true
		}
	}
	return false
}
