package agentd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

const (
	testService = "lodgement"
	waitTimeout = unittest.Timeout
)

func testTiming() timing {
	t := defaultTiming()
	t.handshakeGrace = 50 * time.Millisecond
	t.minDrainTime = 300 * time.Millisecond
	t.successorTimeout = 50 * time.Millisecond
	t.goAwayRamp = 50 * time.Millisecond
	t.idleCloseTimeout = 300 * time.Millisecond
	t.announceLease = time.Minute
	t.completeTimeout = 200 * time.Millisecond
	t.backgroundTimeout = 5 * time.Second
	t.grantTimeout = 300 * time.Millisecond
	t.grantCallTimeout = 100 * time.Millisecond
	t.drainAnnounceTimeout = time.Second
	t.listenRetryInterval = 10 * time.Millisecond
	t.stallThreshold = time.Minute // load on the test machine must not count as a stall
	t.stallGrace = 50 * time.Second
	t.housekeepingInterval = 10 * time.Millisecond
	t.keepAlive = time.Second
	return t
}

// testCluster is a deployment on loopback: an entry host, control hosts and shared
// keys.
type testCluster struct {
	t       *testing.T
	secrets []connid.Secret
	roots   *x509.CertPool
	cert    *tls.Certificate
	control *fakeControl
	entry   *fakeEntry
	targets *fakeDirectory
	// client is the first caller.
	client *http.Client
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	t.Parallel() // each cluster has its own addresses
	tc := &testCluster{t: t, control: newFakeControl(), targets: &fakeDirectory{}}
	tc.secrets = []connid.Secret{{ID: 1, Key: [connid.SecretLength]byte{1, 2, 3}}}
	authority, err := keys.NewAuthority(time.Now(), time.Hour)
	must(t, err)
	pair, err := authority.IssueCaller(testService, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	must(t, err)
	tc.cert, err = keys.ParseCallerCertificate(pair)
	must(t, err)
	tc.roots = x509.NewCertPool()
	tc.roots.AppendCertsFromPEM(authority.CertificatePEM())
	tc.entry = newFakeEntry(t, tc.secrets, 2)
	tc.client = tc.caller()
	return tc
}

func (tc *testCluster) currentSecrets() []connid.Secret { return tc.secrets }

// agent is a running daemon under test.
type agent struct {
	*Daemon
	scope     tally.TestScope
	published *fakeAnnouncer
	stop      context.CancelFunc
	done      chan error
	// secretsChanged notifies the daemon of changed secrets.
	secretsChanged func()
	// clockOffset is added to the clock of the daemon.
	clockOffset atomic.Int64
	// housekeepingRuns counts housekeeping runs.
	housekeepingRuns atomic.Int64
}

// agentDirectory is the directory of one agent. It counts the accesses by
// housekeeping.
type agentDirectory struct {
	*fakeDirectory
	housekeepingRuns *atomic.Int64
}

func (d agentDirectory) Service(number uint32) *configpb.Service {
	d.housekeepingRuns.Add(1)
	return d.fakeDirectory.Service(number)
}

// advance advances the clock of the daemon and waits until housekeeping has seen it.
func (a *agent) advance(t *testing.T, span time.Duration) {
	t.Helper()
	a.clockOffset.Add(int64(span))
	before := a.housekeepingRuns.Load()
	// A run in progress may have read the clock before. The next one has ended when
	// the third begins.
	eventually(t, "housekeeping", func() bool { return a.housekeepingRuns.Load() >= before+3 })
}

// startAgent runs a daemon and announces the backend server to it.
func (tc *testCluster) startAgent(target string, backendURL string) *agent {
	return tc.startAgentWith(target, backendURL, testTiming(), nil)
}

func (tc *testCluster) startAgentWith(target, backendURL string, timing timing, change func(*settingspb.Agent)) *agent {
	tc.t.Helper()
	a := tc.launch(target, timing, change)
	<-a.Ready()
	a.announceState(tc.t, target, backendURL, "serving")
	eventually(tc.t, "registration", func() bool { return a.serving() })
	return a
}

// launch runs a daemon without waiting for it.
func (tc *testCluster) launch(target string, timing timing, change func(*settingspb.Agent)) *agent {
	tc.t.Helper()
	settings := &settingspb.AgentSettings{
		Host:  &settingspb.Host{Name: "host-" + target, FailureDomain: "bodija"},
		Agent: &settingspb.Agent{FrameListen: "127.0.0.1:0", AnnounceListen: "127.0.0.1:0", PollMs: 20},
	}
	if change != nil {
		change(settings.Agent)
	}
	a := &agent{scope: tally.NewTestScope("", nil), published: &fakeAnnouncer{}, done: make(chan error, 1)}
	p := deps{
		control: tc.control, connected: tc.control.connected, startAnnouncer: a.published.startAnnouncer(tc.control), secrets: tc.currentSecrets,
		onSecretsChange: func(f func()) { a.secretsChanged = f },
		subscribe:       func(uint32) directory { return agentDirectory{tc.targets, &a.housekeepingRuns} },
		now:             func() time.Time { return time.Now().Add(time.Duration(a.clockOffset.Load())) },
		certificate:     func() *tls.Certificate { return tc.cert }, service: testService, close: func() {},
	}
	daemon, err := newDaemon(settings, zap.NewNop(), a.scope, p, timing)
	must(tc.t, err)
	a.Daemon = daemon
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	go func() { a.done <- daemon.Run(ctx) }()
	tc.t.Cleanup(func() {
		cancel()
		if one := daemon.dataPlane.Load(); one != nil {
			one.sessions.closeAll()
		}
		a.waitDone(tc.t)
	})
	return a
}

func (a *agent) serving() bool {
	p := a.dataPlane.Load()
	return p != nil && a.published.last().GetState() == controlpb.TargetState_TARGET_STATE_SERVING
}

// handshakeGraceExpired reports whether the agent drains and no longer accepts flows.
func (a *agent) handshakeGraceExpired() bool {
	p := a.dataPlane.Load()
	return p.isDraining.Load() && p.clock.now()-time.Duration(p.drainingSince.Load()) > a.timing.handshakeGrace
}

// lostConnections returns the number of closed connections with running requests.
func (a *agent) lostConnections() int {
	open := a.dataPlane.Load().sessions
	open.mu.Lock()
	defer open.mu.Unlock()
	count := 0
	for p := range open.open {
		if p.conn.Context().Err() != nil && p.active.Load() > 0 {
			count++
		}
	}
	return count
}

func (a *agent) waitDone(t *testing.T) {
	t.Helper()
	select {
	case err := <-a.done:
		if err != nil {
			t.Errorf("agent ended with %v", err)
		}
		a.done <- err
	case <-time.After(waitTimeout):
		t.Error("agent did not end")
	}
}

// counter returns the sum of a counter over the tags with the reason, or over all
// tags if reason is empty.
func (a *agent) counter(name, reason string) int64 {
	return unittest.Counter(a.scope, name, reason)
}

var (
	eventually = unittest.Eventually
	must       = unittest.Must
)

// caller returns an HTTP/3 client that connects to the entry host.
func (tc *testCluster) caller() *http.Client {
	return tc.callerWith(200 * time.Millisecond)
}

// callerWith returns a client with a keep-alive period. With 0, it sends neither
// keep-alives nor MTU probes.
func (tc *testCluster) callerWith(keepAlive time.Duration) *http.Client {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: tc.roots, ServerName: testService},
		QUICConfig:      &quic.Config{KeepAlivePeriod: keepAlive, MaxIdleTimeout: 10 * time.Second, DisablePathMTUDiscovery: keepAlive == 0},
	}
	tc.t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport}
}

