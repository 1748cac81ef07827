package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

func recordsOf(l *membership.List) []*controlpb.TargetRecord {
	records, _ := l.Records()
	return records
}

func numbers(d *membership.List) []uint32 {
	out := []uint32{}
	for _, r := range recordsOf(d) {
		out = append(out, r.GetNumber())
	}
	return out
}

func TestListTakesUpdates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := &membership.List{}
	full := func(epoch, sequence uint64, put ...*controlpb.TargetRecord) *controlpb.DirectoryUpdate {
		return &controlpb.DirectoryUpdate{Epoch: epoch, Sequence: sequence, Full: true, Put: put}
	}
	delta := func(epoch, sequence uint64, put ...*controlpb.TargetRecord) *controlpb.DirectoryUpdate {
		return &controlpb.DirectoryUpdate{Epoch: epoch, Sequence: sequence, Put: put}
	}
	is.True(d.Apply(full(1, 5, record(3, 1, 1), record(1, 1, 1)), now).Changed)
	is.Equal(numbers(d), []uint32{1, 3})
	held := recordsOf(d)

	// A delta changes one record and leaves the slice that views hold alone.
	is.True(d.Apply(delta(1, 6, record(2, 1, 1)), now).Changed)
	is.Equal(numbers(d), []uint32{1, 2, 3})
	is.Equal(len(held), 2)
	gone := delta(1, 7)
	gone.Removed = []uint32{3, 99}
	is.True(d.Apply(gone, now).Changed)
	is.Equal(numbers(d), []uint32{1, 2})

	// An update from before does nothing.
	is.True(d.Apply(delta(1, 6, record(3, 1, 1)), now).Duplicate)
	is.Equal(numbers(d), []uint32{1, 2})

	// A record never goes back; an equal one may change the verdict on it.
	is.True(d.Apply(delta(1, 8, record(1, 2, 1)), now).Changed)
	is.Equal(d.Apply(delta(1, 9, record(1, 1, 99)), now).Stale, 1)
	ill := record(1, 2, 1)
	ill.Ill = true
	is.True(d.Apply(delta(1, 10, ill), now).Changed)
	is.True(recordsOf(d)[0].GetIll())
	is.Equal(recordsOf(d)[0].GetIncarnation(), uint32(2))

	// A control host that has just started adds, and cannot resume.
	is.True(d.Apply(delta(2, 1, record(7, 1, 1)), now).Changed)
	is.Equal(numbers(d), []uint32{1, 2, 7})
	is.Equal(d.Position().Epoch, uint64(0))
	// Its full list replaces what is known, newer records excepted.
	res := d.Apply(full(2, 2, record(1, 1, 1), record(7, 1, 1)), now)
	is.Equal(res.Stale, 1)
	is.Equal(numbers(d), []uint32{1, 7})
	is.Equal(recordsOf(d)[0].GetIncarnation(), uint32(2))
	is.Equal(d.Position().Epoch, uint64(2))
	is.Equal(d.Position().Sequence, uint64(2))
}

// watcher is a subscriber that moves from one control host to another.
type watcher struct {
	list     *membership.List
	scope    *membership.Scope
	follower *membership.Subscriber
	host     int
	life     int
	// newest has the newest record of each target that was acted on.
	newest map[uint32]*controlpb.TargetRecord
	kinds  map[membership.UpdateKind]int
}

func newWatcher(scope *membership.Scope) *watcher {
	return &watcher{list: &membership.List{}, scope: scope, newest: map[uint32]*controlpb.TargetRecord{}, kinds: map[membership.UpdateKind]int{}}
}

// move opens another subscription.
func (w *watcher) move(n *network, host int) {
	w.host, w.life = host, n.lives[host]
	w.follower = membership.NewSubscriber(w.list.Position(), w.scope)
}

// follow takes the next update, or loses it, which ends the subscription.
func (w *watcher) follow(n *network, lose bool) {
	if w.follower == nil || w.life != n.lives[w.host] {
		w.move(n, w.host)
	}
	u, kind := n.hosts[w.host].Next(n.now, w.follower)
	switch {
	case u == nil:
		return
	case lose:
		w.follower = nil
		return
	}
	w.kinds[kind]++
	w.list.Apply(proto.CloneOf(u), time.Unix(0, int64(n.now)))
	for _, r := range recordsOf(w.list) {
		newest := w.newest[r.GetNumber()]
		if r.GetIncarnation() < newest.GetIncarnation() ||
			r.GetIncarnation() == newest.GetIncarnation() && r.GetSequence() < newest.GetSequence() {
			n.t.Fatalf("acts on %v after %v", r, newest)
		}
		w.newest[r.GetNumber()] = r
	}
}

