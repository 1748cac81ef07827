package stall_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/stall"
)

const (
	bound = time.Second
	grace = 2 * time.Second
)

func TestHeld(t *testing.T) {
	is := is.New(t)
	d := &stall.Detector{Threshold: bound, Grace: grace}
	is.Equal(d.Observe(5*time.Second), time.Duration(0)) // the first look follows no other
	is.True(!d.MayHaveWaited(0, 5*time.Second))
	is.Equal(d.Observe(6*time.Second), time.Duration(0)) // at the bound
	is.Equal(d.Observe(9*time.Second), 3*time.Second)
	is.Equal(d.Observe(8*time.Second), time.Duration(0))   // a look that is recorded late
	is.True(d.MayHaveWaited(6*time.Second, 6*time.Second)) // waited for its grant meanwhile
	is.True(d.MayHaveWaited(6*time.Second, 9*time.Second))
	is.True(d.MayHaveWaited(6*time.Second, 9*time.Second+grace-1))
	is.True(!d.MayHaveWaited(6*time.Second, 9*time.Second+grace))
	is.True(!d.MayHaveWaited(9*time.Second, 9*time.Second)) // a connection that came after
	d.Observe(9 * time.Second)
	is.True(d.MayHaveWaited(6*time.Second, 6*time.Second)) // still so
}

// life draws a process that looks at the clock often, but for standstills, and
// returns the looks and the standstills (the last look before each, the first
// one after it).
func life(t *rapid.T) (looks []time.Duration, stood [][2]time.Duration) {
	now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
	looks = append(looks, now)
	for range rapid.IntRange(1, 60).Draw(t, "looks") {
		before := now
		if rapid.IntRange(0, 7).Draw(t, "stands still") == 0 {
			now += bound + time.Duration(rapid.Int64Range(1, int64(10*bound)).Draw(t, "standstill"))
			stood = append(stood, [2]time.Duration{before, now})
		} else {
			now += time.Duration(rapid.Int64Range(0, int64(bound)).Draw(t, "pause"))
		}
		looks = append(looks, now)
	}
	return looks, stood
}

// However standstills follow each other: what was sent before the end of one
// over a connection of that time, and read within the grace, is held; so is
// what arrived before one and is asked for after it. What came over a
// connection of its own, with no standstill since, never is, nor is anything
// while there was none.
func TestWhatWaitedIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		looks, stood := life(t)
		d := &stall.Detector{Threshold: bound, Grace: grace}
		for _, now := range looks {
			d.Observe(now)
		}
		asked := looks[len(looks)-1]
		opened := rapid.SampledFrom(looks).Draw(t, "opened")
		arrived := max(opened, rapid.SampledFrom(looks).Draw(t, "arrived"))
		// Sent at the opening at the earliest and at the arrival at the latest.
		want := false
		for _, s := range stood {
			waited := opened < s[1] && arrived >= s[1] && arrived-s[1] < grace
			inside := arrived < s[1] && asked >= s[1]
			want = want || waited || inside
		}
		if got := d.MayHaveWaited(opened, arrived); got != want {
			t.Fatalf("opened %v, arrived %v, standstills %v: held is %v", opened, arrived, stood, got)
		}
	})
}
