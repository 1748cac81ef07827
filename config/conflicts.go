package config

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// checkShared looks for faults of the draft as a whole: an address of two
// services, too many services. It runs after all operations, so an address
// may pass from one service to another within a patch. A shared address is
// reported where the patch names it.
func (d *draft) checkShared() {
	if d.count() > MaxServices {
		d.find(PatchPlace, "the configuration would have more than %d services", MaxServices)
	}
	owner := d.owners()
	for _, name := range d.putOrder() {
		d.claim(owner, name)
	}
}

// owners returns the services that the patch leaves as they are, by those of
// their addresses that it puts elsewhere.
func (d *draft) owners() map[netip.AddrPort]string {
	wanted := map[string]netip.AddrPort{}
	for _, s := range d.services {
		for _, text := range s.GetAddresses() {
			if addr, fault := publicAddress(text); fault == "" {
				wanted[addr.String()] = addr
			}
		}
	}
	owner := map[netip.AddrPort]string{}
	for _, s := range d.before.GetServices() {
		for _, address := range s.GetAddresses() {
			if addr, found := wanted[address]; found && d.untouched(s.GetName()) {
				owner[addr] = s.GetName()
			}
		}
	}
	return owner
}

// putOrder lists the services that the patch puts, in its order.
func (d *draft) putOrder() []string {
	return slices.SortedFunc(maps.Keys(d.putBy), func(a, b string) int { return cmp.Compare(d.putBy[a], d.putBy[b]) })
}

func (d *draft) claim(owner map[netip.AddrPort]string, name string) {
	for _, text := range d.services[name].GetAddresses() {
		addr, fault := publicAddress(text)
		if fault != "" {
			continue
		}
		other, taken := owner[addr]
		if taken && other != name {
			place := d.place(d.putBy[name], name, "addresses")
			d.find(place, "%q: the address belongs to service %q", text, other)
			continue
		}
		owner[addr] = name
	}
}

// bounded returns the findings, cut to MaxFindings and a count of the rest.
func (d *draft) bounded() []*configpb.Finding {
	return boundedFindings(d.findings)
}

func boundedFindings(all []*configpb.Finding) []*configpb.Finding {
	left := len(all) - MaxFindings
	if left <= 0 {
		return all
	}
	cut := slices.Clip(all[:MaxFindings])
	return append(cut, &configpb.Finding{Place: PatchPlace, Text: fmt.Sprintf("%d further findings", left)})
}
