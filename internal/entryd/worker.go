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
	// maxDatagram is the longest forwarded datagram in bytes. QUIC packets fit an
	// Ethernet frame; more would only enlarge the buffer of each worker.
	maxDatagram = 2048
	// bufferLength has one byte more than the longest frame, to detect truncated
	// datagrams.
	bufferLength = frame.HeaderLength + maxDatagram + 1
	// readErrorDelay prevents a busy loop on a socket whose reads fail.
	readErrorDelay = 10 * time.Millisecond
)

// publicWorker reads one socket of a public address.
type publicWorker struct {
	f    *Forwarder
	l    *listener
	conn *net.UDPConn
	// frameConn is the frame socket used for sending.
	frameConn *net.UDPConn
	buf       [bufferLength]byte
	header    frame.Header
	// probe is an unresponsive target that gets a copy of the datagram, or zero.
	probe routing.TargetRef
}

func (w *publicWorker) run() {
	w.header.Public = w.l.public
	w.f.read(w.conn, w.buf[frame.HeaderLength:], w.handle)
}

// handle forwards the datagram of n bytes, which follows the space for the header in
// buf, to an agent, or counts why it was dropped.
func (w *publicWorker) handle(n int, caller netip.AddrPort) {
	to, refused := w.frame(n, caller)
	if refused != accepted {
		w.f.counters.refused[refused].Inc(1)
		w.refuseConnection(refused, n, caller)
		return
	}
	if _, err := w.frameConn.WriteToUDPAddrPort(w.buf[:frame.HeaderLength+n], to); err != nil {
		w.f.counters.toAgentFailed.Inc(1)
	}
	if w.probe.Address.IsValid() {
		w.sendProbe(n, to)
	}
}

// sendProbe sends a copy of the first packet to an unresponsive target, with the chosen
// agent as alternate.
func (w *publicWorker) sendProbe(n int, chosen netip.AddrPort) {
	w.f.counters.probes.Inc(1)
	w.header.Alternate = chosen
	w.header.Target = w.probe.Number
	w.header.Incarnation = w.probe.Incarnation
	w.f.codecs.Load().frames.Put(w.buf[:], &w.header)
	if _, err := w.frameConn.WriteToUDPAddrPort(w.buf[:frame.HeaderLength+n], w.probe.Address); err != nil {
		w.f.counters.toAgentFailed.Inc(1)
	}
}

// refuseConnection refuses a connection without a target, so that the caller does not
// have to wait for its timeout. Other dropped datagrams get no reply.
func (w *publicWorker) refuseConnection(refused refusal, n int, caller netip.AddrPort) {
	if refused != noTarget || !w.f.tables.Load().complete {
		return
	}
	datagram := w.buf[frame.HeaderLength : frame.HeaderLength+n]
	if packet, _ := quicheader.Parse(datagram, connid.Length); packet.Type != quicheader.Initial {
		return
	}
	w.f.refuser.enqueue(datagram, caller, w.l.conns[0], w.f.now())
}

// frame decides on the datagram and prepends the frame header.
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

// handle forwards the datagram of a reply frame to the caller, or counts why it was
// dropped.
func (w *frameWorker) handle(n int, agent netip.AddrPort) {
	l, refused := w.validateReply(n, agent)
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

// validateReply parses a reply frame, records the report of its sender and returns the
// listener of its public address.
func (w *frameWorker) validateReply(n int, agent netip.AddrPort) (*listener, refusal) {
	if n == len(w.buf) {
		return nil, oversized
	}
	if !w.f.decider.isAgentAddress(agent.Addr()) {
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
	return t.replyListener(h)
}

// replyListener returns the listener through which a reply is sent. The current service
// of the address is ignored: the caller of an established flow knows no other address.
func (t *tables) replyListener(h *frame.Header) (*listener, refusal) {
	l := t.listeners[h.Public]
	if l == nil {
		return nil, unknownAddress
	}
	if h.Caller.Port() == 0 {
		return nil, noCaller
	}
	return l, accepted
}

// read passes the length and the sender of each datagram read into buf to handle, until
// the socket is closed.
func (f *Forwarder) read(conn *net.UDPConn, buf []byte, handle func(int, netip.AddrPort)) {
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			handle(n, unmap(sender))
		case f.socketClosed(err):
			return
		}
	}
}

// socketClosed reports whether a read failed because the socket was closed. It counts
// other errors and delays the next read.
func (f *Forwarder) socketClosed(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	f.counters.readFailed.Inc(1)
	time.Sleep(readErrorDelay)
	return false
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
