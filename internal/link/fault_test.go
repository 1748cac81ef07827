package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func TestUntrustedAndWrongRoleClientsAreRefused(t *testing.T) {
	d := newDeployment(t)
	other := newDeployment(t)
	server := d.credentials(keys.RoleControl, "c1")
	cases := []struct {
		name   string
		reason string
		creds  func(t *testing.T) *keys.Credentials
	}{
		{"other authority", "stranger", func(t *testing.T) *keys.Credentials {
			// Trusts the server but is signed by another authority.
			both := append(d.CertificatePEM(), other.CertificatePEM()...)
			c, err := keys.InMemory(both, other.pair(keys.RoleEntry, "e1", time.Now()), nil)
			is.New(t).NoErr(err)
			return c
		}},
		{"wrong role", "role", func(*testing.T) *keys.Credentials {
			return d.credentials(keys.RoleOperator, "o1")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newFakeHandler()
			s, scope := startServer(t, anyPort, server, h, ServerOptions{})
			c, clientScope := startClient(t, tc.creds(t), fastOptions(), s.Addr().String())
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := c.Call(ctx, versionQuery())
			is.True(errors.Is(err, ErrNotSent))
			eventually(t, "refusal counted", func() bool { return count(scope, metricRefusedConnections, tc.reason) > 0 })
			eventually(t, "refusal counted by the client", func() bool {
				return count(clientScope, metricDialFailures, "refused_certificate") > 0
			})
			is.Equal(h.calls(), 0)
		})
	}
}

// rawDial connects with a TLS configuration that Credentials does not offer.
func rawDial(t *testing.T, s *Server, config *tls.Config) (*quic.Conn, error) {
	t.Helper()
	config.InsecureSkipVerify = true
	config.NextProtos = []string{protocolName}
	conn, err := quic.DialAddr(timeoutContext(t), s.Addr().String(), config, quicConfig(time.Second, clientIncomingStreams))
	if err == nil {
		t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	}
	return conn, err
}

func TestExpiredAndMissingCertificates(t *testing.T) {
	d := newDeployment(t)
	old := d.pair(keys.RoleEntry, "e1", time.Now().Add(-3*time.Hour))
	expired, err := tls.X509KeyPair(old.Certificate, old.PrivateKey)
	is.New(t).NoErr(err)
	cases := []struct {
		name, reason string
		certs        []tls.Certificate
	}{
		{"expired", "expired", []tls.Certificate{expired}},
		{"missing", "no_certificate", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newFakeHandler()
			s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{})
			conn, err := rawDial(t, s, &tls.Config{Certificates: tc.certs})
			if err == nil {
				// The client's side of the handshake ends before the refusal.
				<-conn.Context().Done()
				err = context.Cause(conn.Context())
			}
			var transport *quic.TransportError
			is.True(errors.As(err, &transport))
			is.True(transport.ErrorCode.IsCryptoError())
			is.Equal(count(scope, metricRefusedConnections, tc.reason), int64(1))
			is.Equal(h.calls(), 0)
		})
	}
}

func TestClientRefusesServerOfWrongRole(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleAgent, "a1"), h, ServerOptions{})
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := c.Call(ctx, versionQuery())
	is.True(errors.Is(err, ErrNotSent))
	eventually(t, "refusal counted", func() bool { return count(scope, metricDialFailures, "server_certificate") > 0 })
	is.Equal(h.calls(), 0)
}

// clientTLS returns the TLS configuration of an admitted peer.
func clientTLS(t *testing.T, d *deployment) *tls.Config {
	t.Helper()
	pair := d.pair(keys.RoleEntry, "e1", time.Now())
	cert, err := tls.X509KeyPair(pair.Certificate, pair.PrivateKey)
	is.New(t).NoErr(err)
	return &tls.Config{Certificates: []tls.Certificate{cert}}
}

