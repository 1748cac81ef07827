package processtest

import (
	"fmt"
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

// Control is a control host. Its addresses outlive its process.
type Control struct {
	*Process
	// Link is where peers and subscribers dial it.
	Link netip.AddrPort
	// Operator is where operators call it.
	Operator netip.AddrPort
	// PeerRelay relays what other control hosts send to this one, if the hosts
	// were started by StartRelayedControls.
	PeerRelay *faultproxy.Relay

	cluster  *Cluster
	name     string
	settings *settingspb.ControlSettings
}

// StartControls starts the founding control hosts and waits until they are
// ready.
func (c *Cluster) StartControls(count int) []*Control {
	c.t.Helper()
	return c.StartControlsWithGrantGroups(count, 0)
}

// StartControlsWithGrantGroups is StartControls with so many groups of grants.
func (c *Cluster) StartControlsWithGrantGroups(count, grantGroups int) []*Control {
	c.t.Helper()
	c.grantGroups = uint32(grantGroups)
	for i := range count {
		c.controls = append(c.controls, c.newControl(i+1))
	}
	return c.found()
}

// StartControlsWithMaxLinks is StartControls with so many places for entry hosts
// and agents on each host.
func (c *Cluster) StartControlsWithMaxLinks(count, places int) []*Control {
	c.t.Helper()
	c.maxLinks = uint32(places)
	return c.StartControls(count)
}

// StartLearner starts a further control host that asks to join and is never
// promoted, and waits until it learns in every group and knows the leaders.
func (c *Cluster) StartLearner() *Control {
	c.t.Helper()
	host := c.newControl(len(c.controls) + 1)
	host.settings.Replica.InitialVoters = c.controls[0].settings.Replica.InitialVoters
	host.settings.Replica.Join = true
	c.controls = append(c.controls, host)
	host.Launch()
	host.WaitReady()
	Eventually(c.t, host.name+" follows as a learner", host.learns)
	return host
}

// StartRelayedControls is StartControls with a relay in front of each host's
// link address, which the other control hosts dial. Subscribers and agents dial
// the hosts themselves.
func (c *Cluster) StartRelayedControls(count int) []*Control {
	c.t.Helper()
	for i := range count {
		host := c.newControl(i + 1)
		host.PeerRelay = host.Relay()
		c.controls = append(c.controls, host)
	}
	return c.found()
}

// found starts the control hosts as the first members of their groups.
func (c *Cluster) found() []*Control {
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

// peerAddress is where other control hosts dial this one.
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

// Launch starts the process of the host, again after it ended.
func (h *Control) Launch() {
	h.cluster.t.Helper()
	path := h.cluster.path("%s.ini", h.name)
	writeSettings(h.cluster.t, path, h.settings)
	h.Process = Start(h.cluster.t, h.name, "control", "--settings", path)
}

// Relaunch starts the process of the host, which has ended, and waits until it
// is ready.
func (h *Control) Relaunch() {
	h.cluster.t.Helper()
	h.Launch()
	h.WaitReady()
}

// Restart stops the process of the host by plan and starts it again.
func (h *Control) Restart() {
	h.cluster.t.Helper()
	h.Terminate()
	h.WaitCleanExit()
	h.Relaunch()
}

// Relay puts a relay in front of the host's link address. Whoever dials its
// address can be cut off.
func (h *Control) Relay() *faultproxy.Relay {
	h.cluster.t.Helper()
	return h.cluster.newRelay(h.Link)
}

// newRelay puts a relay in front of an address.
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

// links returns the link addresses of all control hosts.
func (c *Cluster) links() []string {
	var all []string
	for _, host := range c.controls {
		all = append(all, host.Link.String())
	}
	return all
}
