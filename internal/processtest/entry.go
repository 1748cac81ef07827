package processtest

import (
	"fmt"
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

// loopbackNetwork is where agents stand in tests.
const loopbackNetwork = "127.0.0.0/8"

// Entry is an entry host. Its addresses outlive its process.
type Entry struct {
	*Process

	// Host is the name in its settings.
	Host string

	cluster  *Cluster
	ip       netip.Addr
	settings *settingspb.EntrySettings
}

// StartEntry starts an entry host, waits until it is ready and adds it to the
// fabric. Without control addresses it dials the control hosts directly.
func (c *Cluster) StartEntry(control ...netip.AddrPort) *Entry {
	c.t.Helper()
	e := c.LaunchEntry(control...)
	e.WaitReady()
	e.AddToFabric()
	return e
}

// RestartWithDomains restarts the host: it knows the targets of these failure domains
// only from then on.
func (e *Entry) RestartWithDomains(domains ...string) {
	e.cluster.t.Helper()
	e.settings.Directory = &settingspb.Directory{FailureDomains: domains}
	e.Terminate()
	e.WaitCleanExit()
	e.Launch()
	e.WaitReady()
}

// LaunchEntry starts an entry host and does not wait for it.
func (c *Cluster) LaunchEntry(control ...netip.AddrPort) *Entry {
	c.t.Helper()
	name := fmt.Sprintf("entry-%d", len(c.entries)+1)
	ip := loopback.Host(c.t)
	e := &Entry{cluster: c, Host: name, ip: ip}
	e.settings = &settingspb.EntrySettings{
		Host:    hostSettings(name, name),
		Keys:    c.issue(keys.RoleEntry, name, "").Settings(),
		Metrics: metricsSettings(ip),
		Control: &settingspb.ControlPeers{Addresses: c.linksOr(control)},
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

// Launch starts the process of the host, again after it ended.
func (e *Entry) Launch() {
	e.cluster.t.Helper()
	path := e.cluster.path("%s.ini", e.Host)
	writeSettings(e.cluster.t, path, e.settings)
	e.Process = Start(e.cluster.t, e.Host, "entry", "--settings", path)
}

// AddToFabric lets the fabric send packets to the host.
func (e *Entry) AddToFabric() {
	for _, s := range e.cluster.services {
		s.addHost(e.PublicAddress(s))
	}
}

// RemoveFromFabric takes the host out of the fabric.
func (e *Entry) RemoveFromFabric() {
	for _, s := range e.cluster.services {
		s.removeHost(e.PublicAddress(s))
	}
}

// FrameAddr returns where the host takes reply frames of agents.
func (e *Entry) FrameAddr() netip.AddrPort {
	return netip.MustParseAddrPort(e.settings.Forwarding.FrameListen)
}

// Refused returns how many datagrams and frames the host refused for a reason.
func (e *Entry) Refused(reason string) float64 {
	return e.MetricValue("entry_refused", "reason", reason)
}

// Candidates returns how many targets of all services the host decides between.
// Tables that say so are in force when it is told, up to a second later.
func (e *Entry) Candidates() int {
	return int(e.MetricValue("entry_candidates", "", ""))
}

// DampedTargets returns how many targets the host keeps from new flows as they flap.
// It is told like Candidates.
func (e *Entry) DampedTargets() int {
	return int(e.MetricValue("entry_targets_damped", "", ""))
}

// ResidentMemory returns the memory of the process, in bytes.
func (e *Entry) ResidentMemory() float64 {
	return e.MetricValue(residentMemory, "", "")
}

// PublicAddress returns where the host opens the public address of the service.
func (e *Entry) PublicAddress(s *Service) netip.AddrPort {
	return netip.AddrPortFrom(e.ip, s.Address.Port())
}

func (c *Cluster) linksOr(control []netip.AddrPort) []string {
	if len(control) == 0 {
		return c.links()
	}
	var all []string
	for _, addr := range control {
		all = append(all, addr.String())
	}
	return all
}
