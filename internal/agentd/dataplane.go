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

// dataPlane is the data plane of a registered target: the frame socket, the QUIC
// transport on top of it, and the callers' sessions.
type dataPlane struct {
	self         identity
	socket       *frameSocket
	transport    *quic.Transport
	listener     *quic.Listener
	sessions     *sessions
	counters     *counters
	stallMonitor *stalls
	timing       timing
	clock        clock
	// watches returns the number of open watches.
	watches func() int64

	isDraining    atomic.Bool
	drainingSince atomic.Int64
	state         atomic.Pointer[targetState]
	lastInput     atomic.Pointer[loadInput]
	wait          conc.WaitGroup
}

// dataPlaneOptions configures a dataPlane.
type dataPlaneOptions struct {
	conn         *net.UDPConn
	self         identity
	secrets      []connid.Secret
	certificate  func() *tls.Certificate
	proxy        *proxy
	stallMonitor *stalls
	flows        *flowTable
	redirector   *redirector
	counters     *counters
	timing       timing
	clock        clock
}

func newDataPlane(o dataPlaneOptions) (*dataPlane, error) {
	socket, err := newFrameSocket(o.conn, o.self, o.secrets)
	if err != nil {
		return nil, err
	}
	p := &dataPlane{
		self:         o.self,
		socket:       socket,
		sessions:     newSessions(o.proxy, o.clock, o.timing),
		watches:      o.proxy.watches.Load,
		counters:     o.counters,
		stallMonitor: o.stallMonitor,
		timing:       o.timing,
		clock:        o.clock,
	}
	p.state.Store(&targetState{})
	p.lastInput.Store(&loadInput{ReportedRunning: -1})
	socket.flows = o.flows
	socket.clock = o.clock
	socket.counters = o.counters
	socket.state = p.currentState
	o.redirector.isDraining = p.isDraining.Load
	o.redirector.state = p.currentState
	socket.redirectAddress = o.redirector.redirectAddress
	p.transport = p.newTransport(o.secrets[0])
	p.listener, err = p.transport.Listen(callerTLS(o.certificate), quicConfig(o.timing))
	if err != nil {
		return nil, errors.Wrap(err, "listen on frames")
	}
	return p, nil
}

// newTransport returns the QUIC transport of the frame socket. It replies to every first
// packet without a token with a Retry, whose connection ID identifies this agent.
func (p *dataPlane) newTransport(secret connid.Secret) *quic.Transport {
	return &quic.Transport{
		Conn: p.socket,
		ConnectionIDGenerator: &idGenerator{
			codec:  func() *connid.Codec { return p.socket.codecs.Load().ids },
			target: p.self.connTarget(),
			random: randomByte,
		},
		StatelessResetKey:   resetKey(secret, p.self.number, p.self.incarnation),
		VerifySourceAddress: func(net.Addr) bool { return true },
		// Tokens of earlier connections expire at once: they would skip the Retry,
		// with which the caller selects the agent that accepts.
		MaxTokenAge: time.Nanosecond,
		ConnContext: p.admit,
	}
}

// admit refuses new connections once the handshake grace of a draining target has
// passed. It counts the others and records in their context when they were opened.
func (p *dataPlane) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if p.isDraining.Load() && p.clock.now()-time.Duration(p.drainingSince.Load()) > p.timing.handshakeGrace {
		p.counters.count(reason.FlowRefused)
		return nil, ErrDraining
	}
	p.counters.connections.Inc(1)
	return p.stallMonitor.withConnOpened(ctx), nil
}

// currentState returns the state with the current load.
func (p *dataPlane) currentState() targetState {
	state := *p.state.Load()
	state.load = p.lastInput.Load().load(p.nonWatchFlows())
	return state
}

// nonWatchFlows returns the number of open flows without a watch. Watches use no
// slots and their flows carry few requests, so they do not count as load.
func (p *dataPlane) nonWatchFlows() int {
	return max(p.sessions.count()-int(p.watches()), 0)
}

// run accepts connections until close.
func (p *dataPlane) run() {
	p.wait.Go(func() { p.sessions.accept(p.listener) })
}

// updateDrain starts or stops refusing new flows, and sends GOAWAY to a share of the
// callers.
func (p *dataPlane) updateDrain(isDraining bool, goAwayShare float64) {
	if isDraining && !p.isDraining.Load() {
		p.drainingSince.Store(int64(p.clock.now()))
	}
	p.isDraining.Store(isDraining)
	p.sessions.updateDrain(goAwayShare)
}

// close closes the data plane and all open sessions.
func (p *dataPlane) close() {
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
		// Frames leave no room for larger packets.
		DisablePathMTUDiscovery: true,
	}
}
