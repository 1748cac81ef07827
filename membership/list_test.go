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

func TestListApply(t *testing.T) {
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

	// A delta does not modify the slice that views share.
	is.True(d.Apply(delta(1, 6, record(2, 1, 1)), now).Changed)
	is.Equal(numbers(d), []uint32{1, 2, 3})
	is.Equal(len(held), 2)
	removal := delta(1, 7)
	removal.Removed = []uint32{3, 99}
	is.True(d.Apply(removal, now).Changed)
	is.Equal(numbers(d), []uint32{1, 2})

	// An earlier update is ignored.
	is.True(d.Apply(delta(1, 6, record(3, 1, 1)), now).Duplicate)
	is.Equal(numbers(d), []uint32{1, 2})

	// A record is not replaced by an older one. One of the same version may change health.
	is.True(d.Apply(delta(1, 8, record(1, 2, 1)), now).Changed)
	is.Equal(d.Apply(delta(1, 9, record(1, 1, 99)), now).Stale, 1)
	unhealthy := record(1, 2, 1)
	unhealthy.Ill = true
	is.True(d.Apply(delta(1, 10, unhealthy), now).Changed)
	is.True(recordsOf(d)[0].GetIll())
	is.Equal(recordsOf(d)[0].GetIncarnation(), uint32(2))

	// The first update of a control host that has just started only adds records.
	is.True(d.Apply(delta(2, 1, record(7, 1, 1)), now).Changed)
	is.Equal(numbers(d), []uint32{1, 2, 7})
	is.Equal(d.Position().Epoch, uint64(0))
	// Its full list replaces the records, except newer ones.
	res := d.Apply(full(2, 2, record(1, 1, 1), record(7, 1, 1)), now)
	is.Equal(res.Stale, 1)
	is.Equal(numbers(d), []uint32{1, 7})
	is.Equal(recordsOf(d)[0].GetIncarnation(), uint32(2))
	is.Equal(d.Position().Epoch, uint64(2))
	is.Equal(d.Position().Sequence, uint64(2))
}

// testSubscriber is a subscriber that moves between control hosts.
type testSubscriber struct {
	list       *membership.List
	scope      *membership.Scope
	subscriber *membership.Subscriber
	host       int
	generation int
	// newest has the newest record of each target so far.
	newest map[uint32]*controlpb.TargetRecord
	kinds  map[membership.UpdateKind]int
}

func newTestSubscriber(scope *membership.Scope) *testSubscriber {
	return &testSubscriber{list: &membership.List{}, scope: scope, newest: map[uint32]*controlpb.TargetRecord{}, kinds: map[membership.UpdateKind]int{}}
}

// moveTo subscribes to another host.
func (s *testSubscriber) moveTo(n *network, host int) {
	s.host, s.generation = host, n.generations[host]
	s.subscriber = membership.NewSubscriber(s.list.Position(), s.scope)
}

// applyNext applies the next update, or loses it, which ends the subscription.
func (s *testSubscriber) applyNext(n *network, lost bool) {
	if s.subscriber == nil || s.generation != n.generations[s.host] {
		s.moveTo(n, s.host)
	}
	u, kind := n.hosts[s.host].Next(n.now, s.subscriber)
	switch {
	case u == nil:
		return
	case lost:
		s.subscriber = nil
		return
	}
	s.kinds[kind]++
	s.list.Apply(proto.CloneOf(u), time.Unix(0, int64(n.now)))
	for _, r := range recordsOf(s.list) {
		newest := s.newest[r.GetNumber()]
		if r.GetIncarnation() < newest.GetIncarnation() ||
			r.GetIncarnation() == newest.GetIncarnation() && r.GetSequence() < newest.GetSequence() {
			n.t.Fatalf("got %v after %v", r, newest)
		}
		s.newest[r.GetNumber()] = r
	}
}

// mustEqual checks that the subscriber has the records of its control host.
func (s *testSubscriber) mustEqual(n *network) {
	want := n.hosts[s.host].Full(n.now, s.scope).GetPut()
	got := recordsOf(s.list)
	for _, r := range got {
		if s.scope != nil && r.GetFailureDomain() != "oke-ado" {
			n.t.Fatalf("out of scope: %v", r)
		}
	}
	same := slices.EqualFunc(got, want, func(a, b *controlpb.TargetRecord) bool {
		a, b = proto.CloneOf(a), proto.CloneOf(b)
		a.AgeMs, b.AgeMs = 0, 0
		return proto.Equal(a, b)
	})
	if !same {
		n.t.Fatalf("subscriber has %v, host %d has %v", got, s.host, want)
	}
}

