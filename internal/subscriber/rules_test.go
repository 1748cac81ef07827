package subscriber

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
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
	targets, heardAt := d.Records()
	v := &View{Targets: targets, heardAt: heardAt}
	is.Equal(v.Age(0, time.Unix(112, 0)), 3*time.Second)
	is.Equal(v.Age(1, time.Unix(112, 0)), 13*time.Second)
}

// Whatever control hosts send in whatever order, the version acted on never
// goes back, and none is acted on that is older than one known to exist.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var v versions
		now := time.Unix(0, 0)
		var acted uint64
		var floor uint64
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			wasReady := v.ready()
			step(rt, &v, now, &floor)
			if !v.ready() {
				if wasReady {
					rt.Fatal("was ready before")
				}
				continue
			}
			got := v.acted.GetVersion()
			if got < acted {
				rt.Fatalf("acts on %d after %d", got, acted)
			}
			if !wasReady && got < floor {
				rt.Fatalf("starts with %d though %d is known", got, floor)
			}
			acted = got
		}
	})
}

func step(rt *rapid.T, v *versions, now time.Time, floor *uint64) {
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
			*floor = max(*floor, version)
		}
		v.learn([]answer{{address: "a", version: version, confirmed: confirmed}})
	case 3:
		if !v.ready() {
			v.settleUnconfirmed(now, time.Second)
		}
	}
}

func TestUnconfirmedNeedsAnAnswer(t *testing.T) {
	is := is.New(t)
	var v versions
	_, err := v.receive(&controlpb.ConfigUpdate{Snapshot: configuration(5), Version: 5}, time.Unix(0, 0))
	is.NoErr(err)
	is.True(!v.settleUnconfirmed(time.Unix(3600, 0), time.Second)) // nobody was asked
	v.learn(nil)
	is.True(!v.settleUnconfirmed(time.Unix(3600, 0), time.Second)) // nobody answered
	v.learn([]answer{{address: "a", version: 5}})
	is.True(!v.settleUnconfirmed(time.Unix(0, 1), time.Second)) // the wait is not over
	is.True(v.settleUnconfirmed(time.Unix(1, 0), time.Second))
}

// The confirmation of one version says nothing of the next one.
func TestConfirmationBelongsToItsVersion(t *testing.T) {
	is := is.New(t)
	var v versions
	now := time.Unix(0, 0)
	v.learn([]answer{{address: "b", version: 9}})
	receive := func(version uint64, confirmed bool) bool {
		changed, err := v.receive(&controlpb.ConfigUpdate{
			Snapshot: configuration(version), Version: version, Confirmed: confirmed,
		}, now)
		is.NoErr(err)
		return changed
	}
	is.True(!receive(5, true)) // 9 is known
	is.True(!receive(9, false))
	is.True(!v.ready())
	is.True(receive(9, true))
}

func TestReasons(t *testing.T) {
	is := is.New(t)
	is.Equal(refusalReason(config.ErrOlderVersion), "older")
	is.Equal(refusalReason(config.ErrBaseMismatch), "gap")
	is.Equal(endReason(errBehind), "behind")
	is.Equal(endReason(config.ErrBaseMismatch), "gap")
}
