package agentd

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// plane is the data plane of a registered target: the frame socket, QUIC on
// top of it, and the callers' sessions.
type plane struct {
	self      identity
	socket    *frameSocket
	transport *quic.Transport
	listener  *quic.Listener
	sessions  *sessions
	counters  *counters
	still     *standstills
	timing    timing
	clock     clock
	// watches returns the number of open watches.
	watches func() int64

	leaving atomic.Bool
	since   atomic.Int64
	state   atomic.Pointer[targetState]
	basis   atomic.Pointer[loadBasis]
	wait    conc.WaitGroup
}

// planeOptions is what a plane is made of.
type planeOptions struct {
	conn        *net.UDPConn
	self        identity
	secrets     []connid.Secret
	certificate func() *tls.Certificate
	proxy       *proxy
	still       *standstills
	flows       *flowTable
	handOn      *handOn
	counters    *counters
	timing      timing
	clock       clock
}

func newPlane(o planeOptions) (*plane, error) {
	socket, err := newFrameSocket(o.conn, o.self, o.secrets)
	if err != nil {
		return nil, err
	}
	p := &plane{
		self:     o.self,
		socket:   socket,
		sessions: newSessions(o.proxy, o.clock, o.timing),
		watches:  o.proxy.watches.Load,
		counters: o.counters,
		still:    o.still,
		timing:   o.timing,
		clock:    o.clock,
	}
	p.state.Store(&targetState{})
	p.basis.Store(&loadBasis{ReportedRunning: -1})
	socket.flows = o.flows
	socket.clock = o.clock
	socket.counters = o.counters
	socket.state = p.current
	o.handOn.leaving = p.leaving.Load
	o.handOn.state = p.current
	socket.elsewhere = o.handOn.elsewhere
	p.transport = p.newTransport(o.secrets[0])
	p.listener, err = p.transport.Listen(callerTLS(o.certificate), quicConfig(o.timing))
	if err != nil {
		return nil, errors.Wrap(err, "listen on frames")
	}
	return p, nil
}

// newTransport returns the QUIC end of the frame socket. It answers every
// first packet that carries no token by a Retry, whose connection ID names
// this agent.
func (p *plane) newTransport(secret connid.Secret) *quic.Transport {
	return &quic.Transport{
		Conn: p.socket,
		ConnectionIDGenerator: &idGenerator{
			codec:  func() *connid.Codec { return p.socket.codecs.Load().ids },
			target: p.self.connTarget(),
			random: randomByte,
		},
		StatelessResetKey:   resetKey(secret, p.self.number, p.self.incarnation),
		VerifySourceAddress: func(net.Addr) bool { return true },
		// A token of an earlier connection would spare the Retry, and with it
		// the caller's own choice of the one agent that accepts.
		MaxTokenAge: time.Nanosecond,
		ConnContext: p.admit,
	}
}

// admit refuses new connections of a target that has been leaving for longer
// than the grace for handshakes under way, and counts and stamps the others.
func (p *plane) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if p.leaving.Load() && p.clock.now()-time.Duration(p.since.Load()) > p.timing.acceptGrace {
		p.counters.count(reason.FlowRefused)
		return nil, ErrDraining
	}
	p.counters.begun.Inc(1)
	return p.still.opening(ctx), nil
}

// current returns the state with the load of this moment.
func (p *plane) current() targetState {
	state := *p.state.Load()
	state.load = p.basis.Load().load(p.workingFlows())
	return state
}

// workingFlows returns the open flows that are not watched on. A watch takes
// no slot and its flow brings hardly any requests; counted alike, a target
// with many watches would get too few of the others.
func (p *plane) workingFlows() int {
	return max(p.sessions.count()-int(p.watches()), 0)
}

// run accepts connections until the plane is closed.
func (p *plane) run() {
	p.wait.Go(func() { p.sessions.accept(p.listener) })
}

// setLeaving starts or ends the refusal of new flows. The share goAway of the
// callers is told to send the next requests elsewhere.
func (p *plane) setLeaving(leaving bool, goAway float64) {
	if leaving && !p.leaving.Load() {
		p.since.Store(int64(p.clock.now()))
	}
	p.leaving.Store(leaving)
	p.sessions.setLeaving(goAway)
}

// close ends the plane. Sessions still open are cut off.
func (p *plane) close() {
	_ = p.listener.Close()
	p.wait.Wait()
	p.sessions.closeAll()
	p.sessions.wait.Wait()
	_ = p.transport.Close()
	_ = p.socket.Close()
}

func callerTLS(certificate func() *tls.Certificate) *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certificate(), nil
		},
	})
}

func quicConfig(t timing) *quic.Config {
	return &quic.Config{
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: 8,
		KeepAlivePeriod:       t.keepAlive,
		MaxIdleTimeout:        t.idleTimeout,
		// Frames leave no room to probe for larger packets.
		DisablePathMTUDiscovery: true,
	}
}
