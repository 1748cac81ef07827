package subscriber

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/routing"
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
	// DirectoryComplete tells that Targets are all that have a lease, as the
	// control host says over an open subscription.
	DirectoryComplete bool

	// heardAt is when each record of Targets was received.
	heardAt []time.Time
}

// NewView returns the view of an open subscription that holds a version and all targets,
// which were heard of at a moment.
func NewView(c *configpb.Configuration, targets []*controlpb.TargetRecord, heard time.Time) *View {
	v := &View{Config: c, Targets: targets, Connected: true, DirectoryComplete: true}
	for range targets {
		v.heardAt = append(v.heardAt, heard)
	}
	return v
}

// Evacuated reports whether the target of a record stands in a failure domain whose targets
// get no new flows.
func (v *View) Evacuated(record *controlpb.TargetRecord) bool {
	return config.IsEvacuated(v.Config, record.GetFailureDomain())
}

// AvailableTargets returns the known targets that new flows may go to, as far as evacuations
// tell. The list must not be changed.
func (v *View) AvailableTargets() []*controlpb.TargetRecord {
	if len(v.Config.GetEvacuations()) == 0 {
		return v.Targets
	}
	open := make([]*controlpb.TargetRecord, 0, len(v.Targets))
	for _, record := range v.Targets {
		if !v.Evacuated(record) {
			open = append(open, record)
		}
	}
	return open
}

// TargetOf returns the target of a record, without its age. The error tells that its
// address cannot be read.
func TargetOf(record *controlpb.TargetRecord) (routing.Target, error) {
	address, err := netip.ParseAddrPort(record.GetAddress())
	if err != nil {
		return routing.Target{}, errors.Wrapf(err, "address of target %q", record.GetName())
	}
	return routing.Target{
		Number:      record.GetNumber(),
		Incarnation: record.GetIncarnation(),
		Service:     record.GetService(),
		Address:     address,
		Draining:    record.GetState() == controlpb.TargetState_TARGET_STATE_DRAINING,
		Unhealthy:   record.GetIll(),
		Damped:      record.GetDamped(),
	}, nil
}

// Age returns the time since the cold start of a target, by its index in
// Targets. It grows with the process's own monotonic clock.
func (v *View) Age(i int, now time.Time) time.Duration {
	age := time.Duration(v.Targets[i].GetAgeMs()) * time.Millisecond
	return age + max(now.Sub(v.heardAt[i]), 0)
}
