package flowd

import (
	"net/netip"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// ErrPacket reports a datagram that is not a valid packet.
var ErrPacket = errors.New("not a packet")

// Codec decodes and encodes the packets of callers and backend servers. Its methods
// don't allocate and may be called concurrently.
type Codec interface {
	// FromCaller decodes a packet that a caller sent. Errors: ErrPacket.
	FromCaller(datagram []byte) (flow.Packet, error)
	// FromTarget decodes a packet that a backend server sent or sent back. Its key has
	// the caller's endpoint and the public one as well. Errors: ErrPacket.
	FromTarget(datagram []byte) (flow.Packet, error)
	// AppendReset appends a packet that resets a flow. Seq is the sequence number that
	// the caller expects next.
	AppendReset(to []byte, key flow.Key, seq uint32) []byte
	// Restore turns a packet that a backend server sent back into the caller's original,
	// in place.
	Restore(datagram []byte)
}

func parseEndpoint(text string) (flow.Endpoint, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return flow.Endpoint{}, errors.Wrapf(err, "address %q", text)
	}
	e := flow.EndpointOf(address)
	if e.IsZero() {
		return e, errors.Errorf("address %q is not IPv4", text)
	}
	return e, nil
}
