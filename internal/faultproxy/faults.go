package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Direction is the way that a datagram takes through a relay.
type Direction int

const (
	// ToHost is the direction from a caller to a host.
	ToHost Direction = iota
	// ToCaller is the direction from a host to a caller.
	ToCaller
	directions
)

// Faults tells what happens to the datagrams of one path in one direction.
// The zero value is a path without faults.
type Faults struct {
	// Drop is the probability that a datagram is lost.
	Drop float64
	// Duplicate is the probability that a datagram arrives twice.
	Duplicate float64
	// Delay is added to every datagram.
	Delay time.Duration
	// Reorder is the probability that a datagram is held back by HoldBack,
	// so that later ones overtake it.
	Reorder float64
	// ReorderDelay is the additional delay of a reordered datagram.
	ReorderDelay time.Duration
	// Cut loses every datagram without an error at either end.
	Cut bool
}

// delays returns the delay of each copy of a datagram to deliver; none means
// that it is lost.
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
