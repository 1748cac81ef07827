package membership

import (
	"container/list"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// maxDeparted bounds the removed targets whose last version a List
// remembers.
const maxDeparted = 4_096

// List is the list of targets that a subscriber holds, as told by one control
// host after another. The zero value is an empty list. It is not safe for use
// by several goroutines.
//
// A record never gives way to an older one of its target, also if the target
// was removed in between: of the last maxDeparted removed ones the
// version is kept. A control host that has not heard the newest record yet has
// only an older one to tell; it will hear of the newest, or of its end.
type List struct {
	epoch    uint64
	sequence uint64
	// whole is set once a whole list of the epoch has been received: from then
	// on deltas carry every removal.
	whole bool

	// records is sorted by target number; the slices are replaced, never
	// written to, because views hold them.
	records []*controlpb.TargetRecord
	heardAt []time.Time

	departed departed
}

// Change tells what an update did to a List.
type Change struct {
	// Changed tells that the records are others now.
	Changed bool
	// Stale is the number of records refused because a newer one of their
	// target is or was held.
	Stale int
	// Duplicate is set for an update that was received before.
	Duplicate bool
	// Evicted is the number of removed targets whose version is no longer
	// remembered.
	Evicted int
}

// Position returns what a control host needs to go on from here.
func (l *List) Position() Position {
	p := Position{Digests: l.digests()}
	if l.whole {
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

// Records returns the records by target number, and when each was received.
// Neither may be written to.
func (l *List) Records() ([]*controlpb.TargetRecord, []time.Time) { return l.records, l.heardAt }

// Apply takes an update in one step. A list that is not whole and comes from
// another epoch adds to what is known: its control host has just started and
// does not yet know what to remove.
func (l *List) Apply(u *controlpb.DirectoryUpdate, now time.Time) Change {
	sameEpoch := l.epoch == u.GetEpoch()
	compared := u.GetBuckets() > 0
	if sameEpoch && !u.GetFull() && !compared && u.GetSequence() < l.sequence {
		return Change{Duplicate: true}
	}
	l.whole = u.GetFull() || compared || (l.whole && sameEpoch)
	l.epoch, l.sequence = u.GetEpoch(), u.GetSequence()

	m := l.newMerge(u, now)
	for i, held := range l.records {
		m.visit(held, l.heardAt[i])
	}
	m.addNew()
	if m.change.Changed {
		l.records, l.heardAt = m.records, m.heardAt
	}
	m.change.Evicted = l.departed.trim()
	return m.change
}

// merge is the work of one Apply.
type merge struct {
	list *List
	now  time.Time
	// puts has the records of the update that are not merged yet.
	puts    map[uint32]*controlpb.TargetRecord
	removed map[uint32]bool
	// leaves tells whether a target that is not put is gone.
	leaves func(number uint32) bool

	records []*controlpb.TargetRecord
	heardAt []time.Time
	change  Change
}

func (l *List) newMerge(u *controlpb.DirectoryUpdate, now time.Time) *merge {
	m := &merge{
		list:    l,
		now:     now,
		puts:    make(map[uint32]*controlpb.TargetRecord, len(u.GetPut())),
		removed: make(map[uint32]bool, len(u.GetRemoved())),
		records: make([]*controlpb.TargetRecord, 0, len(l.records)+len(u.GetPut())),
		heardAt: make([]time.Time, 0, len(l.records)+len(u.GetPut())),
	}
	for _, r := range u.GetPut() {
		m.puts[r.GetNumber()] = r
	}
	for _, n := range u.GetRemoved() {
		m.removed[n] = true
	}
	whole := make(map[uint32]bool, len(u.GetWhole()))
	for _, bucket := range u.GetWhole() {
		whole[bucket] = true
	}
	m.leaves = func(number uint32) bool {
		return u.GetFull() || m.removed[number] || u.GetBuckets() > 0 && whole[number%u.GetBuckets()]
	}
	return m
}

func (m *merge) keep(r *controlpb.TargetRecord, heardAt time.Time) {
	m.records, m.heardAt = append(m.records, r), append(m.heardAt, heardAt)
}

// visit decides on a record that is held.
func (m *merge) visit(held *controlpb.TargetRecord, heardAt time.Time) {
	number := held.GetNumber()
	next, put := m.puts[number]
	delete(m.puts, number)
	switch {
	case put && versionOf(next).before(versionOf(held)):
		m.change.Stale++
		m.keep(held, heardAt)
	case put:
		m.keep(next, m.now)
		m.change.Changed = true
	case m.leaves(number):
		m.list.departed.add(number, versionOf(held))
		m.change.Changed = true
	default:
		m.keep(held, heardAt)
	}
}

// addNew adds the records of targets that are not held.
func (m *merge) addNew() {
	added := false
	for number, r := range m.puts {
		if versionOf(r).before(m.list.departed.version(number)) {
			m.change.Stale++
			continue
		}
		m.list.departed.drop(number)
		m.keep(r, m.now)
		added = true
	}
	if added {
		m.change.Changed = true
		sortRecords(m.records, m.heardAt)
	}
}

// sortRecords sorts the records by target number, and their times with them.
func sortRecords(records []*controlpb.TargetRecord, heardAt []time.Time) {
	type pair struct {
		record *controlpb.TargetRecord
		heard  time.Time
	}
	pairs := make([]pair, len(records))
	for i := range records {
		pairs[i] = pair{records[i], heardAt[i]}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return byNumber(a.record, b.record) })
	for i, p := range pairs {
		records[i], heardAt[i] = p.record, p.heard
	}
}

// departed remembers the versions of targets that were removed, the last ones
// of them.
type departed struct {
	order    *list.List
	versions map[uint32]*list.Element
}

type departure struct {
	number  uint32
	version version
}

func (d *departed) add(number uint32, v version) {
	if d.order == nil {
		d.order, d.versions = list.New(), map[uint32]*list.Element{}
	}
	d.drop(number)
	d.versions[number] = d.order.PushBack(departure{number, v})
}

// version returns the version that was removed, the zero one if none is known.
func (d *departed) version(number uint32) version {
	if e, ok := d.versions[number]; ok {
		return e.Value.(departure).version
	}
	return version{}
}

func (d *departed) drop(number uint32) {
	if e, ok := d.versions[number]; ok {
		d.order.Remove(e)
		delete(d.versions, number)
	}
}

// trim keeps the bound and returns how many versions it has dropped.
func (d *departed) trim() int {
	dropped := max(len(d.versions)-maxDeparted, 0)
	for range dropped {
		d.drop(d.order.Front().Value.(departure).number)
	}
	return dropped
}
