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
	// defaultMaxRefusalsPerSecond limits replies. Callers beyond it get none and
	// retransmit.
	defaultMaxRefusalsPerSecond = 1000
	// refusalBuffers is the number of first packets that may be queued.
	refusalBuffers = 32
	// refusalBufferSize is the longest datagram that quic-go reads, in bytes.
	refusalBufferSize = 1452
	// maxRefusalsInFlight is the length of quic-go's queue of refusals; it drops the
	// rest.
	maxRefusalsInFlight = 4
)

// errNoTarget makes quic-go reply to a first packet with CONNECTION_REFUSED.
var errNoTarget = errors.New("service has no target")

// refuser refuses connections through quic-go. The reply is an Initial packet with the
// error CONNECTION_REFUSED. It needs no state and is much smaller than the caller's
// packet.
//
// It is the net.PacketConn of a quic-go transport. Workers enqueue datagrams, the
// transport reads them from here, and its replies are sent through the public address.
// Buffers are allocated once, and the limiter bounds the work caused by a flood.
type refuser struct {
	counters  *counters
	transport *quic.Transport
	limiter   refusalLimiter
	// free and pending hold the preallocated buffers.
	free, pending chan *refusedInitial
	// inFlight bounds the refusals that quic-go has accepted and not yet sent.
	inFlight chan struct{}
	done     chan struct{}
}

// refusedInitial is a first packet to be refused.
type refusedInitial struct {
	data [refusalBufferSize]byte
	n    int
	from callerAddr
}

// callerAddr is the address of a caller with the socket for the reply.
type callerAddr struct {
	caller netip.AddrPort
	out    *net.UDPConn
}

// Network implements net.Addr.
func (c callerAddr) Network() string { return "udp" }

// String implements net.Addr.
func (c callerAddr) String() string { return c.caller.String() }

// newRefuser starts a refuser that replies to at most perSecond callers a second.
func newRefuser(c *counters, perSecond int) (*refuser, error) {
	r := &refuser{
		counters: c,
		limiter:  refusalLimiter{perSecond: uint64(perSecond)},
		free:     make(chan *refusedInitial, refusalBuffers),
		pending:  make(chan *refusedInitial, refusalBuffers),
		inFlight: make(chan struct{}, maxRefusalsInFlight),
		done:     make(chan struct{}),
	}
	for range refusalBuffers {
		r.free <- &refusedInitial{}
	}
	r.transport = &quic.Transport{Conn: r}
	_, err := r.transport.Listen(&tls.Config{}, &quic.Config{
		GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) {
			select {
			case r.inFlight <- struct{}{}:
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

// enqueue queues a copy of a first packet, or drops it beyond the limit. It neither
// blocks nor allocates.
func (r *refuser) enqueue(datagram []byte, caller netip.AddrPort, out *net.UDPConn, now time.Duration) {
	if !r.limiter.allow(now) {
		r.counters.refusalsRateLimited.Inc(1)
		return
	}
	select {
	case p := <-r.free:
		p.n = copy(p.data[:], datagram)
		p.from = callerAddr{caller: caller, out: out}
		r.pending <- p
	default:
		r.counters.refusalsRateLimited.Inc(1)
	}
}

// ReadFrom implements net.PacketConn.
func (r *refuser) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-r.pending:
		n, from := copy(b, p.data[:p.n]), p.from
		r.free <- p
		return n, from, nil
	case <-r.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. A failed write counts as a lost packet.
func (r *refuser) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-r.inFlight:
	default: // after stop
	}
	c := to.(callerAddr)
	if _, err := c.out.WriteToUDPAddrPort(b, c.caller); err != nil {
		r.counters.toCallerFailed.Inc(1)
		return len(b), nil
	}
	r.counters.refusalsSent.Inc(1)
	return len(b), nil
}

// stop stops the refuser. It must be called once. Packets queued afterwards are
// dropped.
func (r *refuser) stop() {
	close(r.done)
	_ = r.transport.Close()
}

// Close implements net.PacketConn.
func (r *refuser) Close() error { return nil }

// LocalAddr implements net.PacketConn. The refuser has no address of its own.
func (r *refuser) LocalAddr() net.Addr { return callerAddr{} }

// SetDeadline implements net.PacketConn. Reads end only by stop.
func (r *refuser) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn.
func (r *refuser) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn.
func (r *refuser) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing; quic-go calls it if it exists.
func (r *refuser) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing.
func (r *refuser) SetWriteBuffer(int) error { return nil }

// refusalLimiter limits refusals per second. It is safe for concurrent use.
type refusalLimiter struct {
	perSecond uint64
	// state has the second in the upper half and the number of refusals in it in the
	// lower half.
	state atomic.Uint64
}

const (
	limiterShift = 32
	limiterMask  = 1<<limiterShift - 1
)

// allow reports whether one more refusal is within the limit at now.
func (l *refusalLimiter) allow(now time.Duration) bool {
	second := uint64(now / time.Second)
	for {
		state := l.state.Load()
		used := state & limiterMask
		if state>>limiterShift != second {
			used = 0
		}
		if used >= l.perSecond {
			return false
		}
		if l.state.CompareAndSwap(state, second<<limiterShift|used+1) {
			return true
		}
	}
}
