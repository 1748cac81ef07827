package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
)

const (
	// claimPort is bound on an IP number for as long as a test uses it, so
	// that two processes never share one.
	claimPort = 9999
	// Ports are counted up below the range from which the kernel takes
	// ephemeral ports.
	firstPort = 10000
	lastPort  = 32767

	addressesPerProcess = 64
	loopbackBits        = 24
	reservedAddresses   = 1 << 16 // 127.0.0.0/16 is left to others
)

// addresses allots IP numbers and ports to the hosts of this test process.
var addresses = &allotment{port: firstPort}

// Host returns an IP number that nobody else uses until the test ends. The
// search starts at a place given by the process ID, the claim settles
// collisions.
func Host(t testing.TB) netip.Addr {
	t.Helper()
	return addresses.host(t)
}

// Address returns the IP number of a Host with a port that this process has
// not used lately and that is free for UDP and TCP.
func Address(t testing.TB, host netip.Addr) netip.AddrPort {
	t.Helper()
	return addresses.address(t, host)
}

// allotment is what a process has allotted so far.
type allotment struct {
	mu   sync.Mutex
	next uint32
	port uint16
}

func (a *allotment) host(t testing.TB) netip.Addr {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	const all = 1<<loopbackBits - reservedAddresses - 1
	for range all {
		index := (uint32(os.Getpid())*addressesPerProcess + a.next) % all
		a.next++
		low := index + reservedAddresses
		ip := netip.AddrFrom4([4]byte{127, byte(low >> 16), byte(low >> 8), byte(low)})
		claim, err := net.Listen("tcp", netip.AddrPortFrom(ip, claimPort).String())
		if err != nil {
			continue
		}
		t.Cleanup(func() { claim.Close() })
		return ip
	}
	t.Fatal("no loopback address is free")
	return netip.Addr{}
}

func (a *allotment) address(t testing.TB, ip netip.Addr) netip.AddrPort {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	for range lastPort - firstPort {
		addr := netip.AddrPortFrom(ip, a.port)
		a.port++
		if a.port > lastPort {
			a.port = firstPort
		}
		if isFree(addr) {
			return addr
		}
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

func isFree(addr netip.AddrPort) bool {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	defer udp.Close()
	return true
}
