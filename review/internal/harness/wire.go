package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags field.
const (
	flagACK     = 2
	flagFIN     = 4
	flagBounced = 8
	flagSYN     = 16
	flagRST     = 32
)

// Offsets of the header fields, big-endian.
const (
	atSum   = 0
	atFlags = 4
	atSeq   = 12
	atAck   = 16
	atLen   = 20
	atDport = 22
	atDst   = 24
	atSrc   = 28
	atSport = 32

	headerLength = 34
	maxDatagram  = 2048
)

// sumKey is the key of the checksum, which the system does not know.
var sumKey = []byte("stand-in key")

// flowKey identifies a flow by its two ends.
type flowKey struct{ requester, public netip.AddrPort }

func (k flowKey) String() string { return fmt.Sprintf("%s>%s", k.requester, k.public) }

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	// intact: the checksum is that of the sender.
	intact bool
	data   []byte
}

func (p *packet) has(flags byte) bool { return p.flags&flags == flags }

// checksum covers all fields but echo, pad and the bounced flag.
func checksum(b []byte) uint32 {
	sum := crc32.Update(crc32.ChecksumIEEE(sumKey), crc32.IEEETable, []byte{b[atFlags] &^ flagBounced})
	return crc32.Update(sum, crc32.IEEETable, b[atSeq:]) | 1
}

// encode returns the bytes of a packet.
func encode(p *packet) []byte {
	b := make([]byte, headerLength+len(p.data))
	b[atFlags] = p.flags
	binary.BigEndian.PutUint32(b[atSeq:], p.seq)
	binary.BigEndian.PutUint32(b[atAck:], p.ack)
	binary.BigEndian.PutUint16(b[atLen:], uint16(len(p.data)))
	putAddress(b, atDst, atDport, p.dst)
	putAddress(b, atSrc, atSport, p.src)
	copy(b[headerLength:], p.data)
	binary.BigEndian.PutUint32(b[atSum:], checksum(b))
	return b
}

func putAddress(b []byte, ip, port int, a netip.AddrPort) {
	raw := a.Addr().As4()
	copy(b[ip:], raw[:])
	binary.BigEndian.PutUint16(b[port:], a.Port())
}

func addressAt(b []byte, ip, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
}

// decode returns a packet, false if the bytes are none. The data is copied.
func decode(b []byte) (*packet, bool) {
	if len(b) < headerLength || len(b) != headerLength+int(binary.BigEndian.Uint16(b[atLen:])) {
		return nil, false
	}
	p := &packet{
		src:   addressAt(b, atSrc, atSport),
		dst:   addressAt(b, atDst, atDport),
		flags: b[atFlags],
		seq:   binary.BigEndian.Uint32(b[atSeq:]),
		ack:   binary.BigEndian.Uint32(b[atAck:]),
		sum:   binary.BigEndian.Uint32(b[atSum:]),
		data:  append([]byte(nil), b[headerLength:]...),
	}
	p.intact = p.sum == checksum(b)
	return p, true
}
