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
	// defaultRefresh is the time between two rebuilds of the tables and two
	// attempts to open an address that is in use.
	defaultRefresh = time.Second
	// defaultPause bounds what a wave of changes costs: a view of 12,000
	// targets takes some 15 ms to apply.
	defaultPause = 100 * time.Millisecond
)

// Errors of the settings of an entry host.
var (
	ErrNoAgentNetworks = errors.New("no agent networks: every target would be refused")
	ErrAgentNetwork    = errors.New("agent network must be a CIDR")
	ErrFrameAddress    = errors.New("frame address must be an IPv4 ip:port")
	ErrPublicIP        = errors.New("public IP must be an IP number")
)

// View is what an entry host acts on. It is immutable.
type View struct {
	Config  *configpb.Configuration
	Targets []*controlpb.TargetRecord
	// Complete tells that Targets are all that the control hosts know of now.
	// Without it a service may have targets that this host does not know of,
	// and other entry hosts may.
	Complete bool
}

// Options of a Forwarder.
type Options struct {
	// PublicIP replaces the IP number of public addresses, if it is valid.
	PublicIP netip.Addr
	// FreePorts opens public addresses on free ports.
	FreePorts bool
	// FrameListen is where frames are received, IPv4.
	FrameListen netip.AddrPort
	// AgentNetworks hold the frame addresses of all agents.
	AgentNetworks []netip.Prefix
	// Workers is the number of sockets per public address and of frame
	// sockets. Default 1.
	Workers int
	// Secrets for connection IDs and frames; the first one encodes.
	Secrets []connid.Secret
	// MaxRefusalsPerSecond is how many callers a second are told that their service has no
	// target. Default 1000.
	MaxRefusalsPerSecond int
	// RefreshInterval is the time between two rebuilds of the tables. Default 1 s.
	RefreshInterval time.Duration
	// MinApplyInterval is the least time between two views that are applied. Default
	// 100 ms.
	MinApplyInterval time.Duration

	Log   *zap.Logger
	Scope tally.Scope
}

// optionsFrom reads the section [forwarding] and reports all that is wrong with
// it. Secrets, Log and Scope are left to the caller.
func optionsFrom(s *settingspb.Forwarding) (Options, error) {
	o := Options{FreePorts: s.GetFreePorts(), Workers: int(s.GetWorkers())}
	var findings []error

	frameListen, err := netip.ParseAddrPort(s.GetFrameListen())
	if err != nil {
		findings = append(findings, errors.Wrapf(ErrFrameAddress, "frame_listen %q", s.GetFrameListen()))
	}
	o.FrameListen = frameListen

	if ip := s.GetPublicIp(); ip != "" {
		o.PublicIP, err = netip.ParseAddr(ip)
		if err != nil {
			findings = append(findings, errors.Wrapf(ErrPublicIP, "public_ip %q", ip))
		}
	}

	for _, text := range s.GetAgentNetworks() {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			findings = append(findings, errors.Wrapf(ErrAgentNetwork, "agent_networks %q", text))
		}
		o.AgentNetworks = append(o.AgentNetworks, network.Masked())
	}
	if len(o.AgentNetworks) == 0 {
		findings = append(findings, errors.Wrap(ErrNoAgentNetworks, "agent_networks"))
	}
	return o, errors.Join(findings...)
}

// complete fills in defaults and reports what is missing.
func (o *Options) complete() error {
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
		o.MaxRefusalsPerSecond = defaultRefusals
	}
	if o.RefreshInterval <= 0 {
		o.RefreshInterval = defaultRefresh
	}
	if o.MinApplyInterval <= 0 {
		o.MinApplyInterval = defaultPause
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return nil
}
