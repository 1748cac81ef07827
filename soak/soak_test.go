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

// seeds lists the runs of TestSeeds. The comments name the failure that a run guards
// against.
var seeds = []struct {
	seed   uint64
	length time.Duration
}{
	{1, 6 * time.Second},
	// An entry host that was frozen resets flows by outdated state.
	{8, 15 * time.Second},
	// The stand-in treats a late duplicate of an opening as a new flow.
	{31, 15 * time.Second},
	// An entry host binds a flow to a target that never replies to the opening.
	{54, 15 * time.Second},
	// An agent queries its target for a flow that is open elsewhere.
	{32, 15 * time.Second},
	// A restarted agent announces records that count as outdated, or denies the flows of its
	// target.
	{4, 20 * time.Second},
}

// TestSeeds runs each seed without violations. The margin allows for tests that run
// concurrently.
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
		for _, missing := range result.Missing() {
			t.Errorf("seed %d: %s", s.seed, missing)
		}
		is.True(result.Faults > 0)
		is.True(result.Served > 0)
		is.True(result.Changes > 0)
		is.True(result.Reads > 0)
	}
}
