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
		{"a": 1}, // too few to count
	}
	got := imbalance(map[string]int{"a": 26, "b": 15}, windows, targets)
	is.Equal(got, Imbalance{Overall: 26 * 2.0 / 41, P99: 1.5, Windows: 2})
	is.Equal(imbalance(nil, nil, nil), Imbalance{})
}

func TestIdleTargetLowersTheMean(t *testing.T) {
	is := is.New(t)
	targets := allTargets([]string{"a", "b"}, map[string]int{"a": 4})
	is.Equal(maxOverMean(map[string]int{"a": 4}, targets), 2.0)
}

func TestJudge(t *testing.T) {
	is := is.New(t)
	is.Equal(judge(keyFate{told: ClassAnswered}, 1), Doubled{Keys: 1})
	is.Equal(judge(keyFate{told: ClassAnswered}, 2), Doubled{Keys: 1, Doubled: 1})
	is.Equal(judge(keyFate{told: ClassNotRun}, 1), Doubled{Keys: 1, DeniedFalsely: 1})
	is.Equal(judge(keyFate{told: ClassAnswered}, 0), Doubled{Keys: 1, AnsweredUnrun: 1})
	is.Equal(judge(keyFate{told: ClassUnknown}, 0), Doubled{Keys: 1})
}

func TestOrderedWindows(t *testing.T) {
	is := is.New(t)
	got := orderedWindows(map[int64]map[string]int{2: {"a": 1}})
	is.Equal(len(got), 3)
	is.Equal(got[2]["a"], 1)
}

func TestFlowsOfFailedHostsAreCountedApart(t *testing.T) {
	is := is.New(t)
	o := Options{Duration: time.Second, HostFailed: func(target string) bool { return target == "a" }}.withDefaults()
	d := &dialer{opts: o, rec: newRecorder(o)}
	for _, target := range []string{"a/1/1", "b/2/1", ""} {
		f := &flow{}
		f.answeredBy(target)
		d.breakFlow(f, reasonLost)
		d.breakFlow(f, reasonLost) // counts once
	}
	report := d.rec.report()
	is.Equal(report.BrokenFlows, 2)
	is.Equal(report.FlowsLostWithHost, 1)
}

func TestRunsAreAskedOfTheOptions(t *testing.T) {
	is := is.New(t)
	runs := map[string]int{"once": 1, "twice": 2}
	o := Options{Duration: time.Second, RunCount: func(key string) int { return runs[key] }}.withDefaults()
	g := &generator{opts: o, rec: newRecorder(o)}
	g.rec.fates = []keyFate{
		{key: "once", told: ClassAnswered},
		{key: "twice", told: ClassAnswered},
		{key: "once", told: ClassNotRun},
		{key: "never", told: ClassNotRun},
	}
	report := &Report{}
	is.NoErr(g.checkRuns(t.Context(), report))
	is.Equal(*report.Doubled, Doubled{Keys: 4, Doubled: 1, DeniedFalsely: 1})
}
