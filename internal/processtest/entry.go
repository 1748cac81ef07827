package processtest

import (
	"fmt"
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

// loopbackNetwork contains the addresses of all agents.
const loopbackNetwork = "127.0.0.0/8"

// Entry is an entry host. It keeps its addresses across restarts.
type Entry struct {
	*Process

	// Host is the name in its settings.
	Host string

	cluster  *Cluster
	ip       netip.Addr
	settings *settingspb.EntrySettings
}

// StartEntry starts an entry host, waits until it is ready and adds it to the
// fabric. Without control addresses it dials all control hosts directly.
func (c *Cluster) StartEntry(control ...netip.AddrPort) *Entry {
	c.t.Helper()
	e := c.LaunchEntry(control...)
	e.WaitReady()
	e.AddToFabric()
	return e
}

// RestartWithDomains restarts the host with a directory of only the targets in
// these failure domains.
func (e *Entry) RestartWithDomains(domains ...string) {
	e.cluster.t.Helper()
	e.settings.Directory = &settingspb.Directory{FailureDomains: domains}
	e.Terminate()
	e.WaitCleanExit()
	e.Launch()
	e.WaitReady()
}

// LaunchEntry starts an entry host and does not wait.
func (c *Cluster) LaunchEntry(control ...netip.AddrPort) *Entry {
	c.t.Helper()
	name := fmt.Sprintf("entry-%d", len(c.entries)+1)
	ip := loopback.Host(c.t)
	e := &Entry{cluster: c, Host: name, ip: ip}
	e.settings = &settingspb.EntrySettings{
		Host:    hostSettings(name, name),
		Keys:    c.issue(keys.RoleEntry, name, "").Settings(),
		Metrics: metricsSettings(ip),
		Control: &settingspb.ControlPeers{Addresses: c.linkAddresses(control)},
		Forwarding: &settingspb.Forwarding{
			PublicIp:      ip.String(),
			FrameListen:   loopback.Address(c.t, ip).String(),
			AgentNetworks: []string{loopbackNetwork},
		},
	}
	c.entries = append(c.entries, e)
	e.Launch()
	return e
}

// Launch starts the process of the host and does not wait.
func (e *Entry) Launch() {
	e.cluster.t.Helper()
	path := e.cluster.path("%s.ini", e.Host)
	writeSettings(e.cluster.t, path, e.settings)
	e.Process = Start(e.cluster.t, e.Host, "entry", "--settings", path)
}

// AddToFabric makes the fabric send datagrams to the host.
func (e *Entry) AddToFabric() {
	for _, s := range e.cluster.services {
		s.addHost(e.PublicAddress(s))
	}
}

// RemoveFromFabric makes the fabric send no more datagrams to the host.
func (e *Entry) RemoveFromFabric() {
	for _, s := range e.cluster.services {
		s.removeHost(e.PublicAddress(s))
	}
}

// FrameAddr returns the address that agents send reply frames to.
func (e *Entry) FrameAddr() netip.AddrPort {
	return netip.MustParseAddrPort(e.settings.Forwarding.FrameListen)
}

// Refused returns the number of datagrams and frames that the host refused for a
// reason.
func (e *Entry) Refused(reason string) float64 {
	return e.MetricValue("entry_refused", "reason", reason)
}

// Candidates returns the number of targets of all services that are candidates
// for new flows. The gauge is up to a second old.
func (e *Entry) Candidates() int {
	return int(e.MetricValue("entry_candidates", "", ""))
}

// DampedTargets returns the number of targets that get no new flows because they
// flap. The gauge is up to a second old.
func (e *Entry) DampedTargets() int {
	return int(e.MetricValue("entry_targets_damped", "", ""))
}

// ResidentMemory returns the resident memory of the process, in bytes.
func (e *Entry) ResidentMemory() float64 {
	return e.MetricValue(residentMemory, "", "")
}

// PublicAddress returns the address at which the host serves the public address
// of the service.
func (e *Entry) PublicAddress(s *Service) netip.AddrPort {
	return netip.AddrPortFrom(e.ip, s.Address.Port())
}

func (c *Cluster) linkAddresses(control []netip.AddrPort) []string {
	if len(control) == 0 {
		return c.allLinkAddresses()
	}
	var addrs []string
	for _, addr := range control {
		addrs = append(addrs, addr.String())
	}
	return addrs
}
