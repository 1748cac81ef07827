package config

import (
	"maps"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// release takes back an address that earlier versions retired.
func (d *draft) release(i int, text string) {
	place := d.place(i, "", "release")
	addr, fault := publicAddress(text)
	if fault != "" {
		d.find(place, "%q: %s", text, fault)
		return
	}
	address := addr.String()
	if earlier, twice := d.released[address]; twice {
		d.find(place, "%q: the address is released a second time, first by %s", text, d.place(earlier, "", ""))
		return
	}
	if !d.retired[address] {
		d.find(place, "%q: the address is not a retired one", text)
		return
	}
	d.released[address] = i
}

// retire works out which public addresses stand for no service after the
// patch. An address that a service leaves is kept for its established flows; it
// ends by a release, which is the operator's explicit choice, or when a service
// takes it.
func (d *draft) retire() {
	for name := range d.removed {
		d.leave(name)
	}
	for name := range d.services {
		d.leave(name)
	}
	for _, s := range d.services {
		for _, text := range s.GetAddresses() {
			addr, _ := publicAddress(text)
			delete(d.retired, addr.String())
		}
	}
	for address := range d.released {
		delete(d.retired, address)
	}
	if len(d.retired) > MaxRetired {
		d.find(PatchPlace, "the configuration would keep more than %d retired addresses; release some", MaxRetired)
	}
}

// leave retires the addresses that a service had before the patch.
func (d *draft) leave(name string) {
	for _, address := range serviceNamed(d.before, name).GetAddresses() {
		d.retired[address] = true
	}
}

// retiredList returns the retired addresses in order, so that equal
// configurations have equal encodings.
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

// without returns the members of a that are not in b, in order.
func without(a, b *configpb.Configuration) []string {
	held := retiredSet(b)
	var out []string
	for _, address := range a.GetRetired() {
		if !held[address] {
			out = append(out, address)
		}
	}
	return out
}
