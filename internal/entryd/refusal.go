package entryd

import (
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
)

// refusal is the reason why a datagram or frame was dropped.
type refusal uint8

// Reasons to drop a datagram of a caller.
const (
	// accepted means not dropped.
	accepted refusal = iota
	// malformed: no valid invariant header of a QUIC packet.
	malformed
	// oversized: longer than maxDatagram.
	oversized
	// unknownConnection: the connection ID is not of this deployment, and the packet
	// can't open a flow.
	unknownConnection
	// unknownSecret: the connection ID uses a secret that is not known here.
	unknownSecret
	// serverPacket: of a type that only servers send.
	serverPacket
	// shortFirst: a first packet below the minimum sizes of QUIC.
	shortFirst
	// outsideNetworks: the agent's address isn't in the agent networks.
	outsideNetworks
	// noTarget: the service has no target.
	noTarget
)

// Reasons to drop a frame.
const (
	frameTooShort refusal = iota + noTarget + 1
	frameVersion
	frameSecret
	frameTag
	frameKind
	// unknownAddress: the public address is not open on this host.
	unknownAddress
	// noCaller: the frame has no caller address.
	noCaller

	refusalCount
)

// String returns the reason in the form used as a metric label.
func (r refusal) String() string {
	names := [refusalCount]string{
		accepted:          "accepted",
		malformed:         "garbage",
		oversized:         "oversized",
		unknownConnection: "unknown_connection",
		unknownSecret:     "unknown_secret",
		serverPacket:      "server_packet",
		shortFirst:        "short_first",
		outsideNetworks:   "outside_networks",
		noTarget:          "no_target",
		frameTooShort:     "frame_too_short",
		frameVersion:      "frame_version",
		frameSecret:       "frame_secret",
		frameTag:          "frame_tag",
		frameKind:         "frame_kind",
		unknownAddress:    "unknown_address",
		noCaller:          "no_caller",
	}
	if r >= refusalCount {
		return "invalid"
	}
	return names[r]
}

// refusalOfID converts the verdict on a connection ID of a packet that can't open a
// flow.
func refusalOfID(v connid.Verdict) refusal {
	if v == connid.UnknownSecret {
		return unknownSecret
	}
	return unknownConnection
}

// refusalOfFrame converts the verdict on a frame.
func refusalOfFrame(v frame.Verdict) refusal {
	switch v {
	case frame.OK:
		return accepted
	case frame.TooShort:
		return frameTooShort
	case frame.WrongVersion:
		return frameVersion
	case frame.UnknownSecret:
		return frameSecret
	case frame.WrongTag:
		return frameTag
	default:
		return frameKind
	}
}
