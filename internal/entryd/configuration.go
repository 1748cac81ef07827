package entryd

import (
	"net/netip"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// servicePolicy is a service of the configuration as forwarding needs it.
type servicePolicy struct {
	number uint32
	name   string
	policy *configpb.Policy
}

// retired stands for the addresses that no service has any more. They stay
// open for established flows, whose connection IDs name their targets; service
// 0 has no targets, so that no new flow begins there.
var retired = &servicePolicy{name: "(retired)"}

// publicAddresses returns the service of each public address of a
// configuration. An address that can't be read, or that an earlier service has
// as well, is counted and left out: the others serve on.
func (f *Forwarder) publicAddresses(config *configpb.Configuration) map[netip.AddrPort]*servicePolicy {
	out := make(map[netip.AddrPort]*servicePolicy)
	for _, s := range config.GetServices() {
		policy := &servicePolicy{number: s.GetNumber(), name: s.GetName(), policy: s.GetPolicy()}
		for _, text := range s.GetAddresses() {
			address, err := netip.ParseAddrPort(text)
			if err != nil {
				f.refuseAddress(s, text, "not an ip:port")
				continue
			}
			address = unmap(address)
			if _, taken := out[address]; taken {
				f.refuseAddress(s, text, "belongs to another service as well")
				continue
			}
			out[address] = policy
		}
	}
	for _, text := range config.GetRetired() {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			f.refuseAddress(nil, text, "not an ip:port")
			continue
		}
		address = unmap(address)
		if out[address] == nil {
			out[address] = retired
		}
	}
	return out
}

func (f *Forwarder) refuseAddress(s *configpb.Service, address, reason string) {
	f.counters.badAddress.Inc(1)
	f.log.Error("public address left out",
		zap.String("public", address),
		zap.String("service", s.GetName()),
		zap.String("reason", reason),
	)
}
