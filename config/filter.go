package config

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// FilterServices returns a configuration of the same version that has only the given
// services, by number, the routes that lead to them, and all evacuations. Retired addresses
// are omitted, since only entry hosts need them and they have the full configuration. The
// services and routes are shared with c.
//
// Diff and Merge work between filtered configurations as between full ones. An empty delta
// still has the version.
func FilterServices(c *configpb.Configuration, services map[uint32]bool) *configpb.Configuration {
	if c == nil {
		return nil
	}
	filtered := &configpb.Configuration{Version: c.GetVersion(), Evacuations: c.GetEvacuations()}
	names := map[string]bool{}
	for _, s := range c.GetServices() {
		if services[s.GetNumber()] {
			filtered.Services = append(filtered.Services, s)
			names[s.GetName()] = true
		}
	}
	filtered.Table = filterRoutes(c.GetTable(), names)
	return filtered
}

// filterRoutes returns a table of the same revision that has only the routes that lead to
// the named services.
func filterRoutes(t *configpb.RouteTable, services map[string]bool) *configpb.RouteTable {
	if t == nil {
		return nil
	}
	filtered := &configpb.RouteTable{Revision: t.GetRevision(), IdleTimeoutMs: t.GetIdleTimeoutMs(), History: t.GetHistory()}
	for _, r := range t.GetRoutes() {
		if leadsTo(r, services) {
			filtered.Routes = append(filtered.Routes, r)
		}
	}
	return filtered
}

func leadsTo(r *configpb.Route, services map[string]bool) bool {
	return slices.ContainsFunc(r.GetServices(), func(s *configpb.WeightedService) bool { return services[s.GetService()] })
}
