package entryd

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// receiveBuffer is the requested receive buffer of a socket in bytes; the system may
// grant less.
const receiveBuffer = 1 << 20

// listener is an open public address.
type listener struct {
	public netip.AddrPort
	local  netip.AddrPort
	conns  []*net.UDPConn
	// service is replaced when the configuration or the directory changes.
	service atomic.Pointer[service]
	// policy is the policy of service. Only the goroutine of Run uses it.
	policy  *servicePolicy
	workers conc.WaitGroup
}

// close closes the sockets and waits for the workers, so that the address can be
// reopened.
func (l *listener) close() {
	closeAll(l.conns)
	l.workers.Wait()
}

// openSockets opens n sockets on one address and returns it with its port. If n is more
// than 1, the kernel distributes datagrams among them by sender.
func openSockets(ctx context.Context, address netip.AddrPort, n int) ([]*net.UDPConn, netip.AddrPort, error) {
	config := net.ListenConfig{}
	if n > 1 {
		// With one socket, a second process on the same address must get an error.
		config.Control = setReusePort
	}

	var conns []*net.UDPConn
	for range n {
		conn, err := openSocket(ctx, &config, address)
		if err != nil {
			closeAll(conns)
			return nil, netip.AddrPort{}, err
		}
		conns = append(conns, conn)
		// The first socket may have been given a free port; the others share it.
		address = localAddr(conn)
	}
	return conns, address, nil
}

func openSocket(ctx context.Context, config *net.ListenConfig, address netip.AddrPort) (*net.UDPConn, error) {
	network := "udp6"
	if address.Addr().Unmap().Is4() {
		network = "udp4"
	}
	packetConn, err := config.ListenPacket(ctx, network, address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "open %v", address)
	}

	conn := packetConn.(*net.UDPConn)
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "set receive buffer of %v", address)
	}
	return conn, nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optErr
}

func closeAll(conns []*net.UDPConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
