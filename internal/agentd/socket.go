package agentd

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// maxFrame is the size of the largest frame in bytes.
const maxFrame = 2048

// targetState is the state reported to entry hosts in each reply.
type targetState struct {
	// load uses the average requests. Entry hosts select targets by it. currentLoad is
	// the load at the last check, which decides about redirects.
	load        uint16
	currentLoad uint16
	draining    bool
	unhealthy   bool
}

// loadInput is the input of the load without the flows, which change with each frame.
type loadInput health.LoadInput

// load returns the load for the given number of open flows. The current number is
// used because a delayed load would attract all new flows to one target.
func (b loadInput) load(flows int) uint16 {
	b.Flows = flows
	return health.Load(health.LoadInput(b))
}

// frameSocket exchanges the callers' datagrams with entry hosts as frames. It
// implements net.PacketConn for quic-go, which sees the callers' addresses.
type frameSocket struct {
	conn     *net.UDPConn
	codecs   atomic.Pointer[codecs]
	self     identity
	flows    *flowTable
	clock    clock
	counters *counters
	state    func() targetState
	// redirectAddress returns where to redirect a first packet, if at all.
	redirectAddress func(h *frame.Header) (netip.AddrPort, bool)

	// Used by the reading goroutine only.
	in     [maxFrame]byte
	header frame.Header

	buffers sync.Pool
}

// codecs holds the codecs for one list of data secrets.
type codecs struct {
	frames  *frame.Codec
	ids     *connid.Codec
	secrets []connid.Secret
}

func newFrameSocket(conn *net.UDPConn, self identity, secrets []connid.Secret) (*frameSocket, error) {
	s := &frameSocket{conn: conn, self: self}
	s.buffers.New = func() any { return new([maxFrame]byte) }
	return s, s.setSecrets(secrets)
}

// setSecrets changes the data secrets. Flows continue while the list contains the
// secret of their connection IDs.
func (s *frameSocket) setSecrets(secrets []connid.Secret) error {
	frames, err := frame.NewCodec(secrets)
	if err != nil {
		return errors.Wrap(err, "frame codec")
	}
	ids, err := connid.NewCodec(secrets)
	if err != nil {
		return errors.Wrap(err, "connection ID codec")
	}
	s.codecs.Store(&codecs{frames: frames, ids: ids, secrets: secrets})
	return nil
}

// ReadFrom implements net.PacketConn. It returns the next datagram for this target.
func (s *frameSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, entry, err := s.conn.ReadFromUDPAddrPort(s.in[:])
		if err != nil {
			return 0, nil, err
		}
		entry = netip.AddrPortFrom(entry.Addr().Unmap(), entry.Port())
		f, datagram := s.receive(s.in[:n], entry)
		if f == nil {
			continue
		}
		return copy(p, datagram), f, nil
	}
}

// receive validates one frame. It returns a nil flow for a frame that is refused or
// redirected.
func (s *frameSocket) receive(data []byte, entry netip.AddrPort) (*flow, []byte) {
	s.counters.frames.Inc(1)
	h := &s.header
	if verdict := s.codecs.Load().frames.Parse(data, h); verdict != frame.OK {
		s.counters.count(reason.FrameInvalid)
		return nil, nil
	}
	datagram := data[frame.HeaderLength:]
	if why := s.check(h, datagram); why != reason.None {
		s.counters.count(why)
		s.resetStaleFlow(h, datagram, entry)
		return nil, nil
	}
	if h.Kind == frame.First {
		entry = entryHostOf(h, entry)
		if s.redirect(h, data, entry) {
			return nil, nil
		}
	}
	key := flowKey{caller: h.Caller, public: h.Public}
	return s.flows.received(key, entry, s.clock.now(), h.Kind == frame.Forward), datagram
}

// resetStaleFlow resets a flow of an earlier process at this address.
func (s *frameSocket) resetStaleFlow(h *frame.Header, datagram []byte, entry netip.AddrPort) {
	if h.Kind != frame.Forward {
		return
	}
	reset := s.staleFlowReset(datagram)
	if reset == nil {
		return
	}
	s.counters.staleFlows.Inc(1)
	s.send(reset, newFlow(flowKey{caller: h.Caller, public: h.Public}), entry)
}

// check returns why a frame is not for this target. The connection ID in the datagram
// must name the target, not only the frame header.
func (s *frameSocket) check(h *frame.Header, datagram []byte) reason.Code {
	switch h.Kind {
	case frame.First:
		return s.checkFirst(h, datagram)
	case frame.Forward:
		return s.checkForward(h, datagram)
	default:
		return reason.FrameKind
	}
}

