package config

import "eelgrasswharf.example/eelgrasswharf/api/configpb"

// FilterServices returns the part of a configuration that concerns some services, by
// number: a configuration of the same version with these services alone and all
// evacuations, which agents follow, too. Its services are those of c. Retired addresses
// and routes are left out: only entry hosts use them, and they hold all of the
// configuration.
//
// The difference of two parts leads from one to the other, whatever happened
// to the services around them. It carries the version even if it is empty.
func FilterServices(c *configpb.Configuration, services map[uint32]bool) *configpb.Configuration {
	if c == nil {
		return nil
	}
	part := &configpb.Configuration{Version: c.GetVersion(), Evacuations: c.GetEvacuations()}
	for _, s := range c.GetServices() {
		if services[s.GetNumber()] {
			part.Services = append(part.Services, s)
		}
	}
	return part
}
