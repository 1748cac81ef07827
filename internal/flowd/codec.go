package flowd

import (
	"net/netip"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// ErrPacket tells that a datagram is no packet.
var ErrPacket = errors.New("not a packet")

// Codec reads and writes the packets of callers and backend servers. Its methods
// allocate nothing and may be called concurrently.
type Codec interface {
	// FromCaller reads a packet that a caller sent. Errors: ErrPacket.
	FromCaller(datagram []byte) (flow.Packet, error)
	// FromTarget reads a packet that a backend server sent or sent back; its key has
	// the caller's end and the public one all the same. Errors: ErrPacket.
	FromTarget(datagram []byte) (flow.Packet, error)
	// AppendReset appends a packet that tells a caller that its flow is gone. Seq is
	// the number that the caller expects next.
	AppendReset(to []byte, key flow.Key, seq uint32) []byte
	// Restore turns a packet that a backend server sent back into what its caller
	// sent, in place.
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