func TestMalformedMessages(t *testing.T) {
	d := newDeployment(t)
	cases := []struct {
		name, reason string
		data         []byte
	}{
		{"oversized", "too_large", []byte{0xff, 0xff, 0xff, 0x7f}},
		{"unterminated length", "malformed", []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		{"garbage", "malformed", []byte{3, 0xff, 0xff, 0xff}},
		{"empty request", "malformed", []byte{0}},
		{"truncated", "broken_off", []byte{100, 1, 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newFakeHandler()
			s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{MaxRequestBytes: 1000})
			conn, err := rawDial(t, s, clientTLS(t, d))
			is.NoErr(err)
			stream, err := conn.OpenStream()
			is.NoErr(err)
			_, err = stream.Write(tc.data)
			is.NoErr(err)
			// The server may have refused the stream already, which the read below checks;
			// Close then fails.
			_ = stream.Close()
			var b [1]byte
			_, err = stream.Read(b[:])
			var streamErr *quic.StreamError
			is.True(errors.As(err, &streamErr))
			is.Equal(streamErr.ErrorCode, streamMalformed)
			is.Equal(count(scope, metricRefusedRequests, tc.reason), int64(1))
			is.Equal(h.calls(), 0)
			// The connection stays usable.
			is.NoErr((&connection{quic: conn, sendLimit: 100, receiveLimit: 100}).heartbeat(timeoutContext(t)))
		})
	}
}

func TestClientRefusesLargeRequest(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{MaxRequestBytes: 1000})
	opts := fastOptions()
	opts.MaxRequestBytes = 2000
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), opts, s.Addr().String())
	propose := func(n int) *controlpb.Request {
		return &controlpb.Request{Body: &controlpb.Request_Propose{Propose: &controlpb.Propose{Command: make([]byte, n)}}}
	}
	_, err := c.Call(timeoutContext(t), propose(3000))
	is.True(errors.Is(err, ErrTooLarge))
	_, err = c.Call(timeoutContext(t), propose(1500))
	is.True(errors.Is(err, ErrNotSent)) // the server refused it before reading it
	_, err = c.Call(timeoutContext(t), propose(500))
	is.NoErr(err)
	is.Equal(h.calls(), 1)
}

func TestGarbageDatagrams(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, serverScope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	sub, err := c.Subscribe(timeoutContext(t), &controlpb.Subscribe{})
	is.NoErr(err)
	defer sub.Close()
	raw, err := net.Dial("udp", s.Addr().String())
	is.NoErr(err)
	defer func() { _ = raw.Close() }()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		data := make([]byte, 1+rng.IntN(1400))
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		_, _ = raw.Write(data)
	}
	mustCall(t, c)
	is.Equal(s.Connections(), 1)
	is.Equal(count(scope, metricLostConnections, reasonUnresponsive), int64(0))
	for fault := noFault + 1; fault < datagramFaultCount; fault++ {
		if fault == faultServerPacket || fault == faultShortInitial {
			continue // random bytes hardly ever have a known version
		}
		eventually(t, fault.String()+" counted", func() bool {
			return count(serverScope, metricRefusedDatagrams, fault.String()) > 0
		})
	}
}

func TestCheckDatagram(t *testing.T) {
	is := is.New(t)
	long := func(first byte, version uint32, length int) []byte {
		b := binary.BigEndian.AppendUint32([]byte{first}, version)
		b = append(b, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0)
		return append(b, make([]byte, length-len(b))...)
	}
	for _, tt := range []struct {
		datagram []byte
		want     datagramFault
	}{
		{long(0xc0, 1, 1200), noFault},
		{long(0xd0, 0x6b3343cf, 1200), noFault},
		{long(0xe0, 1, 100), noFault}, // a handshake packet may be short
		{append([]byte{0x40}, make([]byte, serverConnIDLength)...), noFault},
		{nil, faultTruncated},
		{append([]byte{0x40}, make([]byte, serverConnIDLength-1)...), faultTruncated},
		{long(0xc0, 1, 1200)[:12], faultTruncated},
		{append([]byte{0x00}, make([]byte, serverConnIDLength)...), faultNotQUIC},
		{long(0x80, 1, 1200), faultNotQUIC},
		{long(0xc0, 7, 1200), faultVersion},
		{long(0xc0, 0, 1200), faultServerPacket},
		{long(0xf0, 1, 1200), faultServerPacket},
		{long(0xc0, 1, 1199), faultShortInitial},
	} {
		is.Equal(checkDatagram(tt.datagram).String(), tt.want.String())
	}
}

