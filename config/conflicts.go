package config

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// checkConflicts checks the number of services, and that no address belongs to two of them.
// It runs after all operations, so that an address may move between services within a
// patch. A conflict is reported where the patch names the address.
func (d *draft) checkConflicts() {
	if d.count() > MaxServices {
		d.addFinding(PatchPlace, "the configuration would have more than %d services", MaxServices)
	}
	owner := d.addressOwners()
	for _, name := range d.putOrder() {
		d.claimAddresses(owner, name)
	}
}

// addressOwners returns, for each address in the patch, the unchanged service that has it.
func (d *draft) addressOwners() map[netip.AddrPort]string {
	wanted := map[string]netip.AddrPort{}
	for _, s := range d.services {
		for _, text := range s.GetAddresses() {
			if addr, problem := parsePublicAddress(text); problem == "" {
				wanted[addr.String()] = addr
			}
		}
	}
	owner := map[netip.AddrPort]string{}
	for _, s := range d.base.GetServices() {
		for _, address := range s.GetAddresses() {
			if addr, found := wanted[address]; found && d.isUnchanged(s.GetName()) {
				owner[addr] = s.GetName()
			}
		}
	}
	return owner
}

// putOrder returns the services that the patch puts, in order of its operations.
func (d *draft) putOrder() []string {
	return slices.SortedFunc(maps.Keys(d.putOperation), func(a, b string) int { return cmp.Compare(d.putOperation[a], d.putOperation[b]) })
}

// claimAddresses records a service as the owner of its addresses and reports those that
// belong to another one.
func (d *draft) claimAddresses(owner map[netip.AddrPort]string, name string) {
	for _, text := range d.services[name].GetAddresses() {
		addr, problem := parsePublicAddress(text)
		if problem != "" {
			continue
		}
		other, taken := owner[addr]
		if taken && other != name {
			place := d.place(d.putOperation[name], name, "addresses")
			d.addFinding(place, "%q: the address belongs to service %q", text, other)
			continue
		}
		owner[addr] = name
	}
}

// limitedFindings returns at most MaxFindings findings and the number of omitted ones.
func (d *draft) limitedFindings() []*configpb.Finding {
	return limitFindings(d.findings)
}

func limitFindings(all []*configpb.Finding) []*configpb.Finding {
	omitted := len(all) - MaxFindings
	if omitted <= 0 {
		return all
	}
	limited := slices.Clip(all[:MaxFindings])
	return append(limited, &configpb.Finding{Place: PatchPlace, Text: fmt.Sprintf("%d further findings", omitted)})
}
