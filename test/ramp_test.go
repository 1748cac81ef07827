package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestRampLimitsFlowsOfNewTarget adds a cold target to two warm ones. It gets less than
// half of an even share of new flows in the first quarter of the ramp, and at least that later.
func TestRampLimitsFlowsOfNewTarget(t *testing.T) {
	is := is.New(t)
	const flows, rounds = 120, 5
	const half = flows / 3 / 2 // half of an even share of three targets
	d := deploy(t, 1)
	registered := time.Now()
	processtest.Eventually(t, "the other targets are old", func() bool { return time.Since(registered) >= 10*time.Second })
	for round := range rounds {
		ramp := time.Since(registered)
		policy := fmt.Sprintf("ramp_ms = %d\n", ramp.Milliseconds())
		d.WaitActive(d.Patch(d.lodgement.PutSection()+policy), d.entryNames()...)
		launched := time.Now()
		cold := d.lodgement.StartTarget(fmt.Sprint("cold-", round))
		d.waitCandidates(t, len(d.all())+1)
		first := d.countFlowsTo(cold, flows)
		if time.Since(launched) > ramp/4 {
			cold.DrainAgent() // no longer cold
			d.waitCandidates(t, len(d.all()))
			continue
		}
		t.Logf("ramp %v: %d of %d flows", ramp, first, flows)
		is.True(first < half)
		processtest.Eventually(t, "the target gets its share", func() bool {
			return d.countFlowsTo(cold, flows) >= half
		})
		return
	}
	t.Fatal("no target was observed while it was cold")
}
