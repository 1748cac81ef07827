package link

import (
	"net"

	"github.com/uber-go/tally/v4"
	"golang.org/x/net/ipv4"

	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

// fixedBit is set in the first byte of every QUIC packet (RFC 9000, 17).
const fixedBit = 0x40

// filter is the socket of a server. It counts datagrams that can't belong to a
// control link by reason and empties them, so that quic-go, which would drop
// them uncounted, spends nothing on them. A short-header packet passes: only
// quic-go knows whether its connection is open, and answers a former one with a
// stateless reset.
//
// quic-go reads through ReadBatch if there is one, in batches as large as those
// it reads from the bare socket, and everything else goes to the socket itself.
type filter struct {
	*net.UDPConn
	batch   *ipv4.PacketConn
	refused [datagramFaultCount]tally.Counter
}

// datagramFault tells why a datagram can't be a packet of a control link.
type datagramFault uint8

const (
	// noFault: it may be one.
	noFault datagramFault = iota
	// faultNotQUIC: the fixed bit is not set.
	faultNotQUIC
	// faultTruncated: the header has no end.
	faultTruncated
	// faultVersion: a version that control links don't speak.
	faultVersion
	// faultServerPacket: of a type that only servers send.
	faultServerPacket
	// faultShortFirst: a first packet below the sizes that QUIC asks for.
	faultShortFirst

	datagramFaultCount
)

func (f datagramFault) String() string {
	return [datagramFaultCount]string{
		noFault:           "none",
		faultNotQUIC:      "not_quic",
		faultTruncated:    "truncated",
		faultVersion:      "version",
		faultServerPacket: "server_packet",
		faultShortFirst:   "short_first",
	}[f]
}

func newFilter(socket *net.UDPConn, scope tally.Scope) *filter {
	f := &filter{UDPConn: socket, batch: ipv4.NewPacketConn(socket)}
	for why := noFault + 1; why < datagramFaultCount; why++ {
		f.refused[why] = byReason(scope, metricRefusedDatagrams, why.String())
	}
	return f
}

// ReadBatch reads like ipv4.PacketConn. A refused datagram keeps its place in
// the batch with no bytes, which quic-go passes over.
func (f *filter) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	n, err := f.batch.ReadBatch(messages, flags)
	for i := range n {
		m := &messages[i]
		if why := checkDatagram(m.Buffers[0][:m.N]); why != noFault {
			f.refused[why].Inc(1)
			m.N = 0
		}
	}
	return n, err
}

// checkDatagram looks at the invariant header only.
func checkDatagram(datagram []byte) datagramFault {
	header, whole := quicheader.Parse(datagram, serverIDLength)
	switch {
	case !whole:
		return faultTruncated
	case header.Type == quicheader.VersionNegotiation, header.Type == quicheader.Retry:
		return faultServerPacket
	case header.Type == quicheader.UnknownVersion:
		return faultVersion
	case datagram[0]&fixedBit == 0:
		return faultNotQUIC
	case header.Type == quicheader.Initial && len(datagram) < quicheader.MinInitialSize:
		return faultShortFirst
	}
	return noFault
}
