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
)

// Errors of the settings of an entry host.
var (
	ErrNoAgentNetworks = errors.New("no agent networks: every target would be refused")
	ErrFrameAddress    = errors.New("frame address must be an IPv4 ip:port")
	ErrPublicIP        = errors.New("public IP must be an IP number")
)

// View is what an entry host acts on. It is immutable.
type View struct {
	Config  *configpb.Configuration
	Targets []*controlpb.TargetRecord
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
	// Refresh is the time between two rebuilds of the tables. Default 1 s.
	Refresh time.Duration

	Log   *zap.Logger
	Scope tally.Scope
}

// optionsFrom reads the section [forwarding]. Secrets, Log and Scope are left
// to the caller.
func optionsFrom(s *settingspb.Forwarding) (Options, error) {
	o := Options{FreePorts: s.GetFreePorts(), Workers: int(s.GetWorkers())}

	var err error
	if o.FrameListen, err = netip.ParseAddrPort(s.GetFrameListen()); err != nil {
		return Options{}, errors.Wrapf(ErrFrameAddress, "%q", s.GetFrameListen())
	}
	if ip := s.GetPublicIp(); ip != "" {
		if o.PublicIP, err = netip.ParseAddr(ip); err != nil {
			return Options{}, errors.Wrapf(ErrPublicIP, "%q", ip)
		}
	}
	for _, text := range s.GetAgentNetworks() {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			return Options{}, errors.Wrap(err, "agent network")
		}
		o.AgentNetworks = append(o.AgentNetworks, network.Masked())
	}
	return o, nil
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
	if o.Refresh <= 0 {
		o.Refresh = defaultRefresh
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return nil
}
