package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// Defaults of ServerOptions.
const (
	DefaultMaxConnections         = 2000
	DefaultMaxStreams             = 64
	DefaultMaxHandshakes          = 256
	DefaultAdmitPerSecond         = 100
	DefaultAdmitBurst             = 200
	DefaultMaxRetryAfter          = 30 * time.Second
	DefaultMaxRequestBytes        = 1 << 20
	DefaultMaxControlRequestBytes = 16 << 20
	DefaultIdleTimeout            = 15 * time.Second
	DefaultRequestTimeout         = 5 * time.Second
	DefaultSendTimeout            = 5 * time.Second
	DefaultDrainTimeout           = 5 * time.Second
)

// Peer is the remote end of a link, as named in its certificate.
type Peer struct {
	Role keys.Role
	Name string
	// Service is set for agents.
	Service string
	// Newcomer is set for a peer that no server has named others to.
	Newcomer bool
}

// Handler serves requests. Both methods are called concurrently.
type Handler interface {
	// Call handles one request. The context is cancelled when the client gives up. A nil
	// response ends the stream without a response, so the client does not learn the outcome.
	Call(ctx context.Context, peer Peer, req *controlpb.Request) *controlpb.Response
	// Subscribe serves a subscription until ctx is done or a method of the stream fails. It
	// must send a message at least every SubscriptionHeartbeatInterval. A *FaultError that it
	// returns is sent to the subscriber.
	Subscribe(ctx context.Context, peer Peer, req *controlpb.Subscribe, s *ServerStream) error
}

// ServerOptions limit the resources used by peers. Zero values mean the defaults.
type ServerOptions struct {
	Scope tally.Scope
	Log   *zap.Logger
	// Allowed lists the roles that are admitted; by default control, entry
	// and agent.
	Allowed []keys.Role
	// MaxConnections bounds the connections of peers other than control hosts.
	MaxConnections int
	// MaxStreams bounds the concurrent requests and subscriptions of one connection.
	MaxStreams int
	// MaxHandshakes bounds the concurrent handshakes.
	MaxHandshakes int
	// AdmitPerSecond and AdmitBurst limit the rate of connections of peers other than control
	// hosts.
	AdmitPerSecond float64
	AdmitBurst     int
	// OtherServers returns the addresses (ip:port) of the servers that a refused client may
	// try, without this one; nil means none.
	OtherServers func() []string
	// MaxRetryAfter bounds the retry-after time sent to refused peers.
	MaxRetryAfter time.Duration
	// MaxRequestBytes bounds a request; MaxControlRequestBytes one of a control host.
	MaxRequestBytes        int
	MaxControlRequestBytes int
	// MaxResponseBytes bounds a response; by default MaxControlRequestBytes.
	MaxResponseBytes int
	// IdleTimeout closes a connection on which nothing arrives.
	IdleTimeout time.Duration
	// RequestTimeout bounds the time to receive a request.
	RequestTimeout time.Duration
	// SendTimeout bounds the time for a peer to read a response.
	SendTimeout time.Duration
	// DrainTimeout bounds the wait of Close for calls in progress.
	DrainTimeout time.Duration
}

func (o ServerOptions) withDefaults() ServerOptions {
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	if len(o.Allowed) == 0 {
		o.Allowed = []keys.Role{keys.RoleControl, keys.RoleEntry, keys.RoleAgent}
	}
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxStreams = cmp.Or(o.MaxStreams, DefaultMaxStreams)
	o.MaxHandshakes = cmp.Or(o.MaxHandshakes, DefaultMaxHandshakes)
	o.AdmitPerSecond = cmp.Or(o.AdmitPerSecond, DefaultAdmitPerSecond)
	o.AdmitBurst = cmp.Or(o.AdmitBurst, DefaultAdmitBurst)
	o.MaxRetryAfter = cmp.Or(o.MaxRetryAfter, DefaultMaxRetryAfter)
	o.MaxRequestBytes = cmp.Or(o.MaxRequestBytes, DefaultMaxRequestBytes)
	o.MaxControlRequestBytes = cmp.Or(o.MaxControlRequestBytes, DefaultMaxControlRequestBytes)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, o.MaxControlRequestBytes)
	if o.OtherServers == nil {
		o.OtherServers = func() []string { return nil }
	}
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.RequestTimeout = cmp.Or(o.RequestTimeout, DefaultRequestTimeout)
	o.SendTimeout = cmp.Or(o.SendTimeout, DefaultSendTimeout)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	return o
}

