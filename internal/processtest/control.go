package processtest

import (
	"fmt"
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

// Control is a control host. It keeps its addresses across restarts.
type Control struct {
	*Process
	// Link is the address that peers and subscribers dial.
	Link netip.AddrPort
	// Operator is the address of the operators' API.
	Operator netip.AddrPort
	// PeerRelay relays the datagrams of other control hosts to this one. Only set
	// by StartRelayedControls.
	PeerRelay *faultproxy.Relay

	cluster  *Cluster
	name     string
	settings *settingspb.ControlSettings
}

// StartControls starts the initial control hosts and waits until they are ready.
func (c *Cluster) StartControls(count int) []*Control {
	c.t.Helper()
	return c.StartControlsWithGrantGroups(count, 0)
}

// StartControlsWithGrantGroups is StartControls with the given number of grant
// groups.
func (c *Cluster) StartControlsWithGrantGroups(count, grantGroups int) []*Control {
	c.t.Helper()
	c.grantGroups = uint32(grantGroups)
	for i := range count {
		c.controls = append(c.controls, c.newControl(i+1))
	}
	return c.bootstrap()
}

// StartControlsWithMaxLinks is StartControls with a limit for the links of entry
// hosts and agents on each control host.
func (c *Cluster) StartControlsWithMaxLinks(count, limit int) []*Control {
	c.t.Helper()
	c.maxLinks = uint32(limit)
	return c.StartControls(count)
}

// StartLearner starts another control host that joins and is never promoted. It
// waits until the host is a learner in every group.
func (c *Cluster) StartLearner() *Control {
	c.t.Helper()
	host := c.newControl(len(c.controls) + 1)
	host.settings.Replica.InitialVoters = c.controls[0].settings.Replica.InitialVoters
	host.settings.Replica.Join = true
	c.controls = append(c.controls, host)
	host.Launch()
	host.WaitReady()
	Eventually(c.t, host.name+" follows as a learner", host.isLearner)
	return host
}

// StartRelayedControls is StartControls with a relay in front of each link
// address. Other control hosts dial the relay; subscribers and agents dial the
// host directly.
func (c *Cluster) StartRelayedControls(count int) []*Control {
	c.t.Helper()
	for i := range count {
		host := c.newControl(i + 1)
		host.PeerRelay = host.Relay()
		c.controls = append(c.controls, host)
	}
	return c.bootstrap()
}

// bootstrap starts the control hosts as the initial voters of their groups.
func (c *Cluster) bootstrap() []*Control {
	c.t.Helper()
	var voters []string
	for _, host := range c.controls {
		voters = append(voters, fmt.Sprintf("%s=%s", host.name, host.peerAddress()))
	}
	for _, host := range c.controls {
		host.settings.Replica.InitialVoters = voters
		host.Launch()
	}
	for _, host := range c.controls {
		host.WaitReady()
	}
	return c.controls
}

// peerAddress returns the address that other control hosts dial.
func (h *Control) peerAddress() netip.AddrPort {
	if h.PeerRelay != nil {
		return h.PeerRelay.Addr()
	}
	return h.Link
}

func (c *Cluster) newControl(number int) *Control {
	name := fmt.Sprintf("control-%d", number)
	ip := loopback.Host(c.t)
	host := &Control{
		Link:     loopback.Address(c.t, ip),
		Operator: loopback.Address(c.t, ip),
		cluster:  c,
		name:     name,
	}
	host.settings = &settingspb.ControlSettings{
		Host:    hostSettings(name, name),
		Keys:    c.issue(keys.RoleControl, name, "").Settings(),
		Metrics: metricsSettings(ip),
		Replica: &settingspb.Replica{
			DataFolder:     c.path("data-%s", name),
			Listen:         host.Link.String(),
			OperatorListen: host.Operator.String(),
			GrantGroups:    c.grantGroups,
			MaxLinks:       c.maxLinks,
		},
	}
	return host
}

// Launch starts the process of the host and does not wait.
func (h *Control) Launch() {
	h.cluster.t.Helper()
	path := h.cluster.path("%s.ini", h.name)
	writeSettings(h.cluster.t, path, h.settings)
	h.Process = Start(h.cluster.t, h.name, "control", "--settings", path)
}

// Relaunch starts the process of a stopped host and waits until it is ready.
func (h *Control) Relaunch() {
	h.cluster.t.Helper()
	h.Launch()
	h.WaitReady()
}

// Restart stops the process gracefully and starts it again.
func (h *Control) Restart() {
	h.cluster.t.Helper()
	h.Terminate()
	h.WaitCleanExit()
	h.Relaunch()
}

// Relay starts a relay in front of the host's link address.
func (h *Control) Relay() *faultproxy.Relay {
	h.cluster.t.Helper()
	return h.cluster.newRelay(h.Link)
}

// newRelay starts a relay in front of an address.
func (c *Cluster) newRelay(host netip.AddrPort) *faultproxy.Relay {
	c.t.Helper()
	relay, err := faultproxy.NewRelay(faultproxy.Options{
		Listen: netip.AddrPortFrom(c.ip, 0),
		Hosts:  []netip.AddrPort{host},
		Rand:   c.newRand(),
	})
	c.must(err)
	c.t.Cleanup(relay.Close)
	return relay
}

// allLinkAddresses returns the link addresses of all control hosts.
func (c *Cluster) allLinkAddresses() []string {
	var addrs []string
	for _, host := range c.controls {
		addrs = append(addrs, host.Link.String())
	}
	return addrs
}
