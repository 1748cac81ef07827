package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// syncOnce sends the changes of one directory to another, with a repair if needed, and
// returns the next cursor.
func syncOnce(now time.Duration, from, to *membership.Directory, name membership.Source, cursor uint64) uint64 {
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

func TestEndedLeaseIsSyncedAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	cursor := syncOnce(0, a, b, "a", 0)
	a.Expire(lease)
	m, _ := a.Sync(lease, cursor)
	is.Equal(m.GetEnded(), []uint32{1})
	b.ApplySync(lease, "a", m)
	is.Equal(b.Len(), 0)
}

// An agent announces to two hosts within a lease and stops: neither host keeps the target
// because of the other.
func TestMovedAgentExpires(t *testing.T) {
	is := is.New(t)
	a, c := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	c.Announce(time.Second, record(1, 1, 1), membership.Direct)
	var toA, toC uint64
	for now := time.Second; now <= lease+time.Second; now += time.Second {
		a.Expire(now)
		c.Expire(now)
		toC = syncOnce(now, a, c, "a", toC)
		toA = syncOnce(now, c, a, "c", toA)
	}
	is.Equal(a.Len(), 0)
	is.Equal(c.Len(), 0)
}

func TestMovedAgentStaysKnown(t *testing.T) {
	is := is.New(t)
	a, b, c := newDirectory(1), newDirectory(2), newDirectory(3)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	fromA := syncOnce(0, a, b, "a", 0)
	fromC := uint64(0)
	toA := uint64(0)
	for now := time.Second; now <= 3*lease; now += time.Second {
		c.Announce(now, record(1, 1, 1), membership.Direct)
		a.Expire(now)
		b.Expire(now)
		toA = syncOnce(now, c, a, "c", toA)
		fromA = syncOnce(now, a, b, "a", fromA)
		fromC = syncOnce(now, c, b, "c", fromC)
		is.Equal(b.Len(), 1)
		is.Equal(a.Len(), 1)
	}
	m, _ := a.Sync(3*lease, 0)
	is.Equal(m.GetSummary().GetCount(), uint32(0)) // claimed by the other host
	is.Equal(m.GetLeft(), []uint32{1})
}

func TestLostChangeIsRepaired(t *testing.T) {
	is := is.New(t)
	a := membership.New(membership.Options{Epoch: 1, Lease: lease})
	b := membership.New(membership.Options{Epoch: 2, Lease: lease})
	for n := uint32(1); n <= 640; n++ {
		a.Announce(0, record(n, 1, 1), membership.Direct)
	}
	cursor := syncOnce(0, a, b, "a", 0)
	a.Announce(1, record(7, 1, 2), membership.Direct)
	_, cursor = a.Sync(1, cursor) // lost
	m, cursor := a.Sync(2, cursor)
	is.Equal(len(m.GetRecords()), 0)
	digests := b.ApplySync(2, "a", m).GetDigests()
	is.Equal(len(digests), 64)
	repair, cursor := a.Repair(3, cursor, digests)
	is.Equal(len(repair.GetRecords()), 10) // one bucket of 64
	is.Equal(len(b.ApplySync(3, "a", repair).GetDigests()), 0)
	is.Equal(b.Full(3, nil).GetPut()[6].GetSequence(), uint64(2))
	is.Equal(syncOnce(4, a, b, "a", cursor), cursor)
}

func TestReorderedMessageIsIgnored(t *testing.T) {
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

func TestRestartedHostHasOneLease(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	a.Announce(0, record(2, 1, 1), membership.Direct)
	syncOnce(0, a, b, "a", 0)
	again := membership.New(membership.Options{Epoch: 3, Lease: lease, Start: time.Second})
	cursor := syncOnce(time.Second, again, b, "a", 0)
	is.Equal(b.Len(), 2)
	again.Announce(lease, record(1, 1, 1), membership.Direct)
	syncOnce(lease, again, b, "a", cursor)
	is.Equal(b.Expire(lease+time.Second), 1) // only one agent has announced again
	is.Equal(b.Full(lease, nil).GetPut()[0].GetNumber(), uint32(1))
}

func TestNewerIncarnationEndsClaim(t *testing.T) {
	is := is.New(t)
	a, c := newDirectory(1), newDirectory(2)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	c.Announce(0, record(1, 2, 1), membership.Direct)
	syncOnce(0, c, a, "c", 0)
	m, _ := a.Sync(0, 0)
	is.Equal(m.GetSummary().GetCount(), uint32(0))
	is.Equal(a.Announce(1, record(1, 1, 1), membership.Direct), membership.Superseded)
	is.Equal(a.Full(1, nil).GetPut()[0].GetIncarnation(), uint32(2))
}

// During an upgrade a host may renew its targets by records, without summaries.
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
	all, _ := d.Repair(4*lease, cursor, nil) // such a host replies without digests
	is.Equal(len(all.GetRecords()), 1)
}

// An older incarnation that one host still has reappears when the lease of a newer one on
// another host ends.
func TestOlderIncarnationReappears(t *testing.T) {
	is := is.New(t)
	a, b, c := newDirectory(1), newDirectory(2), newDirectory(3)
	a.Announce(0, record(1, 1, 1), membership.Direct)
	c.Announce(0, record(1, 2, 1), membership.Direct)
	fromC := syncOnce(0, c, b, "c", 0)
	fromA := syncOnce(0, a, b, "a", 0)
	is.Equal(b.Full(0, nil).GetPut()[0].GetIncarnation(), uint32(2))
	c.Expire(lease)
	a.Announce(lease-1, record(1, 1, 1), membership.Direct)
	syncOnce(lease, c, b, "c", fromC)
	syncOnce(lease, a, b, "a", fromA)
	is.Equal(b.Len(), 1)
	is.Equal(b.Full(lease, nil).GetPut()[0].GetIncarnation(), uint32(1))
}

// After an agent has moved to such a host its lease here ends, and the target stays.
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
