package backend

import (
	"time"

	"github.com/go-faster/errors"
)

// HealthMode says how the health endpoint answers.
type HealthMode string

// Modes of the health endpoint.
const (
	// HealthHonest is ill while Broken is set, and well otherwise.
	HealthHonest     HealthMode = "honest"
	HealthAlwaysUp   HealthMode = "well"
	HealthAlwaysDown HealthMode = "ill"
	// HealthHang takes the poll and never answers.
	HealthHang HealthMode = "frozen"
)

// LoadMode says how the load endpoint answers.
type LoadMode string

// Modes of the load endpoint.
const (
	LoadHonest LoadMode = "honest"
	// LoadIdle claims that nothing runs.
	LoadIdle LoadMode = "idle"
	// LoadFull claims that every slot is taken.
	LoadFull LoadMode = "full"
	// LoadStale repeats the first figure for ever.
	LoadStale LoadMode = "stale"
)

// ErrFault reports an unknown mode.
var ErrFault = errors.New("unknown fault mode")

// Faults are the ways in which a server misbehaves. The zero value is a
// server without faults. A field ...Every of N hits every Nth request for
// work (echo and run), 0 hits none.
type Faults struct {
	Health HealthMode
	Load   LoadMode
	// Age is the least age that the server claims.
	Age time.Duration
	// Broken answers 500 to requests for work, without running them.
	Broken bool
	// LateEvery holds an answer back for LateBy after the work is done.
	LateEvery uint64
	LateBy    time.Duration
	// TruncateEvery announces a longer body than it sends and closes the
	// connection in the middle.
	TruncateEvery uint64
	// CrossEvery follows an answer with a second one that nobody asked for,
	// on the same connection, where a client that reuses the connection
	// takes it for the answer to its next request.
	CrossEvery uint64
}

// Validate returns ErrFault for an unknown mode. Empty modes are honest.
func (f Faults) Validate() error {
	switch f.Health {
	case "", HealthHonest, HealthAlwaysUp, HealthAlwaysDown, HealthHang:
	default:
		return errors.Wrapf(ErrFault, "health %q", string(f.Health))
	}
	switch f.Load {
	case "", LoadHonest, LoadIdle, LoadFull, LoadStale:
	default:
		return errors.Wrapf(ErrFault, "load %q", string(f.Load))
	}
	return nil
}

// hits tells whether the nth request, counted from 1, is one of every.
func hits(every, n uint64) bool {
	return every > 0 && n%every == 0
}
