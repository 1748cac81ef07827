package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const retainLost = 20 * time.Second

func newRetainingDirectory(epoch uint64) *membership.Directory {
	return membership.New(membership.Options{Epoch: epoch, Lease: lease, RetainLost: retainLost, Damping: noDamping})
}

// onlyRecord returns the only record of a directory, nil if it has none.
func onlyRecord(t *testing.T, d *membership.Directory, now time.Duration) *controlpb.TargetRecord {
	t.Helper()
	records := d.Full(now, nil).GetPut()
	is.New(t).True(len(records) <= 1)
	if len(records) == 0 {
		return nil
	}
	return records[0]
}

// The end of a lease is no evidence that a target has ended: it may run and hold flows without
// its agent. It stays listed as an unhealthy one for a while.
func TestLostTargetStaysListed(t *testing.T) {
	is := is.New(t)
	d := newRetainingDirectory(1)
	d.Announce(0, record(1, 1, 1), membership.Direct)
	before := d.Sequence()
	is.Equal(d.Expire(lease), 0)
	is.Equal(d.Lost(), []membership.TargetID{{Number: 1, Incarnation: 1}})
	is.Equal(len(d.CountByService()), 0)
	u := d.Update(lease, 1, before, nil)
	is.Equal(len(u.GetRemoved()), 0)
	is.Equal(len(u.GetPut()), 1)
	is.True(u.GetPut()[0].GetLost())
	is.True(u.GetPut()[0].GetIll())
	is.Equal(d.Expire(lease+retainLost-1), 0)
	is.Equal(d.Expire(lease+retainLost), 1)
	is.Equal(len(d.Lost()), 0)
	is.Equal(d.Update(lease+retainLost, 1, u.GetSequence(), nil).GetRemoved(), []uint32{1})
}

func TestLostTargetIsFound(t *testing.T) {
	for _, test := range []struct {
		name string
		next *controlpb.TargetRecord
	}{
		{"the same record", record(1, 1, 1)},
		{"a changed one", record(1, 1, 2)},
		{"a newer incarnation", record(1, 2, 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newRetainingDirectory(1)
			d.Announce(0, record(1, 1, 1), membership.Direct)
			d.Expire(lease)
			is.True(d.Announce(lease+1, test.next, membership.Direct).Accepted())
			is.Equal(len(d.Lost()), 0)
			found := onlyRecord(t, d, lease+1)
			is.True(!found.GetLost())
			is.True(!found.GetIll())
			is.Equal(d.Expire(2*lease), 0) // it has a lease of its own
			d.Expire(2*lease + 1)
			is.Equal(len(d.Lost()), 1)
		})
	}
}

// An outdated announcement neither ends a loss nor replaces the record: the agent learns that a
// newer one is known and continues after it.
func TestOutdatedRecordDoesNotEndLoss(t *testing.T) {
	is := is.New(t)
	d := newRetainingDirectory(1)
	d.Announce(0, record(1, 1, 5), membership.Direct)
	d.Expire(lease)
	is.Equal(d.Announce(lease, record(1, 1, 1), membership.Direct), membership.Outdated)
	is.Equal(d.LatestSequence(1, 1), uint64(5))
	is.Equal(d.LatestSequence(1, 2), uint64(0))
	is.Equal(len(d.Lost()), 1)
	is.Equal(d.Announce(lease, record(1, 1, 6), membership.Direct), membership.Changed)
	is.Equal(len(d.Lost()), 0)
}

// Other hosts list a target as lost as soon as the one that it announced to does, and as found
// as soon as it announces itself anywhere.
func TestLossReachesOtherHosts(t *testing.T) {
	is := is.New(t)
	a, b := newRetainingDirectory(1), newRetainingDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	fromA := syncOnce(0, a, b, "a", 0)
	a.Expire(lease)
	fromA = syncOnce(lease, a, b, "a", fromA)
	is.True(onlyRecord(t, b, lease).GetLost())

	b.Announce(lease+1, record(1, 1, 1), membership.Direct)
	syncOnce(lease+1, b, a, "b", 0)
	syncOnce(lease+1, a, b, "a", fromA)
	is.True(!onlyRecord(t, a, lease+1).GetLost())
	is.True(!onlyRecord(t, b, lease+1).GetLost())
}

// A target that is known to have ended leaves the list at once, a later incarnation stays.
func TestEndedTargetIsNotRetained(t *testing.T) {
	is := is.New(t)
	d := newRetainingDirectory(1)
	d.Announce(0, record(1, 2, 1), membership.Direct)
	d.RemoveLost(1, membership.TargetID{Number: 1, Incarnation: 2}) // it is not lost
	is.Equal(d.Len(), 1)
	d.Expire(lease)
	d.RemoveLost(lease, membership.TargetID{Number: 1, Incarnation: 1})
	is.Equal(d.Len(), 1)
	d.RemoveLost(lease, membership.TargetID{Number: 1, Incarnation: 2})
	is.Equal(d.Len(), 0)
	is.Equal(len(d.Lost()), 0)
	is.Equal(d.Expire(lease+retainLost), 0)
}

// A subscriber that moves between hosts which differ in whether a target is lost gets its state
// from the new one.
func TestDigestsTellLostTargets(t *testing.T) {
	is := is.New(t)
	a, b := newRetainingDirectory(1), newRetainingDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	b.Announce(lease, record(1, 1, 1), membership.Direct)
	var list membership.List
	u, _ := a.Next(lease, membership.NewSubscriber(list.Position(), nil))
	list.Apply(u, time.Now())
	a.Expire(lease)
	for _, step := range []struct {
		from *membership.Directory
		lost bool
	}{{a, true}, {b, false}, {a, true}} {
		u, _ := step.from.Next(lease, membership.NewSubscriber(list.Position(), nil))
		list.Apply(u, time.Now())
		records, _ := list.Records()
		is.Equal(len(records), 1)
		is.Equal(records[0].GetLost(), step.lost)
	}
}

// A host that has just started learns which targets are lost: its complete list would else say
// that they are gone, and entry hosts would reset their flows.
func TestStartedHostLearnsOfLostTargets(t *testing.T) {
	is := is.New(t)
	a := newRetainingDirectory(1)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	a.Announce(0, record(2, 1, 1), membership.Direct)
	a.Announce(1, record(2, 1, 1), membership.Direct)
	a.Expire(lease)
	started := membership.New(membership.Options{Epoch: 2, Start: lease, Lease: lease, RetainLost: retainLost, Damping: noDamping})
	syncOnce(lease, a, started, "a", 0)
	is.Equal(started.Lost(), []membership.TargetID{{Number: 1, Incarnation: 1}})
	is.True(started.Full(2*lease, nil).GetPut()[0].GetLost())
	is.True(!started.Full(2*lease, nil).GetPut()[1].GetLost())

	// Once it has removed the target it does not take it again.
	started.RemoveLost(lease, membership.TargetID{Number: 1, Incarnation: 1})
	m, _ := a.Repair(lease, 0, nil)
	started.ApplySync(lease, "a", m)
	is.Equal(len(started.Lost()), 0)
}
