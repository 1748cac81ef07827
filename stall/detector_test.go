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
	threshold = time.Second
	grace     = 2 * time.Second
)

func TestMayHaveWaited(t *testing.T) {
	is := is.New(t)
	d := &stall.Detector{Threshold: threshold, Grace: grace}
	is.Equal(d.Observe(5*time.Second), time.Duration(0)) // the first observation
	is.True(!d.MayHaveWaited(0, 5*time.Second))
	is.Equal(d.Observe(6*time.Second), time.Duration(0)) // at the threshold
	is.Equal(d.Observe(9*time.Second), 3*time.Second)
	is.Equal(d.Observe(8*time.Second), time.Duration(0))   // out of order
	is.True(d.MayHaveWaited(6*time.Second, 6*time.Second)) // arrived before the stall
	is.True(d.MayHaveWaited(6*time.Second, 9*time.Second))
	is.True(d.MayHaveWaited(6*time.Second, 9*time.Second+grace-1))
	is.True(!d.MayHaveWaited(6*time.Second, 9*time.Second+grace))
	is.True(!d.MayHaveWaited(9*time.Second, 9*time.Second)) // opened after the stall
	d.Observe(9 * time.Second)
	is.True(d.MayHaveWaited(6*time.Second, 6*time.Second)) // unchanged
}

// drawRun draws the clock observations of a process and its stalls, each as the last
// observation before it and the first one after it.
func drawRun(t *rapid.T) (observations []time.Duration, stalls [][2]time.Duration) {
	now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
	observations = append(observations, now)
	for range rapid.IntRange(1, 60).Draw(t, "observations") {
		previous := now
		if rapid.IntRange(0, 7).Draw(t, "stalls") == 0 {
			now += threshold + time.Duration(rapid.Int64Range(1, int64(10*threshold)).Draw(t, "stall"))
			stalls = append(stalls, [2]time.Duration{previous, now})
		} else {
			now += time.Duration(rapid.Int64Range(0, int64(threshold)).Draw(t, "pause"))
		}
		observations = append(observations, now)
	}
	return observations, stalls
}

// A request may have waited exactly if it arrived before the end of a stall, or within the
// grace after it over a connection that was opened before.
func TestMayHaveWaitedProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observations, stalls := drawRun(t)
		d := &stall.Detector{Threshold: threshold, Grace: grace}
		for _, now := range observations {
			d.Observe(now)
		}
		last := observations[len(observations)-1]
		opened := rapid.SampledFrom(observations).Draw(t, "opened")
		arrived := max(opened, rapid.SampledFrom(observations).Draw(t, "arrived"))
		// It was sent between the opening and the arrival.
		want := false
		for _, s := range stalls {
			waited := opened < s[1] && arrived >= s[1] && arrived-s[1] < grace
			inside := arrived < s[1] && last >= s[1]
			want = want || waited || inside
		}
		if got := d.MayHaveWaited(opened, arrived); got != want {
			t.Fatalf("opened %v, arrived %v, stalls %v: got %v", opened, arrived, stalls, got)
		}
	})
}
