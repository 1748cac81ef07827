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

// badRequest is the start of the expected response of a plain HTTP listener.
var badRequest = []byte("HTTP/1.1 400 ")

// SendGarbage sends random datagrams to every UDP listener of the cluster and
// random bytes to its TCP listeners. Plain HTTP listeners must respond with an
// error.
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
		if reply := c.garbageTCP(random, addr); !bytes.HasPrefix(reply, badRequest) {
			c.t.Fatalf("%v replied to random bytes with %q, want an error", addr, reply)
		}
	}
}

func (c *Cluster) udpListeners(targets []*Target) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, host := range c.controls {
		addrs = append(addrs, host.Link)
	}
	for _, e := range c.entries {
		addrs = append(addrs, e.FrameAddr())
		for _, s := range c.services {
			addrs = append(addrs, e.PublicAddress(s))
		}
	}
	for _, t := range targets {
		addrs = append(addrs, t.FrameAddr)
	}
	return addrs
}

// plainListeners returns the addresses of the plain HTTP listeners.
func (c *Cluster) plainListeners(targets []*Target) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, host := range c.controls {
		addrs = append(addrs, host.metricsAddress())
	}
	for _, e := range c.entries {
		addrs = append(addrs, e.metricsAddress())
	}
	for _, t := range targets {
		addrs = append(addrs, t.Agent.metricsAddress(), netip.MustParseAddrPort(t.settings.Agent.AnnounceListen))
	}
	return addrs
}

func (c *Cluster) garbageUDP(random *rand.Rand, addr netip.AddrPort) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	c.must(err)
	defer conn.Close()
	for range garbagePerListener {
		_, err := conn.Write(randomBytes(random))
		c.must(err)
	}
}

// garbageTCP sends random bytes over a connection and returns the reply.
func (c *Cluster) garbageTCP(random *rand.Rand, addr netip.AddrPort) []byte {
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(addr))
	c.must(err)
	defer conn.Close()
	_, err = conn.Write(append(randomBytes(random), "\r\n\r\n"...))
	c.must(err)
	// A listener that closes before it has read everything resets the connection.
	_ = conn.CloseWrite()
	reply, _ := io.ReadAll(conn)
	return reply
}

func randomBytes(random *rand.Rand) []byte {
	data := make([]byte, 1+random.IntN(garbageMaxBytes))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}
