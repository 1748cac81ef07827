package entryd

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

const (
	// maxDatagram is the longest datagram of a caller or agent that is
	// forwarded, in bytes. QUIC packets fit an Ethernet frame; the room above
	// that is small because every worker holds a buffer.
	maxDatagram = 2048
	// bufferLength has one byte more than the longest frame, which shows
	// whether the system cut a datagram.
	bufferLength = frame.HeaderLength + maxDatagram + 1
	// readPause keeps a socket that fails at each read from taking a core.
	readPause = 10 * time.Millisecond
)

// publicWorker reads one socket of a public address.
type publicWorker struct {
	f    *Forwarder
	l    *listener
	conn *net.UDPConn
	// out is the frame socket that it sends through.
	out    *net.UDPConn
	buf    [bufferLength]byte
	header frame.Header
	// probe is a silent target that gets a copy of the datagram, or zero.
	probe routing.TargetRef
}

func (w *publicWorker) run() {
	w.header.Public = w.l.public
	w.f.read(w.conn, w.buf[frame.HeaderLength:], w.handle)
}

// handle sends the datagram of n bytes that stands behind the room for the
// header on to an agent, or counts why not.
func (w *publicWorker) handle(n int, caller netip.AddrPort) {
	to, refused := w.frame(n, caller)
	if refused != accepted {
		w.f.counters.refused[refused].Inc(1)
		w.tell(refused, n, caller)
		return
	}
	if _, err := w.out.WriteToUDPAddrPort(w.buf[:frame.HeaderLength+n], to); err != nil {
		w.f.counters.toAgentFailed.Inc(1)
	}
	if w.probe.Address.IsValid() {
		w.sendProbe(n, to)
	}
}

// sendProbe sends a copy of the first packet that went to an agent to a silent
// target, with that agent as alternate.
func (w *publicWorker) sendProbe(n int, sent netip.AddrPort) {
	w.f.counters.probes.Inc(1)
	w.header.Alternate = sent
	w.header.Target = w.probe.Number
	w.header.Incarnation = w.probe.Incarnation
	w.f.codecs.Load().frames.Put(w.buf[:], &w.header)
	if _, err := w.out.WriteToUDPAddrPort(w.buf[:frame.HeaderLength+n], w.probe.Address); err != nil {
		w.f.counters.toAgentFailed.Inc(1)
	}
}

// tell answers a first packet for which there is no target, so that the caller
// need not wait for its own deadline. All else that is refused gets no answer.
func (w *publicWorker) tell(refused refusal, n int, caller netip.AddrPort) {
	if refused != noTarget || !w.f.tables.Load().current {
		return
	}
	datagram := w.buf[frame.HeaderLength : frame.HeaderLength+n]
	if packet, _ := quicheader.Parse(datagram, connid.Length); packet.Type != quicheader.Initial {
		return
	}
	w.f.refuser.offer(datagram, caller, w.l.conns[0], w.f.now())
}

// frame decides on the datagram and puts the header before it.
func (w *publicWorker) frame(n int, caller netip.AddrPort) (netip.AddrPort, refusal) {
	if n > maxDatagram {
		return netip.AddrPort{}, oversized
	}
	c := w.f.codecs.Load()
	datagram := w.buf[frame.HeaderLength : frame.HeaderLength+n]
	d := w.f.decider.decide(c, w.l.service.Load(), datagram, caller, w.f.now(), &w.header)
	w.probe = d.probe
	if d.refused != accepted {
		return netip.AddrPort{}, d.refused
	}

	if d.kind == frame.First {
		w.f.counters.first[d.reason].Inc(1)
	} else {
		w.f.counters.forwarded.Inc(1)
	}
	w.header.Caller = caller
	c.frames.Put(w.buf[:], &w.header)
	return d.to, accepted
}

// frameWorker reads one frame socket.
type frameWorker struct {
	f      *Forwarder
	conn   *net.UDPConn
	buf    [bufferLength]byte
	header frame.Header
}

func (w *frameWorker) run() {
	w.f.read(w.conn, w.buf[:], w.handle)
}

// handle sends the datagram of a reply frame to the caller, or counts why not.
func (w *frameWorker) handle(n int, agent netip.AddrPort) {
	l, refused := w.check(n, agent)
	if refused != accepted {
		w.f.counters.refused[refused].Inc(1)
		return
	}
	if n == frame.HeaderLength {
		w.f.counters.reports.Inc(1)
		return
	}

	w.f.counters.replied.Inc(1)
	datagram := w.buf[frame.HeaderLength:n]
	if _, err := l.conns[0].WriteToUDPAddrPort(datagram, w.header.Caller); err != nil {
		w.f.counters.toCallerFailed.Inc(1)
	}
}

// check parses a reply frame, learns what it tells of its sender and returns
// the public address that it leaves through.
func (w *frameWorker) check(n int, agent netip.AddrPort) (*listener, refusal) {
	if n == len(w.buf) {
		return nil, oversized
	}
	if !w.f.decider.inside(agent.Addr()) {
		return nil, outsideNetworks
	}
	h := &w.header
	verdict := w.f.codecs.Load().frames.Parse(w.buf[:n], h)
	if verdict != frame.OK {
		return nil, refusalOfFrame(verdict)
	}
	if h.Kind != frame.Reply {
		return nil, frameKind
	}

	t := w.f.tables.Load()
	report := routing.Report{Load: h.Load, Draining: h.Draining, Unhealthy: h.Unhealthy}
	t.loads.Record(h.Target, h.Incarnation, report, w.f.now())
	return t.outgoing(h)
}

// outgoing returns the public address that a reply leaves through. Which
// service the address stands for now does not matter: the reply belongs to an
// established flow, whose caller knows no other address.
func (t *tables) outgoing(h *frame.Header) (*listener, refusal) {
	l := t.listeners[h.Public]
	if l == nil {
		return nil, unknownAddress
	}
	if h.Caller.Port() == 0 {
		return nil, noCaller
	}
	return l, accepted
}

// read reads datagrams into buf and hands the length and sender of each to
// handle, until the socket is closed.
func (f *Forwarder) read(conn *net.UDPConn, buf []byte, handle func(int, netip.AddrPort)) {
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			handle(n, unmap(sender))
		case f.ended(err):
			return
		}
	}
}

// ended reports whether a read failed because the socket was closed. Other
// failures are counted and followed by a pause.
func (f *Forwarder) ended(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	f.counters.readFailed.Inc(1)
	time.Sleep(readPause)
	return false
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
