package link

import (
	"net"

	"github.com/uber-go/tally/v4"
	"golang.org/x/net/ipv4"

	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

// fixedBit is set in the first byte of every QUIC packet (RFC 9000, 17).
const fixedBit = 0x40

// datagramFilter is the socket of a server. It counts datagrams that can't belong to a
// control link by reason and empties them before they reach quic-go. Short-header packets
// pass, since quic-go replies to unknown connections with a stateless reset.
//
// quic-go reads through ReadBatch if the socket has it.
type datagramFilter struct {
	*net.UDPConn
	batch   *ipv4.PacketConn
	refused [datagramFaultCount]tally.Counter
}

// datagramFault is the reason why a datagram can't be a packet of a control link.
type datagramFault uint8

const (
	// noFault means that it may be one.
	noFault datagramFault = iota
	// faultNotQUIC means that the fixed bit is not set.
	faultNotQUIC
	// faultTruncated means that the header is incomplete.
	faultTruncated
	// faultVersion means an unsupported QUIC version.
	faultVersion
	// faultServerPacket means a packet type that only servers send.
	faultServerPacket
	// faultShortInitial means an Initial packet below QUIC's minimum size.
	faultShortInitial

	datagramFaultCount
)

func (f datagramFault) String() string {
	return [datagramFaultCount]string{
		noFault:           "none",
		faultNotQUIC:      "not_quic",
		faultTruncated:    "truncated",
		faultVersion:      "version",
		faultServerPacket: "server_packet",
		faultShortInitial: "short_first",
	}[f]
}

func newDatagramFilter(socket *net.UDPConn, scope tally.Scope) *datagramFilter {
	f := &datagramFilter{UDPConn: socket, batch: ipv4.NewPacketConn(socket)}
	for fault := noFault + 1; fault < datagramFaultCount; fault++ {
		f.refused[fault] = reasonCounter(scope, metricRefusedDatagrams, fault.String())
	}
	return f
}

// ReadBatch reads like ipv4.PacketConn. A refused datagram keeps its place in the batch with
// length 0, which quic-go ignores.
func (f *datagramFilter) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	n, err := f.batch.ReadBatch(messages, flags)
	for i := range n {
		m := &messages[i]
		if fault := checkDatagram(m.Buffers[0][:m.N]); fault != noFault {
			f.refused[fault].Inc(1)
			m.N = 0
		}
	}
	return n, err
}

// checkDatagram checks only the invariant header.
func checkDatagram(datagram []byte) datagramFault {
	header, complete := quicheader.Parse(datagram, serverConnIDLength)
	switch {
	case !complete:
		return faultTruncated
	case header.Type == quicheader.VersionNegotiation, header.Type == quicheader.Retry:
		return faultServerPacket
	case header.Type == quicheader.UnknownVersion:
		return faultVersion
	case datagram[0]&fixedBit == 0:
		return faultNotQUIC
	case header.Type == quicheader.Initial && len(datagram) < quicheader.MinInitialSize:
		return faultShortInitial
	}
	return noFault
}
