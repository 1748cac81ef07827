package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/freshness"
)

// at returns a time in seconds after an arbitrary origin.
func at(seconds float64) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func exactly(d time.Duration) time.Duration { return d }

func confirmed(version uint64, age time.Duration) freshness.State {
	return freshness.State{Version: version, Confirmed: true, Age: age}
}

// options have a limit of 2 s and backoffs of 1, 2 and 4 s.
func options() freshness.Options {
	return freshness.Options{Limit: 2 * time.Second, BackoffMin: time.Second, BackoffMax: 4 * time.Second}
}

func TestDecide(t *testing.T) {
	type report struct {
		at    float64
		state freshness.State
		inUse uint64
	}
	old, isolated := confirmed(9, time.Minute), freshness.State{Version: 9, Isolated: true}
	for name, test := range map[string]struct {
		reports []report
		at      float64
		move    bool
		reason  freshness.Reason
	}{
		"confirmed a moment ago":                      {[]report{{0, confirmed(9, 0), 9}}, 2, false, freshness.ReasonConfirmed},
		"confirmed too long ago":                      {[]report{{0, confirmed(9, 0), 9}}, 2.1, true, freshness.ReasonUnconfirmed},
		"the age of the report counts":                {[]report{{1, confirmed(9, 1500*time.Millisecond), 9}}, 2.1, true, freshness.ReasonUnconfirmed},
		"an older report does not make it older":      {[]report{{1, confirmed(9, 0), 9}, {1.5, old, 9}}, 2.9, false, freshness.ReasonConfirmed},
		"a version that has not arrived":              {[]report{{0, confirmed(9, 0), 9}, {2, confirmed(10, 0), 9}}, 2.1, true, freshness.ReasonUnconfirmed},
		"it arrived":                                  {[]report{{0, confirmed(9, 0), 9}, {2, confirmed(10, 0), 10}}, 2.1, false, freshness.ReasonConfirmed},
		"nothing reported yet":                        {nil, 2, false, freshness.ReasonWaiting},
		"nothing reported":                            {nil, 2.1, true, freshness.ReasonUnconfirmed},
		"isolated":                                    {[]report{{0, isolated, 9}}, 0, true, freshness.ReasonIsolated},
		"isolated, confirmed by another host":         {[]report{{0, confirmed(9, 0), 9}, {0.1, isolated, 9}}, 0.2, true, freshness.ReasonIsolated},
		"no longer isolated":                          {[]report{{0, isolated, 9}, {0.1, confirmed(9, 0), 9}}, 0.2, false, freshness.ReasonConfirmed},
		"behind":                                      {[]report{{0, confirmed(7, 0), 9}, {2, confirmed(7, 0), 9}}, 2.1, true, freshness.ReasonBehind},
		"behind for a moment":                         {[]report{{0, confirmed(7, 0), 9}}, 1.9, false, freshness.ReasonWaiting},
		"confirmed too long ago when it is reached":   {[]report{{0, old, 9}}, 0, true, freshness.ReasonUnconfirmed},
		"never confirmed":                             {[]report{{0, freshness.State{Version: 9}, 9}}, 2.1, true, freshness.ReasonUnconfirmed},
		"confirmed without any version on both sides": {[]report{{0, confirmed(0, 0), 0}}, 1, false, freshness.ReasonConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := freshness.NewTracker(options())
			tracker.Opened(at(0))
			for _, h := range test.reports {
				tracker.Observe(h.state, h.inUse, at(h.at))
			}
			move, reason := tracker.Decide(at(test.at))
			is.Equal(reason, test.reason)
			is.Equal(move, test.move)
		})
	}
}

func TestNothingIsDecidedWithoutSubscription(t *testing.T) {
	is := is.New(t)
	tracker := freshness.NewTracker(options())
	_, reason := tracker.Decide(at(100))
	is.Equal(reason, freshness.ReasonNotSubscribed)
	tracker.Opened(at(100))
	tracker.Closed()
	_, reason = tracker.Decide(at(200))
	is.Equal(reason, freshness.ReasonNotSubscribed)
}

// Guards against forgetting that a control host is isolated while a move is too early.
func TestIsolatedHostIsLeftAfterBackoff(t *testing.T) {
	is := is.New(t)
	tracker := freshness.NewTracker(options())
	tracker.Opened(at(0))
	tracker.Observe(freshness.State{Version: 9, Isolated: true}, 9, at(0))
	move, _ := tracker.Decide(at(0))
	is.True(move)
	tracker.Moved(at(0), exactly)
	tracker.Opened(at(0.1))
	tracker.Observe(freshness.State{Version: 9, Isolated: true}, 9, at(0.1))
	_, reason := tracker.Decide(at(0.9))
	is.Equal(reason, freshness.ReasonBackoff)
	move, reason = tracker.Decide(at(1))
	is.True(move)
	is.Equal(reason, freshness.ReasonIsolated)
}

// Without a quorum all control hosts are isolated: moves become rare.
func TestMovesBecomeRareWithoutQuorum(t *testing.T) {
	is := is.New(t)
	tracker := freshness.NewTracker(options())
	var moves []float64
	for now := 0.0; now < 20; now += 0.1 {
		tracker.Opened(at(now))
		tracker.Observe(freshness.State{Version: 9, Isolated: true}, 9, at(now))
		if move, _ := tracker.Decide(at(now)); move {
			tracker.Moved(at(now), exactly)
			moves = append(moves, now)
		}
	}
	is.Equal(len(moves), 7) // about 0, 1, 3, 7, 11, 15 and 19 s
	// A proof ends that.
	tracker.Observe(confirmed(9, 0), 9, at(30))
	tracker.Observe(freshness.State{Version: 9, Isolated: true}, 9, at(30))
	move, _ := tracker.Decide(at(30))
	is.True(move)
	tracker.Moved(at(30), exactly)
	_, reason := tracker.Decide(at(30.9))
	is.Equal(reason, freshness.ReasonBackoff)
	move, _ = tracker.Decide(at(31))
	is.True(move)
}

// A first message that takes long over a slow path arrives in the end.
func TestPatienceGrows(t *testing.T) {
	is := is.New(t)
	tracker := freshness.NewTracker(options())
	now := 0.0
	var kept []float64
	for range 5 {
		opened := now
		tracker.Opened(at(now))
		for move := false; !move; now += 0.1 {
			move, _ = tracker.Decide(at(now))
		}
		tracker.Moved(at(now), exactly)
		kept = append(kept, now-opened)
	}
	for i, want := range []float64{2, 4, 8, 16, 16} {
		is.True(kept[i] >= want && kept[i] < want+0.5)
	}
}

func TestAge(t *testing.T) {
	is := is.New(t)
	tracker := freshness.NewTracker(freshness.Options{})
	_, known := tracker.Age(at(5))
	is.True(!known)
	tracker.Observe(confirmed(9, time.Second), 9, at(5))
	age, known := tracker.Age(at(6))
	is.True(known)
	is.Equal(age, 2*time.Second)
}
