package incarnation_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/incarnation"
)

func report(id string, started int64, sequence uint64) incarnation.Report {
	return incarnation.Report{Instance: incarnation.Instance{ID: id, StartedMS: started}, Sequence: sequence, Slots: 4}
}

func draining(r incarnation.Report) incarnation.Report { r.Draining = true; return r }
func stopped(r incarnation.Report) incarnation.Report  { r.Stopped = true; return r }

func TestApply(t *testing.T) {
	for _, tt := range []struct {
		name     string
		before   []incarnation.Report
		next     incarnation.Report
		want     incarnation.Result
		draining bool
		stopped  bool
	}{
		{"first", nil, report("a", 100, 1), incarnation.NewInstance, false, false},
		{"next", []incarnation.Report{report("a", 100, 1)}, report("a", 100, 2), incarnation.Update, false, false},
		{"repeated", []incarnation.Report{report("a", 100, 2)}, report("a", 100, 2), incarnation.Stale, false, false},
		{"older than a drain", []incarnation.Report{draining(report("a", 100, 3))}, report("a", 100, 2), incarnation.Stale, true, false},
		{"repeated drain", []incarnation.Report{draining(report("a", 100, 3))}, draining(report("a", 100, 3)), incarnation.Stale, true, false},
		{"late drain", []incarnation.Report{report("a", 100, 3)}, draining(report("a", 100, 2)), incarnation.Overtaken, false, false},
		{"repeated stop", []incarnation.Report{stopped(report("a", 100, 9))}, stopped(report("a", 100, 0)), incarnation.Stale, false, true},
		{"no return from a drain", []incarnation.Report{draining(report("a", 100, 3))}, report("a", 100, 4), incarnation.Update, true, false},
		{"restart with the same name", []incarnation.Report{draining(report("a", 100, 9))}, report("a", 200, 1), incarnation.NewInstance, false, false},
		{"drain of the previous instance", []incarnation.Report{report("a", 200, 1)}, draining(report("a", 100, 50)), incarnation.PreviousInstance, false, false},
		{"another name, later start", []incarnation.Report{report("a", 100, 9)}, report("b", 200, 1), incarnation.NewInstance, false, false},
		{"another name, earlier start", []incarnation.Report{report("b", 200, 1)}, report("a", 100, 10), incarnation.PreviousInstance, false, false},
		{"stopped, without a sequence number", []incarnation.Report{report("a", 100, 9)}, stopped(report("a", 100, 0)), incarnation.Update, false, true},
		{"report after the stop", []incarnation.Report{stopped(report("a", 100, 9))}, report("a", 100, 10), incarnation.StoppedInstance, false, true},
		{"stop of the previous instance", []incarnation.Report{report("a", 200, 1)}, stopped(report("a", 100, 0)), incarnation.PreviousInstance, false, false},
		{"no start, another name", []incarnation.Report{report("a", 0, 9)}, report("b", 0, 1), incarnation.NewInstance, false, false},
		{"no start, delayed report of the previous instance", []incarnation.Report{report("a", 0, 9), report("b", 0, 1)}, draining(report("a", 0, 10)), incarnation.PreviousInstance, false, false},
		{"no start, reports out of order", []incarnation.Report{report("b", 0, 3), report("a", 0, 9), report("b", 0, 4)}, report("b", 0, 5), incarnation.NewInstance, false, false},
		{"no start, two delayed reports around one of the current instance",
			[]incarnation.Report{report("a", 0, 9), report("b", 0, 1), report("a", 0, 10), report("b", 0, 2)}, report("a", 0, 11), incarnation.PreviousInstance, false, false},
		{"no start, stop of the previous instance", []incarnation.Report{report("a", 0, 9), report("b", 0, 1)}, stopped(report("a", 0, 0)), incarnation.PreviousInstance, false, false},
		{"start known before, not now", []incarnation.Report{report("a", 100, 9)}, draining(report("a", 0, 10)), incarnation.Unordered, false, false},
		{"stop without a start, of a draining instance", []incarnation.Report{draining(report("a", 100, 9))}, stopped(report("a", 0, 0)), incarnation.StopUnconfirmed, true, false},
		{"stop without a start, of one that does not drain", []incarnation.Report{report("a", 100, 9)}, stopped(report("a", 0, 0)), incarnation.Unordered, false, false},
		{"stop without a start, of another name", []incarnation.Report{draining(report("a", 100, 9))}, stopped(report("b", 0, 0)), incarnation.Unordered, true, false},
		{"stop without a start, after the stop", []incarnation.Report{stopped(draining(report("a", 100, 9)))}, stopped(report("a", 0, 0)), incarnation.Unordered, true, true},
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
			is.Equal(current.Draining, tt.draining)
			is.Equal(current.Stopped, tt.stopped)
		})
	}
}

