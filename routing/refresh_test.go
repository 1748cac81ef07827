package routing_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/routing"
)

// A refreshed table equals one that is built at that time.
func TestRefreshMatchesRebuild(t *testing.T) {
	kept, changed, rebuilt := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		policy, list := drawPolicy(t), drawTargets(t)
		if rapid.Bool().Draw(t, "warm") {
			for i := range list {
				list[i].Age = time.Hour
			}
		}
		loads := routing.NewLoadReports(nil, list)
		now := start
		report := func() {
			for _, target := range list {
				if rapid.Bool().Draw(t, "reports") {
					r := routing.Report{Load: rapid.Uint16Range(0, 1_500).Draw(t, "load"), Unhealthy: target.Unhealthy, Draining: target.Draining}
					if rapid.IntRange(0, 9).Draw(t, "health changes") == 0 {
						r.Unhealthy = !r.Unhealthy
					}
					loads.Record(target.Number, target.Incarnation, r, now)
				}
			}
		}
		report()
		table := routing.NewTable(policy, service, list, loads, now)
		for range rapid.IntRange(1, 4).Draw(t, "refreshes") {
			passed := time.Duration(rapid.IntRange(1, 6_000).Draw(t, "passed")) * time.Millisecond
			now += passed
			for i := range list {
				list[i].Age += passed
			}
			if rapid.Bool().Draw(t, "more reports") {
				report()
			}
			want := routing.NewTable(policy, service, list, loads, now)
			got, ok := table.Refresh(now)
			switch {
			case !ok:
				rebuilt++
				got = want
			case !reflect.DeepEqual(got, want):
				t.Fatalf("refreshed %+v, rebuilt %+v", got, want)
			case got == table:
				kept++
			default:
				changed++
			}
			table = got
		}
	})
	t.Logf("kept %d, changed %d, rebuilt %d", kept, changed, rebuilt)
	if kept == 0 || changed == 0 || rebuilt == 0 {
		t.Error("a case was never drawn")
	}
}
