package processtest

import (
	"fmt"
	"net/netip"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// Service is a service with its stretch of the fabric.
type Service struct {
	Name string
	// Address is its public address in the configuration.
	Address netip.AddrPort
	// Fabric sprays the datagrams of its callers over the entry hosts.
	Fabric *faultproxy.Relay

	cluster *Cluster
	caller  keys.Files
	hosts   []netip.AddrPort
}

// NewService prepares a service: its public address, its stretch of the
// fabric and its caller certificate. A patch brings it into force.
func (c *Cluster) NewService(name string) *Service {
	c.t.Helper()
	s := &Service{
		Name:    name,
		Address: addresses.newPort(c.t, c.ip),
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
		s.addHost(e.Public(s))
	}
	return s
}

// Put returns the section of a patch that creates or replaces the service.
func (s *Service) Put() string {
	return fmt.Sprintf("[service %s]\naddresses = %s\nslots = 4\n", s.Name, s.Address)
}

// Remove returns the section of a patch that removes the service.
func (s *Service) Remove() string {
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
