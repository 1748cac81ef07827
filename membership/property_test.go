package membership_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// reader applies the updates of a directory like a subscriber.
type reader struct {
	epoch, sequence uint64
	records         map[uint32]*controlpb.TargetRecord
}

func (r *reader) follow(now time.Duration, d *membership.Directory) {
	u := d.Update(now, r.epoch, r.sequence, nil)
	if u == nil {
		return
	}
	if u.GetFull() {
		r.records = map[uint32]*controlpb.TargetRecord{}
	}
	for _, p := range u.GetPut() {
		r.records[p.GetNumber()] = p
	}
	for _, n := range u.GetRemoved() {
		delete(r.records, n)
	}
	r.epoch, r.sequence = u.GetEpoch(), u.GetSequence()
}

func (r *reader) check(t *rapid.T, now time.Duration, d *membership.Directory) {
	want := d.Full(now, nil).GetPut()
	if len(want) != len(r.records) {
		t.Fatalf("reader has %d targets, directory has %d", len(r.records), len(want))
	}
	for _, w := range want {
		got := proto.CloneOf(r.records[w.GetNumber()])
		got.AgeMs, w.AgeMs = 0, 0
		if !proto.Equal(got, w) {
			t.Fatalf("reader has %v, directory has %v", got, w)
		}
	}
}

// drawRecord draws a record whose contents depend only on its incarnation and sequence, like
// those of an agent.
func drawRecord(t *rapid.T) *controlpb.TargetRecord {
	number := rapid.Uint32Range(1, 6).Draw(t, "number")
	incarnation := rapid.Uint32Range(1, 3).Draw(t, "incarnation")
	sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
	r := record(number, incarnation, sequence)
	r.Address = fmt.Sprintf("127.0.0.1:%d", 7000+incarnation)
	r.Ill = sequence%2 == 0
	return r
}

func TestReaderFollowsDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Few removals are remembered, so that full lists occur as well.
		d := membership.New(membership.Options{Epoch: 3, Lease: lease, MaxRemoved: 2})
		now := lease
		r := &reader{records: map[uint32]*controlpb.TargetRecord{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond
			d.Announce(now, drawRecord(t), membership.Direct)
			d.Expire(now)
			if rapid.Bool().Draw(t, "reads") {
				r.follow(now, d)
				r.check(t, now, d)
			}
		}
	})
}

func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		records := make([]*controlpb.TargetRecord, count)
		for i := range records {
			records[i] = drawRecord(t)
		}
		a := membership.New(membership.Options{Epoch: 1, Lease: lease, Damping: noDamping})
		b := membership.New(membership.Options{Epoch: 2, Lease: lease, Damping: noDamping})
		for _, r := range records {
			a.Announce(0, r, membership.Direct)
		}
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			b.Announce(0, r, "control-a")
		}
		x, y := a.Full(0, nil).GetPut(), b.Full(0, nil).GetPut()
		if len(x) != len(y) {
			t.Fatalf("%d and %d targets", len(x), len(y))
		}
		for i := range x {
			if !proto.Equal(x[i], y[i]) {
				t.Fatalf("%v and %v", x[i], y[i])
			}
		}
	})
}

var noDamping = membership.Damping{Suppress: 1e9}
