package controld

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// rejoinLoop asks the known members to add this host again while it knows no leader. The
// host may have been removed, and a removed member receives no messages. The request has no
// effect if the host still is a member.
func (d *Daemon) rejoinLoop() {
	if !d.settings.GetReplica().GetAutomaticMembers() {
		return
	}
	address := d.memberAddress(seedHost{name: d.name, address: d.settings.GetReplica().GetListen()})
	requests := newHostRequests(func(member string) { d.requestJoin(member, address) })
	defer requests.calls.Wait()
	leaderKnown := time.Now()
	d.every(bootstrapRetry, func() {
		if !d.bootstrapped() || d.leaderKnown() {
			leaderKnown = time.Now()
			return
		}
		if time.Since(leaderKnown) < rejoinDelay {
			return
		}
		for _, member := range d.knownMembers() {
			requests.start(member)
		}
	})
}

// leaderKnown reports whether every group has a known leader.
func (d *Daemon) leaderKnown() bool {
	for _, group := range d.groups {
		if d.replicas[group].Status().Leader == nil {
			return false
		}
	}
	return true
}

// knownMembers returns the link addresses of the other known members of the configuration
// group and of the seed hosts.
func (d *Daemon) knownMembers() []string {
	seen := map[string]bool{"": true}
	var out []string
	add := func(name, address string) {
		if name != d.name && !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	for _, m := range d.replicas[controlpb.Group_GROUP_CONFIG].Status().Members {
		add(m.Member.GetId().GetName(), d.peers.addressOf(m.Member))
	}
	for _, v := range d.seedHosts() {
		add(v.name, v.address)
	}
	return out
}
