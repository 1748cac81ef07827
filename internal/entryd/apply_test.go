package entryd

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
)

func TestNoDatagramIsLostWhileViewsChange(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	target := connid.Target{Address: agent.addr(), Number: 1}
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	local := r.local(publicOne)

	for version := uint64(2); version < 200; version++ {
		// Each version adds or removes another address and replaces the targets.
		s := services(serviceAt(lodgement, publicOne))
		if version%2 == 0 {
			s = append(s, serviceAt(certificates, publicTwo))
		}
		r.f.Apply(view(version, s, record(lodgement, uint32(version), agent.addr())))

		packet := shortPacket(t, oneSecret, target, fmt.Sprint(version))
		caller.send(packet, local)
		h, datagram, from := agent.receiveFrame()
		is.Equal(datagram, packet)
		is.Equal(h.Service, uint32(lodgement))
		agent.send(encodeFrame(t, replyTo(h), datagram), from)
		reply, _ := caller.receive()
		is.Equal(reply, packet)
	}
	is.Equal(r.local(publicOne), local) // the address stayed open
}

func TestNewestOfManyViewsIsApplied(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.MinApplyInterval = 50 * time.Millisecond
	r := start(t, o)
	const last = 500
	for version := uint64(1); version <= last; version++ {
		r.f.Apply(view(version, services(serviceAt(lodgement, publicOne))))
	}
	r.await("the last version", func() bool {
		return r.scope.Snapshot().Gauges()[scopeName+".configuration_version+"].Value() == last
	})
	is.True(r.counter("views_applied", "") < last) // views in quick succession are coalesced
}

func TestAddressReassignedToAnotherService(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	target := connid.Target{Address: agent.addr(), Number: 1}
	packet := shortPacket(t, oneSecret, target, "")

	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	local := r.local(publicOne)
	caller.send(packet, local)
	before, _, from := agent.receiveFrame()
	is.Equal(before.Service, uint32(lodgement))

	r.apply(view(2, services(serviceAt(certificates, publicOne)),
		record(certificates, 9, agent.addr())))
	is.Equal(r.local(publicOne), local) // the socket stayed open
	caller.send(packet, local)
	after, _, _ := agent.receiveFrame()
	is.Equal(after.Service, uint32(certificates)) // so that the agent can refuse
	is.Equal(after.Target, uint32(1))

	caller.send(initialPacket("made-up-id"), local)
	first, _, _ := agent.receiveFrame()
	is.Equal(first.Service, uint32(certificates))
	is.Equal(first.Target, uint32(9))

	// Replies of the established flow leave through the address that its caller knows,
	// whatever the service of the frame.
	for _, h := range []frame.Header{before, after} {
		agent.send(encodeFrame(t, replyTo(h), []byte("reply")), from)
		reply, _ := caller.receive()
		is.Equal(string(reply), "reply")
	}
}

func TestRetiredAddressKeepsEstablishedFlowsOnly(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	target := connid.Target{Address: agent.addr(), Number: 1}
	r.apply(view(1, services(serviceAt(lodgement, publicOne)), record(lodgement, 1, agent.addr())))
	local := r.local(publicOne)

	moved := view(2, services(serviceAt(lodgement, publicTwo)), record(lodgement, 1, agent.addr()))
	moved.Config.Retired = []string{publicOne.String()}
	r.apply(moved)
	is.Equal(r.local(publicOne), local) // the socket stayed open

	caller.send(initialPacket("made-up-id"), local)
	r.await("the refusal", func() bool { return r.counter("refused", noTarget.String()) == 1 })
	caller.send(shortPacket(t, oneSecret, target, ""), local)
	h, _, from := agent.receiveFrame()
	is.Equal(h.Kind, frame.Forward)
	agent.send(encodeFrame(t, replyTo(h), []byte("reply")), from)
	reply, _ := caller.receive()
	is.Equal(string(reply), "reply")

	r.apply(view(3, services(serviceAt(lodgement, publicTwo)), record(lodgement, 1, agent.addr())))
	is.Equal(r.f.PublicAddrs()[publicOne.String()], "") // closed
}

func TestAddressInUseIsRetriedWhileOthersServe(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	o := testOptions()
	o.FreePorts = false
	o.PublicIP = netip.Addr{}
	o.Log = zap.New(core)
	r := start(t, o)

	blocker, free := newSocket(t), newSocket(t)
	inUse, other := blocker.addr(), free.addr()
	is.NoErr(free.conn.Close())
	agent, caller := newSocket(t), newSocket(t)
	packet := shortPacket(t, oneSecret, connid.Target{Address: agent.addr(), Number: 1}, "")

	r.apply(view(1, services(serviceAt(lodgement, inUse, other))))
	r.await("several attempts", func() bool { return r.counter("public_address_open_failed", "") > 3 })
	is.Equal(r.f.PublicAddrs(), map[string]string{other.String(): other.String()})
	caller.send(packet, other)
	_, datagram, _ := agent.receiveFrame()
	is.Equal(datagram, packet)

	lines := logs.FilterMessage("failed to open public address, will retry").All()
	is.Equal(len(lines), 1) // logged once, not for each attempt
	is.Equal(lines[0].ContextMap()["public"], inUse.String())
	is.True(lines[0].ContextMap()["error"] != nil)

	is.NoErr(blocker.conn.Close())
	r.await("the address to open", func() bool { return len(r.f.PublicAddrs()) == 2 })
	caller.send(packet, inUse)
	h, _, _ := agent.receiveFrame()
	is.Equal(h.Public, inUse)
}

