package dev

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
)

// Network puts proxies between the hosts of a deployment, each a stand-in for
// the network: a fabric per service that hands any packet of a caller to any
// entry host, and delays between failure domains.
type Network struct {
	// DomainDelay and CallerDelay are delays one way.
	DomainDelay, CallerDelay time.Duration
	// Seed of the fabric's choices.
	Seed uint64
}

// network holds the proxies of a deployment. Its zero value has none.
type network struct {
	Network
	domains []string
	random  *rand.Rand
	relays  []*faultproxy.Relay
	// fabric is by service.
	fabric map[string]*faultproxy.Relay
}

func newNetwork(n Network, domains []string) *network {
	return &network{
		Network: n, domains: domains,
		random: rand.New(rand.NewPCG(n.Seed, 0)),
		fabric: map[string]*faultproxy.Relay{},
	}
}

// domainIP is the IP number of all hosts in a failure domain, so that a proxy
// can tell where a packet comes from.
func domainIP(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(index + 1), 1})
}

// listenIn is a free port in a failure domain.
func (n *network) listenIn(domain string) string {
	for i, name := range n.domains {
		if name == domain {
			return netip.AddrPortFrom(domainIP(i), 0).String()
		}
	}
	return freePort
}

// distanceTo returns the delay by the caller's IP number to a failure domain.
// Callers outside of the failure domains' IP numbers count as another domain.
func (n *network) distanceTo(domain string) func(netip.Addr) time.Duration {
	own := netip.MustParseAddrPort(n.listenIn(domain)).Addr()
	return func(caller netip.Addr) time.Duration {
		if caller == own {
			return 0
		}
		return n.DomainDelay
	}
}

// relay opens a proxy that has no host yet.
func (n *network) relay(delay func(netip.Addr) time.Duration) (*faultproxy.Relay, error) {
	r, err := faultproxy.NewRelay(faultproxy.Options{
		Listen: netip.MustParseAddrPort(freePort),
		Rand:   rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())),
		Delay:  delay,
	})
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	n.relays = append(n.relays, r)
	return r, nil
}

// openFabric opens the proxy that callers of a service dial.
func (n *network) openFabric(service string) error {
	r, err := n.relay(func(netip.Addr) time.Duration { return n.CallerDelay })
	if err != nil {
		return err
	}
	n.fabric[service] = r
	return nil
}

// silence loses what the fabric carries to and from an entry host.
func (n *network) silence(host netip.AddrPort) {
	for _, r := range n.fabric {
		r.SetHostFaults(host, faultproxy.ToHost, faultproxy.Faults{Cut: true})
		r.SetHostFaults(host, faultproxy.ToCaller, faultproxy.Faults{Cut: true})
	}
}

func (n *network) close() {
	for _, r := range n.relays {
		r.Close()
	}
}

// lead makes a proxy lead to an address.
func lead(r *faultproxy.Relay, address string) error {
	host, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, fmt.Sprintf("proxy to %q", address))
	}
	r.SetHosts(host)
	return nil
}
