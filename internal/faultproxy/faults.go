package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Direction is the direction of a datagram through a relay.
type Direction int

const (
	// ToHost is the direction from a caller to a host.
	ToHost Direction = iota
	// ToCaller is the direction from a host to a caller.
	ToCaller
	directions
)

// Faults are the faults of one path in one direction. The zero value has none.
type Faults struct {
	// Drop is the probability that a datagram is lost.
	Drop float64
	// Duplicate is the probability that a datagram is delivered twice.
	Duplicate float64
	// Delay is added to every datagram.
	Delay time.Duration
	// Reorder is the probability that a datagram is delayed by ReorderDelay, so that
	// later ones overtake it.
	Reorder float64
	// ReorderDelay is the additional delay of a reordered datagram.
	ReorderDelay time.Duration
	// Cut drops every datagram without an error at either end.
	Cut bool
}

// delays returns the delay of each copy of a datagram. An empty result means that the
// datagram is dropped.
func (f Faults) delays(random *rand.Rand) []time.Duration {
	if f.Cut {
		return nil
	}
	if random.Float64() < f.Drop {
		return nil
	}
	copies := []time.Duration{f.delay(random)}
	if random.Float64() < f.Duplicate {
		copies = append(copies, f.delay(random))
	}
	return copies
}

func (f Faults) delay(random *rand.Rand) time.Duration {
	if random.Float64() < f.Reorder {
		return f.Delay + f.ReorderDelay
	}
	return f.Delay
}