// Server accepts control links and passes their requests to a Handler.
type Server struct {
	opts      ServerOptions
	creds     *keys.Credentials
	handler   Handler
	counters  serverCounters
	admission *admission

	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener

	// ctx is canceled by Close, which ends the subscriptions.
	ctx    context.Context
	cancel context.CancelFunc
	// loops are the goroutines of connections, streams those of their streams.
	loops   conc.WaitGroup
	streams conc.WaitGroup

	// mu guards the fields below. It is not held during calls to other packages.
	mu         sync.Mutex
	closing    bool
	conns      map[*quic.Conn]struct{}
	handshakes int
	// endedTraffic is the traffic of connections removed from conns.
	endedTraffic Traffic
}

// Listen opens a UDP socket (ip:port) and serves control links on it.
func Listen(addr string, creds *keys.Credentials, h Handler, opts ServerOptions) (*Server, error) {
	opts = opts.withDefaults()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "link address")
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.Wrap(err, "open link socket")
	}
	s := &Server{
		opts:      opts,
		creds:     creds,
		handler:   h,
		counters:  newServerCounters(opts.Scope),
		admission: newAdmission(opts.AdmitPerSecond, opts.AdmitBurst, opts.MaxConnections, opts.MaxRetryAfter),
		socket:    socket,
		conns:     make(map[*quic.Conn]struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		s.cancel()
		_ = socket.Close()
		return nil, err
	}
	s.loops.Go(s.acceptLoop)
	return s, nil
}

func (s *Server) listen() error {
	resetKey := quic.StatelessResetKey(s.creds.StatelessResetKey())
	s.transport = &quic.Transport{
		Conn:               newDatagramFilter(s.socket, s.opts.Scope),
		ConnectionIDLength: serverConnIDLength,
		StatelessResetKey:  &resetKey,
		ConnContext:        s.beginHandshake,
		VerifySourceAddress: func(net.Addr) bool {
			// Under load, clients have to prove their address before a handshake.
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.handshakes > s.opts.MaxHandshakes/2
		},
	}
	var err error
	config := quicConfig(s.opts.IdleTimeout, int64(s.opts.MaxStreams))
	if s.listener, err = s.transport.Listen(s.tlsConfig(), config); err != nil {
		return errors.Wrap(err, "listen for links")
	}
	return nil
}

// tlsConfig returns the TLS configuration, which counts refused peers by reason.
func (s *Server) tlsConfig() *tls.Config {
	config := s.creds.ServerTLS(s.opts.Allowed...)
	// In the order of preference.
	config.NextProtos = []string{protocolNewcomer, protocolQueue, protocolName}
	verify := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		err := verify(state)
		if err != nil {
			s.counters.refusedPeer(err)
		}
		return err
	}
	return config
}

type handshakeKey struct{}

// beginHandshake bounds the concurrent handshakes. endHandshake releases the slot, or the end
// of the context if the handshake fails.
func (s *Server) beginHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	s.mu.Lock()
	full := s.handshakes >= s.opts.MaxHandshakes
	if !full {
		s.handshakes++
	}
	s.mu.Unlock()
	if full {
		s.counters.refusedHandshakes.Inc(1)
		return nil, errors.New("too many handshakes")
	}
	once := new(sync.Once)
	end := func() { once.Do(s.releaseHandshake) }
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

func (s *Server) releaseHandshake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes--
}

func endHandshake(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr {
	return s.socket.LocalAddr()
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops the server: it accepts nothing new, ends subscriptions, waits up to the drain
// timeout for calls in progress and then closes the connections.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closing = true
	s.mu.Unlock()

	s.cancel()
	s.awaitStreams()
	s.closeConnections()
	_ = s.listener.Close()
	s.loops.Wait()
	_ = s.transport.Close()
	if err := s.socket.Close(); err != nil {
		return errors.Wrap(err, "close link socket")
	}
	return nil
}

func (s *Server) awaitStreams() {
	done := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		defer close(done)
		s.streams.Wait()
	})
	select {
	case <-done:
	case <-time.After(s.opts.DrainTimeout):
		s.counters.drainTimeouts.Inc(1)
		s.opts.Log.Warn("drain timeout exceeded, calls in progress aborted",
			zap.Duration("timeout", s.opts.DrainTimeout))
	}
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	conns := make([]*quic.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(codeShutdown, "shutdown")
	}
}
