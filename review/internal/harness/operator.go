package main

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// public is the public address of the only route that carries traffic.
var public = netip.MustParseAddrPort("127.198.0.1:8443")

// idleTimeout is the time after which an idle flow may be discarded.
const idleTimeout = 15 * time.Second

// idleRoutes is the number of further routes, which see no traffic.
const idleRoutes = 8

// config returns a configuration whose routes lead to the first of its services.
func config(version int, k *kind, services []service) map[string]any {
	route := func(name string, port int) map[string]any {
		return map[string]any{
			"name": name, "host": public.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", port), "type": k.routeType,
			"timeout_ms": k.timeoutMs, "aim_ms": k.aimMs, "priority": k.priority, "service": services[0].name, "max_attempts": 2,
		}
	}
	routes := []map[string]any{route("r-"+k.name, int(public.Port()))}
	for i := range idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle-%d", i), 9000+i))
	}
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s.name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds(),
	}}
}

// replace sends a configuration to one control host after the other until one acknowledges it.
func (d *deployment) replace(c map[string]any, limit time.Duration) (time.Time, error) {
	wait := 50 * time.Millisecond
	for i, deadline := 0, time.Now().Add(limit); time.Now().Before(deadline); i++ {
		host := d.core[i%len(d.core)]
		status := post("http://"+d.address(host, portControl)+"/config/replace", c)
		d.record.line("operator sends version %v to %s: %d", c["version"], host, status)
		if status/100 == 2 {
			return time.Now(), nil
		}
		if status/100 == 4 {
			return time.Time{}, fmt.Errorf("the configuration was refused with %d", status)
		}
		time.Sleep(wait)
		wait = min(2*wait, time.Second)
	}
	return time.Time{}, errors.New("the configuration was not acknowledged")
}

// awaitReady waits until the entry hosts of the requesters' zone are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(firstRetry) {
		if d.router.allReady() {
			return nil
		}
	}
	return errors.New("the entry hosts did not become ready")
}
