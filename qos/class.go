package qos

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Class is the quality of service of the requests of one route. The zero Class states
// nothing.
type Class struct {
	// Priority orders requests when there is too little capacity; 0 is the highest.
	Priority uint32
	// Objective is the response time objective, 0 if the route states none.
	Objective time.Duration
	// Timeout is when the caller gives up, 0 if the route states none.
	Timeout time.Duration
	// Repeatable: the caller may send the request again after any failure.
	Repeatable bool
}

// Stated reports whether the route states an objective or a timeout.
func (c Class) Stated() bool { return c.Objective > 0 || c.Timeout > 0 }

// ClassOf returns the class of a route, zero if the route states neither an objective nor
// a timeout.
func ClassOf(r *configpb.Route) Class {
	c := Class{
		Priority:   r.GetPriority(),
		Objective:  time.Duration(r.GetObjectiveMs()) * time.Millisecond,
		Timeout:    time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		Repeatable: r.GetKind() != configpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT,
	}
	if !c.Stated() {
		return Class{}
	}
	return c
}
