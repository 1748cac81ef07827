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
	patience    = unittest.Timeout
)

func testTiming() timing {
	t := defaultTiming()
	t.acceptGrace = 50 * time.Millisecond
	t.handOn = 300 * time.Millisecond
	t.successorWait = 50 * time.Millisecond
	t.moveSpan = 50 * time.Millisecond
	t.idleClose = 300 * time.Millisecond
	t.announceLease = time.Minute
	t.completeWait = 200 * time.Millisecond
	t.finishLimit = 5 * time.Second
	t.grantWait = 300 * time.Millisecond
	t.grantTry = 100 * time.Millisecond
	t.farewell = time.Second
	t.listenRetry = 10 * time.Millisecond
	t.standstill = time.Minute // a machine that is too busy for tests is no standstill
	t.thawGrace = 50 * time.Second
	t.checkEvery = 10 * time.Millisecond
	t.keepAlive = time.Second
	return t
}

// world is one deployment on loopback: an entry host, control hosts and the
// keys that agents share.
type world struct {
	t       *testing.T
	secrets []connid.Secret
	roots   *x509.CertPool
	cert    *tls.Certificate
	control *fakeControl
	entry   *fakeEntry
	known   *fakeDirectory
	// client is the first caller's.
	client *http.Client
}

func newWorld(t *testing.T) *world {
	t.Helper()
	t.Parallel() // each world has its own addresses
	w := &world{t: t, control: newFakeControl(), known: &fakeDirectory{}}
	w.secrets = []connid.Secret{{ID: 1, Key: [connid.SecretLength]byte{1, 2, 3}}}
	authority, err := keys.NewAuthority(time.Now(), time.Hour)
	must(t, err)
	pair, err := authority.IssueCaller(testService, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), time.Hour)
	must(t, err)
	w.cert, err = keys.ParseCallerCertificate(pair)
	must(t, err)
	w.roots = x509.NewCertPool()
	w.roots.AppendCertsFromPEM(authority.CertificatePEM())
	w.entry = newFakeEntry(t, w.secrets, 2)
	w.client = w.caller()
	return w
}

func (w *world) currentSecrets() []connid.Secret { return w.secrets }

// agent is a running daemon under test.
type agent struct {
	*Daemon
	scope     tally.TestScope
	published *fakeAnnouncer
	stop      context.CancelFunc
	done      chan error
	// secretsChanged tells the daemon that the secrets of the world changed.
	secretsChanged func()
	// ahead is how far the daemon's clock is ahead of the system's.
	ahead atomic.Int64
	// turns counts turns of housekeeping.
	turns atomic.Int64
}

// agentDirectory is what one agent knows; housekeeping looks into it in each turn.
type agentDirectory struct {
	*fakeDirectory
	turns *atomic.Int64
}

func (d agentDirectory) Service(number uint32) *configpb.Service {
	d.turns.Add(1)
	return d.fakeDirectory.Service(number)
}

// pass lets the time pass for the daemon, and waits until housekeeping has
// acted on it in a whole turn.
func (a *agent) pass(t *testing.T, span time.Duration) {
	t.Helper()
	a.ahead.Add(int64(span))
	before := a.turns.Load()
	// The turn under way may have read the clock before; the one after it ends
	// before the third begins.
	eventually(t, "housekeeping", func() bool { return a.turns.Load() >= before+3 })
}

// startAgent runs a daemon and announces the backend server to it.
func (w *world) startAgent(target string, backendURL string) *agent {
	return w.startAgentWith(target, backendURL, testTiming(), nil)
}

func (w *world) startAgentWith(target, backendURL string, timing timing, change func(*settingspb.Agent)) *agent {
	w.t.Helper()
	a := w.launch(target, timing, change)
	<-a.Ready()
	a.announceState(w.t, target, backendURL, "serving")
	eventually(w.t, "registration", func() bool { return a.serving() })
	return a
}

// launch runs a daemon and waits for nothing.
func (w *world) launch(target string, timing timing, change func(*settingspb.Agent)) *agent {
	w.t.Helper()
	settings := &settingspb.AgentSettings{
		Host:  &settingspb.Host{Name: "host-" + target, FailureDomain: "bodija"},
		Agent: &settingspb.Agent{FrameListen: "127.0.0.1:0", AnnounceListen: "127.0.0.1:0", PollMs: 20},
	}
	if change != nil {
		change(settings.Agent)
	}
	a := &agent{scope: tally.NewTestScope("", nil), published: &fakeAnnouncer{}, done: make(chan error, 1)}
	p := parts{
		control: w.control, linked: w.control.linked, enlist: a.published.enlist(w.control), secrets: w.currentSecrets,
		onSecrets:   func(f func()) { a.secretsChanged = f },
		subscribe:   func(uint32) directory { return agentDirectory{w.known, &a.turns} },
		now:         func() time.Time { return time.Now().Add(time.Duration(a.ahead.Load())) },
		certificate: func() *tls.Certificate { return w.cert }, service: testService, close: func() {},
	}
	daemon, err := newDaemon(settings, zap.NewNop(), a.scope, p, timing)
	must(w.t, err)
	a.Daemon = daemon
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	go func() { a.done <- daemon.Run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		if one := daemon.plane.Load(); one != nil {
			one.sessions.closeAll()
		}
		a.waitDone(w.t)
	})
	return a
}

