package incarnation_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/incarnation"
)

func report(id string, started int64, sequence uint64) incarnation.Report {
	return incarnation.Report{Instance: incarnation.Instance{ID: id, StartedMS: started}, Sequence: sequence, Slots: 4}
}

func leaving(r incarnation.Report) incarnation.Report { r.Draining = true; return r }
func gone(r incarnation.Report) incarnation.Report    { r.Stopped = true; return r }

func TestTake(t *testing.T) {
	for _, tt := range []struct {
		name    string
		before  []incarnation.Report
		next    incarnation.Report
		want    incarnation.Result
		leaving bool
		gone    bool
	}{
		{"first of all", nil, report("a", 100, 1), incarnation.NewInstance, false, false},
		{"next", []incarnation.Report{report("a", 100, 1)}, report("a", 100, 2), incarnation.Update, false, false},
		{"repeated", []incarnation.Report{report("a", 100, 2)}, report("a", 100, 2), incarnation.Stale, false, false},
		{"overtaken by its own drain", []incarnation.Report{leaving(report("a", 100, 3))}, report("a", 100, 2), incarnation.Stale, true, false},
		{"never back from a drain", []incarnation.Report{leaving(report("a", 100, 3))}, report("a", 100, 4), incarnation.Update, true, false},
		{"the same name again, counting anew", []incarnation.Report{leaving(report("a", 100, 9))}, report("a", 200, 1), incarnation.NewInstance, false, false},
		{"a drain of the life before", []incarnation.Report{report("a", 200, 1)}, leaving(report("a", 100, 50)), incarnation.PreviousInstance, false, false},
		{"another name later", []incarnation.Report{report("a", 100, 9)}, report("b", 200, 1), incarnation.NewInstance, false, false},
		{"an earlier one after it", []incarnation.Report{report("b", 200, 1)}, report("a", 100, 10), incarnation.PreviousInstance, false, false},
		{"gone, without a sequence number", []incarnation.Report{report("a", 100, 9)}, gone(report("a", 100, 0)), incarnation.Update, false, true},
		{"alive after it was gone", []incarnation.Report{gone(report("a", 100, 9))}, report("a", 100, 10), incarnation.StoppedInstance, false, true},
		{"the life before is gone", []incarnation.Report{report("a", 200, 1)}, gone(report("a", 100, 0)), incarnation.PreviousInstance, false, false},
		{"no start told, another name", []incarnation.Report{report("a", 0, 9)}, report("b", 0, 1), incarnation.NewInstance, false, false},
		{"no start told, delayed report of the life before", []incarnation.Report{report("a", 0, 9), report("b", 0, 1)}, leaving(report("a", 0, 10)), incarnation.PreviousInstance, false, false},
		{"no start told, the wrong order at first", []incarnation.Report{report("b", 0, 3), report("a", 0, 9), report("b", 0, 4)}, report("b", 0, 5), incarnation.NewInstance, false, false},
		{"no start told, two delayed reports around one of the present life",
			[]incarnation.Report{report("a", 0, 9), report("b", 0, 1), report("a", 0, 10), report("b", 0, 2)}, report("a", 0, 11), incarnation.PreviousInstance, false, false},
		{"no start told, the life before is gone", []incarnation.Report{report("a", 0, 9), report("b", 0, 1)}, gone(report("a", 0, 0)), incarnation.PreviousInstance, false, false},
		{"start told before, not now", []incarnation.Report{report("a", 100, 9)}, leaving(report("a", 0, 10)), incarnation.Unordered, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var tracker incarnation.Tracker
			for _, r := range tt.before {
				tracker.Apply(r)
			}
			is.Equal(tracker.Apply(tt.next), tt.want)
			current, known := tracker.Current()
			is.True(known)
			is.Equal(current.Draining, tt.leaving)
			is.Equal(current.Stopped, tt.gone)
		})
	}
}

// The time of day may step back between two lives: the later one tells the earlier start.
// It is believed once the life known is silent and a second report of it comes.
func TestClockThatStepsBack(t *testing.T) {
	is := is.New(t)
	var tracker incarnation.Tracker
	tracker.Apply(report("a", 5000, 9))
	is.Equal(tracker.Apply(report("a", 200, 1)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 2)), incarnation.PreviousInstance) // the life known may live
	tracker.MarkUnresponsive()
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.PreviousInstance)  // a copy
	is.Equal(tracker.Apply(report("a", 100, 50)), incarnation.PreviousInstance) // of another life
	is.Equal(tracker.Apply(report("a", 200, 4)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 5)), incarnation.NewInstance)
	is.Equal(tracker.Apply(report("a", 5000, 10)), incarnation.NewInstance) // it was right at first
}

// A life that is heard again after its silence is the one that lives.
func TestSilenceThatEnds(t *testing.T) {
	is := is.New(t)
	var tracker incarnation.Tracker
	tracker.Apply(report("a", 5000, 9))
	tracker.MarkUnresponsive()
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 5000, 10)), incarnation.Update)
	is.Equal(tracker.Apply(report("a", 200, 4)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 5)), incarnation.PreviousInstance)
}
