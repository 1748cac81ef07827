package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/routing"
)

func TestUnlistedIncarnationsAreIgnored(t *testing.T) {
	is := is.New(t)
	loads := routing.NewLoadReports(nil, targets(3))
	is.True(!loads.Record(4, 1, routing.Report{}, start)) // not on the list
	is.True(!loads.Record(3, 2, routing.Report{}, start)) // another incarnation
	is.Equal(loads.Len(), 3)
}

func TestReportsCarryOverToNextList(t *testing.T) {
	is := is.New(t)
	list := targets(2)
	before := routing.NewLoadReports(nil, list)
	report := routing.Report{Load: 1<<16 - 1, Draining: true, Unhealthy: true}
	is.True(before.Record(1, 1, report, start))
	is.True(before.Record(2, 1, report, start))

	list[1].Incarnation = 2
	after := routing.NewLoadReports(before, list)
	got, ok := after.Latest(1, 1, start)
	is.True(ok)
	is.Equal(got, report)
	_, ok = after.Latest(2, 2, start)
	is.True(!ok) // a restarted target has no report
	_, ok = after.Latest(2, 1, start)
	is.True(!ok)

	// A report recorded in the previous list is visible in the next one.
	is.True(before.Record(1, 1, routing.Report{Load: 5}, start))
	got, ok = after.Latest(1, 1, start)
	is.True(ok)
	is.Equal(got.Load, uint16(5))
}

func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	loads := routing.NewLoadReports(nil, targets(1))
	_, ok := loads.Latest(1, 1, start)
	is.True(!ok) // none yet
	loads.Record(1, 1, routing.Report{}, start)
	_, ok = loads.Latest(1, 1, start+routing.MaxReportAge)
	is.True(ok)
	_, ok = loads.Latest(1, 1, start+routing.MaxReportAge+time.Millisecond)
	is.True(!ok)
}

func TestConcurrentUse(t *testing.T) {
	list := targets(7)
	table, loads := build(nil, list)
	var workers conc.WaitGroup
	for worker := range 4 {
		workers.Go(func() {
			for i, hash := range hashes(2000) {
				loads.Record(uint32(1+i%7), 1, routing.Report{Load: uint16(worker)}, start)
				table.Choose(hash, start)
				if i%100 == 0 {
					loads.Decay()
					next := routing.NewLoadReports(loads, list)
					routing.NewTable(nil, service, list, next, start)
				}
			}
		})
	}
	workers.Wait()
}
