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

// View is an immutable snapshot of the configuration and the directory.
type View struct {
	// Config is the active version, nil until the subscriber is ready.
	Config *configpb.Configuration
	// Targets are the known targets, sorted by number.
	Targets []*controlpb.TargetRecord
	// Connected is set while a subscription is open. Otherwise the view is the last
	// known one.
	Connected bool
	// DirectoryComplete is set if Targets are all targets with a lease, according to
	// the control host of an open subscription.
	DirectoryComplete bool
	// TargetsRestarted is set if all control hosts and targets have started lately and
	// Targets are all targets that run, according to the control host of an open
	// subscription.
	TargetsRestarted bool
	// AwaitedTargets is the number of registered targets that are missing in Targets since
	// the control host of an open subscription has started, nil if it is unknown.
	AwaitedTargets *uint32

	// receivedAt is the time of receipt of each record of Targets.
	receivedAt []time.Time
}

// NewView returns the view of an open subscription with a complete directory, received
// at the given time.
func NewView(c *configpb.Configuration, targets []*controlpb.TargetRecord, received time.Time) *View {
	v := &View{Config: c, Targets: targets, Connected: true, DirectoryComplete: true}
	for range targets {
		v.receivedAt = append(v.receivedAt, received)
	}
	return v
}

// Evacuated reports whether the failure domain of a target is evacuated.
func (v *View) Evacuated(record *controlpb.TargetRecord) bool {
	return config.IsEvacuated(v.Config, record.GetFailureDomain())
}

// AvailableTargets returns the known targets outside evacuated failure domains. The
// list must not be modified.
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

// TargetOf returns the target of a record without its age. It returns an error if the
// address is invalid.
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

// Age returns the time since the cold start of the target at index i of Targets. It
// depends on the monotonic clock of this process only.
func (v *View) Age(i int, now time.Time) time.Duration {
	age := time.Duration(v.Targets[i].GetAgeMs()) * time.Millisecond
	return age + max(now.Sub(v.receivedAt[i]), 0)
}
