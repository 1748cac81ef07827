package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// A target early on its ramp that has sent no report is chosen according to the
// weights.
func TestWeightsApplyToTargetWithoutReport(t *testing.T) {
	for _, tt := range []struct {
		name   string
		policy *configpb.Policy
		// answers is set if the target answers each flow before the next one.
		answers bool
		// Bounds of its share, in percent of that of a full target.
		least, most int
	}{
		{"imbalance weighs more", &configpb.Policy{BrokenFlowWeight: 1, ImbalanceWeight: 4}, true, 60, 90},
		{"broken flows weigh more", &configpb.Policy{BrokenFlowWeight: 4, ImbalanceWeight: 1}, true, 0, 0},
		{"no replies", &configpb.Policy{BrokenFlowWeight: 1, ImbalanceWeight: 4}, false, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const n, flows, ramp = 8, 10_000, 10 * time.Second
			list := targets(n)
			list[0].Age = ramp / 4
			loads := routing.NewLoadReports(nil, list)
			recordReports := func() {
				for number := uint32(2); number <= n; number++ {
					loads.Record(number, 1, routing.Report{Load: 600}, start)
				}
			}
			recordReports()
			table := routing.NewTable(tt.policy, service, list, loads, start)
			got := 0
			for _, hash := range hashes(flows) {
				if choice, _ := table.Choose(hash, start); choice.Target.Number == 1 {
					got++
				}
				recordReports()
				if tt.answers {
					loads.Decay() // one unanswered flow becomes none
				}
			}
			share := got * 100 / (flows * 2 / n)
			t.Logf("share %d %%", share)
			is.True(share >= tt.least)
			is.True(share <= tt.most)
		})
	}
}
