package processtest

import (
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	garbagePerListener = 200
	garbageMaxBytes    = 1400
)

// Garbage sends random datagrams to every UDP listener of the deployment that
// a stranger can reach, and random bytes to its TCP listeners.
func (c *Cluster) Garbage(targets ...*Target) {
	c.t.Helper()
	random := c.newRand()
	for _, addr := range c.udpListeners(targets) {
		c.garbageUDP(random, addr)
	}
	for _, addr := range c.tcpListeners(targets) {
		c.garbageTCP(random, addr)
	}
}

func (c *Cluster) udpListeners(targets []*Target) []netip.AddrPort {
	var all []netip.AddrPort
	for _, host := range c.controls {
		all = append(all, host.Link)
	}
	for _, e := range c.entries {
		all = append(all, e.Frames())
		for _, s := range c.services {
			all = append(all, e.Public(s))
		}
	}
	for _, t := range targets {
		all = append(all, t.Frames)
	}
	return all
}

func (c *Cluster) tcpListeners(targets []*Target) []netip.AddrPort {
	var all []netip.AddrPort
	for _, host := range c.controls {
		all = append(all, host.Operator)
	}
	for _, t := range targets {
		all = append(all, netip.MustParseAddrPort(t.settings.Agent.AnnounceListen))
	}
	return all
}

func (c *Cluster) garbageUDP(random *rand.Rand, addr netip.AddrPort) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	c.must(err)
	defer conn.Close()
	for range garbagePerListener {
		_, err := conn.Write(noise(random))
		c.must(err)
	}
}

func (c *Cluster) garbageTCP(random *rand.Rand, addr netip.AddrPort) {
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(addr))
	c.must(err)
	defer conn.Close()
	_, err = conn.Write(noise(random))
	c.must(err)
}

func noise(random *rand.Rand) []byte {
	b := make([]byte, 1+random.IntN(garbageMaxBytes))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}
