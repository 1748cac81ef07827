package dev

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
)

// Network simulates a network between the hosts of a deployment with proxies: a fabric
// per service that sends each packet of a caller to a random entry host, and delays
// between failure domains.
type Network struct {
	// DomainDelay is the one-way delay between failure domains, CallerDelay that
	// between callers and the fabric.
	DomainDelay, CallerDelay time.Duration
	// Seed of the proxies' random choices.
	Seed uint64
}

// network holds the proxies of a deployment.
type network struct {
	Network
	domains []string
	random  *rand.Rand
	relays  []*faultproxy.Relay
	// fabricRelays are the fabrics by service.
	fabricRelays map[string]*faultproxy.Relay
}

func newNetwork(n Network, domains []string) *network {
	return &network{
		Network: n, domains: domains,
		random:       rand.New(rand.NewPCG(n.Seed, 0)),
		fabricRelays: map[string]*faultproxy.Relay{},
	}
}

// domainIP returns the IP address of all hosts in a failure domain. Proxies use it to
// tell the domain of a sender.
func domainIP(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(index + 1), 1})
}

// listenAddr returns a listen address with a free port in a failure domain.
func (n *network) listenAddr(domain string) string {
	for i, name := range n.domains {
		if name == domain {
			return netip.AddrPortFrom(domainIP(i), 0).String()
		}
	}
	return freePort
}

// delayTo returns the delay from a caller's IP address to a failure domain. Callers
// outside the failure domains count as another domain.
func (n *network) delayTo(domain string) func(netip.Addr) time.Duration {
	hostIP := netip.MustParseAddrPort(n.listenAddr(domain)).Addr()
	return func(caller netip.Addr) time.Duration {
		if caller == hostIP {
			return 0
		}
		return n.DomainDelay
	}
}

// relay opens a proxy without a host.
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
	n.fabricRelays[service] = r
	return nil
}

// isolate drops all traffic between the fabrics and an entry host.
func (n *network) isolate(host netip.AddrPort) {
	for _, r := range n.fabricRelays {
		r.SetHostFaults(host, faultproxy.ToHost, faultproxy.Faults{Cut: true})
		r.SetHostFaults(host, faultproxy.ToCaller, faultproxy.Faults{Cut: true})
	}
}

func (n *network) close() {
	for _, r := range n.relays {
		r.Close()
	}
}

// setRelayHost sets the host that a proxy relays to.
func setRelayHost(r *faultproxy.Relay, address string) error {
	host, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, fmt.Sprintf("proxy to %q", address))
	}
	r.SetHosts(host)
	return nil
}
