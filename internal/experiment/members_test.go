package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

func TestMembersOverTime(t *testing.T) {
	is := is.New(t)
	var m members
	m.join("a", 0)
	m.join("b", 0)
	m.leave("a", 1500*time.Millisecond)
	m.join("c", 2500*time.Millisecond)
	m.leave("unknown", time.Second)
	for i, want := range [][]string{{"a", "b"}, {"b"}, {"b"}, {"b", "c"}} {
		from := time.Duration(i) * time.Second
		is.Equal(m.during(from, from+time.Second), want)
	}
}

func TestMemberMayComeBack(t *testing.T) {
	is := is.New(t)
	var m members
	m.join("a", 0)
	m.leave("a", time.Second)
	m.join("a", 2*time.Second)
	m.leave("a", 4*time.Second)
	is.Equal(len(m.during(0, time.Second)), 1)
	is.Equal(len(m.during(time.Second, 2*time.Second)), 0)
	is.Equal(len(m.during(2*time.Second, 4*time.Second)), 1)
	is.Equal(len(m.during(3*time.Second, 5*time.Second)), 0)
}

func TestImbalance(t *testing.T) {
	two := members{{target: "a"}, {target: "b"}}
	leaving := members{{target: "a", to: time.Second}, {target: "b"}}
	for _, tt := range []struct {
		name    string
		windows []map[string]int
		members members
		want    loadgen.Imbalance
	}{
		{"nothing", nil, two, loadgen.Imbalance{}},
		{"even", []map[string]int{{"a": 10, "b": 10}}, two, loadgen.Imbalance{Overall: 1, P99: 1, Windows: 1}},
		{"mean and percentile", []map[string]int{{"a": 10, "b": 10}, {"a": 30, "b": 10}}, two,
			loadgen.Imbalance{Overall: 1.25, P99: 1.5, Windows: 2}},
		{"an idle target lowers the mean", []map[string]int{{"a": 20}}, two, loadgen.Imbalance{Overall: 2, P99: 2, Windows: 1}},
		{"too few answers", []map[string]int{{"a": 19}}, two, loadgen.Imbalance{}},
		{"answers of one that left do not count", []map[string]int{{"a": 10, "b": 10}, {"a": 90, "b": 20}}, leaving,
			loadgen.Imbalance{Overall: 1, P99: 1, Windows: 2}},
		{"one that left does not", []map[string]int{{"a": 10, "b": 10}, {"b": 20}}, leaving,
			loadgen.Imbalance{Overall: 1, P99: 1, Windows: 2}},
		{"nobody in service", []map[string]int{{"a": 100}}, nil, loadgen.Imbalance{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(imbalance(tt.windows, time.Second, tt.members), tt.want)
		})
	}
}

func TestImbalanceAfterAStart(t *testing.T) {
	is := is.New(t)
	var m members
	m.join("a", 0)
	_, started := m.firstStart()
	is.True(!started) // who is there when the load begins does not start in the run
	m.join("b", 0)
	m.leave("b", 2*step)
	m.join("d", 9*step)
	m.join("c", 5*step+1)
	first, started := m.firstStart()
	is.True(started)
	is.Equal(first, 6) // the first whole step
	is.Equal(m.since(6*step), members{{target: "a", from: -6 * step}, {target: "d", from: 3 * step}, {target: "c", from: 1 - step}})
	is.Equal(m.since(step)[1], span{target: "b", from: -step, to: step})

	// Before c is there all is even; then a has three times its answers.
	var steps []map[string]int
	for i := range 6 + stepsPerWindow {
		if i < 6 {
			steps = append(steps, map[string]int{"a": 50, "b": 50})
			continue
		}
		steps = append(steps, map[string]int{"a": 15, "c": 5})
	}
	even := serviceCell(&loadgen.Report{Windows: steps}, members{{target: "a"}, {target: "b", to: 6 * step}})
	is.Equal(even.ImbalanceAfterStart, 0.0) // nobody started
	is.Equal(serviceCell(&loadgen.Report{Windows: steps}, m).ImbalanceAfterStart, 1.5)
}

func TestStepsAddUpToWindows(t *testing.T) {
	one := map[string]int{"a": 1, "b": 2}
	is.New(t).Equal(joinSteps([]map[string]int{one, one, one, nil, one}), []map[string]int{{"a": 3, "b": 6}, one})
}
