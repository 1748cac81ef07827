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

// maxFrame is the largest frame that the agent reads.
const maxFrame = 2048

// targetState is what the agent tells entry hosts in each reply.
type targetState struct {
	// load is an average, by which entry hosts choose; present is the load of
	// the last check, by which the agent hands flows on.
	load     uint16
	present  uint16
	draining bool
	ill      bool
}

// loadBasis is what the load is made of but for the flows, which change from
// one frame to the next.
type loadBasis health.LoadInput

// load returns the load with the flows that are open now. A figure that told
// of them later would draw all new flows of that time to the same target.
func (b loadBasis) load(flows int) uint16 {
	b.Flows = flows
	return health.Load(health.LoadInput(b))
}

// frameSocket carries the callers' datagrams in frames from and to entry
// hosts. It implements net.PacketConn for quic-go, which sees the callers'
// own addresses.
type frameSocket struct {
	conn     *net.UDPConn
	codecs   atomic.Pointer[codecs]
	self     identity
	flows    *flowTable
	clock    clock
	counters *counters
	state    func() targetState
	// elsewhere returns where to hand on a first packet, if not taken here.
	elsewhere func(h *frame.Header) (netip.AddrPort, bool)

	// Used by the one goroutine that reads.
	in     [maxFrame]byte
	header frame.Header

	buffers sync.Pool
}

// codecs are made of one list of data secrets.
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

// setSecrets changes the data secrets. Flows go on as long as the list holds
// the secrets that their connection IDs were made with.
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

// ReadFrom implements net.PacketConn. It returns the next datagram that is
// meant for this target.
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

// receive checks one frame. It returns a nil flow for a frame that is refused
// or handed on.
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
		s.answerFormerLife(h, datagram, entry)
		return nil, nil
	}
	if h.Kind == frame.First {
		entry = entryOf(h, entry)
		if s.passOn(h, data, entry) {
			return nil, nil
		}
	}
	key := flowKey{caller: h.Caller, public: h.Public}
	return s.flows.heard(key, entry, s.clock.now(), h.Kind == frame.Forward), datagram
}

// answerFormerLife resets a flow of an earlier process at this address.
func (s *frameSocket) answerFormerLife(h *frame.Header, datagram []byte, entry netip.AddrPort) {
	if h.Kind != frame.Forward {
		return
	}
	reset := s.formerLife(datagram)
	if reset == nil {
		return
	}
	s.counters.formerLives.Inc(1)
	s.send(reset, newFlow(flowKey{caller: h.Caller, public: h.Public}), entry)
}

// check tells why a frame is not for this target. A frame that names it in the
// header only is refused too: the connection ID within the datagram decides.
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

// checkFirst holds a first packet to the service of the public address: it
// names no target yet.
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

// checkForward holds a packet of an established flow to its connection ID,
// which only this process issues. The service of the public address is not
// asked for: the address may have passed to another service, or be retired,
// while the flow goes on.
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

// entryOf returns the entry host that a first packet came through. A frame that
// another agent handed on names it in place of the alternate.
func entryOf(h *frame.Header, sender netip.AddrPort) netip.AddrPort {
	if h.Hops > 0 && h.Alternate.IsValid() {
		return h.Alternate
	}
	return sender
}

// passOn hands a first packet on to another target and reports whether it did.
// The frame then names the entry host, through which the other agent answers. The
// entry host also gets a report of this target, which would look silent otherwise.
func (s *frameSocket) passOn(h *frame.Header, data []byte, entry netip.AddrPort) bool {
	to, ok := s.elsewhere(h)
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
	entry, lastResort, ok := s.flows.next(f, s.clock.now())
	if !ok {
		return 0, ErrNoEntryHost
	}
	if lastResort {
		s.counters.lastResort.Inc(1)
	}
	s.send(p, f, entry)
	return len(p), nil
}

// send writes one datagram for a caller.
func (s *frameSocket) send(p []byte, f *flow, entry netip.AddrPort) {
	s.counters.datagrams.Inc(1)
	s.write(p, f.key, entry)
}

// write writes one reply frame, which without a datagram is a report. A failure to
// send is a lost packet, which QUIC mends; reported as an error it would end the
// caller's connection.
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
		Unhealthy:   state.ill,
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

// SetReadBuffer lets quic-go size the buffer of the socket.
func (s *frameSocket) SetReadBuffer(bytes int) error { return s.conn.SetReadBuffer(bytes) }

// SetWriteBuffer lets quic-go size the buffer of the socket.
func (s *frameSocket) SetWriteBuffer(bytes int) error { return s.conn.SetWriteBuffer(bytes) }