// mustEqual holds that the subscriber has the records of its control host.
func (w *watcher) mustEqual(n *network) {
	want := n.hosts[w.host].Full(n.now, w.scope).GetPut()
	got := recordsOf(w.list)
	for _, r := range got {
		if w.scope != nil && r.GetFailureDomain() != "oke-ado" {
			n.t.Fatalf("out of scope: %v", r)
		}
	}
	same := slices.EqualFunc(got, want, func(a, b *controlpb.TargetRecord) bool {
		a, b = proto.CloneOf(a), proto.CloneOf(b)
		a.AgeMs, b.AgeMs = 0, 0
		return proto.Equal(a, b)
	})
	if !same {
		n.t.Fatalf("subscriber holds %v, host %d %v", got, w.host, want)
	}
}

// TestSubscriberComesToTheSameDirectory runs drawn schedules of moves between
// control hosts, lost updates, and all that befalls control hosts and agents.
// The subscriber never goes back to an older record, and in the end it holds
// what its control host holds within its scope, whichever it is; it needs no full
// list for that.
func TestSubscriberComesToTheSameDirectory(t *testing.T) {
	kinds := map[membership.UpdateKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, rapid.IntRange(2, 100).Draw(t, "agents"))
		var scope *membership.Scope
		if rapid.Bool().Draw(t, "scoped") {
			scope = membership.NewScope(nil, "oke-ado")
		}
		w := newWatcher(scope)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n.step()
			if rapid.IntRange(0, 3).Draw(t, "moves") == 0 {
				w.move(n, rapid.IntRange(0, controlHosts-1).Draw(t, "to"))
			}
			w.follow(n, rapid.IntRange(0, 5).Draw(t, "loses") == 0)
		}
		// Without another move first: what additions left open is mended, too.
		n.settle(func() { w.follow(n, false) })
		w.mustEqual(n)
		for host := range controlHosts {
			w.move(n, host)
			w.follow(n, false)
			w.mustEqual(n)
		}
		for kind, count := range w.kinds {
			kinds[kind] += count
		}
	})
	t.Log(kinds)
	for _, kind := range []membership.UpdateKind{membership.Delta, membership.Difference, membership.Addition, membership.FullFirst} {
		if kinds[kind] == 0 {
			t.Errorf("no schedule led to an update of kind %s", kind)
		}
	}
	if kinds[membership.FullHistory]+kinds[membership.FullUndigested] > 0 {
		t.Errorf("full lists were sent to a subscriber that held one: %v", kinds)
	}
}

// A host that has not heard the newest record of a target must not bring the
// subscriber back to an older one, not even after a removal.
func TestRemovedTargetDoesNotComeBackOlder(t *testing.T) {
	is := is.New(t)
	var l membership.List
	l.Apply(&controlpb.DirectoryUpdate{Epoch: 1, Full: true, Put: []*controlpb.TargetRecord{record(1, 2, 5)}}, time.Time{})
	l.Apply(&controlpb.DirectoryUpdate{Epoch: 2, Full: true}, time.Time{})
	is.Equal(len(recordsOf(&l)), 0)
	change := l.Apply(&controlpb.DirectoryUpdate{Epoch: 2, Sequence: 1, Put: []*controlpb.TargetRecord{record(1, 2, 4)}}, time.Time{})
	is.Equal(change, membership.Change{Stale: 1})
	is.True(l.Apply(&controlpb.DirectoryUpdate{Epoch: 2, Sequence: 2, Put: []*controlpb.TargetRecord{record(1, 2, 5)}}, time.Time{}).Changed)
	is.Equal(len(recordsOf(&l)), 1)
}

// Of more removals than are remembered the oldest are forgotten, and counted.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	var l membership.List
	u := &controlpb.DirectoryUpdate{Epoch: 1, Full: true}
	for n := range uint32(5_000) {
		u.Put = append(u.Put, record(n+1, 1, 1))
	}
	l.Apply(u, time.Time{})
	is.Equal(l.Apply(&controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1, Full: true}, time.Time{}).Evicted, 5_000-4_096)
}

// hostOf returns a settled host of another epoch with all of these targets.
func hostOf(epoch uint64, targets uint32) *membership.Directory {
	d := membership.New(membership.Options{Epoch: epoch, Lease: lease})
	for n := range targets {
		d.Announce(lease, named(n+1), membership.Direct)
	}
	return d
}

