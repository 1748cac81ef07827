package entryd

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
)

func TestOptionsFromSettings(t *testing.T) {
	is := is.New(t)
	o, err := optionsFrom(&settingspb.Forwarding{
		PublicIp:      "127.0.0.1",
		FreePorts:     true,
		FrameListen:   "10.0.0.1:7000",
		AgentNetworks: []string{"10.1.2.3/8", "192.0.2.0/24"},
		Workers:       3,
	})
	is.NoErr(err)
	is.Equal(o, Options{
		PublicIP:    loopback,
		FreePorts:   true,
		FrameListen: netip.MustParseAddrPort("10.0.0.1:7000"),
		AgentNetworks: []netip.Prefix{
			netip.MustParsePrefix("10.0.0.0/8"),
			netip.MustParsePrefix("192.0.2.0/24"),
		},
		Workers: 3,
	})
}

func TestInvalidOptions(t *testing.T) {
	is := is.New(t)
	_, err := optionsFrom(&settingspb.Forwarding{
		FrameListen:   "frames",
		PublicIp:      "public",
		AgentNetworks: []string{"10.0.0.1"},
	})
	is.True(errors.Is(err, ErrFrameAddress)) // all errors at once, each with its key
	is.True(errors.Is(err, ErrPublicIP))
	is.True(errors.Is(err, ErrAgentNetwork))
	for _, place := range []string{"frame_listen", "public_ip", "agent_networks"} {
		is.True(strings.Contains(err.Error(), place))
	}
	_, err = optionsFrom(&settingspb.Forwarding{FrameListen: "10.0.0.1:1"})
	is.True(errors.Is(err, ErrNoAgentNetworks))

	o := testOptions()
	o.AgentNetworks = nil
	_, err = NewForwarder(o)
	is.True(errors.Is(err, ErrNoAgentNetworks))

	o = testOptions()
	o.FrameListen = netip.MustParseAddrPort("[::1]:0")
	_, err = NewForwarder(o)
	is.True(errors.Is(err, ErrFrameAddress))

	o = testOptions()
	o.Secrets = nil
	_, err = NewForwarder(o)
	is.True(errors.Is(err, connid.ErrNoSecrets))

	o = testOptions()
	o.FrameListen = newSocket(t).addr()
	_, err = NewForwarder(o)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), o.FrameListen.String())) // names the address
}

func TestEveryRefusalHasAName(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for r := range refusalCount {
		name := r.String()
		is.True(name != "")
		is.True(!seen[name])
		seen[name] = true
	}
	is.Equal(refusalCount.String(), "invalid")
}

// publicWorkerOf returns another worker for an open public address.
func publicWorkerOf(r *harness, public netip.AddrPort) *publicWorker {
	l := r.f.tables.Load().listeners[public]
	w := &publicWorker{f: r.f, l: l, conn: l.conns[0], frameConn: r.f.frameConns[0]}
	w.header.Public = public
	return w
}

func TestForwardingNoAllocations(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne)),
		record(lodgement, 1, agent.addr()),
		record(lodgement, 2, agent.addr()),
	))
	packets := map[string][]byte{
		"established": shortPacket(t, oneSecret, connid.Target{Address: agent.addr(), Number: 1}, ""),
		"first":       initialPacket("made-up-id"),
		"refused":     []byte{0x40},
	}
	from := caller.addr()
	for _, packet := range packets {
		w := publicWorkerOf(r, publicOne)
		n := copy(w.buf[frame.HeaderLength:], packet)
		is.Equal(testing.AllocsPerRun(1000, func() { w.frame(n, from) }), 0.0)
	}

	fw := &frameWorker{f: r.f}
	h := frame.Header{Kind: frame.Reply, Service: lodgement, Caller: from, Public: publicOne, Target: 1, Incarnation: 1}
	n := copy(fw.buf[:], encodeFrame(t, h, []byte("reply")))
	is.Equal(testing.AllocsPerRun(1000, func() { fw.validateReply(n, agent.addr()) }), 0.0)
}
