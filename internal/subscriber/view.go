package subscriber

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// View is what a process knows at one moment. It is immutable.
type View struct {
	// Config is the version that the process acts on, nil until it is ready.
	Config *configpb.Configuration
	// Targets are the known targets by target number.
	Targets []*controlpb.TargetRecord
	// Connected tells whether a subscription is open. Without one the view is
	// the last one known.
	Connected bool
	// DirectoryWhole tells that Targets are all that have a lease, as the
	// control host says over an open subscription.
	DirectoryWhole bool

	// heardAt is when each record of Targets was received.
	heardAt []time.Time
}

// Age returns the time since the cold start of a target, by its index in
// Targets. It grows with the process's own monotonic clock.
func (v *View) Age(i int, now time.Time) time.Duration {
	age := time.Duration(v.Targets[i].GetAgeMs()) * time.Millisecond
	return age + max(now.Sub(v.heardAt[i]), 0)
}