func TestUnresponsivePathIsRedialed(t *testing.T) {
	for _, tc := range []struct {
		name        string
		repliesOnly bool
	}{{"both directions", false}, {"replies only", true}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(),
				ServerOptions{IdleTimeout: time.Second})
			r := startRelay(t, s.Addr())
			c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), r.addr())
			sub, err := c.Subscribe(timeoutContext(t), &controlpb.Subscribe{})
			is.NoErr(err)
			defer sub.Close()
			r.dropKnownPaths(tc.repliesOnly)
			// The subscription on the lost path must end.
			_, err = sub.Receive()
			is.True(err != nil)
			mustCall(t, c)
			is.Equal(count(scope, metricLostConnections, reasonUnresponsive), int64(1))
			is.Equal(r.pathCount(), 2) // the new connection uses another port
			eventually(t, "lost connection closed", func() bool { return s.Connections() == 1 })
		})
	}
}

// Guards against retrying an unresponsive server, which may cost a dial timeout, before the
// other servers.
func TestUnresponsiveServerFailsOver(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	var relays []*relay
	var addrs []string
	for _, name := range []string{"c1", "c2"} {
		s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, name), newFakeHandler(), ServerOptions{})
		r := startRelay(t, s.Addr())
		relays = append(relays, r)
		addrs = append(addrs, r.addr())
	}
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), addrs...)
	mustCall(t, c)
	first := c.Address()
	for _, r := range relays {
		if r.addr() == first {
			r.dropKnownPaths(false)
		}
	}
	eventually(t, "connected to the other server", func() bool { return c.Address() != "" && c.Address() != first })
	is.Equal(count(scope, metricLostConnections, reasonUnresponsive), int64(1))
}

func TestShutdownServerFailsOver(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	a, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	b, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c2"), newFakeHandler(), ServerOptions{})
	servers := map[string]*Server{a.Addr().String(): a, b.Addr().String(): b}
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), a.Addr().String(), b.Addr().String())
	mustCall(t, c)
	first := c.Address()
	is.NoErr(servers[first].Close())
	eventually(t, "connected to the other server", func() bool { return c.Address() != "" && c.Address() != first })
	mustCall(t, c)
	is.Equal(count(scope, metricLostConnections, reasonShutdown), int64(1))
}

// crash stops a server without closing its connections.
func crash(s *Server) {
	s.cancel()
	_ = s.socket.Close()
}

func TestServerRestart(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	creds := d.credentials(keys.RoleControl, "c1")
	s, _ := startServer(t, anyPort, creds, newFakeHandler(), ServerOptions{})
	opts := fastOptions()
	// With this timeout only a stateless reset can end the connection.
	opts.HeartbeatTimeout = testTimeout
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), opts, s.Addr().String())
	mustCall(t, c)
	crash(s)
	h := newFakeHandler()
	startServer(t, s.Addr().String(), creds, h, ServerOptions{})
	eventually(t, "connection reset", func() bool { return count(scope, metricLostConnections, reasonReset) == 1 })
	mustCall(t, c)
	is.Equal(h.calls(), 1)
}

func TestRotationKeepsSubscriptions(t *testing.T) {
	is := is.New(t)
	old, renewed := newDeployment(t), newDeployment(t)
	both := append(old.CertificatePEM(), renewed.CertificatePEM()...)
	h := newFakeHandler()
	serverCreds := old.credentials(keys.RoleControl, "c1")
	clientCreds := old.credentials(keys.RoleEntry, "e1")
	s, _ := startServer(t, anyPort, serverCreds, h, ServerOptions{})
	c, scope := startClient(t, clientCreds, fastOptions(), s.Addr().String())
	sub, err := c.Subscribe(timeoutContext(t), &controlpb.Subscribe{})
	is.NoErr(err)
	defer sub.Close()
	receive := func(v uint64) {
		h.updates <- update(v)
		u, err := sub.Receive()
		is.NoErr(err)
		is.Equal(u.GetHeartbeat().GetVersion(), v)
	}
	receive(1)
	// First both trust both authorities, then the new one signs, then only it is trusted.
	is.NoErr(serverCreds.Replace(both, old.pair(keys.RoleControl, "c1", time.Now()), nil))
	is.NoErr(clientCreds.Replace(both, old.pair(keys.RoleEntry, "e1", time.Now()), nil))
	receive(2)
	is.NoErr(serverCreds.Replace(both, renewed.pair(keys.RoleControl, "c1", time.Now()), nil))
	late, _ := startClient(t, clientCreds, fastOptions(), s.Addr().String())
	mustCall(t, late)
	is.NoErr(clientCreds.Replace(renewed.CertificatePEM(), renewed.pair(keys.RoleEntry, "e1", time.Now()), nil))
	is.NoErr(serverCreds.Replace(renewed.CertificatePEM(), renewed.pair(keys.RoleControl, "c1", time.Now()), nil))
	receive(3)
	last, _ := startClient(t, clientCreds, fastOptions(), s.Addr().String())
	mustCall(t, last)
	is.Equal(c.Address(), s.Addr().String())
	is.Equal(len(scope.Snapshot().Counters()), 0) // nothing was lost or refused
}

