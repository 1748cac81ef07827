package processtest

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

// Service is a service with its part of the fabric.
type Service struct {
	Name string
	// Address is its public address in the configuration.
	Address netip.AddrPort
	// Fabric distributes the datagrams of its callers over the entry hosts.
	Fabric *faultproxy.Relay

	cluster *Cluster
	caller  keys.Files
	hosts   []netip.AddrPort
	// fakeTargets counts the calls of AnnounceFakeTargets.
	fakeTargets int
}

// NewService creates a public address, a fabric relay and caller keys for a
// service. A patch has to add the service to the configuration.
func (c *Cluster) NewService(name string) *Service {
	c.t.Helper()
	s := &Service{
		Name:    name,
		Address: c.NewAddress(),
		cluster: c,
		caller:  c.issue(keys.RoleCaller, "", name),
	}
	fabric, err := faultproxy.NewRelay(faultproxy.Options{
		Listen: netip.AddrPortFrom(c.ip, 0),
		Rand:   c.newRand(),
	})
	c.must(err)
	s.Fabric = fabric
	c.t.Cleanup(fabric.Close)
	c.services = append(c.services, s)
	for _, e := range c.entries {
		s.addHost(e.PublicAddress(s))
	}
	return s
}

// NewAddress returns an unused public address.
func (c *Cluster) NewAddress() netip.AddrPort {
	c.t.Helper()
	return loopback.Address(c.t, c.ip)
}

// PutSection returns the section of a patch that creates or replaces the service.
// Without addresses it uses the public address of the service.
func (s *Service) PutSection(addresses ...netip.AddrPort) string {
	if len(addresses) == 0 {
		addresses = []netip.AddrPort{s.Address}
	}
	var addrs []string
	for _, addr := range addresses {
		addrs = append(addrs, addr.String())
	}
	return fmt.Sprintf("[service %s]\naddresses = %s\nslots = 4\n", s.Name, strings.Join(addrs, ", "))
}

// RemoveSection returns the section of a patch that removes the service.
func (s *Service) RemoveSection() string {
	return fmt.Sprintf("[remove %s]\n", s.Name)
}

func (s *Service) addHost(host netip.AddrPort) {
	if !slices.Contains(s.hosts, host) {
		s.hosts = append(s.hosts, host)
	}
	s.Fabric.SetHosts(s.hosts...)
}

func (s *Service) removeHost(host netip.AddrPort) {
	s.hosts = slices.DeleteFunc(s.hosts, func(h netip.AddrPort) bool { return h == host })
	s.Fabric.SetHosts(s.hosts...)
}
