package quicheader

import "encoding/binary"

// Sizes defined by the protocol.
const (
	// MinInitialSize is the minimum size in bytes of a datagram with an Initial packet
	// of a caller (RFC 9000, 14.1).
	MinInitialSize = 1200
	// MinInitialIDLength is the minimum length in bytes of the destination connection
	// ID that a caller chooses for its first packet (RFC 9000, 7.2).
	MinInitialIDLength = 8
)

// Layout of the invariant header.
const (
	longFormBit      = 0x80
	versionOffset    = 1
	versionLength    = 4
	longHeaderLength = versionOffset + versionLength
	typeShift        = 4
	typeMask         = 0x03
)

// Version numbers.
const (
	versionNegotiation = 0
	version1           = 0x00000001
	version2           = 0x6b3343cf
)

// Type is the type of a packet.
type Type uint8

// Types of packets.
const (
	// Short is a packet with a short header.
	Short Type = iota
	// Initial opens a connection.
	Initial
	// ZeroRTT carries early data of a caller.
	ZeroRTT
	// Handshake follows a reply to an Initial.
	Handshake
	// Retry is sent by servers only.
	Retry
	// VersionNegotiation is sent by servers only.
	VersionNegotiation
	// UnknownVersion is a long-header packet of an unsupported version. A server
	// replies to a first one with a Version Negotiation packet.
	UnknownVersion
)

// String returns the type in the form used as a metric label.
func (t Type) String() string {
	switch t {
	case Short:
		return "short"
	case Initial:
		return "initial"
	case ZeroRTT:
		return "0rtt"
	case Handshake:
		return "handshake"
	case Retry:
		return "retry"
	case VersionNegotiation:
		return "version_negotiation"
	case UnknownVersion:
		return "unknown_version"
	default:
		return "invalid"
	}
}

// MayOpenConnection reports whether a packet of this type may belong to a connection
// without a reply so far, so that the caller chose its destination connection ID.
func (t Type) MayOpenConnection() bool {
	return t == Initial || t == ZeroRTT || t == UnknownVersion
}

// Header is the invariant part of a packet.
type Header struct {
	Type Type
	// Version is zero in short headers.
	Version uint32
	// Destination is the destination connection ID, a slice of the datagram.
	Destination []byte
	// Source is the source connection ID, nil in short headers.
	Source []byte
}

// Parse parses the header of the first packet of a datagram and returns false if it is
// truncated. A short header does not contain the length of its connection ID, so
// shortIDLength is the length in bytes that the receiver issues. Parse does not
// allocate; the IDs in h share memory with datagram.
func Parse(datagram []byte, shortIDLength int) (h Header, ok bool) {
	if len(datagram) == 0 {
		return Header{}, false
	}
	if datagram[0]&longFormBit == 0 {
		return parseShort(datagram, shortIDLength)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte, idLength int) (Header, bool) {
	if len(datagram) < 1+idLength {
		return Header{}, false
	}
	return Header{Type: Short, Destination: datagram[1 : 1+idLength]}, true
}

func parseLong(datagram []byte) (Header, bool) {
	if len(datagram) < longHeaderLength {
		return Header{}, false
	}
	version := binary.BigEndian.Uint32(datagram[versionOffset:])
	destination, rest, ok := cutID(datagram[longHeaderLength:])
	if !ok {
		return Header{}, false
	}
	source, _, ok := cutID(rest)
	if !ok {
		return Header{}, false
	}

	return Header{
		Type:        longType(datagram[0], version),
		Version:     version,
		Destination: destination,
		Source:      source,
	}, true
}

// cutID splits b, which starts with a length byte, after the ID.
func cutID(b []byte) (id, rest []byte, ok bool) {
	if len(b) == 0 {
		return nil, nil, false
	}
	end := 1 + int(b[0])
	if len(b) < end {
		return nil, nil, false
	}
	return b[1:end], b[end:], true
}

func longType(first byte, version uint32) Type {
	bits := first >> typeShift & typeMask
	switch version {
	case versionNegotiation:
		return VersionNegotiation
	case version1:
		return [...]Type{Initial, ZeroRTT, Handshake, Retry}[bits]
	case version2:
		return [...]Type{Retry, Initial, ZeroRTT, Handshake}[bits]
	default:
		return UnknownVersion
	}
}
