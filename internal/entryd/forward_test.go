package entryd

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

func TestEstablishedFlowNeedsNoDirectory(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	agent, caller := newSocket(t), newSocket(t)
	local := r.local(publicOne)

	target := connid.Target{Address: agent.addr(), Number: 5, Incarnation: 3}
	packet := shortPacket(t, oneSecret, target, "filing")
	caller.send(packet, local)

	h, datagram, from := agent.receiveFrame()
	is.Equal(h, frame.Header{
		Kind:        frame.Forward,
		Service:     lodgement,
		Caller:      caller.addr(),
		Public:      publicOne,
		Target:      5,
		Incarnation: 3,
	})
	is.Equal(datagram, packet)      // the datagram is unchanged
	is.Equal(from, r.f.FrameAddr()) // the agent replies to this address

	agent.send(encodeFrame(t, replyTo(h), []byte("stamped")), from)
	reply, source := caller.receive()
	is.Equal(string(reply), "stamped")
	is.Equal(source, local) // the caller accepts it from this address only
	is.Equal(r.counter("datagrams_forwarded", ""), int64(1))
	is.Equal(r.counter("datagrams_replied", ""), int64(1))
}

func TestFirstPacketGoesToATargetWithAlternate(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	one, two, other, caller := newSocket(t), newSocket(t), newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne), serviceAt(certificates, publicTwo)),
		record(lodgement, 11, one.addr()),
		record(lodgement, 12, two.addr()),
		record(certificates, 13, other.addr()),
	))

	packet := initialPacket("made-up-id")
	caller.send(packet, r.local(publicTwo))
	h, datagram, _ := other.receiveFrame()
	is.Equal(datagram, packet)
	is.Equal(h, frame.Header{
		Kind:        frame.First,
		Service:     certificates,
		Caller:      caller.addr(),
		Public:      publicTwo,
		Target:      13,
		Incarnation: 1,
	})
	is.Equal(r.counter("first_forwarded", "only"), int64(1))

	// After one target reports draining, all new flows go to the other.
	draining := frame.Header{Kind: frame.Reply, Service: lodgement, Public: publicOne, Target: 12, Incarnation: 1, Draining: true}
	two.send(encodeFrame(t, draining, nil), r.f.FrameAddr())
	r.await("the report", func() bool { return r.counter("refused", "no_caller") == 1 })
	for i := range 20 {
		caller.send(initialPacket(fmt.Sprintf("made-up-%d", i)), r.local(publicOne))
		h, _, _ := one.receiveFrame()
		is.Equal(h.Target, uint32(11))
	}
}

func TestFrameNamesAlternate(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.RefreshInterval = time.Hour // no decay of unanswered flows
	r := start(t, o)
	one, two, caller := newSocket(t), newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne)),
		record(lodgement, 11, one.addr()),
		record(lodgement, 12, two.addr()),
	))
	// The same flow gets the same candidates. With otherwise equal costs the unanswered
	// flow sends the next one to the other target.
	caller.send(initialPacket("made-up-id"), r.local(publicOne))
	caller.send(initialPacket("made-up-id"), r.local(publicOne))
	h, _, _ := one.receiveFrame()
	is.Equal(h.Target, uint32(11))
	is.Equal(h.Alternate, two.addr())
	h, _, _ = two.receiveFrame()
	is.Equal(h.Target, uint32(12))
	is.Equal(h.Alternate, one.addr())
}

