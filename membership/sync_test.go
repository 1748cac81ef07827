package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// pass tells one directory what another one hears, with a repair if need be,
// and returns the next cursor.
func pass(now time.Duration, from, to *membership.Directory, name membership.Source, cursor uint64) uint64 {
	m, next := from.Sync(now, cursor)
	if digests := to.ApplySync(now, name, m).GetDigests(); len(digests) > 0 {
		m, next = from.Repair(now, next, digests)
		to.ApplySync(now, name, m)
	}
	return next
}

func TestSummaryRenewsAll(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory(1), newDirectory(2)
	cursor := uint64(0)
	for now := time.Duration(0); now < 10*lease; now += lease / 3 {
		for n := uint32(1); n <= 5; n++ {
			a.Announce(now, record(n, 1, 1), membership.Direct)
		}
		m, next := a.Sync(now, cursor)
		is.Equal(len(m.GetRecords()) > 0, now == 0) // records once, then summaries only
		is.Equal(len(b.ApplySync(now, "a", m).GetDigests()), 0)
		cursor = next
		is.Equal(b.Expire(now), 0)
		is.Equal(b.Len(), 5)
	}
}

func TestEndedLeaseIsPassedOnAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	cursor := pass(0, a, b, "a", 0)
	a.Expire(lease)
	m, _ := a.Sync(lease, cursor)
	is.Equal(m.GetEnded(), []uint32{1})
	b.ApplySync(lease, "a", m)
	is.Equal(b.Len(), 0)
}

// TestAgentThatMovedIsNotKeptByHearsay has an agent announce to two hosts
// within a lease and die: neither host may keep it for the other's sake.
func TestAgentThatMovedIsNotKeptByHearsay(t *testing.T) {
	is := is.New(t)
	a, c := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	c.Announce(time.Second, record(1, 1, 1), membership.Direct)
	var toA, toC uint64
	for now := time.Second; now <= lease+time.Second; now += time.Second {
		a.Expire(now)
		c.Expire(now)
		toC = pass(now, a, c, "a", toC)
		toA = pass(now, c, a, "c", toA)
	}
	is.Equal(a.Len(), 0)
	is.Equal(c.Len(), 0)
}

func TestMovedAgentIsHeldThroughout(t *testing.T) {
	is := is.New(t)
	a, b, c := newDirectory(1), newDirectory(2), newDirectory(3)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	fromA := pass(0, a, b, "a", 0)
	fromC := uint64(0)
	toA := uint64(0)
	for now := time.Second; now <= 3*lease; now += time.Second {
		c.Announce(now, record(1, 1, 1), membership.Direct)
		a.Expire(now)
		b.Expire(now)
		toA = pass(now, c, a, "c", toA)
		fromA = pass(now, a, b, "a", fromA)
		fromC = pass(now, c, b, "c", fromC)
		is.Equal(b.Len(), 1)
		is.Equal(a.Len(), 1)
	}
	m, _ := a.Sync(3*lease, 0)
	is.Equal(m.GetSummary().GetCount(), uint32(0)) // it is the other host's now
	is.Equal(m.GetLeft(), []uint32{1})
}

func TestLostChangeIsRepairedByPart(t *testing.T) {
	is := is.New(t)
	a := membership.New(membership.Options{Epoch: 1, Lease: lease})
	b := membership.New(membership.Options{Epoch: 2, Lease: lease})
	for n := uint32(1); n <= 640; n++ {
		a.Announce(0, record(n, 1, 1), membership.Direct)
	}
	cursor := pass(0, a, b, "a", 0)
	a.Announce(1, record(7, 1, 2), membership.Direct)
	_, cursor = a.Sync(1, cursor) // lost, and not made up for
	m, cursor := a.Sync(2, cursor)
	is.Equal(len(m.GetRecords()), 0)
	digests := b.ApplySync(2, "a", m).GetDigests()
	is.Equal(len(digests), 64)
	repair, cursor := a.Repair(3, cursor, digests)
	is.Equal(len(repair.GetRecords()), 10) // one part in 64
	is.Equal(len(b.ApplySync(3, "a", repair).GetDigests()), 0)
	is.Equal(b.Full(3, nil).GetPut()[6].GetSequence(), uint64(2))
	is.Equal(pass(4, a, b, "a", cursor), cursor)
}

