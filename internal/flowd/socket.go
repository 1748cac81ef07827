package flowd

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
)

const (
	// maxDatagram is above the size of the longest packet with a frame header, in bytes.
	maxDatagram = 2048
	// socketBuffer is the receive buffer size in bytes: 100 ms at 100 Mbit/s.
	socketBuffer = 1 << 20
	// errorLogInterval is the minimum time between two log lines for receive errors.
	errorLogInterval = time.Second
)

// socket is a UDP socket with counters and rate-limited error logs.
type socket struct {
	conn *net.UDPConn
	log  *zap.Logger
	// failed counts failed sends and receives.
	failed tally.Counter
	// in and out count received and sent datagrams.
	in, out *traffic
	// handling is the time from receiving a datagram to the last send it causes.
	handling     tally.Histogram
	lastErrorLog time.Time
}

// listen opens a socket for datagrams of one kind of peer.
func listen(address, from string, log *zap.Logger, scope tally.Scope) (*socket, error) {
	resolved, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(resolved))
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		log.Info("failed to set receive buffer size", zap.String("address", address), zap.Error(err))
	}
	return &socket{
		conn:     conn,
		log:      log,
		failed:   scope.Counter("failed_sends"),
		in:       newTraffic(scope, from, received),
		out:      newTraffic(scope, from, sent),
		handling: scope.Tagged(map[string]string{"from": from}).Histogram("handling_seconds", metrics.DurationBuckets),
	}, nil
}

// local returns the socket's address.
func (s *socket) local() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// sendFrame sends a datagram that begins with a frame, sendPacket a packet of a caller or
// backend server, sendReset a reset. Failures are only counted: both ends of a flow
// retransmit lost packets.
func (s *socket) sendFrame(b []byte, to flow.Endpoint) {
	s.out.countFrame(b)
	s.send(b, to)
}

func (s *socket) sendPacket(b []byte, to flow.Endpoint) {
	s.out.packets.add(len(b))
	s.send(b, to)
}

func (s *socket) sendReset(b []byte, to flow.Endpoint) {
	s.out.resets.add(len(b))
	s.send(b, to)
}

func (s *socket) send(b []byte, to flow.Endpoint) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to.AddrPort()); err != nil {
		s.failed.Inc(1)
	}
}

// serve calls handle for each datagram until the context ends. The slice is only valid
// during the call.
func (s *socket) serve(ctx context.Context, handle func(b []byte, from flow.Endpoint)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// ICMP errors for earlier datagrams are reported here.
			s.failed.Inc(1)
			if now := time.Now(); now.Sub(s.lastErrorLog) >= errorLogInterval {
				s.lastErrorLog = now
				s.log.Info("failed to receive datagram", zap.Error(err))
			}
			continue
		}
		read := time.Now()
		handle(buffer[:n], flow.EndpointOf(from))
		s.handling.RecordDuration(time.Since(read))
	}
}
