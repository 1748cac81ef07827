package entryd

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

const (
	// defaultRefusals is how many callers a second are told that their service
	// has no target. A caller beyond it hears nothing and asks again.
	defaultRefusals = 1000
	// refusalBuffers is how many first packets may wait for their refusal.
	refusalBuffers = 32
	// refusalLength is as much of a datagram as quic-go takes, in bytes.
	refusalLength = 1452
	// refusalQueue is how many refusals quic-go queues; it drops the others.
	refusalQueue = 4
)

// errNoTarget makes quic-go answer a first packet with CONNECTION_REFUSED.
var errNoTarget = errors.New("service has no target")

// refuser tells callers at once that their connection is refused, as quic-go
// does it for a server that takes none: by an Initial packet with the error
// CONNECTION_REFUSED, without state, a tenth as long as the caller's at most.
//
// It is the net.PacketConn of a quic-go transport. Workers offer datagrams,
// the transport reads them from here and its answers leave through the public
// address that the caller knows. All buffers are made at the start; what a
// flood can ask for is bounded by the budget.
type refuser struct {
	counters  *counters
	transport *quic.Transport
	budget    refusalBudget
	// free and waiting hold the buffers.
	free, waiting chan *refusedFirst
	// queued bounds the refusals that quic-go has taken and not yet sent.
	queued chan struct{}
	done   chan struct{}
}

// refusedFirst is a first packet that gets a refusal.
type refusedFirst struct {
	data [refusalLength]byte
	n    int
	from refusedCaller
}

// refusedCaller is the address of a caller for quic-go, with the socket that
// the answer leaves through.
type refusedCaller struct {
	caller netip.AddrPort
	out    *net.UDPConn
}

// Network implements net.Addr.
func (c refusedCaller) Network() string { return "udp" }

// String implements net.Addr.
func (c refusedCaller) String() string { return c.caller.String() }

// newRefuser starts a refuser that answers at most perSecond callers a second.
func newRefuser(c *counters, perSecond int) (*refuser, error) {
	r := &refuser{
		counters: c,
		budget:   refusalBudget{perSecond: uint64(perSecond)},
		free:     make(chan *refusedFirst, refusalBuffers),
		waiting:  make(chan *refusedFirst, refusalBuffers),
		queued:   make(chan struct{}, refusalQueue),
		done:     make(chan struct{}),
	}
	for range refusalBuffers {
		r.free <- &refusedFirst{}
	}
	r.transport = &quic.Transport{Conn: r}
	_, err := r.transport.Listen(&tls.Config{}, &quic.Config{
		GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) {
			select {
			case r.queued <- struct{}{}:
			case <-r.done:
			}
			return nil, errNoTarget
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers to refuse")
	}
	return r, nil
}

// offer takes a first packet that may be refused. It copies the datagram, waits
// for nothing and allocates nothing.
func (r *refuser) offer(datagram []byte, caller netip.AddrPort, out *net.UDPConn, now time.Duration) {
	if !r.budget.take(now) {
		r.counters.refusalsOverBudget.Inc(1)
		return
	}
	select {
	case p := <-r.free:
		p.n = copy(p.data[:], datagram)
		p.from = refusedCaller{caller: caller, out: out}
		r.waiting <- p
	default:
		r.counters.refusalsOverBudget.Inc(1)
	}
}

// ReadFrom implements net.PacketConn.
func (r *refuser) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-r.waiting:
		n, from := copy(b, p.data[:p.n]), p.from
		r.free <- p
		return n, from, nil
	case <-r.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. A failure to send is a lost packet.
func (r *refuser) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-r.queued:
	default: // stopped
	}
	c := to.(refusedCaller)
	if _, err := c.out.WriteToUDPAddrPort(b, c.caller); err != nil {
		r.counters.toCallerFailed.Inc(1)
		return len(b), nil
	}
	r.counters.refusalsSent.Inc(1)
	return len(b), nil
}

// stop ends the refuser. It must be called once; offers after it go nowhere.
func (r *refuser) stop() {
	close(r.done)
	_ = r.transport.Close()
}

// Close implements net.PacketConn.
func (r *refuser) Close() error { return nil }

// LocalAddr implements net.PacketConn. There is none: see refusedCaller.
func (r *refuser) LocalAddr() net.Addr { return refusedCaller{} }

// SetDeadline implements net.PacketConn. Only stop ends a read.
func (r *refuser) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn.
func (r *refuser) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn.
func (r *refuser) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer takes quic-go's wish for a socket buffer, which has no meaning
// here.
func (r *refuser) SetReadBuffer(int) error { return nil }

// SetWriteBuffer is like SetReadBuffer.
func (r *refuser) SetWriteBuffer(int) error { return nil }

// refusalBudget bounds refusals a second. Many workers may take from it.
type refusalBudget struct {
	perSecond uint64
	// state has the second in the upper half and what was taken in it in the
	// lower one.
	state atomic.Uint64
}

const (
	budgetShift = 32
	budgetMask  = 1<<budgetShift - 1
)

// take reports whether one more refusal fits into the second of now.
func (b *refusalBudget) take(now time.Duration) bool {
	second := uint64(now / time.Second)
	for {
		state := b.state.Load()
		taken := state & budgetMask
		if state>>budgetShift != second {
			taken = 0
		}
		if taken >= b.perSecond {
			return false
		}
		if b.state.CompareAndSwap(state, second<<budgetShift|taken+1) {
			return true
		}
	}
}
