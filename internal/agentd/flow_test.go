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

// The caller only listens, so the agent has nothing but its own silence to
// tell that the entry host it used last is gone.
func TestReplyLeavesThroughAnotherEntryHost(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	client := w.callerWith(0)
	session := openWatch(t, client, w.url("/watch"))
	defer session.close()
	for n := range 10 {
		for m := range w.entry.hosts {
			w.entry.dead[m].Store(m == n%len(w.entry.hosts))
		}
		backend.events <- "through the other one"
		is.Equal(session.line(t), "through the other one")
	}
}

// craft sends one frame to the agent from a socket of its own.
func craft(t *testing.T, w *world, a *agent, h frame.Header, datagram []byte, spoil bool) {
	t.Helper()
	data := make([]byte, frame.HeaderLength+len(datagram))
	w.entry.codecs.Load().frames.Put(data, &h)
	copy(data[frame.HeaderLength:], datagram)
	if spoil {
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

// firstPacket begins like a QUIC Initial with a connection ID of 8 bytes.
func firstPacket() []byte {
	packet := []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0}
	return append(packet, make([]byte, quicheader.MinInitialSize)...)
}

func TestMisdirectedFramesAreRefusedAndDisturbNobody(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	session := openWatch(t, w.client, w.url("/watch"))
	defer session.close()
	self := a.plane.Load().self
	good := frame.Header{
		Kind: frame.Forward, Service: self.serviceNumber, Target: self.number, Incarnation: self.incarnation,
		Caller: netip.MustParseAddrPort("127.0.0.1:9"), Public: w.entry.publicAddr(),
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
		spoil    bool
	}{
		{reason: reason.FrameInvalid, spoil: true, datagram: shortPacket(own, w.entry.codecs.Load().ids)},
		{reason: reason.FrameService, header: func(h *frame.Header) { h.Kind, h.Service = frame.First, h.Service+1 }, datagram: firstPacket()},
		{reason: reason.FrameTarget, header: func(h *frame.Header) { h.Target++ }, datagram: shortPacket(own, w.entry.codecs.Load().ids)},
		{reason: reason.FrameIncarnation, header: func(h *frame.Header) { h.Incarnation++ }, datagram: shortPacket(own, w.entry.codecs.Load().ids)},
		{reason: reason.FrameKind, header: func(h *frame.Header) { h.Kind = frame.Reply }, datagram: shortPacket(own, w.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: shortPacket(other(func(c *connid.Target) { c.Incarnation++ }), w.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: shortPacket(other(func(c *connid.Target) { c.Number++ }), w.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: shortPacket(other(func(c *connid.Target) {
			c.Address = netip.MustParseAddrPort("127.0.0.9:9")
		}), w.entry.codecs.Load().ids)},
		{reason: reason.FrameConnectionID, datagram: make([]byte, 5)},
		{reason: reason.FrameConnectionID, header: func(h *frame.Header) { h.Kind = frame.First }, datagram: shortPacket(own, w.entry.codecs.Load().ids)},
	}
	for i, c := range cases {
		h := good
		if c.header != nil {
			c.header(&h)
		}
		before := a.counter("frames_refused", c.reason.String())
		craft(t, w, a, h, c.datagram, c.spoil)
		eventually(t, c.reason.String(), func() bool { return a.counter("frames_refused", c.reason.String()) == before+1 })
		backend.events <- "undisturbed"
		is.Equal(session.line(t), "undisturbed")
		is.Equal(int64(i+1), a.counter("frames_refused", ""))
	}
	is.Equal(w.mustSend(t, "GET", "/echo?text=x", "").body, "x")
}

func TestFloodOfFirstPacketsFillsNoTable(t *testing.T) {
	is := is.New(t)
	table := newFlowTable(4)
	entry := netip.MustParseAddrPort("127.0.0.1:1")
	for port := range uint16(100) {
		caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		f := table.heard(flowKey{caller: caller}, entry, time.Second, false)
		got, _, ok := table.next(f, time.Second)
		is.True(ok)
		is.Equal(got, entry) // the answer finds its way all the same
	}
	is.Equal(len(table.flows), 0)
	for port := range uint16(100) {
		caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		table.heard(flowKey{caller: caller}, entry, time.Second, true)
	}
	is.Equal(len(table.flows), 4)
	caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), 1)
	table.heard(flowKey{caller: caller}, entry, time.Second+2*flowIdle, true)
	is.Equal(len(table.flows), 1) // the idle ones made room
}

func TestHandOn(t *testing.T) {
	self := identity{serviceNumber: 1, number: 7, incarnation: 3, address: netip.MustParseAddrPort("127.0.0.1:7")}
	alternate := netip.MustParseAddrPort("127.0.0.1:8")
	known := netip.MustParseAddrPort("127.0.0.1:9")
	record := func(service, number, incarnation uint32, state controlpb.TargetState, ill bool, address netip.AddrPort) *controlpb.TargetRecord {
		return &controlpb.TargetRecord{
			Service: service, Number: number, Incarnation: incarnation, State: state, Ill: ill, Address: address.String(),
		}
	}
	in := func(domain string, r *controlpb.TargetRecord) *controlpb.TargetRecord {
		r.FailureDomain = domain
		return r
	}
	serving, draining := controlpb.TargetState_TARGET_STATE_SERVING, controlpb.TargetState_TARGET_STATE_DRAINING
	cases := []struct {
		name    string
		leaving bool
		// evacuated has failure domains; the own one is "own", those of known and
		// alternate are "near" and "far".
		evacuated []string
		state     targetState
		header    frame.Header
		targets   []*controlpb.TargetRecord
		want      netip.AddrPort
		counted   reason.Code
	}{
		{name: "serving and idle", header: frame.Header{Alternate: alternate}},
		{name: "loaded", state: targetState{present: loadedFrom}, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowLoaded},
		{name: "ill", state: targetState{ill: true}, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowLoaded},
		{name: "loaded, was handed on", state: targetState{present: loadedFrom}, header: frame.Header{Hops: 1, Alternate: alternate}},
		{name: "loaded, no alternate", state: targetState{present: loadedFrom}},
		{name: "leaving", leaving: true, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowLeaving},
		{name: "leaving, alternate is itself", leaving: true, header: frame.Header{Alternate: self.address}, counted: reason.FlowNoAlternate},
		{name: "leaving, alternate leaves too", leaving: true, header: frame.Header{Alternate: alternate},
			targets: []*controlpb.TargetRecord{record(1, 8, 1, draining, false, alternate), record(1, 9, 1, serving, false, known)},
			want:    known, counted: reason.FlowLeaving},
		{name: "leaving, second hop", leaving: true, header: frame.Header{Hops: 1, Alternate: alternate},
			targets: []*controlpb.TargetRecord{record(1, 9, 1, serving, false, known)}, want: known, counted: reason.FlowLeaving},
		{name: "leaving, hops spent", leaving: true, header: frame.Header{Hops: maxHops},
			targets: []*controlpb.TargetRecord{record(1, 9, 1, serving, false, known)}, counted: reason.FlowHops},
		{name: "only another service", leaving: true,
			targets: []*controlpb.TargetRecord{record(2, 9, 1, serving, false, known)}, counted: reason.FlowNoAlternate},
		{name: "own next incarnation", leaving: true,
			targets: []*controlpb.TargetRecord{record(1, 7, 4, serving, false, known)}, want: known, counted: reason.FlowLeaving},
		{name: "own former incarnation", leaving: true,
			targets: []*controlpb.TargetRecord{record(1, 7, 2, serving, false, known)}, counted: reason.FlowNoAlternate},
		{name: "evacuated", evacuated: []string{"own"}, header: frame.Header{Alternate: alternate}, want: alternate, counted: reason.FlowEvacuated},
		{name: "evacuated, the alternate too", evacuated: []string{"own", "far"}, header: frame.Header{Alternate: alternate},
			targets: []*controlpb.TargetRecord{in("far", record(1, 8, 1, serving, false, alternate)), in("near", record(1, 9, 1, serving, false, known))},
			want:    known, counted: reason.FlowEvacuated},
		{name: "all evacuated", evacuated: []string{"own", "near"},
			targets: []*controlpb.TargetRecord{in("near", record(1, 9, 1, serving, false, known))}, counted: reason.FlowNoAlternate},
		{name: "another one evacuated", evacuated: []string{"far"}, header: frame.Header{Alternate: alternate}},
		{name: "ill rather than none", leaving: true,
			targets: []*controlpb.TargetRecord{record(1, 9, 1, serving, true, known)}, want: known, counted: reason.FlowLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			scope := tally.NewTestScope("", nil)
			o := &handOn{
				self: self, counters: newCounters(scope),
				leaving:   func() bool { return c.leaving },
				state:     func() targetState { return c.state },
				targets:   func() []*controlpb.TargetRecord { return c.targets },
				domain:    "own",
				evacuated: func(name string) bool { return slices.Contains(c.evacuated, name) },
			}
			got, ok := o.elsewhere(&c.header)
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

// A killed process leaves callers behind that only wait. Its successor at the
// same address tells them at once.
func TestSuccessorResetsFlowsOfAKilledProcess(t *testing.T) {
	is := is.New(t)
	w, old, backend := oneAgent(t)
	session := openWatch(t, w.client, w.url("/watch"))
	defer session.close()
	frames := old.FrameAddr()
	must(t, old.socket.Close()) // it says no more
	next := w.launch("t1", testTiming(), func(s *settingspb.Agent) { s.FrameListen = frames })
	<-next.Ready()
	next.announceState(t, "t1", backend.server.URL, "serving")
	_, err := session.res.Body.Read(make([]byte, 1))
	is.True(err != nil)
	var reset *quic.StatelessResetError
	is.True(errors.As(err, &reset))
	is.True(next.counter("flows_of_former_process", "") >= 1)
	is.Equal(w.mustSend(t, "GET", "/echo?text=x", "").header.Get(headerTarget), "t1/1/2")
}

// A caller that dials again from the same port holds a token of its former
// connection.
func TestEveryConnectionBeginsWithARetry(t *testing.T) {
	is := is.New(t)
	w, a, _ := oneAgent(t)
	socket := &quic.Transport{Conn: listenUDP(t)}
	t.Cleanup(func() { _ = socket.Close() })
	config := &quic.Config{TokenStore: quic.NewLRUTokenStore(4, 4)}
	for i := range 3 {
		before := w.entry.retriesSeen()
		transport := &http3.Transport{
			TLSClientConfig: &tls.Config{RootCAs: w.roots, ServerName: testService},
			QUICConfig:      config,
			Dial: func(ctx context.Context, _ string, tls *tls.Config, config *quic.Config) (*quic.Conn, error) {
				return socket.DialEarly(ctx, w.entry.public.LocalAddr(), tls, config)
			},
		}
		client := &http.Client{Transport: transport}
		is.Equal(mustSend(t, client, "GET", w.url("/echo?text=x"), "").body, "x")
		is.True(w.entry.retriesSeen() > before) // one for each datagram of the first flight
		is.Equal(a.counter("connections_begun", ""), int64(i+1))
		must(t, transport.Close())
	}
}

// The operator replaces the data secret while sessions are open: first every
// process decodes the new one, then it encodes, then the old one goes.
func TestSecretsChangeUnderOpenSessions(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	session := openWatch(t, w.client, w.url("/watch"))
	defer session.close()
	former := w.secrets[0]
	next := connid.Secret{ID: 2, Key: [connid.SecretLength]byte{9}}
	for _, secrets := range [][]connid.Secret{{former, next}, {next, former}} {
		w.secrets = secrets
		a.secretsChanged()
		w.entry.setSecrets(t, secrets)
		backend.events <- "undisturbed"
		is.Equal(session.line(t), "undisturbed")
		is.Equal(mustSend(t, w.caller(), "GET", w.url("/echo?text=x"), "").body, "x")
	}
	is.Equal(a.counter("frames_refused", ""), int64(0))
}

func TestHandedOnFrameNamesItsEntryHost(t *testing.T) {
	is := is.New(t)
	sender, entry := netip.MustParseAddrPort("127.0.0.1:7"), netip.MustParseAddrPort("127.0.0.1:8")
	is.Equal(entryOf(&frame.Header{Alternate: entry}, sender), sender)
	is.Equal(entryOf(&frame.Header{Hops: 1, Alternate: entry}, sender), entry)
	is.Equal(entryOf(&frame.Header{Hops: 1}, sender), sender)
}

func TestSocketTakesNoForeignAddress(t *testing.T) {
	is := is.New(t)
	s := &frameSocket{}
	_, err := s.WriteTo([]byte("x"), &net.UDPAddr{})
	is.True(err != nil)
}
