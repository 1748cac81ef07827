package flow

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/servicetime"
)

// ErrFrame reports bytes that are not a valid frame.
var ErrFrame = errors.New("not a frame")

// Kind is the type of a frame.
type Kind uint8

// Kinds of frames. The first four carry a packet after the header.
const (
	// Open carries an opening for the receiver's target.
	Open Kind = 1 + iota
	// Data carries a later packet of a flow that the sender expects the receiver to
	// hold.
	Data
	// Search carries a later packet of a flow whose holder the sender does not know.
	Search
	// Missed carries a packet back from an agent that does not hold its flow.
	Missed
	// Held reports to an entry host that the sender holds a flow.
	Held
	// Load reports only the load of the sender's target to an entry host.
	Load
	// Denied reports to an entry host that searches for a flow that the sender's
	// target does not hold it.
	Denied
	// Located names the registered holder of a flow to an entry host that searches
	// for it.
	Located
	// Register reports to another agent that the sender holds flows. Keys follow.
	Register
	// Query asks another agent which of these flows its target holds. Keys follow.
	Query
	// NotHeld and MayHold reply to a Query: the target does not hold these flows, or
	// may hold them. Keys follow.
	NotHeld
	MayHold
	// HeldByNone reports to an entry host that searches for a flow that no target of
	// a service holds it.
	HeldByNone

	// KindCount is one more than the highest kind.
	KindCount
)

var kindNames = [KindCount]string{
	0:          "invalid",
	Open:       "open",
	Data:       "data",
	Search:     "search",
	Missed:     "missed",
	Held:       "held",
	Load:       "load",
	Denied:     "denied",
	Located:    "hinted",
	Register:   "register",
	Query:      "ask",
	NotHeld:    "lacks",
	MayHold:    "may",
	HeldByNone: "cleared",
}

// String returns the kind in the form used as a metric label.
func (k Kind) String() string {
	if k >= KindCount {
		return kindNames[0]
	}
	return kindNames[k]
}

// Frame is a message between entry hosts and agents.
type Frame struct {
	Kind Kind
	// Hops counts how often an opening was forwarded. In a search it is 0, 1 if the
	// receiver must not forward it, or HopsLookup.
	Hops uint8
	// Service is the hash of the name of the packet's service, in Held that of the
	// sender's target.
	Service uint64
	// Entry is the entry host's address for replies of agents.
	Entry Endpoint
	// Alternate is another agent for an opening, or zero. In a forwarded opening, and in
	// Missed if it is refused, it is the agent that the entry host sent the opening to. In
	// Located it is the holder.
	Alternate Endpoint

	// Probed, in Denied: the agent has started after its target and did not know, so that
	// the target was sent the packet.
	Probed bool

	// ServiceDenial is what HeldByNone reports.
	ServiceDenial ServiceDenial

	// Key of the flow, in Held, Denied, Located and HeldByNone.
	Key Key

	// The fields below are set in Held and Load only.

	// First is the initial sequence number of the target, in Held. Known reports
	// whether the agent has seen it.
	First uint32
	Known bool
	// Opened: the caller has acknowledged First.
	Opened bool
	// Number and Incarnation identify the target.
	Number, Incarnation uint32
	// LoadPermille is the load of the target in thousandths of its capacity.
	LoadPermille uint16
	Draining     bool
	Unhealthy    bool

	// ReadsGroup, in Held, Load and Register: the sender reads Group in an Open.
	ReadsGroup bool
	// Pace is the service time of the sender's target in Register, 0 if unknown.
	Pace servicetime.Pace
	// Group of the failure domain of the entry host in Open, 1 to MaxGroup, 0 if unknown. It
	// is sent only to agents that read it.
	Group uint8
}

// Lengths of the headers in bytes.
const (
	packetHeader  = 22
	loadLength    = 12
	heldLength    = loadLength + 24
	deniedLength  = 14
	locatedLength = deniedLength + 6
	// heldByNoneLength is that of releases that do not name the service.
	heldByNoneLength    = deniedLength + 8
	serviceDenialLength = heldByNoneLength + 4
)

// HopsLookup in a search asks the receiver to look the flow up among all agents of its
// service, which saves traffic on the entry host's link.
const HopsLookup = 2

