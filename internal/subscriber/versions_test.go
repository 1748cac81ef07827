package subscriber

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/freshness"
	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

func record(number, incarnation uint32, sequence uint64) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{Number: number, Incarnation: incarnation, Sequence: sequence, AgeMs: 1000}
}

func TestAgesGrowFromReceipt(t *testing.T) {
	is := is.New(t)
	var d membership.List
	d.Apply(&controlpb.DirectoryUpdate{Epoch: 1, Full: true, Put: []*controlpb.TargetRecord{record(2, 1, 1)}}, time.Unix(100, 0))
	d.Apply(&controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1, Put: []*controlpb.TargetRecord{record(1, 1, 1)}}, time.Unix(110, 0))
	targets, receivedAt := d.Records()
	v := &View{Targets: targets, receivedAt: receivedAt}
	is.Equal(v.Age(0, time.Unix(112, 0)), 3*time.Second)
	is.Equal(v.Age(1, time.Unix(112, 0)), 13*time.Second)
}

// For any updates in any order, the active version never reverts and the first one is
// not older than any reported version.
func TestVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var v versions
		now := time.Unix(0, 0)
		var active uint64
		var minVersion uint64
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			wasReady := v.ready()
			randomStep(rt, &v, now, &minVersion)
			if !v.ready() {
				if wasReady {
					rt.Fatal("no longer ready")
				}
				continue
			}
			got := v.active.GetVersion()
			if got < active {
				rt.Fatalf("version %d activated after %d", got, active)
			}
			if !wasReady && got < minVersion {
				rt.Fatalf("first version %d is older than reported version %d", got, minVersion)
			}
			active = got
		}
	})
}

func randomStep(rt *rapid.T, v *versions, now time.Time, minVersion *uint64) {
	version := rapid.Uint64Range(0, 12).Draw(rt, "version")
	confirmed := rapid.Bool().Draw(rt, "confirmed")
	switch rapid.IntRange(0, 3).Draw(rt, "step") {
	case 0:
		u := &controlpb.ConfigUpdate{Snapshot: configuration(version), Version: version, Confirmed: confirmed}
		_, _ = v.receive(u, now)
	case 1:
		base := rapid.Uint64Range(0, 12).Draw(rt, "base")
		u := config.Diff(configuration(base), configuration(version))
		u.Confirmed = confirmed
		_, _ = v.receive(u, now)
	case 2:
		if !v.ready() {
			*minVersion = max(*minVersion, version)
		}
		v.recordVersions([]hostVersion{{address: "a", version: version, confirmed: confirmed}})
	case 3:
		if !v.ready() {
			v.activateUnconfirmed(now, time.Second)
		}
	}
}

func TestUnconfirmedVersionNeedsReply(t *testing.T) {
	is := is.New(t)
	var v versions
	_, err := v.receive(&controlpb.ConfigUpdate{Snapshot: configuration(5), Version: 5}, time.Unix(0, 0))
	is.NoErr(err)
	is.True(!v.activateUnconfirmed(time.Unix(3600, 0), time.Second)) // no query yet
	v.recordVersions(nil)
	is.True(!v.activateUnconfirmed(time.Unix(3600, 0), time.Second)) // no reply
	v.recordVersions([]hostVersion{{address: "a", version: 5}})
	is.True(!v.activateUnconfirmed(time.Unix(0, 1), time.Second)) // before the delay
	is.True(v.activateUnconfirmed(time.Unix(1, 0), time.Second))
}

// The confirmation of one version does not apply to the next one.
func TestConfirmationBelongsToItsVersion(t *testing.T) {
	is := is.New(t)
	var v versions
	now := time.Unix(0, 0)
	v.recordVersions([]hostVersion{{address: "b", version: 9}})
	receive := func(version uint64, confirmed bool) bool {
		changed, err := v.receive(&controlpb.ConfigUpdate{
			Snapshot: configuration(version), Version: version, Confirmed: confirmed,
		}, now)
		is.NoErr(err)
		return changed
	}
	is.True(!receive(5, true)) // version 9 was reported
	is.True(!receive(9, false))
	is.True(!v.ready())
	is.True(receive(9, true))
}

func TestReasons(t *testing.T) {
	is := is.New(t)
	is.Equal(refusalReason(config.ErrOlderVersion), "older")
	is.Equal(refusalReason(config.ErrBaseMismatch), "gap")
	is.Equal(endReason(&moveError{reason: freshness.ReasonBehind}), "behind")
	is.Equal(endReason(config.ErrBaseMismatch), "gap")
}