func TestPublicAddressOfIPv6(t *testing.T) {
	is := is.New(t)
	loopback6 := netip.IPv6Loopback()
	probe, err := net.ListenUDP("udp6", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback6, 0)))
	if err != nil {
		t.Skip("this host has no IPv6 loopback")
	}
	defer func() { _ = probe.Close() }()
	caller := &socket{tb: t, conn: probe}
	agent := newSocket(t)

	o := testOptions()
	o.PublicIP = loopback6
	r := start(t, o)
	public := netip.MustParseAddrPort("[2001:db8::1]:443")
	r.apply(view(1, services(serviceAt(lodgement, public))))

	packet := shortPacket(t, oneSecret, connid.Target{Address: agent.addr(), Number: 1}, "")
	caller.send(packet, r.local(public))
	h, datagram, from := agent.receiveFrame()
	is.Equal(datagram, packet)
	is.Equal(h.Caller, caller.addr())
	is.Equal(h.Public, public)
	agent.send(encodeFrame(t, replyTo(h), []byte("reply")), from)
	reply, source := caller.receive()
	is.Equal(string(reply), "reply")
	is.Equal(source, r.local(public))
}

func TestRemovedAddressIsClosed(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne, publicTwo))))
	local := r.local(publicOne)

	r.apply(view(2, services(serviceAt(lodgement, publicTwo))))
	is.Equal(len(r.f.PublicAddrs()), 1)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	is.NoErr(err) // the port is free again
	is.NoErr(conn.Close())

	agent, caller := newSocket(t), newSocket(t)
	h := frame.Header{Kind: frame.Reply, Service: lodgement, Caller: caller.addr(), Public: publicOne}
	agent.send(encodeFrame(t, h, []byte("late")), r.f.FrameAddr())
	r.await("the refusal", func() bool { return r.counter("refused", "unknown_address") == 1 })
}

func TestOlderVersionIsNotApplied(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(7, services(serviceAt(lodgement, publicOne))))
	r.f.Apply(view(6, services(serviceAt(certificates, publicOne, publicTwo))))
	r.await("the refusal", func() bool { return r.counter("views_older_refused", "") == 1 })
	is.Equal(len(r.f.PublicAddrs()), 1)

	agent, caller := newSocket(t), newSocket(t)
	caller.send(shortPacket(t, oneSecret, connid.Target{Address: agent.addr(), Number: 1}, ""), r.local(publicOne))
	h, _, _ := agent.receiveFrame()
	is.Equal(h.Service, uint32(lodgement))
}

func TestInvalidAddressesAreSkipped(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	broken := serviceAt(lodgement, publicOne)
	broken.Addresses = append(broken.Addresses, "lodgement:443", publicTwo.String(), publicTwo.String())
	r.apply(view(1, services(broken),
		record(lodgement, 1, netip.MustParseAddrPort("10.0.0.1:7000")), // outside the agent networks
		record(lodgement, 2, netip.MustParseAddrPort("127.0.0.1:0")),
	))
	is.Equal(len(r.f.PublicAddrs()), 2)
	is.Equal(r.counter("public_address_unusable", ""), int64(2))
	is.Equal(r.counter("target_address_unusable", ""), int64(2))

	newSocket(t).send(initialPacket("made-up-id"), r.local(publicOne))
	r.await("the refusal", func() bool { return r.counter("refused", "no_target") == 1 })
}

func TestCandidateAndDampedGauges(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	gauge := func(name string) float64 { return r.scope.Snapshot().Gauges()[scopeName+"."+name+"+"].Value() }
	all := services(serviceAt(lodgement, publicOne), serviceAt(certificates, publicTwo))
	list := []*controlpb.TargetRecord{
		record(lodgement, 1, address), record(lodgement, 2, address), record(lodgement, 3, address), record(certificates, 4, address),
	}
	r.apply(view(1, all, list...))
	is.Equal(gauge("candidates"), 4.0)
	is.Equal(gauge("targets_damped"), 0.0)
	list = slices.Clone(list) // lists and records of views are immutable
	list[1] = proto.CloneOf(list[1])
	list[1].Damped = true
	r.apply(view(2, all, list...))
	is.Equal(gauge("candidates"), 3.0)
	is.Equal(gauge("targets_damped"), 1.0)
	r.apply(view(3, all, list[0])) // the leases of the others have expired
	is.Equal(gauge("candidates"), 1.0)
	is.Equal(gauge("targets_damped"), 0.0)
}

func TestShutdownClosesSocketsAndReturnsNil(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.Workers = 2
	r := start(t, o)
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	local := r.local(publicOne)

	r.stop()
	is.NoErr(<-r.done)
	close(r.done)
	for _, address := range []netip.AddrPort{local, r.f.FrameAddr()} {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
}

func TestWorkerPanicEndsRun(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.f.recoverPanic(func() { panic("worker fault") })()
	err := <-r.done
	close(r.done)
	is.True(err != nil)
}
