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
	// maxDatagram is more than the longest packet with a frame before it, in bytes.
	maxDatagram = 2048
	// socketBuffer is what the kernel is asked to hold of datagrams that wait, in
	// bytes: 100 ms of a link of 100 Mbit/s.
	socketBuffer = 1 << 20
	// errorLogPause is the least time between two log lines on failed sends.
	errorLogPause = time.Second
)

// socket is a UDP socket whose failures are counted, and logged now and then.
type socket struct {
	conn   *net.UDPConn
	log    *zap.Logger
	failed tally.Counter
	// in and out count what it receives and sends.
	in, out *traffic
	// handling is how long datagrams take from the read to the last send.
	handling tally.Histogram
	loggedAt time.Time
}

// listen opens a socket for datagrams from one kind of peer.
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
		log.Info("receive buffer stays as it is", zap.String("address", address), zap.Error(err))
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

// local returns the address that the socket opened.
func (s *socket) local() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// sendFrame sends a datagram that begins with a frame, sendPacket one that is a packet of
// a caller or backend server, sendReset one that tells a caller that its flow is gone. What
// is lost is sent again by the ends of the flow.
func (s *socket) sendFrame(b []byte, to flow.Endpoint) {
	s.out.frame(b)
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

// serve calls handle for each datagram until the context ends. The slice is valid
// during the call only.
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
			// A socket may report that an earlier datagram found nobody.
			s.failed.Inc(1)
			if now := time.Now(); now.Sub(s.loggedAt) >= errorLogPause {
				s.loggedAt = now
				s.log.Info("datagram not received", zap.Error(err))
			}
			continue
		}
		read := time.Now()
		handle(buffer[:n], flow.EndpointOf(from))
		s.handling.RecordDuration(time.Since(read))
	}
}