// With any moves, lost updates and the faults of TestDirectoriesConverge a subscriber never
// returns to an older record, and ends up with the records of its host without a full list.
func TestSubscriberConverges(t *testing.T) {
	kinds := map[membership.UpdateKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, rapid.IntRange(2, 100).Draw(t, "agents"))
		var scope *membership.Scope
		if rapid.Bool().Draw(t, "scoped") {
			scope = membership.NewScope(nil, "oke-ado")
		}
		s := newTestSubscriber(scope)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n.step()
			if rapid.IntRange(0, 3).Draw(t, "moves") == 0 {
				s.moveTo(n, rapid.IntRange(0, controlHosts-1).Draw(t, "to"))
			}
			s.applyNext(n, rapid.IntRange(0, 5).Draw(t, "loses") == 0)
		}
		// The gaps of additions are closed without a move.
		n.converge(func() { s.applyNext(n, false) })
		s.mustEqual(n)
		for host := range controlHosts {
			s.moveTo(n, host)
			s.applyNext(n, false)
			s.mustEqual(n)
		}
		for kind, count := range s.kinds {
			kinds[kind] += count
		}
	})
	t.Log(kinds)
	for _, kind := range []membership.UpdateKind{membership.Delta, membership.Difference, membership.Addition, membership.FullFirst} {
		if kinds[kind] == 0 {
			t.Errorf("no update of kind %s was drawn", kind)
		}
	}
	if kinds[membership.FullHistory]+kinds[membership.FullUndigested] > 0 {
		t.Errorf("full lists were sent to a subscriber that had one: %v", kinds)
	}
}

// A host with an older record must not bring it back, not even after a removal.
func TestRemovedTargetKeepsVersion(t *testing.T) {
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

// The oldest tombstones are evicted and counted.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	var l membership.List
	u := &controlpb.DirectoryUpdate{Epoch: 1, Full: true}
	for n := range uint32(5_000) {
		u.Put = append(u.Put, record(n+1, 1, 1))
	}
	l.Apply(u, time.Time{})
	is.Equal(l.Apply(&controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1, Full: true}, time.Time{}).Evicted, 5_000-4_096)
}

// fullDirectory returns a complete directory of another epoch with all of these targets.
func fullDirectory(epoch uint64, targets uint32) *membership.Directory {
	d := membership.New(membership.Options{Epoch: epoch, Lease: lease})
	for n := range targets {
		d.Announce(lease, namedRecord(n+1), membership.Direct)
	}
	return d
}

// A move between control hosts sends only the buckets that differ.
func TestMoveSendsDifference(t *testing.T) {
	is := is.New(t)
	a, b := fullDirectory(1, fleetSize), fullDirectory(2, fleetSize)
	var l membership.List
	u, kind := a.Next(lease, membership.NewSubscriber(l.Position(), nil))
	is.Equal(kind, membership.FullFirst)
	l.Apply(u, time.Time{})

	position := l.Position()
	u, kind = b.Next(lease, membership.NewSubscriber(position, nil))
	is.Equal(kind, membership.Difference)
	is.Equal(len(u.GetPut()), 0)
	is.True(u.GetBuckets() > 0) // confirms the list as that of b
	l.Apply(u, time.Time{})
	is.Equal(l.Position().Epoch, uint64(2))

	b.Announce(lease, record(7, 1, 2), membership.Direct)
	b.Announce(lease, record(fleetSize+1, 1, 1), membership.Direct)
	u, _ = b.Next(lease, membership.NewSubscriber(position, nil))
	is.True(len(u.GetPut()) <= 2*fleetSize/len(position.Digests)+2)

	// Damping differs between hosts at the same version.
	unhealthy := proto.CloneOf(recordsOf(&l)[0])
	unhealthy.Ill, unhealthy.Damped = true, true
	l.Apply(&controlpb.DirectoryUpdate{Epoch: 2, Sequence: u.GetSequence(), Put: []*controlpb.TargetRecord{unhealthy}}, time.Time{})
	u, _ = fullDirectory(3, fleetSize).Next(lease, membership.NewSubscriber(l.Position(), nil))
	is.Equal(len(u.GetWhole()), 1)

	// Removals are part of the difference.
	u, _ = fullDirectory(3, fleetSize-5).Next(lease, membership.NewSubscriber(position, nil))
	l.Apply(u, time.Time{})
	is.Equal(len(recordsOf(&l)), fleetSize-5)
}

// An incomplete host does not know which records differ, and sends only a few additions.
func TestIncompleteHostDefersLargeDifference(t *testing.T) {
	is := is.New(t)
	var l membership.List
	u, _ := fullDirectory(1, 1_000).Next(lease, membership.NewSubscriber(l.Position(), nil))
	l.Apply(u, time.Time{})
	d := membership.New(membership.Options{Epoch: 2, Lease: lease, Start: lease})
	f := membership.NewSubscriber(l.Position(), nil)
	for n := range uint32(1_000) {
		d.Announce(lease, oldRecord(n+1), membership.Direct)
	}
	u, _ = d.Next(lease, f)
	is.Equal(u, nil)
	d.Announce(2*lease-1, oldRecord(1_001), membership.Direct)
	u, kind := d.Next(2*lease, f)
	is.Equal(kind, membership.Difference)
	is.Equal(len(u.GetWhole()), 1)
}

// oldRecord returns a record of a target that has run for an hour.
func oldRecord(number uint32) *controlpb.TargetRecord {
	r := record(number, 1, 1)
	r.AgeMs = uint64(time.Hour.Milliseconds())
	return r
}

