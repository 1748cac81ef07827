package loadgen

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestImbalance(t *testing.T) {
	is := is.New(t)
	targets := []string{"a", "b"}
	windows := []map[string]int{
		{"a": 10, "b": 10},
		{"a": 15, "b": 5},
		nil,
		{"a": 1}, // too few answered requests
	}
	got := imbalance(map[string]int{"a": 26, "b": 15}, windows, targets)
	is.Equal(got, Imbalance{Overall: 26 * 2.0 / 41, P99: 1.5, Windows: 2})
	is.Equal(imbalance(nil, nil, nil), Imbalance{})
}

func TestIdleTargetLowersMean(t *testing.T) {
	is := is.New(t)
	targets := allTargets([]string{"a", "b"}, map[string]int{"a": 4})
	is.Equal(maxOverMean(map[string]int{"a": 4}, targets), 2.0)
}

func TestCompareRuns(t *testing.T) {
	is := is.New(t)
	is.Equal(compareRuns(keyOutcome{lastClass: ClassAnswered}, 1), Doubled{Keys: 1})
	is.Equal(compareRuns(keyOutcome{lastClass: ClassAnswered}, 2), Doubled{Keys: 1, Doubled: 1})
	is.Equal(compareRuns(keyOutcome{lastClass: ClassNotRun}, 1), Doubled{Keys: 1, DeniedFalsely: 1})
	is.Equal(compareRuns(keyOutcome{lastClass: ClassAnswered}, 0), Doubled{Keys: 1, AnsweredUnrun: 1})
	is.Equal(compareRuns(keyOutcome{lastClass: ClassUnknown}, 0), Doubled{Keys: 1})
}

func TestOrderedWindows(t *testing.T) {
	is := is.New(t)
	got := orderedWindows(map[int64]map[string]int{2: {"a": 1}})
	is.Equal(len(got), 3)
	is.Equal(got[2]["a"], 1)
}

func TestFlowsOfFailedHostsAreCountedSeparately(t *testing.T) {
	is := is.New(t)
	o := Options{Duration: time.Second, HostFailed: func(target string) bool { return target == "a" }}.withDefaults()
	d := &dialer{opts: o, rec: newRecorder(o)}
	for _, target := range []string{"a/1/1", "b/2/1", ""} {
		f := &flow{}
		f.setTarget(target)
		d.recordBroken(f, reasonLost)
		d.recordBroken(f, reasonLost) // counted once
	}
	report := d.rec.report()
	is.Equal(report.BrokenFlows, 2)
	is.Equal(report.FlowsLostWithHost, 1)
}

func TestRunCountOption(t *testing.T) {
	is := is.New(t)
	runs := map[string]int{"once": 1, "twice": 2}
	o := Options{Duration: time.Second, RunCount: func(key string) int { return runs[key] }}.withDefaults()
	g := &generator{opts: o, rec: newRecorder(o)}
	g.rec.keyOutcomes = []keyOutcome{
		{key: "once", lastClass: ClassAnswered},
		{key: "twice", lastClass: ClassAnswered},
		{key: "once", lastClass: ClassNotRun},
		{key: "never", lastClass: ClassNotRun},
	}
	report := &Report{}
	is.NoErr(g.checkRuns(t.Context(), report))
	is.Equal(*report.Doubled, Doubled{Keys: 4, Doubled: 1, DeniedFalsely: 1})
}
