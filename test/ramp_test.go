package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestRampLimitsFlowsOfNewTarget adds a target to two that are past the
// ramp. It gets fewer than half of an even share of the new flows while it has
// passed a quarter of the ramp at most, and more than that later. The ramp is as
// long as the others are old, so that a slow machine only makes it longer.
func TestRampLimitsFlowsOfNewTarget(t *testing.T) {
	is := is.New(t)
	const flows, rounds = 120, 5
	const half = flows / 3 / 2 // of the even share of one of three
	d := deploy(t, 1)
	registered := time.Now()
	processtest.Eventually(t, "the others are old", func() bool { return time.Since(registered) >= 10*time.Second })
	for round := range rounds {
		ramp := time.Since(registered)
		policy := fmt.Sprintf("ramp_ms = %d\n", ramp.Milliseconds())
		d.InForce(d.Patch(d.lodgement.Put()+policy), d.entryNames()...)
		launched := time.Now()
		cold := d.lodgement.StartTarget(fmt.Sprint("cold-", round))
		d.waitCandidates(t, len(d.all())+1)
		first := d.countFlowsTo(cold, flows)
		if time.Since(launched) > ramp/4 {
			cold.StopAgent() // too old by now
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
	t.Fatal("no target was seen while it was cold")
}
