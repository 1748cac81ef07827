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

// ValidateReplacement lists every finding of a replacement of the route table,
// each with its place. It needs no state: a table names all that it refers to.
func ValidateReplacement(r *configpb.Replacement) []*configpb.Finding {
	c := &tableCheck{services: map[string]bool{}, taken: map[netip.AddrPort]string{}}
	c.table(r)
	return boundedFindings(c.findings)
}

// tableCheck collects the findings of one route table.
type tableCheck struct {
	services map[string]bool
	// taken has the route of each address so far.
	taken    map[netip.AddrPort]string
	findings []*configpb.Finding
}

func (c *tableCheck) find(place, format string, args ...any) {
	c.findings = append(c.findings, &configpb.Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

func (c *tableCheck) table(r *configpb.Replacement) {
	table := r.GetTable()
	if table.GetRevision() == 0 {
		c.find("revision", "must be at least 1")
	}
	if count := len(table.GetRoutes()); count > MaxRoutes {
		c.find("routes", "there are %d, at most %d", count, MaxRoutes)
		return
	}
	for i, name := range r.GetServices() {
		c.service(i, name)
	}
	for i, w := range r.GetWarmups() {
		c.warmup(fmt.Sprintf("warm-up %d %q", i+1, w.GetService()), w)
	}
	for i, route := range table.GetRoutes() {
		c.route(routePlace(i, route), route)
	}
}

func routePlace(i int, r *configpb.Route) string {
	return fmt.Sprintf("route %d %q", i+1, r.GetName())
}

func (c *tableCheck) service(i int, name string) {
	place := fmt.Sprintf("service %d %q", i+1, name)
	if fault := tableNameFault(name); fault != "" {
		c.find(place, "%s", fault)
	}
	if c.services[name] {
		c.find(place, "is listed twice")
	}
	c.services[name] = true
}

func (c *tableCheck) warmup(place string, w *configpb.ServiceWarmup) {
	if !c.services[w.GetService()] {
		c.find(place, "there is no such service")
	}
	if w.GetWarmup().GetDurationMs() > MaxRampMS {
		c.find(place, "the duration is longer than %d ms", MaxRampMS)
	}
	// A comparison with NaN is false.
	if rate := w.GetWarmup().GetRequestsPerSecond(); !(rate >= 0 && rate <= MaxWarmupRate) {
		c.find(place, "%v requests a second are not from 0 to %d", rate, MaxWarmupRate)
	}
}

// tableNameFault tells what is wrong with the name of a service in a table. Those
// names come from another system, so all but their length is left to it.
func tableNameFault(name string) string {
	if name == "" {
		return "the name is empty"
	}
	if len(name) > MaxTableNameLength {
		return fmt.Sprintf("the name is longer than %d bytes", MaxTableNameLength)
	}
	return ""
}

func (c *tableCheck) route(place string, r *configpb.Route) {
	address, fault := publicAddress(r.GetAddress())
	if fault != "" {
		c.find(place, "address %q: %s", r.GetAddress(), fault)
	} else if other, found := c.taken[address]; found {
		c.find(place, "the address %s is that of route %q", address, other)
	} else {
		c.taken[address] = r.GetName()
	}
	if r.GetTimeoutMs() == 0 {
		c.find(place, "the timeout must not be 0")
	}
	var sum uint64
	for _, s := range r.GetServices() {
		sum += uint64(s.GetWeight())
		if !c.services[s.GetService()] {
			c.find(place, "there is no service %q", s.GetService())
		}
	}
	if sum == 0 {
		c.find(place, "the weights of its services add up to 0")
	}
}

// replace decides on a replacement. The revisions are the operator's: whoever
// resends an older one hears that it is superseded, and nothing changes.
func (m *Machine) replace(r *configpb.Replacement) *configpb.ReplaceOutcome {
	held := m.current.GetTable().GetRevision()
	if findings := ValidateReplacement(r); len(findings) > 0 {
		return &configpb.ReplaceOutcome{
			Verdict:  configpb.ReplaceVerdict_REPLACE_VERDICT_INVALID,
			Revision: held,
			Findings: findings,
		}
	}
	if r.GetTable().GetRevision() <= held {
		return &configpb.ReplaceOutcome{Verdict: configpb.ReplaceVerdict_REPLACE_VERDICT_SUPERSEDED, Revision: held}
	}
	next := m.withServices(r)
	next.Table = canonicalTable(m.current.GetTable(), r.GetTable())
	m.document = r.GetDocument()
	m.publish(next, "")
	return &configpb.ReplaceOutcome{
		Verdict:  configpb.ReplaceVerdict_REPLACE_VERDICT_APPLIED,
		Revision: next.GetTable().GetRevision(),
	}
}

// withServices returns a version after the current one that has the services of a
// replacement, with the warm-up that it states. Services stay when a table no longer
// names them, with their numbers and targets: a later table may name them again, and
// their backend servers run on meanwhile.
func (m *Machine) withServices(r *configpb.Replacement) *configpb.Configuration {
	warmups := make(map[string]*configpb.Warmup, len(r.GetWarmups()))
	for _, w := range r.GetWarmups() {
		warmups[w.GetService()] = w.GetWarmup()
	}
	put := map[string]*configpb.Service{}
	for _, name := range r.GetServices() {
		held := serviceNamed(m.current, name)
		switch {
		case held == nil:
			m.lastService++
			put[name] = &configpb.Service{Number: m.lastService, Name: name, Warmup: warmups[name]}
		case !proto.Equal(held.GetWarmup(), warmups[name]):
			changed := proto.CloneOf(held)
			changed.Warmup = warmups[name]
			put[name] = changed
		}
	}
	return assemble(m.current, m.current.GetVersion()+1, put, nil, retiredSet(m.current))
}

// canonicalTable copies a table with its routes in order. Routes that have not
// changed are shared with the table before, since the history has many tables.
func canonicalTable(before, table *configpb.RouteTable) *configpb.RouteTable {
	held := routesByAddress(before)
	out := &configpb.RouteTable{
		Revision:      table.GetRevision(),
		IdleTimeoutMs: table.GetIdleTimeoutMs(),
		Routes:        make([]*configpb.Route, 0, len(table.GetRoutes())),
	}
	for _, r := range table.GetRoutes() {
		address, _ := publicAddress(r.GetAddress())
		made := r
		if text := address.String(); text != r.GetAddress() {
			made = proto.CloneOf(r)
			made.Address = text
		}
		if old := held[made.GetAddress()]; old != nil && proto.Equal(old, made) {
			made = old
		}
		out.Routes = append(out.Routes, made)
	}
	slices.SortFunc(out.Routes, func(a, b *configpb.Route) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return out
}

func routesByAddress(t *configpb.RouteTable) map[string]*configpb.Route {
	out := make(map[string]*configpb.Route, len(t.GetRoutes()))
	for _, r := range t.GetRoutes() {
		out[r.GetAddress()] = r
	}
	return out
}

// diffTable returns what leads from one table to another, nil if nothing does.
func diffTable(from, to *configpb.RouteTable) *controlpb.RouteTableDelta {
	if to == nil || from.GetRevision() == to.GetRevision() {
		return nil
	}
	d := &controlpb.RouteTableDelta{Revision: to.GetRevision(), IdleTimeoutMs: to.GetIdleTimeoutMs()}
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

// mergeTable returns the table that a delta leads to from base.
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
	merged := &configpb.RouteTable{Revision: d.GetRevision(), IdleTimeoutMs: d.GetIdleTimeoutMs()}
	for _, r := range routes {
		merged.Routes = append(merged.Routes, r)
	}
	slices.SortFunc(merged.Routes, func(a, b *configpb.Route) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return merged
}
