package flow

import (
	"fmt"
	"net/netip"
)

// Endpoint is an IPv4 address and port. It has no pointers, so that the garbage
// collector does not scan the flow tables.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf converts an address, zero unless it is IPv4.
func EndpointOf(a netip.AddrPort) Endpoint {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}
	}
	return Endpoint{IP: ip.As4(), Port: a.Port()}
}

// AddrPort converts the endpoint to a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsZero reports whether the endpoint is unset.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String returns ip:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by its two endpoints.
type Key struct {
	// Caller is the caller's endpoint, Public the address that it connects to.
	Caller, Public Endpoint
}

// String returns both endpoints.
func (k Key) String() string { return fmt.Sprintf("%s>%s", k.Caller, k.Public) }

// Hash returns a 64-bit hash of the key and a salt (FNV-1a, then the finalizer of
// SplitMix64).
func (k Key) Hash(salt uint64) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset) ^ salt
	for _, e := range [2]Endpoint{k.Caller, k.Public} {
		for _, b := range e.IP {
			h = (h ^ uint64(b)) * prime
		}
		h = (h ^ uint64(e.Port)) * prime
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Flags are the control bits of a packet.
type Flags uint8

// Control bits.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Returned: the target sent the packet back because it does not hold the flow or
	// cannot take it.
	Returned
)

// Has reports whether all bits of f2 are set.
func (f Flags) Has(f2 Flags) bool { return f&f2 == f2 }

// Packet has the header fields of a packet of either end.
type Packet struct {
	Key   Key
	Flags Flags
	// Seq and Ack count bytes of the sender and of its peer. In a caller's opening
	// Ack counts the previous transmissions.
	Seq, Ack uint32
	// Length of the data in bytes.
	Length int
}

// IsOpening reports whether a caller's packet opens a flow.
func (p *Packet) IsOpening() bool { return p.Flags.Has(SYN) }
