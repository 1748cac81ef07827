package agentd

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// The caller sends nothing, so the agent must detect the loss of an entry host from
// missing frames alone.
func TestReplyFailsOverToAnotherEntryHost(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	client := tc.callerWith(0)
	session := openWatch(t, client, tc.url("/watch"))
	defer session.close()
	for n := range 10 {
		for m := range tc.entry.hosts {
			tc.entry.down[m].Store(m == n%len(tc.entry.hosts))
		}
		backend.events <- "through another entry host"
		is.Equal(session.line(t), "through another entry host")
	}
}

// sendFrame sends one frame to the agent from a new socket.
func sendFrame(t *testing.T, tc *testCluster, a *agent, h frame.Header, datagram []byte, corrupt bool) {
	t.Helper()
	data := make([]byte, frame.HeaderLength+len(datagram))
	tc.entry.codecs.Load().frames.Put(data, &h)
	copy(data[frame.HeaderLength:], datagram)
	if corrupt {
		data[frame.HeaderLength-1] ^= 1
	}
	conn := listenUDP(t)
	to := netip.MustParseAddrPort(a.FrameAddr())
	_, err := conn.WriteToUDPAddrPort(data, to)
	must(t, err)
}

// shortPacket returns a short-header packet to a connection ID.
func shortPacket(target connid.Target, codec *connid.Codec) []byte {
	id := codec.Encode(target, 77, 0)
	packet := append([]byte{0x40}, id[:]...)
	return append(packet, make([]byte, 60)...)
}

// firstPacket returns a packet with the header of a QUIC Initial.
func firstPacket() []byte {
	packet := []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0}
	return append(packet, make([]byte, quicheader.MinInitialSize)...)
}