// Whoever is told that a report was taken relies on its state.
func TestIgnoredReportsAreNotTaken(t *testing.T) {
	is := is.New(t)
	for _, r := range []incarnation.Result{incarnation.NewInstance, incarnation.Update, incarnation.Stale, incarnation.StopUnconfirmed} {
		is.True(r.Taken())
	}
	for _, r := range []incarnation.Result{incarnation.Overtaken, incarnation.PreviousInstance, incarnation.StoppedInstance, incarnation.Unordered} {
		is.True(!r.Taken())
	}
}

// A notice of the stop without a start may be a delayed one of an earlier instance of that
// name. It is confirmed by silence, not if the instance reports again or another one starts.
func TestConfirmStop(t *testing.T) {
	is := is.New(t)
	var tracker incarnation.Tracker
	tracker.Apply(draining(report("a", 100, 9)))
	is.True(!tracker.ConfirmStop()) // nothing to confirm
	tracker.Apply(stopped(report("a", 0, 0)))
	tracker.Apply(report("a", 100, 10))
	is.True(!tracker.ConfirmStop()) // it has reported since
	tracker.Apply(stopped(report("a", 0, 0)))
	is.Equal(tracker.Apply(report("a", 200, 1)), incarnation.NewInstance)
	is.True(!tracker.ConfirmStop()) // another instance has started
	tracker.Apply(draining(report("a", 200, 2)))
	tracker.Apply(stopped(report("a", 0, 0)))
	is.True(tracker.ConfirmStop())
	current, _ := tracker.Current()
	is.True(current.Stopped)
	is.True(!tracker.ConfirmStop())
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.StoppedInstance)
}

// The wall clock may step back between two instances. The later one is accepted once the
// current one is unresponsive and a second report has arrived.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	var tracker incarnation.Tracker
	tracker.Apply(report("a", 5000, 9))
	is.Equal(tracker.Apply(report("a", 200, 1)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 2)), incarnation.PreviousInstance) // the current one may still run
	tracker.MarkUnresponsive()
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.PreviousInstance)  // a duplicate
	is.Equal(tracker.Apply(report("a", 100, 50)), incarnation.PreviousInstance) // another instance
	is.Equal(tracker.Apply(report("a", 200, 4)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 5)), incarnation.NewInstance)
	is.Equal(tracker.Apply(report("a", 5000, 10)), incarnation.NewInstance) // the first one was running
}

// An instance that reports again after it was unresponsive stays the current one.
func TestUnresponsiveInstanceReturns(t *testing.T) {
	is := is.New(t)
	var tracker incarnation.Tracker
	tracker.Apply(report("a", 5000, 9))
	tracker.MarkUnresponsive()
	is.Equal(tracker.Apply(report("a", 200, 3)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 5000, 10)), incarnation.Update)
	is.Equal(tracker.Apply(report("a", 200, 4)), incarnation.PreviousInstance)
	is.Equal(tracker.Apply(report("a", 200, 5)), incarnation.PreviousInstance)
}
