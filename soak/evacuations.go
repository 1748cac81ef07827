package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// evacuationShortest and evacuationLongest bound how long a zone is evacuated, and the
	// pause until the next one is.
	evacuationShortest = 500 * time.Millisecond
	evacuationLongest  = 4 * time.Second
	// zones is how many zones the targets of a run stand in.
	zones = 3
)

// evacuations evacuates one zone after the other, and leaves the last one evacuated.
type evacuations struct {
	truth  *Checker
	orders *operators
	zones  []string
	random *rand.Rand
}

func (e *evacuations) run(ctx context.Context) {
	for {
		zone := e.zones[e.random.IntN(len(e.zones))]
		if e.give(zone, "start") {
			e.truth.RecordEvacuation(zone)
		}
		if !e.pause(ctx) {
			return
		}
		// What is sent may be in force before it is acknowledged.
		e.truth.RecordEvacuationEnd(zone)
		for !e.give(zone, "finish") {
			if ctx.Err() != nil {
				return
			}
		}
		if !e.pause(ctx) {
			e.last()
			return
		}
	}
}

// last evacuates a zone for the rest of the run.
func (e *evacuations) last() {
	if zone := e.zones[0]; e.give(zone, "start") {
		e.truth.RecordEvacuation(zone)
	}
}

// give sends an order until it is acknowledged, for a while.
func (e *evacuations) give(zone, order string) bool {
	return standin.SendEvacuationOrder(e.orders.order(), zone, order, changePatience) == nil
}

func (e *evacuations) pause(ctx context.Context) bool {
	d := evacuationShortest + time.Duration(e.random.Float64()*float64(evacuationLongest-evacuationShortest))
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
