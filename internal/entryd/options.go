package entryd

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
)

const (
	defaultWorkers = 1
	// defaultRefreshInterval is also the interval of attempts to open an address in
	// use.
	defaultRefreshInterval = time.Second
	// defaultMinApplyInterval limits the cost of many changes in a row.
	defaultMinApplyInterval = 100 * time.Millisecond
)

// Errors of invalid settings of an entry host.
var (
	ErrNoAgentNetworks = errors.New("no agent networks: every target would be refused")
	ErrAgentNetwork    = errors.New("agent network must be a CIDR")
	ErrFrameAddress    = errors.New("frame address must be an IPv4 ip:port")
	ErrPublicIP        = errors.New("public IP must be an IP address")
)

// View is the configuration and the targets of a Forwarder. It is immutable.
type View struct {
	Config  *configpb.Configuration
	Targets []*controlpb.TargetRecord
	// Complete is set if Targets are all targets that the control hosts know now.
	// Otherwise other entry hosts may know more.
	Complete bool
}

// Options of a Forwarder.
type Options struct {
	// PublicIP replaces the IP address of public addresses, if it is valid.
	PublicIP netip.Addr
	// FreePorts opens public addresses on ephemeral ports.
	FreePorts bool
	// FrameListen is the IPv4 address on which frames are received.
	FrameListen netip.AddrPort
	// AgentNetworks contain the frame addresses of all agents.
	AgentNetworks []netip.Prefix
	// Workers is the number of sockets per public address and of frame sockets. Default
	// 1.
	Workers int
	// Secrets for connection IDs and frames; the first one encodes.
	Secrets []connid.Secret
	// MaxRefusalsPerSecond bounds the connections per second that are refused with a
	// reply. Default 1000.
	MaxRefusalsPerSecond int
	// RefreshInterval is the interval of table refreshes. Default 1 s.
	RefreshInterval time.Duration
	// MinApplyInterval is the least time between two applied views. Default 100 ms.
	MinApplyInterval time.Duration

	Log   *zap.Logger
	Scope tally.Scope
}

// optionsFrom converts the section [forwarding] and returns all its errors. The caller
// sets Secrets, Log and Scope.
func optionsFrom(s *settingspb.Forwarding) (Options, error) {
	o := Options{FreePorts: s.GetFreePorts(), Workers: int(s.GetWorkers())}
	var errs []error

	frameListen, err := netip.ParseAddrPort(s.GetFrameListen())
	if err != nil {
		errs = append(errs, errors.Wrapf(ErrFrameAddress, "frame_listen %q", s.GetFrameListen()))
	}
	o.FrameListen = frameListen

	if ip := s.GetPublicIp(); ip != "" {
		o.PublicIP, err = netip.ParseAddr(ip)
		if err != nil {
			errs = append(errs, errors.Wrapf(ErrPublicIP, "public_ip %q", ip))
		}
	}

	for _, text := range s.GetAgentNetworks() {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			errs = append(errs, errors.Wrapf(ErrAgentNetwork, "agent_networks %q", text))
		}
		o.AgentNetworks = append(o.AgentNetworks, network.Masked())
	}
	if len(o.AgentNetworks) == 0 {
		errs = append(errs, errors.Wrap(ErrNoAgentNetworks, "agent_networks"))
	}
	return o, errors.Join(errs...)
}

// applyDefaults sets defaults and validates the options.
func (o *Options) applyDefaults() error {
	if len(o.AgentNetworks) == 0 {
		return ErrNoAgentNetworks
	}
	if !o.FrameListen.Addr().Unmap().Is4() {
		return errors.Wrapf(ErrFrameAddress, "%v", o.FrameListen)
	}
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	if o.MaxRefusalsPerSecond <= 0 {
		o.MaxRefusalsPerSecond = defaultMaxRefusalsPerSecond
	}
	if o.RefreshInterval <= 0 {
		o.RefreshInterval = defaultRefreshInterval
	}
	if o.MinApplyInterval <= 0 {
		o.MinApplyInterval = defaultMinApplyInterval
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return nil
}
