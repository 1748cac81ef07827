package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/placement"
)

const (
	unknown  = configpb.RouteHistory_ROUTE_HISTORY_UNKNOWN
	recorded = configpb.RouteHistory_ROUTE_HISTORY_RECORDED
	complete = configpb.RouteHistory_ROUTE_HISTORY_COMPLETE
)

// Guards against resets of flows at services that the configuration does not list: those that
// routes had before control hosts recorded any.
func TestHistoryKnown(t *testing.T) {
	const age = 10 * time.Minute
	type table struct {
		recorded configpb.RouteHistory
		at       time.Duration
	}
	for name, tt := range map[string]struct {
		tables []table
		at     time.Duration
		want   bool
	}{
		"no table":                             {nil, time.Hour, false},
		"recorded from the first table":        {[]table{{complete, time.Minute}}, time.Minute, true},
		"not recorded":                         {[]table{{unknown, 0}}, time.Hour, false},
		"since less than the age of flows":     {[]table{{recorded, time.Minute}}, age, false},
		"since the age of flows":               {[]table{{recorded, time.Minute}, {recorded, 2 * time.Minute}}, age + time.Minute, true},
		"interrupted by an earlier release":    {[]table{{recorded, 0}, {unknown, age}, {recorded, age + time.Second}}, age + time.Minute, false},
		"from a control host that knows less":  {[]table{{complete, 0}, {recorded, age}}, age + time.Minute, false},
		"from a control host that knows more":  {[]table{{recorded, 0}, {complete, time.Second}}, time.Second, true},
		"again from one that recorded nothing": {[]table{{complete, 0}, {unknown, time.Second}}, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := placement.NewHistory(age)
			for _, table := range tt.tables {
				h.Observe(table.recorded, table.at)
			}
			is.New(t).Equal(h.Known(tt.at), tt.want)
		})
	}
}
