package flow

import (
	"encoding/binary"

	"github.com/go-faster/errors"
)

// ErrFrame tells that bytes are no frame.
var ErrFrame = errors.New("not a frame")

// Kind tells what a frame is for.
type Kind uint8

// Kinds of frames. The first four carry a packet behind the header.
const (
	// Open: an opening packet for the target beside the receiver.
	Open Kind = 1 + iota
	// Data: a later packet of a flow that the sender believes to live beside the
	// receiver.
	Data
	// Search: a later packet of a flow that the sender does not know, sent to all
	// agents that may hold it.
	Search
	// Missed: a packet on its way back from an agent that does not hold its flow.
	Missed
	// Held: an agent tells an entry host that it holds a flow.
	Held
	// Load: an agent tells an entry host of its target's load, nothing else.
	Load
	// Denied: an agent tells an entry host that searches for a flow that its target
	// does not hold it.
	Denied
	// Located: an agent tells an entry host that searches for a flow where it has heard
	// that the flow lives.
	Located
	// Register: an agent tells another one that it holds flows. Keys follow.
	Register
	// Query: an agent asks another one which flows its target holds. Keys follow.
	Query
	// NotHeld and May answer: the target does not hold the flows, or may hold them. Keys
	// follow.
	NotHeld
	MayHold
	// HeldByNone: an agent tells an entry host that searches for a flow that no target of its
	// service holds it.
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
	// Hops counts how often an opening packet was handed on. In a search it is 0, 1 if
	// an agent has passed it on, or Wide.
	Hops uint8
	// Service is the hash of the name of the service that the packet is for, or of
	// the sender's target in Held.
	Service uint64
	// Entry is where agents answer: the entry host's end.
	Entry Endpoint
	// Alternate is another agent for an opening packet, or zero. In Hinted it is the
	// holder.
	Alternate Endpoint

	// Digest stands in Cleared for the list of agents that were asked.
	Digest uint64

	// The rest is set in Held and Load only.

	// Key of the flow, in Held, Denied, Hinted and Cleared.
	Key Key
	// First is the number of the target's first byte, in Held. Known tells whether
	// the agent saw it.
	First uint32
	Known bool
	// Opened: the caller has acknowledged it.
	Opened bool
	// Number and Incarnation name the target, Report is its load.
	Number, Incarnation uint32
	// LoadPermille is the load of the target in thousandths of its capacity.
	LoadPermille uint16
	Draining     bool
	Unhealthy    bool
}

// Lengths of the headers in bytes.
const (
	packetHeader  = 22
	loadLength    = 12
	heldLength    = loadLength + 24
	deniedLength  = 14
	hintedLength  = deniedLength + 6
	clearedLength = deniedLength + 8
)

// HopsLookup asks the receiver of a search to ask all agents of its service: links of entry
// hosts may be narrow.
const HopsLookup = 2

// Bits of the second byte of Held and Load.
const (
	bitKnown = 1 << iota
	bitOpened
	bitDraining
	bitIll
)

// Append encodes the frame, without the packet that follows.
func (f *Frame) Append(b []byte) []byte {
	switch f.Kind {
	case Held, Load:
		return f.appendReport(b)
	case Denied:
		b = append(b, byte(f.Kind), 0)
		b = appendEndpoint(b, f.Key.Caller)
		return appendEndpoint(b, f.Key.Public)
	case HeldByNone:
		b = append(b, byte(f.Kind), 0)
		b = appendEndpoint(b, f.Key.Caller)
		b = appendEndpoint(b, f.Key.Public)
		return binary.BigEndian.AppendUint64(b, f.Digest)
	case Located:
		b = append(b, byte(f.Kind), 0)
		b = appendEndpoint(b, f.Key.Caller)
		b = appendEndpoint(b, f.Key.Public)
		return appendEndpoint(b, f.Alternate)
	}
	b = append(b, byte(f.Kind), f.Hops)
	b = binary.BigEndian.AppendUint64(b, f.Service)
	b = appendEndpoint(b, f.Entry)
	return appendEndpoint(b, f.Alternate)
}

func (f *Frame) appendReport(b []byte) []byte {
	var bits byte
	for _, set := range []struct {
		on  bool
		bit byte
	}{{f.Known, bitKnown}, {f.Opened, bitOpened}, {f.Draining, bitDraining}, {f.Unhealthy, bitIll}} {
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

func endpoint(b []byte) Endpoint {
	return Endpoint{IP: [4]byte(b[:4]), Port: binary.BigEndian.Uint16(b[4:6])}
}

// ParseFrame decodes a frame and returns the packet behind it. Errors: ErrFrame.
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
		f.Service = binary.BigEndian.Uint64(b[2:10])
		f.Entry = endpoint(b[10:16])
		f.Alternate = endpoint(b[16:22])
		return f, b[packetHeader:], nil
	case Held, Load:
		return parseReport(f, b)
	case Denied:
		if len(b) != deniedLength {
			return Frame{}, nil, ErrFrame
		}
		f.Key = Key{Caller: endpoint(b[2:8]), Public: endpoint(b[8:14])}
		return f, nil, nil
	case Located:
		if len(b) != hintedLength {
			return Frame{}, nil, ErrFrame
		}
		f.Key = Key{Caller: endpoint(b[2:8]), Public: endpoint(b[8:14])}
		f.Alternate = endpoint(b[14:20])
		return f, nil, nil
	case HeldByNone:
		if len(b) != clearedLength {
			return Frame{}, nil, ErrFrame
		}
		f.Key = Key{Caller: endpoint(b[2:8]), Public: endpoint(b[8:14])}
		f.Digest = binary.BigEndian.Uint64(b[14:22])
		return f, nil, nil
	case Register, Query, NotHeld, MayHold:
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
	f.Draining, f.Unhealthy = bits&bitDraining != 0, bits&bitIll != 0
	f.Number = binary.BigEndian.Uint32(b[2:6])
	f.Incarnation = binary.BigEndian.Uint32(b[6:10])
	f.LoadPermille = binary.BigEndian.Uint16(b[10:12])
	if f.Kind == Held {
		f.Key = Key{Caller: endpoint(b[12:18]), Public: endpoint(b[18:24])}
		f.First = binary.BigEndian.Uint32(b[24:28])
		f.Service = binary.BigEndian.Uint64(b[28:36])
	}
	return f, nil, nil
}

const keyLength = 12

// AppendRegister encodes a Register frame.
func AppendRegister(b []byte, keys []Key) []byte { return AppendKeys(b, Register, keys) }

// AppendKeys encodes a frame of a kind that keys follow.
func AppendKeys(b []byte, kind Kind, keys []Key) []byte {
	b = append(b, byte(kind), 0)
	for _, key := range keys {
		b = appendEndpoint(b, key.Caller)
		b = appendEndpoint(b, key.Public)
	}
	return b
}

// ParseKeys decodes what follows in a frame of keys. Errors: ErrFrame.
func ParseKeys(b []byte) ([]Key, error) {
	if len(b)%keyLength != 0 || len(b) > MaxKeys*keyLength {
		return nil, ErrFrame
	}
	keys := make([]Key, 0, len(b)/keyLength)
	for ; len(b) > 0; b = b[keyLength:] {
		keys = append(keys, Key{Caller: endpoint(b[:6]), Public: endpoint(b[6:12])})
	}
	return keys, nil
}

// ServiceHash names a service in a frame (FNV-1a). Agents compare it with the
// service of their own target, also before any control host has told them its
// number.
func ServiceHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
