package config

import "eelgrasswharf.example/eelgrasswharf/api/configpb"

// FilterServices returns a configuration of the same version that has only the given
// services, by number, and all evacuations. Retired addresses and routes are omitted, since
// only entry hosts need them and they have the full configuration. The services are shared
// with c.
//
// Diff and Merge work between filtered configurations as between full ones. An empty delta
// still has the version.
func FilterServices(c *configpb.Configuration, services map[uint32]bool) *configpb.Configuration {
	if c == nil {
		return nil
	}
	filtered := &configpb.Configuration{Version: c.GetVersion(), Evacuations: c.GetEvacuations()}
	for _, s := range c.GetServices() {
		if services[s.GetNumber()] {
			filtered.Services = append(filtered.Services, s)
		}
	}
	return filtered
}
