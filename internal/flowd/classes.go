package flowd

import (
	"maps"
	"net/netip"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/qos"
)

// applyClasses applies what the routes of the service state. The lock is held.
func (a *Agent) applyClasses(table *configpb.RouteTable) {
	if table == a.routes {
		return
	}
	a.routes = table
	classes := classesOf(table)
	if maps.Equal(classes, a.classes) {
		return
	}
	a.classes = classes
	a.flows.SetClasses(classes)
	a.opts.Log.Info("route classes applied", zap.Uint64("revision", table.GetRevision()),
		zap.Int("routes", len(table.GetRoutes())), zap.Int("stated", len(classes)))
}

// classesOf returns the classes of the routes that state any. Routes without a valid address
// are logged by entry hosts.
func classesOf(table *configpb.RouteTable) flow.Classes {
	classes := flow.Classes{}
	for _, r := range table.GetRoutes() {
		address, err := netip.ParseAddrPort(r.GetAddress())
		if class := qos.ClassOf(r); err == nil && class.Stated() {
			classes[flow.EndpointOf(address)] = class
		}
	}
	return classes
}
