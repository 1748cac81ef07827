// Package listen opens TCP listeners with a limit on connections.
package listen

import (
	"net"

	"golang.org/x/net/netutil"
)

// MaxConnections limits the open connections of one address, within the file descriptors of a
// process. Further connections wait until one ends, so servers have to close idle ones.
const MaxConnections = 1024

// TCP listens on an IPv4 or IPv6 address (ip:port).
func TCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return netutil.LimitListener(l, MaxConnections), nil
}
