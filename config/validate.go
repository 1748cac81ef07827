package config

import (
	"fmt"
	"math"
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// PatchPlace is the place of findings that concern no single operation of a patch.
const PatchPlace = "patch"

// ValidatePatch lists all findings of a patch against cfg. It does not check the base
// version.
func ValidatePatch(cfg *configpb.Configuration, patch *configpb.Patch) []*configpb.Finding {
	_, findings := buildDraft(cfg, patch)
	return findings
}

// buildDraft applies the operations of a patch to a draft of the next version. New services
// have no number yet. Its cost must not grow with the services that the patch does not
// name, since a restarting replica applies thousands of versions.
func buildDraft(cfg *configpb.Configuration, patch *configpb.Patch) (*draft, []*configpb.Finding) {
	d := newDraft(cfg, patch)
	d.checkPatch()
	for i, op := range patch.GetOperations() {
		d.applyOperation(i, op)
	}
	d.checkConflicts()
	d.updateRetired()
	return d, d.limitedFindings()
}

// draft is a configuration under change. It relies on properties of every version: sorted
// services, canonical addresses, none of them shared or retired.
type draft struct {
	patch *configpb.Patch
	// services has the services put by the patch, by name.
	services map[string]*configpb.Service
	// putOperation has the index of the operation that put a service.
	putOperation map[string]int
	// removed has the services removed by the patch.
	removed map[string]bool
	// base is the version that the patch changes. retired has the retired addresses after
	// the patch.
	base    *configpb.Configuration
	retired map[string]bool
	// released has the index of the operation that releases an address.
	released map[string]int
	findings []*configpb.Finding
}

func newDraft(cfg *configpb.Configuration, patch *configpb.Patch) *draft {
	d := &draft{
		patch:        patch,
		services:     map[string]*configpb.Service{},
		putOperation: map[string]int{},
		removed:      map[string]bool{},
		base:         cfg,
		retired:      map[string]bool{},
		released:     map[string]int{},
	}
	for _, address := range cfg.GetRetired() {
		d.retired[address] = true
	}
	return d
}

// isUnchanged reports whether the patch does not touch a service of the base.
func (d *draft) isUnchanged(name string) bool {
	return d.services[name] == nil && !d.removed[name]
}

// count returns the number of services after the patch.
func (d *draft) count() int {
	count := len(d.base.GetServices()) + len(d.services)
	for name := range d.services {
		if findService(d.base, name) != nil {
			count--
		}
	}
	for name := range d.removed {
		if d.services[name] == nil {
			count--
		}
	}
	return count
}

func (d *draft) addFinding(place, format string, args ...any) {
	d.findings = append(d.findings, &configpb.Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// place returns the location of operation i and a field: the place given in the patch, else
// the operation number.
func (d *draft) place(i int, name, field string) string {
	where := fmt.Sprintf("operation %d", i+1)
	if places := d.patch.GetPlaces(); i < len(places) && places[i] != "" {
		where = places[i]
	}
	return ServicePlace(where, name, field)
}

// ServicePlace returns the place of a finding on a service or one of its fields. where
// locates the operation; name and field may be empty.
func ServicePlace(where, name, field string) string {
	if name != "" {
		where += fmt.Sprintf(", service %q", name)
	}
	if field != "" {
		where += ", " + field
	}
	return where
}

func (d *draft) checkPatch() {
	const place = PatchPlace
	id := d.patch.GetId()
	if id == "" {
		d.addFinding(place, "the identifier is empty")
	}
	if len(id) > MaxIDLength {
		d.addFinding(place, "the identifier is longer than %d bytes", MaxIDLength)
	}
	count := len(d.patch.GetOperations())
	if count == 0 {
		d.addFinding(place, "the patch has no operations")
	}
	if count > MaxOperations {
		d.addFinding(place, "the patch has more than %d operations", MaxOperations)
	}
	if places := len(d.patch.GetPlaces()); places > count {
		d.addFinding(place, "the patch names %d places for %d operations", places, count)
	}
}

func (d *draft) applyOperation(i int, op *configpb.Operation) {
	switch body := op.GetBody().(type) {
	case *configpb.Operation_PutService:
		d.put(i, body.PutService)
	case *configpb.Operation_RemoveService:
		d.remove(i, body.RemoveService)
	case *configpb.Operation_ReleaseAddress:
		d.release(i, body.ReleaseAddress)
	default:
		d.addFinding(d.place(i, "", ""), "the operation is empty")
	}
}

func (d *draft) put(i int, s *configpb.Service) {
	name := s.GetName()
	d.checkName(i, name)
	d.checkAddresses(i, s)
	d.checkSlots(i, s)
	d.checkPolicy(i, s)
	if earlier, duplicate := d.putOperation[name]; duplicate {
		d.addFinding(d.place(i, name, ""), "the service is put a second time, first by %s", d.place(earlier, "", ""))
		return
	}
	d.putOperation[name] = i
	d.services[name] = s
}

func (d *draft) remove(i int, name string) {
	if earlier, put := d.putOperation[name]; put {
		d.addFinding(d.place(i, name, ""), "the service is removed after %s put it", d.place(earlier, "", ""))
		return
	}
	if findService(d.base, name) == nil || d.removed[name] {
		d.addFinding(d.place(i, name, ""), "there is no service of that name to remove")
		return
	}
	d.removed[name] = true
}

func (d *draft) checkName(i int, name string) {
	if text := nameProblem(name); text != "" {
		d.addFinding(d.place(i, name, "name"), "%s", text)
	}
}

// nameProblem returns what is wrong with the name of a service or target, or nothing. Names
// must be host name labels, since they are used in certificates and metrics.
func nameProblem(name string) string {
	if name == "" {
		return "the name is empty"
	}
	if len(name) > MaxNameLength {
		return fmt.Sprintf("the name is longer than %d bytes", MaxNameLength)
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return "the name has bytes other than a-z, 0-9 and '-'"
		}
	}
	if name[0] == '-' || name[len(name)-1] == '-' {
		return "the name starts or ends with '-'"
	}
	return ""
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-'
}

func (d *draft) checkAddresses(i int, s *configpb.Service) {
	place := d.place(i, s.GetName(), "addresses")
	if len(s.GetAddresses()) == 0 {
		d.addFinding(place, "the service has no public address")
	}
	if len(s.GetAddresses()) > MaxAddresses {
		d.addFinding(place, "the service has more than %d public addresses", MaxAddresses)
	}
	seen := map[netip.AddrPort]bool{}
	for _, text := range s.GetAddresses() {
		addr, problem := parsePublicAddress(text)
		if problem != "" {
			d.addFinding(place, "%q: %s", text, problem)
			continue
		}
		if seen[addr] {
			d.addFinding(place, "%q: the address is named twice", text)
		}
		seen[addr] = true
	}
}

// parsePublicAddress parses a public address, or returns what is wrong with it.
func parsePublicAddress(text string) (netip.AddrPort, string) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, "not an address of the form ip:port"
	}
	addr := netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port())
	switch {
	case addr.Port() == 0:
		return addr, "port 0 is no public port"
	case addr.Addr().Zone() != "":
		return addr, "a public address has no zone"
	case addr.Addr().IsUnspecified(), addr.Addr().IsMulticast():
		return addr, "the address belongs to no single host"
	}
	return addr, ""
}