func TestMisdirectedFramesAreRefused(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	defer session.close()
	self := a.dataPlane.Load().self
	good := frame.Header{
		Kind: frame.Forward, Service: self.serviceNumber, Target: self.number, Incarnation: self.incarnation,
		Caller: netip.MustParseAddrPort("127.0.0.1:9"), Public: tc.entry.publicAddr(),
	}
	own := self.connTarget()
	other := func(change func(*connid.Target)) connid.Target {
		target := own
		change(&target)
		return target
	}
	cases := []struct {
		reason   reason.Code
		header   func(h *frame.Header)
		datagram []byte
		corrupt  bool
	}{
		{reason: reason.FrameInvalid, corrupt: true, datagram: shortPacket(own, tc.entry.codecs.Load().ids)},
		{reason: reason.FrameService, header: func(h *frame.Header) { h.Kind, h.Service = frame.First, h.Service+1 }, datagram: firstPacket()},
		{reason: reason.FrameTarget, header: func(h *frame.Header) { h.Target++ }, datagram: shortPacket(own, tc.entry.codecs.Load().ids)},
		{reason: reason.FrameIncarnation, header: func(h *frame.Header) { h.Incarnation++ }, datagram: shortPacket(own, tc.entry.codecs.Load().ids)},
		{reason: reason.FrameKind, header: func(h *frame.Header) { h.Kind = frame.Reply }, datagram: shortPacket(own, tc.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: shortPacket(other(func(c *connid.Target) { c.Incarnation++ }), tc.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: shortPacket(other(func(c *connid.Target) { c.Number++ }), tc.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: shortPacket(other(func(c *connid.Target) {
			c.Address = netip.MustParseAddrPort("127.0.0.9:9")
		}), tc.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: make([]byte, 5)},
		{reason: reason.FrameConnectionID, header: func(h *frame.Header) { h.Kind = frame.First }, datagram: shortPacket(own, tc.entry.codecs.Load().ids)},
	}
	for i, c := range cases {
		h := good
		if c.header != nil {
			c.header(&h)
		}
		before := a.counter("frames_refused", c.reason.String())
		sendFrame(t, tc, a, h, c.datagram, c.corrupt)
		eventually(t, c.reason.String(), func() bool { return a.counter("frames_refused", c.reason.String()) == before+1 })
		backend.events <- "still open"
		is.Equal(session.line(t), "still open")
		is.Equal(int64(i+1), a.counter("frames_refused", ""))
	}
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").body, "x")
}

func TestFirstPacketFloodDoesNotFillFlowTable(t *testing.T) {
	is := is.New(t)
	table := newFlowTable(4)
	entry := netip.MustParseAddrPort("127.0.0.1:1")
	for port := range uint16(100) {
		caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		f := table.received(flowKey{caller: caller}, entry, time.Second, false)
		got, _, ok := table.nextEntryHost(f, time.Second)
		is.True(ok)
		is.Equal(got, entry) // replies are possible without a table entry
	}
	is.Equal(len(table.flows), 0)
	for port := range uint16(100) {
		caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		table.received(flowKey{caller: caller}, entry, time.Second, true)
	}
	is.Equal(len(table.flows), 4)
	caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), 1)
	table.received(flowKey{caller: caller}, entry, time.Second+2*flowIdle, true)
	is.Equal(len(table.flows), 1) // idle flows were evicted
}

func TestRedirectAddress(t *testing.T) {
	self := identity{serviceNumber: 1, number: 7, incarnation: 3, address: netip.MustParseAddrPort("127.0.0.1:7")}
	alternate := netip.MustParseAddrPort("127.0.0.1:8")
	known := netip.MustParseAddrPort("127.0.0.1:9")
	record := func(service, number, incarnation uint32, state controlpb.TargetState, unhealthy bool, address netip.AddrPort) *controlpb.TargetRecord {
		return &controlpb.TargetRecord{
			Service: service, Number: number, Incarnation: incarnation, State: state, Ill: unhealthy, Address: address.String(),
		}
	}
	in := func(domain string, r *controlpb.TargetRecord) *controlpb.TargetRecord {
		r.FailureDomain = domain
		return r
	}
	serving, draining := controlpb.TargetState_TARGET_STATE_SERVING, controlpb.TargetState_TARGET_STATE_DRAINING
	cases := []struct {
		name       string
		isDraining bool
		// evacuated lists failure domains: "own" is that of the target, "near" that of
		// known, "far" that of alternate.
		evacuated []string
		state     targetState
		header    frame.Header
		targets   []*controlpb.TargetRecord
		want      netip.AddrPort
		counted   reason.Code
	}{
		{name: "serving and idle", header: frame.Header{Alternate: alternate}},
		{name: "loaded", state: targetState{currentLoad: overloadThreshold}, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowLoaded},
		{name: "unhealthy", state: targetState{unhealthy: true}, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowLoaded},
		{name: "loaded, already redirected", state: targetState{currentLoad: overloadThreshold}, header: frame.Header{Hops: 1, Alternate: alternate}},
		{name: "loaded, no alternate", state: targetState{currentLoad: overloadThreshold}},
		{name: "draining", isDraining: true, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowLeaving},
		{name: "draining, alternate is itself", isDraining: true, header: frame.Header{Alternate: self.address}, counted: reason.FlowNoAlternate},
		{name: "draining, alternate drains too", isDraining: true, header: frame.Header{Alternate: alternate},
			targets: []*controlpb.TargetRecord{record(1, 8, 1, draining, false, alternate), record(1, 9, 1, serving, false, known)},
			want:    known, counted: reason.FlowLeaving},
		{name: "draining, second hop", isDraining: true, header: frame.Header{Hops: 1, Alternate: alternate},
			targets: []*controlpb.TargetRecord{record(1, 9, 1, serving, false, known)}, want: known, counted: reason.FlowLeaving},
		{name: "draining, hop limit reached", isDraining: true, header: frame.Header{Hops: maxHops},
			targets: []*controlpb.TargetRecord{record(1, 9, 1, serving, false, known)}, counted: reason.FlowHops},
		{name: "only another service", isDraining: true,
			targets: []*controlpb.TargetRecord{record(2, 9, 1, serving, false, known)}, counted: reason.FlowNoAlternate},
		{name: "own next incarnation", isDraining: true,
			targets: []*controlpb.TargetRecord{record(1, 7, 4, serving, false, known)}, want: known, counted: reason.FlowLeaving},
		{name: "own previous incarnation", isDraining: true,
			targets: []*controlpb.TargetRecord{record(1, 7, 2, serving, false, known)}, counted: reason.FlowNoAlternate},
		{name: "evacuated", evacuated: []string{"own"}, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowEvacuated},
		{name: "evacuated, the alternate too", evacuated: []string{"own", "far"}, header: frame.Header{Alternate: alternate},
			targets: []*controlpb.TargetRecord{in("far", record(1, 8, 1, serving, false, alternate)), in("near", record(1, 9, 1, serving, false, known))},
			want:    known, counted: reason.FlowEvacuated},
		{name: "all evacuated", evacuated: []string{"own", "near"},
			targets: []*controlpb.TargetRecord{in("near", record(1, 9, 1, serving, false, known))}, counted: reason.FlowNoAlternate},
		{name: "another failure domain evacuated", evacuated: []string{"far"}, header: frame.Header{Alternate: alternate}},
		{name: "unhealthy target if no other", isDraining: true,
			targets: []*controlpb.TargetRecord{record(1, 9, 1, serving, true, known)}, want: known, counted: reason.FlowLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			scope := tally.NewTestScope("", nil)
			o := &redirector{
				self: self, counters: newCounters(scope),
				isDraining: func() bool { return c.isDraining },
				state:      func() targetState { return c.state },
				targets:    func() []*controlpb.TargetRecord { return c.targets },
				domain:     "own",
				evacuated:  func(name string) bool { return slices.Contains(c.evacuated, name) },
			}
			got, ok := o.redirectAddress(&c.header)
			is.Equal(got, c.want)
			is.Equal(ok, c.want.IsValid())
			counted := ""
			for _, counter := range scope.Snapshot().Counters() {
				if counter.Value() > 0 {
					counted += counter.Tags()["reason"]
				}
			}
			is.Equal(counted, c.counted.String())
		})
	}
}

// The successor of a killed process at the same address resets its flows, whose
// callers would otherwise wait for their idle timeout.
func TestSuccessorResetsStaleFlows(t *testing.T) {
	is := is.New(t)
	tc, old, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	defer session.close()
	frames := old.FrameAddr()
	must(t, old.socket.Close()) // simulates a killed process
	next := tc.launch("t1", testTiming(), func(s *settingspb.Agent) { s.FrameListen = frames })
	<-next.Ready()
	next.announceState(t, "t1", backend.server.URL, "serving")
	_, err := session.res.Body.Read(make([]byte, 1))
	is.True(err != nil)
	var reset *quic.StatelessResetError
	is.True(errors.As(err, &reset))
	is.True(next.counter("flows_of_former_process", "") >= 1)
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").header.Get(headerTarget), "t1/1/2")
}

// A caller that reconnects from the same port has a token of its previous connection.
func TestEveryConnectionStartsWithRetry(t *testing.T) {
	is := is.New(t)
	tc, a, _ := startSingleAgent(t)
	socket := &quic.Transport{Conn: listenUDP(t)}
	t.Cleanup(func() { _ = socket.Close() })
	config := &quic.Config{TokenStore: quic.NewLRUTokenStore(4, 4)}
	for i := range 3 {
		before := tc.entry.retryCount()
		transport := &http3.Transport{
			TLSClientConfig: &tls.Config{RootCAs: tc.roots, ServerName: testService},
			QUICConfig:      config,
			Dial: func(ctx context.Context, _ string, tls *tls.Config, config *quic.Config) (*quic.Conn, error) {
				return socket.DialEarly(ctx, tc.entry.public.LocalAddr(), tls, config)
			},
		}
		client := &http.Client{Transport: transport}
		is.Equal(mustSend(t, client, "GET", tc.url("/echo?text=x"), "").body, "x")
		is.True(tc.entry.retryCount() > before) // one for each datagram of the first flight
		is.Equal(a.counter("connections_begun", ""), int64(i+1))
		must(t, transport.Close())
	}
}

// The data secret is rotated while sessions are open: the new one is added for
// decoding, then used for encoding.
func TestSecretRotationKeepsSessions(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	defer session.close()
	previous := tc.secrets[0]
	next := connid.Secret{ID: 2, Key: [connid.SecretLength]byte{9}}
	for _, secrets := range [][]connid.Secret{{previous, next}, {next, previous}} {
		tc.secrets = secrets
		a.secretsChanged()
		tc.entry.setSecrets(t, secrets)
		backend.events <- "still open"
		is.Equal(session.line(t), "still open")
		is.Equal(mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "").body, "x")
	}
	is.Equal(a.counter("frames_refused", ""), int64(0))
}

func TestRedirectedFrameCarriesEntryHost(t *testing.T) {
	is := is.New(t)
	sender, entry := netip.MustParseAddrPort("127.0.0.1:7"), netip.MustParseAddrPort("127.0.0.1:8")
	is.Equal(entryHostOf(&frame.Header{Alternate: entry}, sender), sender)
	is.Equal(entryHostOf(&frame.Header{Hops: 1, Alternate: entry}, sender), entry)
	is.Equal(entryHostOf(&frame.Header{Hops: 1}, sender), sender)
}

func TestSocketRefusesForeignAddress(t *testing.T) {
	is := is.New(t)
	s := &frameSocket{}
	_, err := s.WriteTo([]byte("x"), &net.UDPAddr{})
	is.True(err != nil)
}
