package frame

import (
	"encoding/binary"
	"net/netip"
)

const (
	ipv4Length = 4
	ipv6Length = 16
)

// putAddrPort writes an address as 16 bytes and a port, or zeros if it is invalid.
func putAddrPort(b []byte, a netip.AddrPort) {
	if !a.IsValid() {
		clear(b[:ipv6Length+2])
		return
	}
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[ipv6Length:], a.Port())
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([ipv6Length]byte(b[:ipv6Length])).Unmap()
	port := binary.BigEndian.Uint16(b[ipv6Length:])
	if port == 0 && ip.IsUnspecified() {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, port)
}

func putIPv4(b []byte, a netip.AddrPort) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		clear(b[:ipv4Length+2])
		return
	}
	ip4 := ip.As4()
	copy(b, ip4[:])
	binary.BigEndian.PutUint16(b[ipv4Length:], a.Port())
}

func ipv4(b []byte) netip.AddrPort {
	ip := netip.AddrFrom4([ipv4Length]byte(b[:ipv4Length]))
	port := binary.BigEndian.Uint16(b[ipv4Length:])
	if port == 0 && ip.IsUnspecified() {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, port)
}

func putUint24(b []byte, v uint32) {
	b[0] = byte(v >> 16)
	b[1] = byte(v >> 8)
	b[2] = byte(v)
}

func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}
