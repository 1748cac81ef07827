package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// checkShared looks for faults of the draft as a whole: an address of two
// services, too many services. It runs after all operations, so an address
// may pass from one service to another within a patch.
func (d *draft) checkShared() {
	if len(d.services) > MaxServices {
		d.find(PatchPlace, "the configuration would have more than %d services", MaxServices)
	}
	owner := map[netip.AddrPort]string{}
	for _, name := range d.checkOrder() {
		d.claim(owner, name)
	}
}

// checkOrder lists services that the patch does not put first, so that a
// shared address is reported where the patch names it.
func (d *draft) checkOrder() []string {
	names := make([]string, 0, len(d.services))
	for name := range d.services {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.rank(a), d.rank(b)), cmp.Compare(a, b))
	})
	return names
}

func (d *draft) rank(name string) int {
	if i, put := d.putBy[name]; put {
		return i
	}
	return -1
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
	left := len(d.findings) - MaxFindings
	if left <= 0 {
		return d.findings
	}
	cut := slices.Clip(d.findings[:MaxFindings])
	return append(cut, &configpb.Finding{Place: PatchPlace, Text: fmt.Sprintf("%d further findings", left)})
}
