package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const lease = 9 * time.Second

func record(number, incarnation uint32, sequence uint64) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{
		Service: 1, Number: number, Incarnation: incarnation, Sequence: sequence,
		Address: "127.0.0.1:7000", Slots: 4, State: controlpb.TargetState_TARGET_STATE_SERVING,
	}
}

func newDirectory(epoch uint64) *membership.Directory {
	return membership.New(membership.Options{Epoch: epoch, Lease: lease, Hold: time.Minute, MaxRemoved: 4, MaxTargets: 8})
}

func TestNewerRecordWins(t *testing.T) {
	held := record(1, 2, 5)
	tests := []struct {
		name string
		next *controlpb.TargetRecord
		want membership.Result
	}{
		{"same", record(1, 2, 5), membership.Renewed},
		{"newer sequence", record(1, 2, 6), membership.Changed},
		{"older sequence", record(1, 2, 4), membership.Outdated},
		{"new incarnation starts over", record(1, 3, 1), membership.Changed},
		{"old incarnation", record(1, 1, 9), membership.Superseded},
		{"no number", record(0, 1, 9), membership.Invalid},
		{"number too large", record(1<<24, 1, 9), membership.Invalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory(1)
			is.Equal(d.Announce(0, held, membership.Direct), membership.Changed)
			is.Equal(d.Announce(0, test.next, membership.Direct), test.want)
		})
	}
}

func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	d := newDirectory(1)
	d.Announce(0, record(1, 1, 1), membership.Direct)
	d.Announce(0, record(2, 1, 1), membership.Direct)
	d.Announce(5*time.Second, record(1, 1, 1), membership.Direct)
	is.Equal(d.Expire(lease-1), 0)
	before := d.Sequence()
	is.Equal(d.Expire(lease), 1)
	u := d.Update(lease, 1, before, nil)
	is.Equal(u.GetRemoved(), []uint32{2})
	is.Equal(len(u.GetPut()), 0)
	is.Equal(d.Expire(lease+5*time.Second), 1)
	is.Equal(d.Len(), 0)
}

func TestOutdatedRecordDoesNotRenew(t *testing.T) {
	is := is.New(t)
	d := newDirectory(1)
	d.Announce(0, record(1, 1, 5), membership.Direct)
	d.Announce(lease-1, record(1, 1, 4), membership.Direct)
	is.Equal(d.Expire(lease), 1)
}

func TestUnresponsiveHostKeepsTargets(t *testing.T) {
	is := is.New(t)
	b, d := newDirectory(2), newDirectory(1)
	b.Announce(0, record(1, 1, 1), membership.Direct)
	d.Announce(0, record(2, 1, 1), membership.Direct)
	cursor := syncOnce(0, b, d, "control-b", 0)
	is.Equal(d.Expire(lease), 1) // the own agent's lease has ended
	is.Equal(d.Len(), 1)
	is.Equal(d.Expire(2*lease), 0)
	is.Equal(d.Expire(lease+time.Minute), 1) // the hold is over

	b.Expire(lease + time.Minute)
	b.Announce(lease+time.Minute, record(3, 1, 1), membership.Direct)
	cursor = syncOnce(lease+time.Minute, b, d, "control-b", cursor)
	is.Equal(d.Len(), 1)
	b.Expire(2*lease + time.Minute)
	syncOnce(2*lease+time.Minute, b, d, "control-b", cursor)
	is.Equal(d.Len(), 0) // the host is back and has removed it
}

func TestDeltas(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	for n := uint32(1); n <= 3; n++ {
		d.Announce(0, record(n, 1, 1), membership.Direct)
	}
	seen := d.Sequence()
	is.Equal(d.Update(0, 7, seen, nil), nil)
	d.Announce(1, record(2, 1, 2), membership.Direct)
	d.Announce(1, record(1, 1, 1), membership.Direct)
	u := d.Update(1, 7, seen, nil)
	is.Equal(u.GetFull(), false)
	is.Equal(len(u.GetPut()), 1)
	is.Equal(u.GetPut()[0].GetNumber(), uint32(2))
	is.Equal(d.Update(1, 7, u.GetSequence(), nil), nil)

	other := record(9, 1, 1)
	other.Service = 2
	d.Announce(2, other, membership.Direct)
	scoped := d.Update(2, 7, u.GetSequence(), membership.NewScope([]uint32{1}))
	is.Equal(len(scoped.GetPut()), 0)
	is.Equal(scoped.GetSequence(), d.Sequence())
	is.Equal(len(d.Full(2, membership.NewScope([]uint32{2})).GetPut()), 1)
}

func TestFullOnlyWhenComplete(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	d.Announce(0, record(1, 1, 1), membership.Direct)
	is.Equal(d.Update(lease-1, 6, 99, nil).GetFull(), false) // targets may be missing
	is.Equal(len(d.Update(lease-1, 6, 99, nil).GetPut()), 1)
	is.True(d.Update(lease, 6, 99, nil).GetFull())
}

