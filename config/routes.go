package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// ValidateReplacement lists all findings of a replacement of the route table. It needs no
// state.
func ValidateReplacement(r *configpb.Replacement) []*configpb.Finding {
	v := &tableValidator{services: map[string]bool{}, routeByAddress: map[netip.AddrPort]string{}}
	v.table(r)
	return limitFindings(v.findings)
}

// tableValidator collects the findings of one route table.
type tableValidator struct {
	services map[string]bool
	// routeByAddress has the name of the route for each address so far.
	routeByAddress map[netip.AddrPort]string
	findings       []*configpb.Finding
}

func (v *tableValidator) addFinding(place, format string, args ...any) {
	v.findings = append(v.findings, &configpb.Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

func (v *tableValidator) table(r *configpb.Replacement) {
	table := r.GetTable()
	if table.GetRevision() == 0 {
		v.addFinding("revision", "must be at least 1")
	}
	if count := len(table.GetRoutes()); count > MaxRoutes {
		v.addFinding("routes", "there are %d, at most %d", count, MaxRoutes)
		return
	}
	for i, name := range r.GetServices() {
		v.service(i, name)
	}
	for i, w := range r.GetWarmups() {
		v.warmup(fmt.Sprintf("warm-up %d %q", i+1, w.GetService()), w)
	}
	for i, route := range table.GetRoutes() {
		v.route(routePlace(i, route), route)
	}
}

func routePlace(i int, r *configpb.Route) string {
	return fmt.Sprintf("route %d %q", i+1, r.GetName())
}

func (v *tableValidator) service(i int, name string) {
	place := fmt.Sprintf("service %d %q", i+1, name)
	if problem := tableNameProblem(name); problem != "" {
		v.addFinding(place, "%s", problem)
	}
	if v.services[name] {
		v.addFinding(place, "is listed twice")
	}
	v.services[name] = true
}

func (v *tableValidator) warmup(place string, w *configpb.ServiceWarmup) {
	if !v.services[w.GetService()] {
		v.addFinding(place, "there is no such service")
	}
	if w.GetWarmup().GetDurationMs() > MaxRampMS {
		v.addFinding(place, "the duration is longer than %d ms", MaxRampMS)
	}
	// False also for NaN.
	if rate := w.GetWarmup().GetRequestsPerSecond(); !(rate >= 0 && rate <= MaxWarmupRate) {
		v.addFinding(place, "%v requests a second are not from 0 to %d", rate, MaxWarmupRate)
	}
}

// tableNameProblem returns what is wrong with a service name in a route table, or nothing.
// These names come from another system, so only their length is checked.
func tableNameProblem(name string) string {
	if name == "" {
		return "the name is empty"
	}
	if len(name) > MaxTableNameLength {
		return fmt.Sprintf("the name is longer than %d bytes", MaxTableNameLength)
	}
	return ""
}

func (v *tableValidator) route(place string, r *configpb.Route) {
	address, problem := parsePublicAddress(r.GetAddress())
	if problem != "" {
		v.addFinding(place, "address %q: %s", r.GetAddress(), problem)
	} else if other, found := v.routeByAddress[address]; found {
		v.addFinding(place, "the address %s is that of route %q", address, other)
	} else {
		v.routeByAddress[address] = r.GetName()
	}
	if r.GetTimeoutMs() == 0 {
		v.addFinding(place, "the timeout must not be 0")
	}
	var sum uint64
	for _, s := range r.GetServices() {
		sum += uint64(s.GetWeight())
		if !v.services[s.GetService()] {
			v.addFinding(place, "there is no service %q", s.GetService())
		}
	}
	if sum == 0 {
		v.addFinding(place, "the weights of its services add up to 0")
	}
}

// replace decides a replacement. Revisions are assigned by the operator: an older one is
// superseded and changes nothing.
func (m *Machine) replace(r *configpb.Replacement) *configpb.ReplaceOutcome {
	activeRevision := m.current.GetTable().GetRevision()
	if findings := ValidateReplacement(r); len(findings) > 0 {
		return &configpb.ReplaceOutcome{
			Verdict:  configpb.ReplaceVerdict_REPLACE_VERDICT_INVALID,
			Revision: activeRevision,
			Findings: findings,
		}
	}
	if r.GetTable().GetRevision() <= activeRevision {
		return &configpb.ReplaceOutcome{Verdict: configpb.ReplaceVerdict_REPLACE_VERDICT_SUPERSEDED, Revision: activeRevision}
	}
	next := m.withServices(r)
	next.Table = canonicalTable(m.current, next, r.GetTable())
	m.document = r.GetDocument()
	m.publish(next, "")
	return &configpb.ReplaceOutcome{
		Verdict:  configpb.ReplaceVerdict_REPLACE_VERDICT_APPLIED,
		Revision: next.GetTable().GetRevision(),
	}
}

// withServices returns the next version with the services of a replacement and their
// warm-up. Services that a table no longer names are kept with their numbers and targets:
// their backend servers are still running, and a later table may name them again.
func (m *Machine) withServices(r *configpb.Replacement) *configpb.Configuration {
	warmups := make(map[string]*configpb.Warmup, len(r.GetWarmups()))
	for _, w := range r.GetWarmups() {
		warmups[w.GetService()] = w.GetWarmup()
	}
	put := map[string]*configpb.Service{}
	for _, name := range r.GetServices() {
		existing := findService(m.current, name)
		switch {
		case existing == nil:
			m.lastService++
			put[name] = &configpb.Service{Number: m.lastService, Name: name, Warmup: warmups[name]}
		case !proto.Equal(existing.GetWarmup(), warmups[name]):
			changed := proto.CloneOf(existing)
			changed.Warmup = warmups[name]
			put[name] = changed
		}
	}
	return assemble(m.current, m.current.GetVersion()+1, put, nil, retiredSet(m.current))
}

// canonicalTable returns a copy of the table that follows that of version before in version
// next, with sorted routes and their former services. Unchanged routes are shared with the
// previous table to save memory.
func canonicalTable(before, next *configpb.Configuration, table *configpb.RouteTable) *configpb.RouteTable {
	existing := routesByAddress(before.GetTable())
	out := &configpb.RouteTable{
		Revision:      table.GetRevision(),
		IdleTimeoutMs: table.GetIdleTimeoutMs(),
		Routes:        make([]*configpb.Route, 0, len(table.GetRoutes())),
		History:       nextHistory(before.GetTable()),
	}
	for _, r := range table.GetRoutes() {
		address, _ := parsePublicAddress(r.GetAddress())
		old := existing[address.String()]
		route := canonicalRoute(r, address.String(), formerServices(old, before, r, next))
		if old != nil && proto.Equal(old, route) {
			route = old
		}
		out.Routes = append(out.Routes, route)
	}
	slices.SortFunc(out.Routes, func(a, b *configpb.Route) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return out
}

// canonicalRoute returns a route with its canonical address and its former services. An unchanged
// route is not copied.
func canonicalRoute(r *configpb.Route, address string, former routeHistory) *configpb.Route {
	same := r.GetAddress() == address && r.GetFormerServicesOmitted() == former.omitted
	if same && slices.Equal(r.GetFormerServices(), former.services) {
		return r
	}
	route := proto.CloneOf(r)
	route.Address, route.FormerServices, route.FormerServicesOmitted = address, former.services, former.omitted
	return route
}

func routesByAddress(t *configpb.RouteTable) map[string]*configpb.Route {
	out := make(map[string]*configpb.Route, len(t.GetRoutes()))
	for _, r := range t.GetRoutes() {
		out[r.GetAddress()] = r
	}
	return out
}

// diffTable returns the delta from one table to another, nil if they are equal.
func diffTable(from, to *configpb.RouteTable) *controlpb.RouteTableDelta {
	if to == nil || from.GetRevision() == to.GetRevision() {
		return nil
	}
	d := &controlpb.RouteTableDelta{Revision: to.GetRevision(), IdleTimeoutMs: to.GetIdleTimeoutMs(), History: to.GetHistory()}
	before := routesByAddress(from)
	after := routesByAddress(to)
	for _, r := range to.GetRoutes() {
		old := before[r.GetAddress()]
		if old != r && !proto.Equal(old, r) {
			d.Put = append(d.Put, r)
		}
	}
	for _, r := range from.GetRoutes() {
		if after[r.GetAddress()] == nil {
			d.Removed = append(d.Removed, r.GetAddress())
		}
	}
	return d
}

// mergeTable applies a delta to a table.
func mergeTable(base *configpb.RouteTable, d *controlpb.RouteTableDelta) *configpb.RouteTable {
	if d == nil {
		return base
	}
	routes := routesByAddress(base)
	for _, address := range d.GetRemoved() {
		delete(routes, address)
	}
	for _, r := range d.GetPut() {
		routes[r.GetAddress()] = r
	}
	merged := &configpb.RouteTable{Revision: d.GetRevision(), IdleTimeoutMs: d.GetIdleTimeoutMs(), History: d.GetHistory()}
	for _, r := range routes {
		merged.Routes = append(merged.Routes, r)
	}
	slices.SortFunc(merged.Routes, func(a, b *configpb.Route) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return merged
}
