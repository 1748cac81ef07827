package entryd

import (
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
)

// refusal tells why a datagram or frame went no further.
type refusal uint8

// Reasons to refuse a datagram of a caller.
const (
	// accepted: not refused.
	accepted refusal = iota
	// garbage: not even the invariant header of a QUIC packet.
	garbage
	// oversized: longer than maxDatagram.
	oversized
	// unknownConnection: neither an ID of this deployment nor a first packet.
	unknownConnection
	// unknownSecret: the ID may be of this deployment, but its secret isn't
	// known here.
	unknownSecret
	// serverPacket: of a type that only servers send.
	serverPacket
	// shortFirst: a first packet below the sizes that QUIC asks for.
	shortFirst
	// outsideNetworks: the agent's address isn't in the agent networks.
	outsideNetworks
	// noTarget: the service has no target.
	noTarget
)

// Reasons to refuse a frame.
const (
	frameTooShort refusal = iota + noTarget + 1
	frameVersion
	frameSecret
	frameTag
	frameKind
	// unknownAddress: this host doesn't serve that public address.
	unknownAddress
	// noCaller: the frame names no caller.
	noCaller

	refusalCount
)

// String returns the reason in the form used as a metric label.
func (r refusal) String() string {
	names := [refusalCount]string{
		accepted:          "accepted",
		garbage:           "garbage",
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

// refusalOfID translates the verdict on a connection ID that can't open a flow.
func refusalOfID(v connid.Verdict) refusal {
	if v == connid.UnknownSecret {
		return unknownSecret
	}
	return unknownConnection
}

// refusalOfFrame translates the verdict on a frame.
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
