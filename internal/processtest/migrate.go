package processtest

import (
	"context"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"
)

// Migrate moves the caller's latest connection to a new local port (RFC 9000,
// section 9).
func (c *Caller) Migrate() {
	c.t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, 0)))
	if err != nil {
		c.t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	c.t.Cleanup(func() {
		transport.Close()
		socket.Close()
	})
	path, err := c.conn.Load().AddPath(transport)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := path.Probe(ctx); err != nil {
		c.t.Fatalf("probe of the new path: %v", err)
	}
	if err := path.Switch(); err != nil {
		c.t.Fatal(err)
	}
}
