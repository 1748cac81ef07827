package config

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// maxFormerServices bounds the former services of a route: at 11,000 routes they take 1 MB.
// A route that exceeds it says so, and its flows are searched for in all services.
const maxFormerServices = 32

// nextHistory returns how far back the former services reach in the table that follows one.
// They are known from the first table on, or from the first one that this release replaces.
func nextHistory(before *configpb.RouteTable) configpb.RouteHistory {
	if before == nil || before.GetHistory() == configpb.RouteHistory_ROUTE_HISTORY_COMPLETE {
		return configpb.RouteHistory_ROUTE_HISTORY_COMPLETE
	}
	return configpb.RouteHistory_ROUTE_HISTORY_RECORDED
}

// routeHistory has the numbers of the former services of a route, in order, unless they are
// omitted.
type routeHistory struct {
	services []uint32
	omitted  bool
}

// formerServices returns the former services of a route of version next. old is the route of the
// same address in version before, nil if there is none: flows of a route that was removed are not
// kept.
//
// A process cannot know them by itself, since it may miss any version.
func formerServices(old *configpb.Route, before *configpb.Configuration, route *configpb.Route, next *configpb.Configuration) routeHistory {
	if old.GetFormerServicesOmitted() {
		return routeHistory{omitted: true}
	}
	present := serviceNumbers(next, route)
	var former []uint32
	for _, number := range append(serviceNumbers(before, old), old.GetFormerServices()...) {
		if !slices.Contains(present, number) && !slices.Contains(former, number) {
			former = append(former, number)
		}
	}
	if len(former) > maxFormerServices {
		return routeHistory{omitted: true}
	}
	slices.Sort(former)
	return routeHistory{services: former}
}

// serviceNumbers returns the numbers of the services of a route of a version.
func serviceNumbers(c *configpb.Configuration, r *configpb.Route) []uint32 {
	numbers := make([]uint32, 0, len(r.GetServices()))
	for _, s := range r.GetServices() {
		if service := findService(c, s.GetService()); service != nil {
			numbers = append(numbers, service.GetNumber())
		}
	}
	return numbers
}