func (d *draft) checkSlots(i int, s *configpb.Service) {
	place := d.place(i, s.GetName(), "slots")
	if s.GetSlots() == 0 {
		d.addFinding(place, "a target needs at least one slot")
	}
	if s.GetSlots() > MaxSlots {
		d.addFinding(place, "a target has at most %d slots", MaxSlots)
	}
}

func (d *draft) checkPolicy(i int, s *configpb.Service) {
	p := s.GetPolicy()
	if _, known := configpb.Strategy_name[int32(p.GetStrategy())]; !known {
		d.addFinding(d.place(i, s.GetName(), "policy.strategy"), "there is no strategy %d", p.GetStrategy())
	}
	d.checkWeight(i, s, "policy.broken_flow_weight", p.GetBrokenFlowWeight())
	d.checkWeight(i, s, "policy.imbalance_weight", p.GetImbalanceWeight())
	d.checkPercent(i, s, "policy.panic_percent", p.GetPanicPercent())
	d.checkPercent(i, s, "policy.retry_percent", p.GetRetryPercent())
	if p.GetRampMs() > MaxRampMS {
		d.addFinding(d.place(i, s.GetName(), "policy.ramp_ms"), "the ramp is at most %d ms", MaxRampMS)
	}
}

func (d *draft) checkWeight(i int, s *configpb.Service, field string, weight float64) {
	if math.IsNaN(weight) || weight < 0 || weight > MaxWeight {
		d.addFinding(d.place(i, s.GetName(), field), "a weight lies between 0 and %d, not at %v", MaxWeight, weight)
	}
}

func (d *draft) checkPercent(i int, s *configpb.Service, field string, percent uint32) {
	if percent > maxPercent {
		d.addFinding(d.place(i, s.GetName(), field), "a percentage lies between 0 and 100, not at %d", percent)
	}
}