// Bits of the second byte of Held and Load.
const (
	bitKnown = 1 << iota
	bitOpened
	bitDraining
	bitUnhealthy
	bitReadsGroup
)

// Second byte of Open: hops in the low bits, the group above them. Agents of releases before
// groups take the whole byte for the hops.
const (
	hopsMask   = 3
	groupShift = 2
	// MaxGroup is the highest group.
	MaxGroup = 63
)

// Second byte of Register, which releases before groups ignore: a bit for ReadsGroup, the
// pace above it.
const (
	bitRegisterReadsGroup = 1
	paceShift             = 1
)

// bitProbed is a bit of the second byte of Denied.
const bitProbed = 1

// Append encodes the frame, without the packet that follows.
func (f *Frame) Append(b []byte) []byte {
	switch f.Kind {
	case Held, Load:
		return f.appendReport(b)
	case Denied:
		var bits byte
		if f.Probed {
			bits = bitProbed
		}
		b = append(b, byte(f.Kind), bits)
		b = appendEndpoint(b, f.Key.Caller)
		return appendEndpoint(b, f.Key.Public)
	case HeldByNone:
		b = append(b, byte(f.Kind), 0)
		b = appendEndpoint(b, f.Key.Caller)
		b = appendEndpoint(b, f.Key.Public)
		b = binary.BigEndian.AppendUint64(b, f.ServiceDenial.Digest)
		return binary.BigEndian.AppendUint32(b, f.ServiceDenial.Service)
	case Register, Query, NotHeld, MayHold:
		return append(b, byte(f.Kind), f.registerBits())
	case Located:
		b = append(b, byte(f.Kind), 0)
		b = appendEndpoint(b, f.Key.Caller)
		b = appendEndpoint(b, f.Key.Public)
		return appendEndpoint(b, f.Alternate)
	}
	second := f.Hops
	if f.Kind == Open {
		second = f.Hops&hopsMask | f.Group<<groupShift
	}
	b = append(b, byte(f.Kind), second)
	b = binary.BigEndian.AppendUint64(b, f.Service)
	b = appendEndpoint(b, f.Entry)
	return appendEndpoint(b, f.Alternate)
}

// registerBits returns the second byte of a frame of keys, 0 but for Register.
func (f *Frame) registerBits() byte {
	if f.Kind != Register {
		return 0
	}
	bits := byte(f.Pace) << paceShift
	if f.ReadsGroup {
		bits |= bitRegisterReadsGroup
	}
	return bits
}

func (f *Frame) appendReport(b []byte) []byte {
	var bits byte
	for _, set := range []struct {
		on  bool
		bit byte
	}{{f.Known, bitKnown}, {f.Opened, bitOpened}, {f.Draining, bitDraining}, {f.Unhealthy, bitUnhealthy}, {f.ReadsGroup, bitReadsGroup}} {
		if set.on {
			bits |= set.bit
		}
	}
	b = append(b, byte(f.Kind), bits)
	b = binary.BigEndian.AppendUint32(b, f.Number)
	b = binary.BigEndian.AppendUint32(b, f.Incarnation)
	b = binary.BigEndian.AppendUint16(b, f.LoadPermille)
	if f.Kind == Load {
		return b
	}
	b = appendEndpoint(b, f.Key.Caller)
	b = appendEndpoint(b, f.Key.Public)
	b = binary.BigEndian.AppendUint32(b, f.First)
	return binary.BigEndian.AppendUint64(b, f.Service)
}

func appendEndpoint(b []byte, e Endpoint) []byte {
	b = append(b, e.IP[:]...)
	return binary.BigEndian.AppendUint16(b, e.Port)
}

func parseEndpoint(b []byte) Endpoint {
	return Endpoint{IP: [4]byte(b[:4]), Port: binary.BigEndian.Uint16(b[4:6])}
}

