package faultproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

const readTimeout = unittest.Timeout

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func socket(t *testing.T) *net.UDPConn {
	t.Helper()
	is := is.New(t)
	conn, err := listenUDP(loopback)
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	is.NoErr(conn.SetReadDeadline(time.Now().Add(readTimeout)))
	return conn
}

func addrOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func relay(t *testing.T, opts Options) *Relay {
	t.Helper()
	opts.Listen = loopback
	opts.Rand = rand.New(rand.NewPCG(1, 2))
	r, err := NewRelay(opts)
	is.New(t).NoErr(err)
	t.Cleanup(r.Close)
	return r
}

func send(t *testing.T, from *net.UDPConn, to netip.AddrPort, text string) {
	t.Helper()
	_, err := from.WriteToUDPAddrPort([]byte(text), to)
	is.New(t).NoErr(err)
}

func receive(t *testing.T, at *net.UDPConn) (string, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, maxDatagram)
	n, from, err := at.ReadFromUDPAddrPort(buf)
	is.New(t).NoErr(err)
	return string(buf[:n]), from
}

// waitFor polls the condition until it holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	unittest.Eventually(t, "the condition", condition)
}

func TestCallerIsSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	caller, a, b := socket(t), socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a), addrOf(b)}})
	for range 40 {
		send(t, caller, r.Addr(), "q")
	}
	_, fromA := receive(t, a)
	_, fromB := receive(t, b)
	is.Equal(fromA, fromB) // both hosts see the same address of the caller
	send(t, a, fromA, "by a")
	text, from := receive(t, caller)
	is.Equal(text, "by a")
	is.Equal(from, r.Addr())
	send(t, b, fromB, "by b")
	text, _ = receive(t, caller)
	is.Equal(text, "by b")
}

func TestRoundRobin(t *testing.T) {
	is := is.New(t)
	caller, a, b := socket(t), socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a), addrOf(b)}})
	r.UseRoundRobin()
	for _, text := range []string{"1", "2", "3", "4"} {
		send(t, caller, r.Addr(), text)
	}
	for _, want := range []struct {
		at   *net.UDPConn
		text string
	}{{a, "1"}, {b, "2"}, {a, "3"}, {b, "4"}} {
		text, _ := receive(t, want.at)
		is.Equal(text, want.text)
	}
}

func TestHostsChangeWhileRunning(t *testing.T) {
	is := is.New(t)
	caller, a, b := socket(t), socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a)}})
	send(t, caller, r.Addr(), "1")
	_, before := receive(t, a)
	r.SetHosts(addrOf(b))
	send(t, caller, r.Addr(), "2")
	text, after := receive(t, b)
	is.Equal(text, "2")
	is.Equal(before, after) // the caller's address does not change
	send(t, a, before, "late reply")
	text, _ = receive(t, caller)
	is.Equal(text, "late reply")
}

func TestDropAndDuplicateDependOnSeed(t *testing.T) {
	is := is.New(t)
	caller, a := socket(t), socket(t)
	host := addrOf(a)
	run := func() Counts {
		r := relay(t, Options{Hosts: []netip.AddrPort{host}})
		r.SetHostFaults(host, ToHost, Faults{Drop: 0.3, Duplicate: 0.2})
		for i := range 200 {
			send(t, caller, r.Addr(), "x")
			waitFor(t, func() bool { return r.Counts(host, ToHost).Received == i+1 })
		}
		return r.Counts(host, ToHost)
	}
	first := run()
	is.True(first.Lost > 30 && first.Lost < 90)
	is.True(first.Delivered > 200-first.Lost) // includes duplicates
	is.Equal(run(), first)
}

