package backend

import (
	"time"

	"github.com/go-faster/errors"
)

// HealthMode is the behavior of the health endpoint.
type HealthMode string

// Modes of the health endpoint.
const (
	// HealthHonest is unhealthy while Faults.Broken is set, healthy otherwise.
	HealthHonest     HealthMode = "honest"
	HealthAlwaysUp   HealthMode = "well"
	HealthAlwaysDown HealthMode = "ill"
	// HealthHang accepts the poll and never responds.
	HealthHang HealthMode = "frozen"
)

// LoadMode is the behavior of the load endpoint.
type LoadMode string

// Modes of the load endpoint.
const (
	LoadHonest LoadMode = "honest"
	// LoadIdle reports no running requests.
	LoadIdle LoadMode = "idle"
	// LoadFull reports that all slots are in use.
	LoadFull LoadMode = "full"
	// LoadStale repeats the first reported value.
	LoadStale LoadMode = "stale"
)

// ErrFault reports an unknown mode.
var ErrFault = errors.New("unknown fault mode")

// Faults configures the misbehavior of a server. The zero value is a server without
// faults. A field ...Every of N affects every Nth request for work (echo and run), 0
// affects none.
type Faults struct {
	Health HealthMode
	Load   LoadMode
	// Age is the least age that the server reports.
	Age time.Duration
	// Broken responds with 500 to requests for work without running them.
	Broken bool
	// LateEvery delays a response by LateBy after the work is done.
	LateEvery uint64
	LateBy    time.Duration
	// TruncateEvery declares a longer body than it sends and closes the connection.
	TruncateEvery uint64
	// CrossEvery sends a second, unsolicited response on the same connection. A
	// client that reuses the connection may take it for the response to its next
	// request.
	CrossEvery uint64
}

// Validate returns ErrFault for an unknown mode. An empty mode means honest.
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

// selected reports whether a fault affects the nth request, counted from 1.
func selected(every, n uint64) bool {
	return every > 0 && n%every == 0
}
