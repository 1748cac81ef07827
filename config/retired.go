package config

import (
	"maps"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// release applies an operation that releases a retired address.
func (d *draft) release(i int, text string) {
	place := d.place(i, "", "release")
	addr, problem := parsePublicAddress(text)
	if problem != "" {
		d.addFinding(place, "%q: %s", text, problem)
		return
	}
	address := addr.String()
	if earlier, duplicate := d.released[address]; duplicate {
		d.addFinding(place, "%q: the address is released a second time, first by %s", text, d.place(earlier, "", ""))
		return
	}
	if !d.retired[address] {
		d.addFinding(place, "%q: the address is not a retired one", text)
		return
	}
	d.released[address] = i
}

// updateRetired computes the retired addresses after the patch. An address that a service
// no longer has stays retired, for its established flows, until it is released or assigned
// to a service again.
func (d *draft) updateRetired() {
	for name := range d.removed {
		d.retireAddressesOf(name)
	}
	for name := range d.services {
		d.retireAddressesOf(name)
	}
	for _, s := range d.services {
		for _, text := range s.GetAddresses() {
			addr, _ := parsePublicAddress(text)
			delete(d.retired, addr.String())
		}
	}
	for address := range d.released {
		delete(d.retired, address)
	}
	if len(d.retired) > MaxRetired {
		d.addFinding(PatchPlace, "the configuration would keep more than %d retired addresses; release some", MaxRetired)
	}
}

// retireAddressesOf retires the addresses that a service had before the patch.
func (d *draft) retireAddressesOf(name string) {
	for _, address := range findService(d.base, name).GetAddresses() {
		d.retired[address] = true
	}
}

// retiredList returns the retired addresses in order.
func retiredList(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}

func retiredSet(c *configpb.Configuration) map[string]bool {
	set := make(map[string]bool, len(c.GetRetired()))
	for _, address := range c.GetRetired() {
		set[address] = true
	}
	return set
}

// retiredDifference returns the retired addresses of a that are not retired in b, in order.
func retiredDifference(a, b *configpb.Configuration) []string {
	excluded := retiredSet(b)
	var out []string
	for _, address := range a.GetRetired() {
		if !excluded[address] {
			out = append(out, address)
		}
	}
	return out
}
