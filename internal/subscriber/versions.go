package subscriber

import (
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

// versions decides which version of the configuration is active. It has no clock.
type versions struct {
	// active is the version in use, nil before the first one.
	active *configpb.Configuration
	// candidate is received but not active. It is nil once a version is active.
	candidate      *configpb.Configuration
	candidateSince time.Time
	confirmed      bool
	// minVersion is the newest version reported by any control host.
	minVersion uint64
	// queried is set once a control host has replied to a query of all.
	queried bool
}

// ready reports whether a version is active.
func (v *versions) ready() bool { return v.active != nil }

// latest returns the newest configuration received, active or not.
func (v *versions) latest() *configpb.Configuration {
	if v.active != nil {
		return v.active
	}
	return v.candidate
}

// receive applies an update and reports whether it activated another version. It
// returns config.ErrOlderVersion for an older version and config.ErrBaseMismatch for a
// delta from another version than the latest one.
func (v *versions) receive(u *controlpb.ConfigUpdate, now time.Time) (bool, error) {
	next, err := config.Merge(v.latest(), u)
	if err != nil {
		return false, err
	}
	if next == nil {
		// The control host has no version yet.
		next = &configpb.Configuration{}
	}
	if v.ready() {
		changed := next.GetVersion() > v.active.GetVersion() || addsRoutes(v.active, next) || addsHistory(v.active, next)
		if changed {
			v.active = next
		}
		return changed, nil
	}
	if v.candidate == nil {
		v.candidateSince = now
	}
	sameVersion := v.candidate.GetVersion() == next.GetVersion() && v.candidate != nil
	v.confirmed = u.GetConfirmed() || (v.confirmed && sameVersion)
	v.candidate = next
	return v.activateConfirmed(), nil
}

// addsRoutes reports whether next is the same version with another route table: a control
// host of a release that omits routes has sent the active one.
func addsRoutes(active, next *configpb.Configuration) bool {
	return next.GetVersion() == active.GetVersion() && next.GetTable().GetRevision() != active.GetTable().GetRevision()
}

// addsHistory reports whether next is the same version with more of the former services of routes.
func addsHistory(active, next *configpb.Configuration) bool {
	return next.GetVersion() == active.GetVersion() && next.GetTable().GetHistory() > active.GetTable().GetHistory()
}

// activateConfirmed activates the candidate if a quorum confirmed it.
func (v *versions) activateConfirmed() bool {
	if v.candidate == nil || !v.confirmed || v.candidate.GetVersion() < v.minVersion {
		return false
	}
	return v.activate()
}

// activateUnconfirmed activates an unconfirmed candidate if wait has passed, all
// control hosts were queried, and none reported a newer version.
func (v *versions) activateUnconfirmed(now time.Time, wait time.Duration) bool {
	if v.candidate == nil || !v.queried || v.candidate.GetVersion() < v.minVersion {
		return false
	}
	if now.Sub(v.candidateSince) < wait {
		return false
	}
	return v.activate()
}

func (v *versions) activate() bool {
	v.active = v.candidate
	v.candidate = nil
	return true
}

// hostVersion is the newest version reported by one control host.
type hostVersion struct {
	address   string
	version   uint64
	confirmed bool
}

// recordVersions applies the replies of a query. It reports whether a version was
// activated, and the address of a control host with a newer version than the latest
// one, if any.
func (v *versions) recordVersions(reported []hostVersion) (changed bool, newer string) {
	if v.ready() {
		return false, ""
	}
	best := v.latest().GetVersion()
	for _, host := range reported {
		v.queried = true
		v.minVersion = max(v.minVersion, host.version)
		if host.version > best {
			best, newer = host.version, host.address
		}
		if host.confirmed && v.candidate != nil && host.version == v.candidate.GetVersion() {
			v.confirmed = true
		}
	}
	return v.activateConfirmed(), newer
}

// refusalReason returns the metric tag of a refused update.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, config.ErrOlderVersion):
		return "older"
	case errors.Is(err, config.ErrBaseMismatch):
		return "gap"
	}
	return "invalid"
}
