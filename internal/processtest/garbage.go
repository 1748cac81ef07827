package processtest

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	garbagePerListener = 200
	garbageMaxBytes    = 1400
)

// badRequest starts the answer of a listener for plain HTTP to noise.
var badRequest = []byte("HTTP/1.1 400 ")

// SendGarbage sends random datagrams to every UDP listener of the deployment that
// a stranger can reach, and random bytes to its TCP listeners. Those for plain
// HTTP have to answer with an error; the others can only count.
func (c *Cluster) SendGarbage(targets ...*Target) {
	c.t.Helper()
	random := c.newRand()
	for _, addr := range c.udpListeners(targets) {
		c.garbageUDP(random, addr)
	}
	for _, host := range c.controls {
		c.garbageTCP(random, host.Operator)
	}
	for _, addr := range c.plainListeners(targets) {
		if answer := c.garbageTCP(random, addr); !bytes.HasPrefix(answer, badRequest) {
			c.t.Fatalf("noise to %v was answered with %q, not with an error", addr, answer)
		}
	}
}

func (c *Cluster) udpListeners(targets []*Target) []netip.AddrPort {
	var all []netip.AddrPort
	for _, host := range c.controls {
		all = append(all, host.Link)
	}
	for _, e := range c.entries {
		all = append(all, e.FrameAddr())
		for _, s := range c.services {
			all = append(all, e.PublicAddress(s))
		}
	}
	for _, t := range targets {
		all = append(all, t.FrameAddr)
	}
	return all
}

// plainListeners are the listeners for plain HTTP.
func (c *Cluster) plainListeners(targets []*Target) []netip.AddrPort {
	var all []netip.AddrPort
	for _, host := range c.controls {
		all = append(all, host.metricsAddress())
	}
	for _, e := range c.entries {
		all = append(all, e.metricsAddress())
	}
	for _, t := range targets {
		all = append(all, t.Agent.metricsAddress(), netip.MustParseAddrPort(t.settings.Agent.AnnounceListen))
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

// garbageTCP sends noise over a connection and returns what comes back before
// it ends.
func (c *Cluster) garbageTCP(random *rand.Rand, addr netip.AddrPort) []byte {
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(addr))
	c.must(err)
	defer conn.Close()
	_, err = conn.Write(append(noise(random), "\r\n\r\n"...))
	c.must(err)
	// A listener may have closed by now without reading all of it, which resets
	// the connection.
	_ = conn.CloseWrite()
	answer, _ := io.ReadAll(conn)
	return answer
}

func noise(random *rand.Rand) []byte {
	b := make([]byte, 1+random.IntN(garbageMaxBytes))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}