func (tc *testCluster) url(path string) string {
	return "https://" + tc.entry.public.LocalAddr().String() + path
}

// mustSend sends a request of the first caller.
func (tc *testCluster) mustSend(t *testing.T, method, path, body string, headers ...string) callerResponse {
	t.Helper()
	return mustSend(t, tc.client, method, tc.url(path), body, headers...)
}

// checkRefused checks that a response is a refusal with these values.
func checkRefused(t *testing.T, got callerResponse, status int, outcome, why string) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.status, status)
	is.Equal(got.header.Get(headerOutcome), outcome)
	is.Equal(got.header.Get(headerReason), why)
}

// fakeEntry relays datagrams between callers and agents like entry hosts.
type fakeEntry struct {
	public *net.UDPConn
	// hosts are the frame sockets, one per simulated entry host.
	hosts    []*net.UDPConn
	down     []atomic.Bool
	nextHost atomic.Uint32
	codecs   atomic.Pointer[codecs]

	mu        sync.Mutex
	target    netip.AddrPort
	alternate netip.AddrPort
	service   uint32
	draining  map[uint32]bool
	// reports counts frames without a datagram per target.
	reports map[uint32]int
	retries int
}

func newFakeEntry(t *testing.T, secrets []connid.Secret, hosts int) *fakeEntry {
	t.Helper()
	e := &fakeEntry{service: 1, down: make([]atomic.Bool, hosts), draining: map[uint32]bool{}, reports: map[uint32]int{}}
	e.setSecrets(t, secrets)
	e.public = listenUDP(t)
	for range hosts {
		e.hosts = append(e.hosts, listenUDP(t))
	}
	for n := range hosts {
		go e.fromAgents(n)
	}
	go e.fromCallers()
	return e
}

