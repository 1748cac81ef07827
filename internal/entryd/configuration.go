package entryd

import (
	"net/netip"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// servicePolicy is the part of a configured service that forwarding needs.
type servicePolicy struct {
	number uint32
	name   string
	policy *configpb.Policy
}

// retiredService is the service of retired addresses. They stay open for established
// flows, whose connection IDs name their targets. Service 0 has no targets, so no new
// flow starts there.
var retiredService = &servicePolicy{name: "(retired)"}

// publicAddresses maps each public address of a configuration to its service. An
// invalid address, or one that an earlier service has too, is counted and skipped.
func (f *Forwarder) publicAddresses(config *configpb.Configuration) map[netip.AddrPort]*servicePolicy {
	out := make(map[netip.AddrPort]*servicePolicy)
	for _, s := range config.GetServices() {
		policy := &servicePolicy{number: s.GetNumber(), name: s.GetName(), policy: s.GetPolicy()}
		for _, text := range s.GetAddresses() {
			address, err := netip.ParseAddrPort(text)
			if err != nil {
				f.reportInvalidAddress(s, text, "not an ip:port")
				continue
			}
			address = unmap(address)
			if _, taken := out[address]; taken {
				f.reportInvalidAddress(s, text, "already belongs to another service")
				continue
			}
			out[address] = policy
		}
	}
	for _, text := range config.GetRetired() {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			f.reportInvalidAddress(nil, text, "not an ip:port")
			continue
		}
		address = unmap(address)
		if out[address] == nil {
			out[address] = retiredService
		}
	}
	return out
}

func (f *Forwarder) reportInvalidAddress(s *configpb.Service, address, reason string) {
	f.counters.invalidAddresses.Inc(1)
	f.log.Error("invalid public address ignored",
		zap.String("public", address),
		zap.String("service", s.GetName()),
		zap.String("reason", reason),
	)
}
