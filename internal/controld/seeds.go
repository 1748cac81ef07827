package controld

import (
	"context"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// notifySeedsLoop sends the list of serving hosts to the seed hosts that are no members. A
// standby stores nothing: after a restart of all hosts, processes that only know standbys
// would find no serving host.
func (d *Daemon) notifySeedsLoop() {
	if !d.settings.GetReplica().GetAutomaticMembers() {
		return
	}
	links := map[string]*link.Client{}
	defer func() {
		for _, c := range links {
			c.Close()
		}
	}()
	d.every(notifySeedsPeriod, func() {
		hosts := d.seedsToNotify()
		for address, c := range links {
			if !hosts[address] {
				c.Close()
				delete(links, address)
			}
		}
		var calls conc.WaitGroup
		for address := range hosts {
			if links[address] == nil {
				links[address] = d.newSeedClient(address)
			}
			calls.Go(func() { d.notifySeed(links[address]) })
		}
		calls.Wait()
	})
}

// seedsToNotify returns the link addresses of the seed hosts that are no members. It
// returns none while this host is no member itself.
func (d *Daemon) seedsToNotify() map[string]bool {
	out := map[string]bool{}
	if !d.bootstrapped() || !d.leaderKnown() {
		return out
	}
	for _, address := range d.seedAddresses() {
		out[address] = true
	}
	for _, address := range d.memberAddresses() {
		delete(out, address)
	}
	return out
}

func (d *Daemon) newSeedClient(address string) *link.Client {
	return link.NewClient([]string{address}, d.creds, link.ClientOptions{
		Scope:       d.scope.SubScope("seeds"),
		Log:         d.log,
		DialTimeout: standbyDialTimeout,
		BackoffMax:  notifySeedsPeriod,
	})
}

func (d *Daemon) notifySeed(c *link.Client) {
	ctx, cancel := context.WithTimeout(d.ctx, notifySeedsPeriod)
	defer cancel()
	hosts := &controlpb.ControlHosts{Addresses: d.memberLinkAddresses()}
	if _, err := c.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Serving{Serving: hosts}}); err != nil {
		d.scope.Counter("failed_seed_notices").Inc(1)
	}
}
