package entryd

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

// testTimeout bounds every wait of a test.
const testTimeout = 2 * time.Minute

const (
	lodgement    = 1
	certificates = 2
)

var (
	loopback   = netip.MustParseAddr("127.0.0.1")
	publicOne  = netip.MustParseAddrPort("192.0.2.1:443")
	publicTwo  = netip.MustParseAddrPort("192.0.2.2:443")
	oneSecret  = []connid.Secret{{ID: 1, Key: [connid.SecretLength]byte{1, 2, 3}}}
	nextSecret = []connid.Secret{{ID: 2, Key: [connid.SecretLength]byte{4, 5, 6}}}
)

// harness is a running forwarder on loopback.
type harness struct {
	tb    testing.TB
	f     *Forwarder
	scope tally.TestScope
	stop  context.CancelFunc
	done  chan error
}

func testOptions() Options {
	return Options{
		PublicIP:         loopback,
		FreePorts:        true,
		FrameListen:      netip.AddrPortFrom(loopback, 0),
		AgentNetworks:    []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Secrets:          oneSecret,
		RefreshInterval:  20 * time.Millisecond,
		MinApplyInterval: time.Nanosecond,
		Log:              zap.NewNop(),
	}
}

func start(tb testing.TB, o Options) *harness {
	tb.Helper()
	scope := tally.NewTestScope("", nil)
	if o.Scope == nil {
		o.Scope = scope
	}
	f, err := NewForwarder(o)
	if err != nil {
		tb.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	r := &harness{tb: tb, f: f, scope: scope, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- f.Run(ctx) }()
	tb.Cleanup(r.end)
	return r
}

func (r *harness) end() {
	r.stop()
	if err, ok := <-r.done; ok && err != nil {
		r.tb.Errorf("run: %v", err)
	}
}

// apply applies a view and waits until it is active.
func (r *harness) apply(v *View) {
	r.tb.Helper()
	before := r.counter("views_applied", "")
	r.f.Apply(v)
	r.await("the view to be applied", func() bool { return r.counter("views_applied", "") > before })
}

func (r *harness) await(what string, done func() bool) {
	r.tb.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			r.tb.Fatalf("timeout waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// counter returns the value of a counter, with the tag reason unless it is empty.
func (r *harness) counter(name, reason string) int64 {
	key := scopeName + "." + name + "+"
	if reason != "" {
		key += reasonTag + "=" + reason
	}
	c, ok := r.scope.Snapshot().Counters()[key]
	if !ok {
		return 0
	}
	return c.Value()
}

// local returns the local address of an open public address.
func (r *harness) local(public netip.AddrPort) netip.AddrPort {
	r.tb.Helper()
	text, ok := r.f.PublicAddrs()[public.String()]
	if !ok {
		r.tb.Fatalf("%v is not open", public)
	}
	return netip.MustParseAddrPort(text)
}

// socket is a caller or an agent.
type socket struct {
	tb   testing.TB
	conn *net.UDPConn
}

func newSocket(tb testing.TB) *socket {
	tb.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return &socket{tb: tb, conn: conn}
}

func (s *socket) addr() netip.AddrPort {
	return localAddr(s.conn)
}

func (s *socket) send(datagram []byte, to netip.AddrPort) {
	s.tb.Helper()
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.tb.Fatal(err)
	}
}

func (s *socket) receive() ([]byte, netip.AddrPort) {
	s.tb.Helper()
	if err := s.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		s.tb.Fatal(err)
	}
	buf := make([]byte, 1<<16)
	n, from, err := s.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		s.tb.Fatal(err)
	}
	return buf[:n], unmap(from)
}

// receiveFrame receives and parses a frame.
func (s *socket) receiveFrame() (frame.Header, []byte, netip.AddrPort) {
	s.tb.Helper()
	src, from := s.receive()
	var h frame.Header
	if verdict := frames(s.tb).Parse(src, &h); verdict != frame.OK {
		s.tb.Fatalf("frame: %v", verdict)
	}
	return h, src[frame.HeaderLength:], from
}

func frames(tb testing.TB) *frame.Codec {
	tb.Helper()
	c, err := frame.NewCodec(oneSecret)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func encodeFrame(tb testing.TB, h frame.Header, datagram []byte) []byte {
	tb.Helper()
	out := make([]byte, frame.HeaderLength+len(datagram))
	frames(tb).Put(out, &h)
	copy(out[frame.HeaderLength:], datagram)
	return out
}

// replyTo returns the header of a reply to a frame.
func replyTo(h frame.Header) frame.Header {
	h.Kind = frame.Reply
	h.Alternate = netip.AddrPort{}
	return h
}

// shortPacket returns a short-header packet whose connection ID names a
// target.
func shortPacket(tb testing.TB, secrets []connid.Secret, t connid.Target, payload string) []byte {
	tb.Helper()
	c, err := connid.NewCodec(secrets)
	if err != nil {
		tb.Fatal(err)
	}
	id := c.Encode(t, 1, 0)
	packet := append([]byte{0x40}, id[:]...)
	return append(packet, payload...)
}

// longPacket returns a long-header packet of QUIC version 1, padded to the size of a
// first datagram.
func longPacket(first byte, id []byte) []byte {
	packet := []byte{first, 0, 0, 0, 1, byte(len(id))}
	packet = append(packet, id...)
	packet = append(packet, 0)
	return append(packet, bytes.Repeat([]byte{0xaa}, quicheader.MinInitialSize-len(packet))...)
}

func initialPacket(id string) []byte {
	return longPacket(0xc0, []byte(id))
}

func record(service, number uint32, address netip.AddrPort) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{
		Service:     service,
		Number:      number,
		Incarnation: 1,
		Address:     address.String(),
		State:       controlpb.TargetState_TARGET_STATE_SERVING,
		AgeMs:       3_600_000,
	}
}

func serviceAt(number uint32, addresses ...netip.AddrPort) *configpb.Service {
	s := &configpb.Service{Number: number, Name: map[uint32]string{
		lodgement:    "lodgement",
		certificates: "certificates",
	}[number]}
	for _, address := range addresses {
		s.Addresses = append(s.Addresses, address.String())
	}
	return s
}

func view(version uint64, services []*configpb.Service, targets ...*controlpb.TargetRecord) *View {
	return &View{
		Config:  &configpb.Configuration{Version: version, Services: services},
		Targets: targets,
	}
}

func services(s ...*configpb.Service) []*configpb.Service {
	return s
}
