package controld

import (
	"context"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// tellSeedsLoop has a member name the hosts that serve to the hosts of its settings that
// are no members. After a start of all, processes whose settings name only hosts that
// stand by would find nobody else: such a host keeps nothing over a restart.
func (d *Daemon) tellSeedsLoop() {
	if !d.settings.GetReplica().GetAutomaticMembers() {
		return
	}
	links := map[string]*link.Client{}
	defer func() {
		for _, c := range links {
			c.Close()
		}
	}()
	d.every(tellSeedsPeriod, func() {
		hosts := d.seedsToTell()
		for address, c := range links {
			if !hosts[address] {
				c.Close()
				delete(links, address)
			}
		}
		var calls conc.WaitGroup
		for address := range hosts {
			if links[address] == nil {
				links[address] = d.linkToSeed(address)
			}
			calls.Go(func() { d.tellSeed(links[address]) })
		}
		calls.Wait()
	})
}

// seedsToTell returns the link addresses of the hosts of the settings that are no members,
// none as long as this host is no member itself.
func (d *Daemon) seedsToTell() map[string]bool {
	out := map[string]bool{}
	if !d.formed() || !d.led() {
		return out
	}
	for _, address := range d.initialAddresses() {
		out[address] = true
	}
	for _, address := range d.memberAddresses() {
		delete(out, address)
	}
	return out
}

func (d *Daemon) linkToSeed(address string) *link.Client {
	return link.NewClient([]string{address}, d.creds, link.ClientOptions{
		Scope:       d.scope.SubScope("seeds"),
		Log:         d.log,
		DialTimeout: standbyDialTimeout,
		BackoffMax:  tellSeedsPeriod,
	})
}

func (d *Daemon) tellSeed(c *link.Client) {
	ctx, cancel := context.WithTimeout(d.ctx, tellSeedsPeriod)
	defer cancel()
	hosts := &controlpb.ControlHosts{Addresses: d.servingHosts()}
	if _, err := c.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Serving{Serving: hosts}}); err != nil {
		d.scope.Counter("failed_seed_notices").Inc(1)
	}
}
