package main

import (
	"strings"
	"time"
)

// firstStartScenario loses a machine of the core for good right after the first start of the
// whole system. An empty one comes a second later at another address.
func firstStartScenario(d *deployment, trouble bool) (int, error) {
	const (
		lostAfter     = 100 * time.Millisecond
		replacedAfter = time.Second
		limit         = 75 * time.Second
	)
	time.Sleep(lostAfter)
	if trouble {
		lost := d.core[0]
		for _, p := range d.fronts {
			if strings.HasSuffix(p.name, "-"+lost.String()) {
				p.kill()
			}
		}
		time.Sleep(replacedAfter)
		d.core[0] = d.nextIP()
		for _, role := range []string{"control", "entry"} {
			if err := d.startRole(role, d.core[0], d.site.zones[0]); err != nil {
				return 0, err
			}
		}
	}
	ackedAt, err := d.replace(config(1, &filingWatch, registryServices), limit)
	if err != nil {
		d.record.line("the first configuration is not in force: %v", err)
		return 1, nil
	}
	d.record.line("the first configuration is confirmed at %.3f s", d.record.at(ackedAt))
	return 0, nil
}