func (a *agent) serving() bool {
	one := a.plane.Load()
	return one != nil && a.published.last().GetState() == controlpb.TargetState_TARGET_STATE_SERVING
}

// pastGrace reports whether the agent has been leaving for so long that it takes no flow
// any more.
func (a *agent) pastGrace() bool {
	one := a.plane.Load()
	return one.leaving.Load() && one.clock.now()-time.Duration(one.since.Load()) > a.timing.acceptGrace
}

// lost returns how many connections have ended under requests that still run.
func (a *agent) lost() int {
	open := a.plane.Load().sessions
	open.mu.Lock()
	defer open.mu.Unlock()
	count := 0
	for one := range open.open {
		if one.conn.Context().Err() != nil && one.active.Load() > 0 {
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
	case <-time.After(patience):
		t.Error("agent did not end")
	}
}

// counter returns the sum of a counter over the tags that hold the reason,
// or over all of them if it is empty.
func (a *agent) counter(name, reason string) int64 {
	return unittest.Counter(a.scope, name, reason)
}

var (
	eventually = unittest.Eventually
	must       = unittest.Must
)

// caller returns an HTTP/3 client that reaches the entry host.
func (w *world) caller() *http.Client {
	return w.callerWith(200 * time.Millisecond)
}

// callerWith returns a client whose connections send something of their own at
// each period, or nothing at all, no probes either, if it is 0.
func (w *world) callerWith(keepAlive time.Duration) *http.Client {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: w.roots, ServerName: testService},
		QUICConfig:      &quic.Config{KeepAlivePeriod: keepAlive, MaxIdleTimeout: 10 * time.Second, DisablePathMTUDiscovery: keepAlive == 0},
	}
	w.t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport}
}

func (w *world) url(path string) string {
	return "https://" + w.entry.public.LocalAddr().String() + path
}

// mustSend is mustSend by the first caller.
func (w *world) mustSend(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	return mustSend(t, w.client, method, w.url(path), body, headers...)
}

// checkRefused holds an answer to be a refusal of that kind.
func checkRefused(t *testing.T, got answer, status int, outcome, why string) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.status, status)
	is.Equal(got.header.Get(headerOutcome), outcome)
	is.Equal(got.header.Get(headerReason), why)
}

// fakeEntry relays between callers and agents as entry hosts do, by frames.
type fakeEntry struct {
	public *net.UDPConn
	// hosts are the frame sockets; each stands for one entry host.
	hosts  []*net.UDPConn
	dead   []atomic.Bool
	turn   atomic.Uint32
	codecs atomic.Pointer[codecs]

	mu        sync.Mutex
	target    netip.AddrPort
	alternate netip.AddrPort
	service   uint32
	draining  map[uint32]bool
	// reports counts frames without a datagram by target.
	reports map[uint32]int
	retries int
}

func newFakeEntry(t *testing.T, secrets []connid.Secret, hosts int) *fakeEntry {
	t.Helper()
	e := &fakeEntry{service: 1, dead: make([]atomic.Bool, hosts), draining: map[uint32]bool{}, reports: map[uint32]int{}}
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

// choose sets where first packets go.
func (e *fakeEntry) choose(target, alternate string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target = netip.MustParseAddrPort(target)
	e.alternate = netip.AddrPort{}
	if alternate != "" {
		e.alternate = netip.MustParseAddrPort(alternate)
	}
}

// retriesSeen returns the number of QUIC Retries that agents sent.
func (e *fakeEntry) retriesSeen() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries
}

// reportsSeen returns the number of frames without a datagram of a target.
func (e *fakeEntry) reportsSeen(target uint32) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports[target]
}

// saysDraining reports what the last reply of a target said.
func (e *fakeEntry) saysDraining(target uint32) bool {
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
		host := int(e.turn.Add(1)) % len(e.hosts)
		if !to.IsValid() || e.dead[host].Load() {
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
		if e.dead[host].Load() || e.codecs.Load().frames.Parse(buffer[:n], &h) != frame.OK || h.Kind != frame.Reply {
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

// fakeDirectory is what agents know of the deployment.
type fakeDirectory struct {
	mu      sync.Mutex
	service *configpb.Service
	targets []*controlpb.TargetRecord
	// evacuated is the failure domain that is evacuated, if any.
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

func TestSettingsAreChecked(t *testing.T) {
	for _, listen := range []string{"", "0.0.0.0:0", "[::1]:0", "127.0.0.1"} {
		t.Run(listen, func(t *testing.T) {
			is := is.New(t)
			_, _, err := openFrameSocket(listen)
			is.True(err != nil)
		})
	}
}