// ParseFrame decodes a frame and returns the bytes that follow it. Errors: ErrFrame.
func ParseFrame(b []byte) (f Frame, packet []byte, err error) {
	if len(b) < 2 {
		return Frame{}, nil, ErrFrame
	}
	f.Kind = Kind(b[0])
	switch f.Kind {
	case Open, Data, Search, Missed:
		if len(b) < packetHeader {
			return Frame{}, nil, ErrFrame
		}
		f.Hops = b[1]
		if f.Kind == Open {
			f.Hops, f.Group = b[1]&hopsMask, b[1]>>groupShift
		}
		f.Service = binary.BigEndian.Uint64(b[2:10])
		f.Entry = parseEndpoint(b[10:16])
		f.Alternate = parseEndpoint(b[16:22])
		return f, b[packetHeader:], nil
	case Held, Load:
		return parseReport(f, b)
	case Denied:
		if len(b) != deniedLength {
			return Frame{}, nil, ErrFrame
		}
		f.Probed = b[1]&bitProbed != 0
		f.Key = Key{Caller: parseEndpoint(b[2:8]), Public: parseEndpoint(b[8:14])}
		return f, nil, nil
	case Located:
		if len(b) != locatedLength {
			return Frame{}, nil, ErrFrame
		}
		f.Key = Key{Caller: parseEndpoint(b[2:8]), Public: parseEndpoint(b[8:14])}
		f.Alternate = parseEndpoint(b[14:20])
		return f, nil, nil
	case HeldByNone:
		if len(b) != heldByNoneLength && len(b) != serviceDenialLength {
			return Frame{}, nil, ErrFrame
		}
		f.Key = Key{Caller: parseEndpoint(b[2:8]), Public: parseEndpoint(b[8:14])}
		f.ServiceDenial.Digest = binary.BigEndian.Uint64(b[14:22])
		if len(b) == serviceDenialLength {
			f.ServiceDenial.Service = binary.BigEndian.Uint32(b[22:26])
		}
		return f, nil, nil
	case Register, Query, NotHeld, MayHold:
		if f.Kind == Register {
			f.ReadsGroup, f.Pace = b[1]&bitRegisterReadsGroup != 0, servicetime.Pace(b[1]>>paceShift)
		}
		return f, b[2:], nil
	}
	return Frame{}, nil, ErrFrame
}

func parseReport(f Frame, b []byte) (Frame, []byte, error) {
	want := loadLength
	if f.Kind == Held {
		want = heldLength
	}
	if len(b) != want {
		return Frame{}, nil, ErrFrame
	}
	bits := b[1]
	f.Known, f.Opened = bits&bitKnown != 0, bits&bitOpened != 0
	f.Draining, f.Unhealthy = bits&bitDraining != 0, bits&bitUnhealthy != 0
	f.ReadsGroup = bits&bitReadsGroup != 0
	f.Number = binary.BigEndian.Uint32(b[2:6])
	f.Incarnation = binary.BigEndian.Uint32(b[6:10])
	f.LoadPermille = binary.BigEndian.Uint16(b[10:12])
	if f.Kind == Held {
		f.Key = Key{Caller: parseEndpoint(b[12:18]), Public: parseEndpoint(b[18:24])}
		f.First = binary.BigEndian.Uint32(b[24:28])
		f.Service = binary.BigEndian.Uint64(b[28:36])
	}
	return f, nil, nil
}

const keyLength = 12

// AppendKeys encodes a frame of a kind that carries keys.
func AppendKeys(b []byte, kind Kind, keys []Key) []byte {
	return appendKeys(append(b, byte(kind), 0), keys)
}

func appendKeys(b []byte, keys []Key) []byte {
	for _, key := range keys {
		b = appendEndpoint(b, key.Caller)
		b = appendEndpoint(b, key.Public)
	}
	return b
}

// ParseKeys decodes the keys of a frame. Errors: ErrFrame.
func ParseKeys(b []byte) ([]Key, error) {
	if len(b)%keyLength != 0 || len(b) > MaxKeys*keyLength {
		return nil, ErrFrame
	}
	keys := make([]Key, 0, len(b)/keyLength)
	for ; len(b) > 0; b = b[keyLength:] {
		keys = append(keys, Key{Caller: parseEndpoint(b[:6]), Public: parseEndpoint(b[6:12])})
	}
	return keys, nil
}

// ServiceHash returns the hash of a service name that frames carry (FNV-1a). Agents can
// compare it with their own service before they know its number.
func ServiceHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// GroupOf returns the group of a failure domain by its name, 0 without a name.
func GroupOf(failureDomain string) uint8 {
	if failureDomain == "" {
		return 0
	}
	return uint8(1 + ServiceHash(failureDomain)%MaxGroup)
}
