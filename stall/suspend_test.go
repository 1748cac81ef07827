package stall_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/stall"
)

func TestSuspendDetector(t *testing.T) {
	const ms = time.Millisecond
	type observation struct{ monotonic, wall, want time.Duration }
	for name, observations := range map[string][]observation{
		"both advance":                {{0, 500 * ms, 0}, {20 * ms, 520 * ms, 0}, {40 * ms, 540 * ms, 0}},
		"long gap, not suspended":     {{0, 0, 0}, {3000 * ms, 3000 * ms, 0}},
		"suspended":                   {{0, 0, 0}, {20 * ms, 2420 * ms, 2400 * ms}, {40 * ms, 2440 * ms, 0}},
		"suspended twice":             {{0, 0, 0}, {20 * ms, 1020 * ms, 1000 * ms}, {40 * ms, 2040 * ms, 1000 * ms}},
		"wall clock slewed":           {{0, 0, 0}, {20 * ms, 21 * ms, 0}, {40 * ms, 42 * ms, 0}},
		"wall clock steps back":       {{0, 0, 0}, {20 * ms, -5000 * ms, 0}, {40 * ms, -4980 * ms, 0}},
		"suspended after a step back": {{0, 0, 0}, {20 * ms, -5000 * ms, 0}, {40 * ms, -3980 * ms, 1000 * ms}},
		"wall clock steps forward":    {{0, 0, 0}, {20 * ms, time.Hour, time.Hour - 20*ms}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := stall.SuspendDetector{Threshold: 100 * ms}
			for _, l := range observations {
				is.Equal(d.Observe(l.monotonic, l.wall), l.want)
			}
		})
	}
}
