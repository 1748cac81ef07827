package membership

import (
	"container/list"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// maxTombstones bounds the removed targets whose last version a List remembers.
const maxTombstones = 4_096

// List is the list of targets that a subscriber has received from one or more control
// hosts. The zero value is an empty list. It is not safe for concurrent use.
//
// A record is never replaced by an older one of its target, also not after a removal: a
// control host may not have received the newest record yet. The versions of the last
// maxTombstones removed targets are kept for that.
type List struct {
	epoch    uint64
	sequence uint64
	// complete is set after a complete list of the epoch: deltas carry every removal from
	// then on.
	complete bool

	// records is sorted by target number. The slices are replaced, never modified,
	// because views share them.
	records    []*controlpb.TargetRecord
	receivedAt []time.Time

	tombstones tombstones
}

// Change is the effect of an update on a List.
type Change struct {
	// Changed: the records have changed.
	Changed bool
	// Stale is the number of records ignored because a newer one is or was known.
	Stale int
	// Duplicate: the update was received before.
	Duplicate bool
	// Evicted is the number of evicted tombstones.
	Evicted int
}

// Position returns the position to resume from at any control host.
func (l *List) Position() Position {
	p := Position{Digests: l.digests()}
	if l.complete {
		p.Epoch, p.Sequence = l.epoch, l.sequence
	}
	return p
}

func (l *List) digests() listDigests {
	out := make(listDigests, listBuckets(len(l.records)))
	for _, r := range l.records {
		out.add(r)
	}
	return out
}

// Records returns the records by target number, and when each was received. Neither slice
// may be modified.
func (l *List) Records() ([]*controlpb.TargetRecord, []time.Time) { return l.records, l.receivedAt }

// Apply applies an update. One that is not full and comes from another epoch only adds
// records: its control host has just started and does not know what to remove.
func (l *List) Apply(u *controlpb.DirectoryUpdate, now time.Time) Change {
	sameEpoch := l.epoch == u.GetEpoch()
	compared := u.GetBuckets() > 0
	if sameEpoch && !u.GetFull() && !compared && u.GetSequence() < l.sequence {
		return Change{Duplicate: true}
	}
	l.complete = u.GetFull() || compared || (l.complete && sameEpoch)
	l.epoch, l.sequence = u.GetEpoch(), u.GetSequence()

	m := l.newMerge(u, now)
	for i, held := range l.records {
		m.mergeHeld(held, l.receivedAt[i])
	}
	m.addNew()
	if m.change.Changed {
		l.records, l.receivedAt = m.records, m.receivedAt
	}
	m.change.Evicted = l.tombstones.trim()
	return m.change
}

// merge is the state of one Apply.
type merge struct {
	list *List
	now  time.Time
	// puts has the records of the update that are not merged yet.
	puts    map[uint32]*controlpb.TargetRecord
	removed map[uint32]bool
	// isRemoved reports whether a target without a new record is removed.
	isRemoved func(number uint32) bool

	records    []*controlpb.TargetRecord
	receivedAt []time.Time
	change     Change
}

func (l *List) newMerge(u *controlpb.DirectoryUpdate, now time.Time) *merge {
	m := &merge{
		list:       l,
		now:        now,
		puts:       make(map[uint32]*controlpb.TargetRecord, len(u.GetPut())),
		removed:    make(map[uint32]bool, len(u.GetRemoved())),
		records:    make([]*controlpb.TargetRecord, 0, len(l.records)+len(u.GetPut())),
		receivedAt: make([]time.Time, 0, len(l.records)+len(u.GetPut())),
	}
	for _, r := range u.GetPut() {
		m.puts[r.GetNumber()] = r
	}
	for _, n := range u.GetRemoved() {
		m.removed[n] = true
	}
	completeBuckets := make(map[uint32]bool, len(u.GetWhole()))
	for _, bucket := range u.GetWhole() {
		completeBuckets[bucket] = true
	}
	m.isRemoved = func(number uint32) bool {
		return u.GetFull() || m.removed[number] || u.GetBuckets() > 0 && completeBuckets[number%u.GetBuckets()]
	}
	return m
}

func (m *merge) keep(r *controlpb.TargetRecord, receivedAt time.Time) {
	m.records, m.receivedAt = append(m.records, r), append(m.receivedAt, receivedAt)
}

// mergeHeld merges the update for a record of the list.
func (m *merge) mergeHeld(held *controlpb.TargetRecord, receivedAt time.Time) {
	number := held.GetNumber()
	next, put := m.puts[number]
	delete(m.puts, number)
	switch {
	case put && versionOf(next).olderThan(versionOf(held)):
		m.change.Stale++
		m.keep(held, receivedAt)
	case put:
		m.keep(next, m.now)
		m.change.Changed = true
	case m.isRemoved(number):
		m.list.tombstones.add(number, versionOf(held))
		m.change.Changed = true
	default:
		m.keep(held, receivedAt)
	}
}

// addNew adds the records of new targets.
func (m *merge) addNew() {
	added := false
	for number, r := range m.puts {
		if versionOf(r).olderThan(m.list.tombstones.version(number)) {
			m.change.Stale++
			continue
		}
		m.list.tombstones.drop(number)
		m.keep(r, m.now)
		added = true
	}
	if added {
		m.change.Changed = true
		sortRecords(m.records, m.receivedAt)
	}
}

// sortRecords sorts the records and their times of receipt by target number.
func sortRecords(records []*controlpb.TargetRecord, receivedAt []time.Time) {
	type pair struct {
		record   *controlpb.TargetRecord
		received time.Time
	}
	pairs := make([]pair, len(records))
	for i := range records {
		pairs[i] = pair{records[i], receivedAt[i]}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return byNumber(a.record, b.record) })
	for i, p := range pairs {
		records[i], receivedAt[i] = p.record, p.received
	}
}

// tombstones has the versions of recently removed targets.
type tombstones struct {
	order    *list.List
	versions map[uint32]*list.Element
}

type tombstone struct {
	number  uint32
	version version
}

func (t *tombstones) add(number uint32, v version) {
	if t.order == nil {
		t.order, t.versions = list.New(), map[uint32]*list.Element{}
	}
	t.drop(number)
	t.versions[number] = t.order.PushBack(tombstone{number, v})
}

// version returns the removed version, zero if none is known.
func (t *tombstones) version(number uint32) version {
	if e, ok := t.versions[number]; ok {
		return e.Value.(tombstone).version
	}
	return version{}
}

func (t *tombstones) drop(number uint32) {
	if e, ok := t.versions[number]; ok {
		t.order.Remove(e)
		delete(t.versions, number)
	}
}

// trim evicts the oldest tombstones beyond the bound and returns their number.
func (t *tombstones) trim() int {
	dropped := max(len(t.versions)-maxTombstones, 0)
	for range dropped {
		t.drop(t.order.Front().Value.(tombstone).number)
	}
	return dropped
}