// checkFirst validates a first packet. It names a service but no target.
func (s *frameSocket) checkFirst(h *frame.Header, datagram []byte) reason.Code {
	if h.Service != s.self.serviceNumber {
		return reason.FrameService
	}
	header, ok := quicheader.Parse(datagram, connid.Length)
	if !ok || !header.Type.MayOpenConnection() {
		return reason.FrameConnectionID
	}
	return reason.None
}

// checkForward validates a packet of an established flow by its connection ID, which
// only this process issues. It ignores the service of the public address, which may
// have been reassigned or removed while the flow continues.
func (s *frameSocket) checkForward(h *frame.Header, datagram []byte) reason.Code {
	if h.Target != s.self.number {
		return reason.FrameTarget
	}
	if h.Incarnation != s.self.incarnation {
		return reason.FrameIncarnation
	}
	header, ok := quicheader.Parse(datagram, connid.Length)
	if !ok {
		return reason.FrameConnectionID
	}
	named, verdict := s.codecs.Load().ids.Decode(header.Destination)
	if verdict != connid.OK || named != s.self.connTarget() {
		return reason.FrameConnectionID
	}
	return reason.None
}

// entryHostOf returns the entry host of a first packet. A redirected frame carries it
// in the alternate field.
func entryHostOf(h *frame.Header, sender netip.AddrPort) netip.AddrPort {
	if h.Hops > 0 && h.Alternate.IsValid() {
		return h.Alternate
	}
	return sender
}

// redirect sends a first packet to another target and reports whether it did. The
// frame then carries the entry host for the replies of that target. The entry host
// gets a report from this target, which would look unresponsive otherwise.
func (s *frameSocket) redirect(h *frame.Header, data []byte, entry netip.AddrPort) bool {
	to, ok := s.redirectAddress(h)
	if !ok {
		return false
	}
	h.Hops++
	h.Alternate = entry
	s.codecs.Load().frames.Put(data, h)
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return false
	}
	s.write(nil, flowKey{caller: h.Caller, public: h.Public}, entry)
	return true
}

// WriteTo implements net.PacketConn. It sends a datagram to a caller.
func (s *frameSocket) WriteTo(p []byte, addr net.Addr) (int, error) {
	f, ok := addr.(*flow)
	if !ok || len(p)+frame.HeaderLength > maxFrame {
		return 0, errors.Wrap(ErrNoEntryHost, "address")
	}
	entry, lastResort, ok := s.flows.nextEntryHost(f, s.clock.now())
	if !ok {
		return 0, ErrNoEntryHost
	}
	if lastResort {
		s.counters.lastResort.Inc(1)
	}
	s.send(p, f, entry)
	return len(p), nil
}

// send sends one datagram to a caller.
func (s *frameSocket) send(p []byte, f *flow, entry netip.AddrPort) {
	s.counters.datagrams.Inc(1)
	s.write(p, f.key, entry)
}

// write sends one reply frame. Without a datagram it is a report. Errors are ignored,
// as QUIC recovers from lost packets but would close the connection on an error.
func (s *frameSocket) write(p []byte, key flowKey, entry netip.AddrPort) {
	buffer := s.buffers.Get().(*[maxFrame]byte)
	defer s.buffers.Put(buffer)
	state := s.state()
	h := frame.Header{
		Kind:        frame.Reply,
		Service:     s.self.serviceNumber,
		Caller:      key.caller,
		Public:      key.public,
		Target:      s.self.number,
		Incarnation: s.self.incarnation,
		Load:        state.load,
		Draining:    state.draining,
		Unhealthy:   state.unhealthy,
	}
	s.codecs.Load().frames.Put(buffer[:], &h)
	n := copy(buffer[frame.HeaderLength:], p)
	_, _ = s.conn.WriteToUDPAddrPort(buffer[:frame.HeaderLength+n], entry)
}

// Close implements net.PacketConn.
func (s *frameSocket) Close() error { return s.conn.Close() }

// LocalAddr implements net.PacketConn.
func (s *frameSocket) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (s *frameSocket) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *frameSocket) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (s *frameSocket) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// SetReadBuffer lets quic-go set the receive buffer size.
func (s *frameSocket) SetReadBuffer(bytes int) error { return s.conn.SetReadBuffer(bytes) }

// SetWriteBuffer lets quic-go set the send buffer size.
func (s *frameSocket) SetWriteBuffer(bytes int) error { return s.conn.SetWriteBuffer(bytes) }
