package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
)

const (
	// claimPort is bound on an IP number while a test uses it, so that no other process
	// takes that number.
	claimPort = 9999
	// Ports are below the kernel's ephemeral range.
	firstPort = 10000
	lastPort  = 32767

	addressesPerProcess = 64
	loopbackBits        = 24
	excludedAddresses   = 1 << 16 // 127.0.0.0/16
)

// addresses is the allocator of this test process.
var addresses = &allocator{port: firstPort}

// Host returns an IP number that is not used by others until the test ends. The search starts
// at an index derived from the process ID.
func Host(t testing.TB) netip.Addr {
	t.Helper()
	return addresses.host(t)
}

// Address returns the IP number of a Host with a port that is free for UDP and TCP and was not
// returned recently.
func Address(t testing.TB, host netip.Addr) netip.AddrPort {
	t.Helper()
	return addresses.address(t, host)
}

// allocator allocates IP numbers and ports.
type allocator struct {
	mu   sync.Mutex
	next uint32
	port uint16
}

func (a *allocator) host(t testing.TB) netip.Addr {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	const all = 1<<loopbackBits - excludedAddresses - 1
	for range all {
		index := (uint32(os.Getpid())*addressesPerProcess + a.next) % all
		a.next++
		low := index + excludedAddresses
		ip := netip.AddrFrom4([4]byte{127, byte(low >> 16), byte(low >> 8), byte(low)})
		claim, err := net.Listen("tcp", netip.AddrPortFrom(ip, claimPort).String())
		if err != nil {
			continue
		}
		t.Cleanup(func() { claim.Close() })
		return ip
	}
	t.Fatal("no free loopback address")
	return netip.Addr{}
}

func (a *allocator) address(t testing.TB, ip netip.Addr) netip.AddrPort {
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
	t.Fatal("no free port")
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