func TestInvalidDatagramsAreRefused(t *testing.T) {
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne), serviceAt(certificates, publicTwo)),
		record(lodgement, 11, agent.addr())))

	good := connid.Target{Address: agent.addr(), Number: 5, Incarnation: 1}
	outside := good
	outside.Address = netip.MustParseAddrPort("10.0.0.1:7000")
	forged := shortPacket(t, oneSecret, good, "forged")
	forged[5] ^= 1

	for _, tt := range []struct {
		name     string
		datagram []byte
		public   netip.AddrPort
		want     refusal
	}{
		{"empty", nil, publicOne, malformed},
		{"one byte", []byte{0x40}, publicOne, malformed},
		{"cut long header", []byte{0xc0, 0, 0, 0, 1, 20, 1}, publicOne, malformed},
		{"forged ID", forged, publicOne, unknownConnection},
		{"ID of another deployment", shortPacket(t, nextSecret, good, ""), publicOne, unknownSecret},
		{"agent outside the networks", shortPacket(t, oneSecret, outside, ""), publicOne, outsideNetworks},
		{"handshake without our ID", longPacket(0xe0, []byte("made-up-id")), publicOne, unknownConnection},
		{"retry", longPacket(0xf0, []byte("made-up-id")), publicOne, serverPacket},
		{"first packet too short", initialPacket("made-up-id")[:1199], publicOne, shortFirst},
		{"made-up ID too short", initialPacket("1234567"), publicOne, shortFirst},
		{"no target", initialPacket("made-up-id"), publicTwo, noTarget},
		{"too long", append(shortPacket(t, oneSecret, good, ""), make([]byte, maxDatagram)...), publicOne, oversized},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := r.counter("refused", tt.want.String())
			caller.send(tt.datagram, r.local(tt.public))
			r.await("the refusal", func() bool { return r.counter("refused", tt.want.String()) == before+1 })

			// The agent receives nothing before the next valid datagram.
			packet := shortPacket(t, oneSecret, good, tt.name)
			caller.send(packet, r.local(publicOne))
			_, datagram, _ := agent.receiveFrame()
			is.Equal(datagram, packet)
		})
	}
}

func TestInvalidFramesAreRefused(t *testing.T) {
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne), serviceAt(certificates, publicTwo))))

	good := frame.Header{Kind: frame.Reply, Service: lodgement, Caller: caller.addr(), Public: publicOne, Target: 1, Incarnation: 1}
	with := func(change func(h *frame.Header)) []byte {
		h := good
		change(&h)
		return encodeFrame(t, h, []byte("wrong"))
	}
	flip := func(offset int, bits byte) []byte {
		src := encodeFrame(t, good, []byte("wrong"))
		src[offset] ^= bits
		return src
	}

	for _, tt := range []struct {
		name string
		src  []byte
		want refusal
	}{
		{"cut", encodeFrame(t, good, nil)[:frame.HeaderLength-1], frameTooShort},
		{"garbage", make([]byte, 200), frameVersion},
		{"other version", flip(0, 0x80), frameVersion},
		{"other secret", flip(1, 0x02), frameSecret},
		{"forged caller", flip(36, 0x01), frameTag},
		{"forged tag", flip(frame.HeaderLength-1, 0x01), frameTag},
		{"frame for an agent", with(func(h *frame.Header) { h.Kind = frame.Forward }), frameKind},
		{"first packet for an agent", with(func(h *frame.Header) { h.Kind = frame.First }), frameKind},
		{"address not served here", with(func(h *frame.Header) { h.Public = netip.MustParseAddrPort("192.0.2.9:443") }), unknownAddress},
		{"no caller", with(func(h *frame.Header) { h.Caller = netip.AddrPort{} }), noCaller},
		{"too long", append(encodeFrame(t, good, nil), make([]byte, maxDatagram+1)...), oversized},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := r.counter("refused", tt.want.String())
			agent.send(tt.src, r.f.FrameAddr())
			r.await("the refusal", func() bool { return r.counter("refused", tt.want.String()) == before+1 })

			// The caller receives nothing before the next valid frame.
			agent.send(encodeFrame(t, good, []byte(tt.name)), r.f.FrameAddr())
			datagram, _ := caller.receive()
			is.Equal(string(datagram), tt.name)
		})
	}
}

