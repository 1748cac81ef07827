package placement

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// History decides whether the former services of routes are known. If they are not, any service
// may hold a flow of a route: flows stay with their service when the route moves to another one.
type History struct {
	maxFlowAge time.Duration
	recorded   configpb.RouteHistory
	// since is when the present value of recorded was first seen.
	since time.Duration
}

// NewHistory returns a History of a process without a configuration. Flows are at most maxFlowAge
// old.
func NewHistory(maxFlowAge time.Duration) History { return History{maxFlowAge: maxFlowAge} }

// Observe records how far back the former services reach in a route table that is applied now.
func (h *History) Observe(recorded configpb.RouteHistory, now time.Duration) {
	if recorded != h.recorded {
		h.recorded, h.since = recorded, now
	}
}

// Known reports whether routes list each service that may hold one of their flows. Where former
// services are recorded since an unknown table, that takes the maximum age of flows.
func (h *History) Known(now time.Duration) bool {
	switch h.recorded {
	case configpb.RouteHistory_ROUTE_HISTORY_COMPLETE:
		return true
	case configpb.RouteHistory_ROUTE_HISTORY_RECORDED:
		return now-h.since >= h.maxFlowAge
	}
	return false
}
