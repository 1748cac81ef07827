package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// minEvacuationTime and maxEvacuationTime bound the duration of an evacuation and the
	// interval before the next one.
	minEvacuationTime = 500 * time.Millisecond
	maxEvacuationTime = 4 * time.Second
	// zones is the number of zones of a run.
	zones = 3
)

// evacuator evacuates one zone at a time, and one until the end of the run.
type evacuator struct {
	checker *Checker
	orders  *operators
	zones   []string
	random  *rand.Rand
}

func (e *evacuator) run(ctx context.Context) {
	for {
		zone := e.zones[e.random.IntN(len(e.zones))]
		if e.sendOrder(zone, "start") {
			e.checker.RecordEvacuation(zone)
		}
		if !e.wait(ctx) {
			return
		}
		// The order may take effect before it is acknowledged.
		e.checker.RecordEvacuationEnd(zone)
		for !e.sendOrder(zone, "finish") {
			if ctx.Err() != nil {
				return
			}
		}
		if !e.wait(ctx) {
			e.evacuateFirst()
			return
		}
	}
}

// evacuateFirst evacuates a zone for the rest of the run.
func (e *evacuator) evacuateFirst() {
	if zone := e.zones[0]; e.sendOrder(zone, "start") {
		e.checker.RecordEvacuation(zone)
	}
}

// sendOrder sends an order and reports whether it was acknowledged in time.
func (e *evacuator) sendOrder(zone, order string) bool {
	return standin.SendEvacuationOrder(e.orders.order(), zone, order, changeTimeout) == nil
}

func (e *evacuator) wait(ctx context.Context) bool {
	d := minEvacuationTime + time.Duration(e.random.Float64()*float64(maxEvacuationTime-minEvacuationTime))
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