func TestFrameFromOutsideTheAgentNetworksIsRefused(t *testing.T) {
	o := testOptions()
	o.AgentNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.2/32")}
	r := start(t, o)
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	agent, caller := newSocket(t), newSocket(t)

	h := frame.Header{Kind: frame.Reply, Service: lodgement, Caller: caller.addr(), Public: publicOne}
	agent.send(encodeFrame(t, h, []byte("reply")), r.f.FrameAddr())
	r.await("the refusal", func() bool { return r.counter("refused", "outside_networks") == 1 })
}

func TestLongestDatagramPasses(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	agent, caller := newSocket(t), newSocket(t)

	packet := shortPacket(t, oneSecret, connid.Target{Address: agent.addr(), Number: 1}, "")
	packet = append(packet, make([]byte, maxDatagram-len(packet))...)
	caller.send(packet, r.local(publicOne))
	h, datagram, from := agent.receiveFrame()
	is.Equal(datagram, packet)

	agent.send(encodeFrame(t, replyTo(h), packet), from)
	reply, _ := caller.receive()
	is.Equal(reply, packet)
}

func TestSeveralWorkersShareAnAddress(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.Workers = 4
	r := start(t, o)
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	agent := newSocket(t)
	local := r.local(publicOne)

	for range 50 {
		caller := newSocket(t)
		packet := shortPacket(t, oneSecret, connid.Target{Address: agent.addr(), Number: 1}, caller.addr().String())
		caller.send(packet, local)
		h, datagram, from := agent.receiveFrame()
		is.Equal(datagram, packet)
		is.Equal(from, r.f.FrameAddr())
		agent.send(encodeFrame(t, replyTo(h), datagram), from)
		reply, source := caller.receive()
		is.Equal(reply, packet)
		is.Equal(source, local)
	}
}

func TestSecretRotationKeepsFlows(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	agent, caller := newSocket(t), newSocket(t)
	target := connid.Target{Address: agent.addr(), Number: 1}

	is.NoErr(r.f.SetSecrets(append(append([]connid.Secret{}, oneSecret...), nextSecret...)))
	for _, secrets := range [][]connid.Secret{oneSecret, nextSecret} {
		packet := shortPacket(t, secrets, target, "")
		caller.send(packet, r.local(publicOne))
		_, datagram, _ := agent.receiveFrame()
		is.Equal(datagram, packet)
	}
	is.True(r.f.SetSecrets(nil) != nil)
	packet := shortPacket(t, oneSecret, target, "after the refused list")
	caller.send(packet, r.local(publicOne))
	_, datagram, _ := agent.receiveFrame()
	is.Equal(datagram, packet)
}

// A target that never replies gets only probes once it is unresponsive.
func TestUnresponsiveTargetIsProbed(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	unresponsive, other, caller := newSocket(t), newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne)),
		record(lodgement, 1, unresponsive.addr()), record(lodgement, 2, other.addr())))
	w := publicWorkerOf(r, publicOne)
	i := 0
	next := func() int {
		i++
		return copy(w.buf[frame.HeaderLength:], initialPacket(fmt.Sprintf("made-up-%d", i)))
	}
	recordReply := func() { r.f.tables.Load().loads.Record(2, 1, routing.Report{}, r.f.now()) }
	r.await("an unresponsive target", func() bool {
		w.frame(next(), caller.addr()) // decides without sending
		recordReply()
		return r.counter("first_forwarded", "silent") > 0
	})
	r.await("a probe", func() bool {
		w.handle(next(), caller.addr())
		recordReply()
		return r.counter("silent_probes", "") > 0
	})

	h, datagram, _ := unresponsive.receiveFrame()
	is.Equal(h.Kind, frame.First)
	is.Equal(h.Service, uint32(lodgement))
	is.Equal(h.Caller, caller.addr())
	is.Equal(h.Target, uint32(1))
	is.Equal(h.Alternate, other.addr())
	is.Equal(datagram, initialPacket(fmt.Sprintf("made-up-%d", i)))
}
