package agentd

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// Defaults of the settings that are left at zero.
const (
	defaultRequestBytes = 1 << 20
	defaultQueue        = 50 * time.Millisecond
	defaultDeadline     = 10 * time.Second
	defaultPoll         = time.Second
	defaultFlows        = 285
)

// limits are the bounds that the settings name.
type limits struct {
	requestBytes int64
	queue        time.Duration
	deadline     time.Duration
	poll         time.Duration
	// flows count as a full target.
	flows int
}

func limitsOf(s *settingspb.Agent) limits {
	l := limits{
		requestBytes: int64(s.GetMaxRequestBytes()),
		queue:        milliseconds(s.GetQueueMs(), defaultQueue),
		deadline:     milliseconds(s.GetDefaultDeadlineMs(), defaultDeadline),
		poll:         milliseconds(s.GetPollMs(), defaultPoll),
		// 2,000 flows of a service over 7 targets.
		flows: defaultFlows,
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

// frameAddress returns the address that others send frames to: the one that
// the settings name, else the one that was opened. Connection IDs name it.
func frameAddress(s *settingspb.Agent, opened netip.AddrPort) (netip.AddrPort, error) {
	text := s.GetFrameAddress()
	if text == "" {
		return opened, nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}, errors.Wrapf(ErrSettings, "frame_address: %q is not one IPv4 address with a port", text)
	}
	return address, nil
}

// openFrameSocket opens the address for frames. Connection IDs name it, so it
// has to be one IPv4 number.
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
