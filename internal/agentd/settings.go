package agentd

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// Defaults for settings that are 0.
const (
	defaultRequestBytes = 1 << 20
	defaultQueue        = 50 * time.Millisecond
	defaultDeadline     = 10 * time.Second
	defaultPoll         = time.Second
	defaultFlows        = 285
)

// limits holds the bounds in the settings.
type limits struct {
	requestBytes int64
	queue        time.Duration
	deadline     time.Duration
	poll         time.Duration
	// flows is the number of flows of a fully loaded target.
	flows int
}

func limitsOf(s *settingspb.Agent) limits {
	l := limits{
		requestBytes: int64(s.GetMaxRequestBytes()),
		queue:        milliseconds(s.GetQueueMs(), defaultQueue),
		deadline:     milliseconds(s.GetDefaultDeadlineMs(), defaultDeadline),
		poll:         milliseconds(s.GetPollMs(), defaultPoll),
		flows:        defaultFlows,
	}
	if n := s.GetFlowCapacity(); n > 0 {
		l.flows = int(n)
	}
	if l.requestBytes <= 0 {
		l.requestBytes = defaultRequestBytes
	}
	return l
}

func milliseconds(ms uint32, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// frameAddress returns the address that others send frames to: the configured one,
// else the local address. Connection IDs contain it.
func frameAddress(s *settingspb.Agent, listenAddr netip.AddrPort) (netip.AddrPort, error) {
	text := s.GetFrameAddress()
	if text == "" {
		return listenAddr, nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}, errors.Wrapf(ErrSettings, "frame_address: %q is not one IPv4 address with a port", text)
	}
	return address, nil
}

// openFrameSocket opens the address for frames. It must be a single IPv4 address
// because connection IDs contain it.
func openFrameSocket(listen string) (*net.UDPConn, netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrapf(ErrSettings, "frame_listen: %v", err)
	}
	if !address.Addr().Is4() || address.Addr().IsUnspecified() {
		return nil, netip.AddrPort{}, errors.Wrapf(ErrSettings, "frame_listen: %s is not one IPv4 address", listen)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "frame socket")
	}
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return socket, netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port()), nil
}