// While the targets return to control hosts that were all restarted, what starts, changes
// and leaves is sent to subscribers that bring a list along: a lease without would leave
// flows with targets that have gone.
func TestIncompleteHostSendsNews(t *testing.T) {
	is := is.New(t)
	const targets = 1_000
	var l membership.List
	u, _ := fullDirectory(1, targets).Next(lease, membership.NewSubscriber(l.Position(), nil))
	l.Apply(u, time.Time{})
	start := time.Hour
	d := membership.New(membership.Options{Epoch: 2, Lease: lease, Start: start})
	sub := membership.NewSubscriber(l.Position(), nil)
	next := func(now time.Duration) *controlpb.DirectoryUpdate {
		u, kind := d.Next(now, sub)
		is.True(u == nil || kind == membership.Addition)
		if u != nil {
			l.Apply(u, time.Time{})
		}
		return u
	}
	for n := range uint32(targets) {
		d.Announce(start, oldRecord(n+1), membership.Direct)
	}
	is.Equal(next(start), nil) // returned targets are no news

	release := uint32(3 * targets / 10)
	for n := range release {
		leaving := oldRecord(n + 1)
		leaving.Sequence, leaving.State = 2, controlpb.TargetState_TARGET_STATE_DRAINING
		d.Announce(start+time.Second, leaving, membership.Direct)
		d.Announce(start+time.Second, record(targets+n+1, 1, 1), membership.Direct)
	}
	is.Equal(len(next(start+time.Second).GetPut()), int(2*release))
	is.Equal(next(start+time.Second), nil)
	is.Equal(len(recordsOf(&l)), targets+int(release))
	is.Equal(recordsOf(&l)[0].GetState(), controlpb.TargetState_TARGET_STATE_DRAINING)

	// The complete directory confirms the rest.
	u, kind := d.Next(start+lease, sub)
	is.Equal(kind, membership.Difference)
	l.Apply(u, time.Time{})
	is.Equal(len(recordsOf(&l)), targets+int(release))
}

// Soon after the start of all, a subscriber moves to a host that knows the same targets by
// now. Nothing is sent but the bucket of a new one.
func TestIncompleteHostSendsNothingKnown(t *testing.T) {
	is := is.New(t)
	const targets = 1_000
	a, b := membership.New(membership.Options{Epoch: 1, Lease: lease}), membership.New(membership.Options{Epoch: 2, Lease: lease})
	for n := range uint32(targets) {
		a.Announce(time.Second, record(n+1, 1, 1), membership.Direct)
		b.Announce(time.Second, record(n+1, 1, 1), "c1")
	}
	var l membership.List
	u, _ := a.Next(time.Second, membership.NewSubscriber(l.Position(), nil))
	l.Apply(u, time.Time{})
	sub := membership.NewSubscriber(l.Position(), nil)
	u, _ = b.Next(2*time.Second, sub)
	is.Equal(len(u.GetPut()), 0)
	b.Announce(2*time.Second, record(targets+1, 1, 1), membership.Direct)
	u, _ = b.Next(2*time.Second, sub)
	l.Apply(u, time.Time{})
	is.Equal(len(recordsOf(&l)), targets+1)
	is.True(len(u.GetPut()) <= 2*targets/len(l.Position().Digests)+1)
}

// A target is added, then additions stop, then it is removed: its bucket equals that of the
// subscriber's initial list again, and has to be sent nevertheless.
func TestDeferredRemovalIsSent(t *testing.T) {
	is := is.New(t)
	var l membership.List
	u, _ := fullDirectory(1, 1_000).Next(lease, membership.NewSubscriber(l.Position(), nil))
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
			is.Equal(u, nil) // too many additions
		}
		d.Announce(lease, oldRecord(n+1), membership.Direct)
	}
	d.ApplySync(lease, "c2", &controlpb.DirectorySync{Ended: []uint32{2_000}, Summary: &controlpb.DirectorySummary{Epoch: 9, Serial: 1}})
	u, _ = d.Next(2*lease, f)
	l.Apply(u, time.Time{})
	is.Equal(len(recordsOf(&l)), 1_000)
}

// A target that was removed and reappeared in another failure domain between two updates is
// removed for subscribers of the first domain.
func TestTargetMovedOutOfScopeIsRemoved(t *testing.T) {
	is := is.New(t)
	d := fullDirectory(1, 1)
	f := membership.NewSubscriber(membership.Position{}, membership.NewScope(nil, "oke-ado"))
	u, _ := d.Next(2*lease, f)
	is.Equal(len(u.GetPut()), 1)
	is.Equal(d.Expire(2*lease), 1)
	back := namedRecord(1)
	back.FailureDomain, back.Incarnation = "dugbe", 2
	d.Announce(2*lease, back, membership.Direct)
	u, _ = d.Next(2*lease, f)
	is.Equal(u.GetRemoved(), []uint32{1})
	is.Equal(len(u.GetPut()), 0)
}
