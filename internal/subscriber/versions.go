package subscriber

import (
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

// versions decides which version of the configuration is acted on. It has no
// clock of its own.
type versions struct {
	// acted is the version acted on, nil before the first one.
	acted *configpb.Configuration
	// candidate is received but not acted on yet. Only before the first one.
	candidate      *configpb.Configuration
	candidateSince time.Time
	confirmed      bool
	// floor is the newest version that any control host said to know.
	floor uint64
	// asked is set once every control host was asked and at least one answered.
	asked bool
}

// ready reports whether there is a version to act on.
func (v *versions) ready() bool { return v.acted != nil }

// held returns the newest configuration received, acted on or not.
func (v *versions) held() *configpb.Configuration {
	if v.acted != nil {
		return v.acted
	}
	return v.candidate
}

// receive takes an update. It reports whether another version is acted on
// from now on. Errors: config.ErrOlder for an update that leads back, and
// config.ErrBase for a delta from a version that is not held.
func (v *versions) receive(u *controlpb.ConfigUpdate, now time.Time) (bool, error) {
	next, err := config.Merge(v.held(), u)
	if err != nil {
		return false, err
	}
	if next == nil {
		// There is no version yet, and that is what the control host says.
		next = &configpb.Configuration{}
	}
	if v.ready() {
		changed := next.GetVersion() > v.acted.GetVersion()
		if changed {
			v.acted = next
		}
		return changed, nil
	}
	if v.candidate == nil {
		v.candidateSince = now
	}
	sameVersion := v.candidate.GetVersion() == next.GetVersion() && v.candidate != nil
	v.confirmed = u.GetConfirmed() || (v.confirmed && sameVersion)
	v.candidate = next
	return v.settleConfirmed(), nil
}

// settleConfirmed acts on the candidate if a quorum confirmed it.
func (v *versions) settleConfirmed() bool {
	if v.candidate == nil || !v.confirmed || v.candidate.GetVersion() < v.floor {
		return false
	}
	return v.act()
}

// settleUnconfirmed acts on an unconfirmed candidate if the wait is over, all
// control hosts were asked, and none that answered knows a newer version.
func (v *versions) settleUnconfirmed(now time.Time, wait time.Duration) bool {
	if v.candidate == nil || !v.asked || v.candidate.GetVersion() < v.floor {
		return false
	}
	if now.Sub(v.candidateSince) < wait {
		return false
	}
	return v.act()
}

func (v *versions) act() bool {
	v.acted = v.candidate
	v.candidate = nil
	return true
}

// answer is what one control host said of its newest version.
type answer struct {
	address   string
	version   uint64
	confirmed bool
}

// learn takes the answers of a round of asking. It reports whether a version
// is acted on from now on, and the address that has a newer version than is
// held, if any.
func (v *versions) learn(answers []answer) (changed bool, newer string) {
	if v.ready() {
		return false, ""
	}
	best := v.held().GetVersion()
	for _, a := range answers {
		v.asked = true
		v.floor = max(v.floor, a.version)
		if a.version > best {
			best, newer = a.version, a.address
		}
		if a.confirmed && v.candidate != nil && a.version == v.candidate.GetVersion() {
			v.confirmed = true
		}
	}
	return v.settleConfirmed(), newer
}

// refusalReason names the reason of a refused update for its counter.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, config.ErrOlderVersion):
		return "older"
	case errors.Is(err, config.ErrBaseMismatch):
		return "gap"
	}
	return "invalid"
}