// TestMoveCostsWhatDiffers moves a subscriber between hosts that differ in few
// of 12,000 targets.
func TestMoveCostsWhatDiffers(t *testing.T) {
	is := is.New(t)
	a, b := hostOf(1, fleet), hostOf(2, fleet)
	var l membership.List
	u, kind := a.Next(lease, membership.NewSubscriber(l.Position(), nil))
	is.Equal(kind, membership.FullFirst)
	l.Apply(u, time.Time{})

	position := l.Position()
	u, kind = b.Next(lease, membership.NewSubscriber(position, nil))
	is.Equal(kind, membership.Difference)
	is.Equal(len(u.GetPut()), 0)
	is.True(u.GetBuckets() > 0) // the subscriber learns that its list is that of b
	l.Apply(u, time.Time{})
	is.Equal(l.Position().Epoch, uint64(2))

	b.Announce(lease, record(7, 1, 2), membership.Direct)
	b.Announce(lease, record(fleet+1, 1, 1), membership.Direct)
	u, _ = b.Next(lease, membership.NewSubscriber(position, nil))
	is.True(len(u.GetPut()) <= 2*fleet/len(position.Digests)+2)

	// The verdict of a host is its own: it differs at the same version.
	ill := proto.CloneOf(recordsOf(&l)[0])
	ill.Ill, ill.Damped = true, true
	l.Apply(&controlpb.DirectoryUpdate{Epoch: 2, Sequence: u.GetSequence(), Put: []*controlpb.TargetRecord{ill}}, time.Time{})
	u, _ = hostOf(3, fleet).Next(lease, membership.NewSubscriber(l.Position(), nil))
	is.Equal(len(u.GetWhole()), 1)

	// Nor are removals lost.
	u, _ = hostOf(3, fleet-5).Next(lease, membership.NewSubscriber(position, nil))
	l.Apply(u, time.Time{})
	is.Equal(len(recordsOf(&l)), fleet-5)
}

// TestUnsettledHostHoldsALargeDifferenceBack: it cannot tell yet what differs.
func TestUnsettledHostHoldsALargeDifferenceBack(t *testing.T) {
	is := is.New(t)
	var l membership.List
	u, _ := hostOf(1, 1_000).Next(lease, membership.NewSubscriber(l.Position(), nil))
	l.Apply(u, time.Time{})
	d := membership.New(membership.Options{Epoch: 2, Lease: lease, Start: lease})
	f := membership.NewSubscriber(l.Position(), nil)
	for n := range uint32(1_000) {
		d.Announce(lease, record(n+1, 1, 1), membership.Direct)
	}
	u, _ = d.Next(lease, f)
	is.Equal(u, nil)
	d.Announce(2*lease-1, record(1_001, 1, 1), membership.Direct)
	u, kind := d.Next(2*lease, f)
	is.Equal(kind, membership.Difference)
	is.Equal(len(u.GetWhole()), 1)
}

// TestHeldBackRemovalIsMadeUpFor: a target was added, then additions stopped,
// then it ended: its bucket is as the subscriber came with it, and yet has to
// be sent.
func TestHeldBackRemovalIsMadeUpFor(t *testing.T) {
	is := is.New(t)
	var l membership.List
	u, _ := hostOf(1, 1_000).Next(lease, membership.NewSubscriber(l.Position(), nil))
	l.Apply(u, time.Time{})
	d := membership.New(membership.Options{Epoch: 2, Lease: lease, Start: lease})
	f := membership.NewSubscriber(l.Position(), nil)
	d.Announce(lease, record(2_000, 1, 1), "c2")
	u, _ = d.Next(lease, f)
	is.Equal(len(u.GetPut()), 1)
	l.Apply(u, time.Time{})
	for n := range uint32(1_000) {
		if n == 900 {
			u, _ = d.Next(lease, f)
			is.Equal(u, nil) // too much differs
		}
		d.Announce(lease, record(n+1, 1, 1), membership.Direct)
	}
	d.ApplySync(lease, "c2", &controlpb.DirectorySync{Ended: []uint32{2_000}, Summary: &controlpb.DirectorySummary{Epoch: 9, Serial: 1}})
	u, _ = d.Next(2*lease, f)
	l.Apply(u, time.Time{})
	is.Equal(len(recordsOf(&l)), 1_000)
}

// A target that went and came back in another failure domain between two
// updates is gone for one who wants the first domain only.
func TestTargetThatMovedOutOfScopeIsRemoved(t *testing.T) {
	is := is.New(t)
	d := hostOf(1, 1)
	f := membership.NewSubscriber(membership.Position{}, membership.NewScope(nil, "oke-ado"))
	u, _ := d.Next(2*lease, f)
	is.Equal(len(u.GetPut()), 1)
	is.Equal(d.Expire(2*lease), 1)
	back := named(1)
	back.FailureDomain, back.Incarnation = "dugbe", 2
	d.Announce(2*lease, back, membership.Direct)
	u, _ = d.Next(2*lease, f)
	is.Equal(u.GetRemoved(), []uint32{1})
	is.Equal(len(u.GetPut()), 0)
}