func TestAdmissionRateLimitsClients(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(),
		ServerOptions{AdmitPerSecond: 50, AdmitBurst: 2})
	creds := d.credentials(keys.RoleEntry, "e1")
	var busy int64
	var clients []*Client
	var busyCounts []func() int64
	// A client would not see the refusal of an attempt that timed out.
	opts := fastOptions()
	opts.DialTimeout = time.Minute
	for range 10 {
		c, cs := startClient(t, creds, opts, s.Addr().String())
		clients = append(clients, c)
		busyCounts = append(busyCounts, func() int64 { return count(cs, metricDialFailures, "busy") })
	}
	for _, c := range clients {
		mustCall(t, c)
	}
	for _, f := range busyCounts {
		busy += f()
	}
	is.True(busy > 0)
	is.Equal(count(scope, metricRefusedConnections, string(refusalRate)), busy)
	is.Equal(s.Connections(), 10)
}

func TestControlHostsAreExemptFromAdmission(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(),
		ServerOptions{AdmitPerSecond: 0.001, AdmitBurst: 1, MaxConnections: 1, MaxRetryAfter: time.Hour})
	entry, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	mustCall(t, entry)
	peer, _ := startClient(t, d.credentials(keys.RoleControl, "c2"), fastOptions(), s.Addr().String())
	mustCall(t, peer)
	other, scope := startClient(t, d.credentials(keys.RoleEntry, "e2"), fastOptions(), s.Addr().String())
	eventually(t, "refusal counted", func() bool { return count(scope, metricDialFailures, "busy") > 0 })
	is.Equal(other.Address(), "")
	// The retry-after time is 1,000 s. Meanwhile a client that is refused without one
	// retries repeatedly with the same backoff.
	second, refused := startServer(t, anyPort, d.credentials(keys.RoleControl, "c3"), newFakeHandler(), ServerOptions{})
	startClient(t, d.credentials(keys.RoleOperator, "o1"), fastOptions(), second.Addr().String())
	eventually(t, "several retries of the other client", func() bool {
		return count(refused, metricRefusedConnections, "role") >= 10
	})
	is.Equal(count(scope, metricDialFailures, "busy"), int64(1))
}

func TestFailedHandshakesReleaseTheirSlot(t *testing.T) {
	d := newDeployment(t)
	s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{MaxHandshakes: 1})
	startClient(t, d.credentials(keys.RoleOperator, "o1"), fastOptions(), s.Addr().String())
	eventually(t, "several refusals", func() bool { return count(scope, metricRefusedConnections, "role") >= 3 })
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	mustCall(t, c)
}

func TestHandshakesInProgressAreBounded(t *testing.T) {
	d := newDeployment(t)
	s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{MaxHandshakes: 1})
	s.mu.Lock()
	s.handshakes = 1
	s.mu.Unlock()
	c, clientScope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	eventually(t, "refusal counted", func() bool { return count(scope, metricRefusedConnections, "handshakes") > 0 })
	eventually(t, "refusal counted by the client", func() bool { return count(clientScope, metricDialFailures, "refused") > 0 })
	s.releaseHandshake()
	mustCall(t, c)
	eventually(t, "handshake slots released", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.handshakes == 0
	})
}