func (e *fakeEntry) setSecrets(t *testing.T, secrets []connid.Secret) {
	t.Helper()
	frames, err := frame.NewCodec(secrets)
	must(t, err)
	ids, err := connid.NewCodec(secrets)
	must(t, err)
	e.codecs.Store(&codecs{frames: frames, ids: ids, secrets: secrets})
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// setRoute sets the destination and the alternate of first packets.
func (e *fakeEntry) setRoute(target, alternate string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target = netip.MustParseAddrPort(target)
	e.alternate = netip.AddrPort{}
	if alternate != "" {
		e.alternate = netip.MustParseAddrPort(alternate)
	}
}

// retryCount returns the number of QUIC Retries sent by agents.
func (e *fakeEntry) retryCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries
}

// reportCount returns the number of frames without a datagram from a target.
func (e *fakeEntry) reportCount(target uint32) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports[target]
}

// reportedDraining returns the draining flag of the last reply of a target.
func (e *fakeEntry) reportedDraining(target uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining[target]
}

func (e *fakeEntry) publicAddr() netip.AddrPort {
	return e.public.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (e *fakeEntry) fromCallers() {
	buffer := make([]byte, maxFrame)
	for {
		n, caller, err := e.public.ReadFromUDPAddrPort(buffer[frame.HeaderLength:])
		if err != nil {
			return
		}
		datagram := buffer[frame.HeaderLength : frame.HeaderLength+n]
		h, to := e.route(datagram, netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()))
		host := int(e.nextHost.Add(1)) % len(e.hosts)
		if !to.IsValid() || e.down[host].Load() {
			continue
		}
		e.codecs.Load().frames.Put(buffer, &h)
		_, _ = e.hosts[host].WriteToUDPAddrPort(buffer[:frame.HeaderLength+n], to)
	}
}

func (e *fakeEntry) route(datagram []byte, caller netip.AddrPort) (frame.Header, netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := frame.Header{Kind: frame.First, Service: e.service, Caller: caller, Public: e.publicAddr(), Alternate: e.alternate}
	header, ok := quicheader.Parse(datagram, connid.Length)
	if !ok {
		return h, netip.AddrPort{}
	}
	named, verdict := e.codecs.Load().ids.Decode(header.Destination)
	if verdict != connid.OK {
		return h, e.target
	}
	h.Kind = frame.Forward
	h.Alternate = netip.AddrPort{}
	h.Target = named.Number
	h.Incarnation = named.Incarnation
	return h, named.Address
}

func (e *fakeEntry) fromAgents(host int) {
	buffer := make([]byte, maxFrame)
	for {
		n, _, err := e.hosts[host].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var h frame.Header
		if e.down[host].Load() || e.codecs.Load().frames.Parse(buffer[:n], &h) != frame.OK || h.Kind != frame.Reply {
			continue
		}
		e.mu.Lock()
		e.draining[h.Target] = h.Draining
		if n == frame.HeaderLength {
			e.reports[h.Target]++
		}
		if header, ok := quicheader.Parse(buffer[frame.HeaderLength:n], connid.Length); ok && header.Type == quicheader.Retry {
			e.retries++
		}
		e.mu.Unlock()
		_, _ = e.public.WriteToUDPAddrPort(buffer[frame.HeaderLength:n], h.Caller)
	}
}

// fakeDirectory is the agents' view of the deployment.
type fakeDirectory struct {
	mu      sync.Mutex
	service *configpb.Service
	targets []*controlpb.TargetRecord
	// evacuated is the evacuated failure domain, if any.
	evacuated string
}

func (f *fakeDirectory) Service(uint32) *configpb.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service
}

func (f *fakeDirectory) Evacuated(failureDomain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated == failureDomain && failureDomain != ""
}

func (f *fakeDirectory) Targets() []*controlpb.TargetRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets
}

func (f *fakeDirectory) Close() {}

func (f *fakeDirectory) set(targets ...*controlpb.TargetRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = targets
}

func TestInvalidFrameListen(t *testing.T) {
	for _, listen := range []string{"", "0.0.0.0:0", "[::1]:0", "127.0.0.1"} {
		t.Run(listen, func(t *testing.T) {
			is := is.New(t)
			_, _, err := openFrameSocket(listen)
			is.True(err != nil)
		})
	}
}