func TestOvertakenMessageIsIgnored(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	old, cursor := a.Sync(0, 0)
	a.Expire(lease)
	m, _ := a.Sync(lease, cursor)
	b.ApplySync(lease, "a", m)
	is.Equal(len(b.ApplySync(lease, "a", old).GetDigests()), 0)
	is.Equal(b.Len(), 0)
}

func TestRestartedHostGetsALeaseToHearItsAgents(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	a.Announce(0, record(2, 1, 1), membership.Direct)
	pass(0, a, b, "a", 0)
	again := membership.New(membership.Options{Epoch: 3, Lease: lease, Start: time.Second})
	cursor := pass(time.Second, again, b, "a", 0)
	is.Equal(b.Len(), 2)
	again.Announce(lease, record(1, 1, 1), membership.Direct)
	pass(lease, again, b, "a", cursor)
	is.Equal(b.Expire(lease+time.Second), 1) // one agent has come back, one has not
	is.Equal(b.Full(lease, nil).GetPut()[0].GetNumber(), uint32(1))
}

func TestNewerProcessElsewhereEndsTheClaim(t *testing.T) {
	is := is.New(t)
	a, c := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	c.Announce(0, record(1, 2, 1), membership.Direct)
	pass(0, c, a, "c", 0)
	m, _ := a.Sync(0, 0)
	is.Equal(m.GetSummary().GetCount(), uint32(0))
	is.Equal(a.Announce(1, record(1, 1, 1), membership.Direct), membership.Superseded)
	is.Equal(a.Full(1, nil).GetPut()[0].GetIncarnation(), uint32(2))
}

// TestHostWithoutSummaries takes the messages of a host that renews with
// records only, as during an upgrade.
func TestHostWithoutSummaries(t *testing.T) {
	is := is.New(t)
	d := newDirectory(1)
	records := &controlpb.DirectorySync{Records: []*controlpb.TargetRecord{record(1, 1, 1)}}
	for now := time.Duration(0); now < 3*lease; now += lease / 3 {
		d.ApplySync(now, "old", proto.CloneOf(records))
		is.Equal(d.Expire(now), 0)
		is.Equal(d.Len(), 1)
	}
	is.Equal(d.Expire(4*lease), 1)
	d.Announce(4*lease, record(2, 1, 1), membership.Direct)
	_, cursor := d.Sync(4*lease, 0)
	all, _ := d.Repair(4*lease, cursor, nil) // such a host answers no digests
	is.Equal(len(all.GetRecords()), 1)
}

// TestOlderProcessComesBackToLight has an older process that one host still
// hears, while a newer one elsewhere hides it and ends.
func TestOlderProcessComesBackToLight(t *testing.T) {
	is := is.New(t)
	a, b, c := newDirectory(1), newDirectory(2), newDirectory(3)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	c.Announce(0, record(1, 2, 1), membership.Direct)
	fromC := pass(0, c, b, "c", 0)
	fromA := pass(0, a, b, "a", 0)
	is.Equal(b.Full(0, nil).GetPut()[0].GetIncarnation(), uint32(2))
	c.Expire(lease)
	a.Announce(lease-1, record(1, 1, 1), membership.Direct)
	pass(lease, c, b, "c", fromC)
	pass(lease, a, b, "a", fromA)
	is.Equal(b.Len(), 1)
	is.Equal(b.Full(lease, nil).GetPut()[0].GetIncarnation(), uint32(1))
}

// TestAgentMovesToHostWithoutSummaries has an agent go over to such a host:
// its lease here ends in time, and the target lives on.
func TestAgentMovesToHostWithoutSummaries(t *testing.T) {
	is := is.New(t)
	d := newDirectory(1)
	d.Announce(0, record(1, 1, 1), membership.Direct)
	records := &controlpb.DirectorySync{Records: []*controlpb.TargetRecord{record(1, 1, 1)}}
	for now := lease / 3; now < 3*lease; now += lease / 3 {
		d.ApplySync(now, "old", proto.CloneOf(records))
		is.Equal(d.Expire(now), 0)
		m, _ := d.Sync(now, 0)
		is.Equal(m.GetSummary().GetCount() == 0, now >= lease)
	}
	is.Equal(d.Expire(5*lease), 1)
}
