package soak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
	"eelgrasswharf.example/eelgrasswharf/soak"
)

func TestMain(m *testing.M) { processtest.Main(m) }

// seeds are played by each test run, for the length that shows their faults. Seeds that
// ever broke a promise stay here, each with a line on its cause.
var seeds = []struct {
	seed   uint64
	length time.Duration
}{
	{1, 6 * time.Second},
	// An entry host that was frozen reset flows by what it knew before.
	{8, 15 * time.Second},
	// The stand-in took a late copy of an opening for a new flow.
	{31, 15 * time.Second},
	// An entry host bound a flow to a target that was offered it and never answered.
	{54, 15 * time.Second},
	// An agent asked its target for a flow that the caller had opened elsewhere.
	{32, 15 * time.Second},
}

// TestSeeds plays a few seconds of faults. How long service takes to be back is no
// measure here, since other tests run beside it.
func TestSeeds(t *testing.T) {
	for _, s := range seeds {
		o := soak.Options{
			Binary: processtest.Binary(t), Dir: t.TempDir(), Seed: s.seed,
			Length: s.length, TimeoutMargin: time.Minute,
		}
		for range soak.RequiredIPs {
			o.IPs = append(o.IPs, loopback.Host(t))
		}
		result, err := soak.Run(t.Context(), o)
		is := is.New(t)
		is.NoErr(err)
		for _, v := range result.Violations {
			t.Errorf("seed %d: %s", s.seed, v)
		}
		t.Logf("seed %d: %+v", s.seed, *result)
		is.True(result.Faults > 0)
		is.True(result.Served > 0)
		is.True(result.Changes > 0)
		is.True(result.Reads > 0)
	}
}