func TestReorderLetsLaterDatagramsOvertake(t *testing.T) {
	is := is.New(t)
	caller, a := socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a)}})
	r.SetFaults(ToHost, Faults{Reorder: 1, ReorderDelay: 50 * time.Millisecond})
	send(t, caller, r.Addr(), "first")
	waitFor(t, func() bool { return r.Counts(addrOf(a), ToHost).Delivered == 1 })
	r.Heal()
	send(t, caller, r.Addr(), "second")
	one, _ := receive(t, a)
	two, _ := receive(t, a)
	is.Equal([]string{one, two}, []string{"second", "first"})
}

func TestOneWayCut(t *testing.T) {
	is := is.New(t)
	caller, a := socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a)}})
	r.SetFaults(ToCaller, Faults{Cut: true})
	send(t, caller, r.Addr(), "q")
	_, from := receive(t, a)
	send(t, a, from, "lost")
	waitFor(t, func() bool { return r.Counts(addrOf(a), ToCaller).Lost == 1 })
	r.Heal()
	send(t, a, from, "after")
	text, _ := receive(t, caller)
	is.Equal(text, "after")
}

func TestCutFlowsAffectsOnlyExistingFlows(t *testing.T) {
	is := is.New(t)
	cut, other, a := socket(t), socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a)}})
	send(t, cut, r.Addr(), "before")
	receive(t, a)
	r.CutFlows(ToHost, ToCaller)
	send(t, cut, r.Addr(), "lost")
	waitFor(t, func() bool { return r.Counts(addrOf(a), ToHost).Lost == 1 })
	r.Heal()
	send(t, cut, r.Addr(), "lost too")
	waitFor(t, func() bool { return r.Counts(addrOf(a), ToHost).Lost == 2 })
	send(t, other, r.Addr(), "fresh")
	text, _ := receive(t, a)
	is.Equal(text, "fresh")
}

func TestFlowTableIsBounded(t *testing.T) {
	is := is.New(t)
	a := socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(a)}, MaxFlows: 3})
	var callers []netip.AddrPort
	for i := range 10 {
		send(t, socket(t), r.Addr(), fmt.Sprint(i))
		text, from := receive(t, a)
		is.Equal(text, fmt.Sprint(i))
		is.True(!slices.Contains(callers, from))
		callers = append(callers, from)
	}
	is.Equal(r.Flows(), 3)
}

func TestTCPRelayCutsReplies(t *testing.T) {
	is := is.New(t)
	host, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer host.Close()
	r, err := NewTCPRelay(loopback, host.Addr().(*net.TCPAddr).AddrPort())
	is.NoErr(err)
	defer r.Close()
	callerConn, err := net.Dial("tcp", r.Addr().String())
	is.NoErr(err)
	hostConn, err := host.Accept()
	is.NoErr(err)
	defer hostConn.Close()
	buf := make([]byte, 8)

	_, err = callerConn.Write([]byte("question"))
	is.NoErr(err)
	_, err = io.ReadFull(hostConn, buf)
	is.NoErr(err)
	is.Equal(string(buf), "question")

	r.SetFaults(ToCaller, Faults{Cut: true})
	_, err = hostConn.Write([]byte("the lost"))
	is.NoErr(err)
	r.CloseConnections()
	n, err := callerConn.Read(buf)
	is.Equal(n, 0)
	is.True(err != nil) // the reply was dropped
}

func TestDelayDependsOnCaller(t *testing.T) {
	is := is.New(t)
	const delay = 50 * time.Millisecond
	delayCalls := make(chan netip.Addr, 1)
	host, caller := socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(host)}, Delay: func(caller netip.Addr) time.Duration {
		delayCalls <- caller
		return delay
	}})
	start := time.Now()
	send(t, caller, r.Addr(), "there")
	text, upstream := receive(t, host)
	is.Equal(text, "there")
	is.True(time.Since(start) >= delay)
	is.Equal(<-delayCalls, addrOf(caller).Addr())

	start = time.Now()
	send(t, host, upstream, "back")
	text, _ = receive(t, caller)
	is.Equal(text, "back")
	is.True(time.Since(start) >= delay)
}