func TestEvictedRemovalsForceFull(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	for n := uint32(1); n <= 5; n++ {
		d.Announce(0, record(n, 1, 1), membership.Direct)
	}
	seen := d.Sequence()
	d.Expire(lease)
	u := d.Update(lease, 7, seen, nil)
	is.True(u.GetFull())
	is.Equal(len(u.GetPut()), 0)
	is.Equal(len(d.Update(lease, 7, seen+1, nil).GetRemoved()), 4)
}

func TestReturnReplacesRemoval(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	d.Announce(0, record(1, 1, 1), membership.Direct)
	seen := d.Sequence()
	d.Expire(lease)
	d.Announce(lease, record(1, 1, 1), membership.Direct)
	u := d.Update(lease, 7, seen, nil)
	is.Equal(len(u.GetRemoved()), 0)
	is.Equal(len(u.GetPut()), 1)
}

func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	now := time.Duration(0)
	unhealthy := func() bool { return d.Full(now, nil).GetPut()[0].GetIll() }
	announce := func(sequence uint64) {
		r := record(1, 1, sequence)
		r.Ill = sequence%2 == 0
		d.Announce(now, r, membership.Direct)
	}
	announce(1)
	is.Equal(unhealthy(), false)
	announce(2)
	is.True(unhealthy()) // changes for the worse are published at once
	announce(3)
	is.Equal(unhealthy(), false) // the first recovery as well
	for s := uint64(4); s <= 7; s++ {
		announce(s)
	}
	is.True(unhealthy()) // recovered, but damped
	before := d.Sequence()
	for ; now < 30*time.Second; now += time.Second {
		announce(7)
		d.Expire(now)
	}
	is.Equal(unhealthy(), false)
	is.Equal(len(d.Update(now, 7, before, nil).GetPut()), 1)
}

func TestDrainIsNeverDamped(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	for s := uint64(1); s <= 20; s++ {
		r := record(1, 1, s)
		if s%2 == 0 {
			r.State = controlpb.TargetState_TARGET_STATE_DRAINING
		}
		d.Announce(0, r, membership.Direct)
		got := d.Full(0, nil).GetPut()[0]
		is.Equal(got.GetState(), r.GetState())
		is.Equal(got.GetIll(), false)
	}
}

func TestAgeGrows(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	r := record(1, 1, 1)
	r.AgeMs = 100
	d.Announce(0, r, membership.Direct)
	is.Equal(d.Full(2*time.Second, nil).GetPut()[0].GetAgeMs(), uint64(2100))
	m, _ := d.Sync(time.Second, 0)
	is.Equal(m.GetRecords()[0].GetAgeMs(), uint64(1100))
	is.Equal(r.GetAgeMs(), uint64(100))
}

func TestOnlyLocalRecordsAreSynced(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	d.Announce(0, record(1, 1, 1), membership.Direct)
	d.Announce(0, record(2, 1, 1), "control-b")
	d.Announce(1, record(1, 1, 1), "control-b") // another host's copy of a local record
	m, _ := d.Sync(1, 0)
	is.Equal(len(m.GetRecords()), 1)
	is.Equal(m.GetRecords()[0].GetNumber(), uint32(1))
	is.Equal(m.GetSummary().GetCount(), uint32(1))
}

func TestDirectoryIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7)
	for n := uint32(1); n <= 8; n++ {
		is.Equal(d.Announce(0, record(n, 1, 1), membership.Direct), membership.Changed)
	}
	is.Equal(d.Announce(0, record(9, 1, 1), membership.Direct), membership.AtCapacity)
	is.Equal(d.Announce(0, record(8, 1, 2), membership.Direct), membership.Changed)
}

func TestInvalidRecords(t *testing.T) {
	is := is.New(t)
	corrupt := map[string]func(*controlpb.TargetRecord){
		"address": func(r *controlpb.TargetRecord) { r.Address = "nonsense" },
		"port":    func(r *controlpb.TargetRecord) { r.Address = "127.0.0.1:0" },
		"slots":   func(r *controlpb.TargetRecord) { r.Slots = 0 },
		"service": func(r *controlpb.TargetRecord) { r.Service = 0 },
		"state":   func(r *controlpb.TargetRecord) { r.State = 0 },
		"name":    func(r *controlpb.TargetRecord) { r.Name = string(make([]byte, 256)) },
	}
	for name, f := range corrupt {
		r := proto.CloneOf(record(1, 1, 1))
		f(r)
		if newDirectory(1).Announce(0, r, membership.Direct) != membership.Invalid {
			t.Error("accepted: bad", name)
		}
	}
	is.Equal(newDirectory(1).Announce(0, record(1, 1, 1), membership.Direct), membership.Changed)
}
