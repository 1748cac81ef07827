package targets

import (
	"maps"
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// incarnationKey identifies one incarnation of a target.
type incarnationKey struct {
	number, incarnation uint32
}

// Directory holds the targets of a view by service. It is not safe for concurrent use.
type Directory struct {
	// records are the records of the view. Unchanged ones are the same pointers in the
	// next view.
	records  []*controlpb.TargetRecord
	unusable int
	services map[uint32]*serviceTargets
	loads    *routing.LoadReports
	started  map[incarnationKey]coldStart
	// changed has the services whose targets differ from the previous directory; nil
	// means all.
	changed map[uint32]bool
}

// restartMargin is how much later the start time of a newer record must be to count as
// another cold start. Smaller differences are delays of the record.
const restartMargin = time.Second

// coldStart is the time of a target's cold start on the caller's clock. A record has
// the age at the time when it was created, so a delayed record makes the start look
// later: the earliest start seen is the most accurate one, until the backend server
// restarts.
type coldStart struct {
	at time.Duration
	// sequence is that of the newest record seen.
	sequence uint64
}

// merge returns the cold start after another record.
func (s coldStart) merge(record coldStart) coldStart {
	switch {
	case record.sequence <= s.sequence:
		return coldStart{at: min(s.at, record.at), sequence: s.sequence}
	case record.at > s.at+restartMargin:
		return record
	default:
		return coldStart{at: min(s.at, record.at), sequence: record.sequence}
	}
}

// serviceTargets holds the targets of a service by number and, by the same index, their
// start times. It is replaced, never modified, but for the ages.
type serviceTargets struct {
	targets []routing.Target
	started []time.Duration
	// damped is the number of flapping targets.
	damped int
}

func (m *serviceTargets) add(t routing.Target, started time.Duration) {
	m.targets = append(m.targets, t)
	m.started = append(m.started, started)
	if t.Damped {
		m.damped++
	}
}

// Usable reports whether frames may be sent to an address.
type Usable func(netip.AddrPort) bool

// New returns the directory of a list of records. Records without a usable address are
// counted and skipped. Reports and start times of incarnations in previous are kept.
// Previous may be nil and must not be used afterwards, as its state is reused. now is the
// time on the caller's clock.
func New(previous *Directory, records []*controlpb.TargetRecord, now time.Duration, usable Usable) *Directory {
	if previous == nil || !sortedByNumber(previous.records) || !sortedByNumber(records) {
		return build(previous, records, now, usable)
	}
	return previous.update(records, now, usable)
}

// Unusable returns the number of records that were skipped.
func (d *Directory) Unusable() int { return d.unusable }

// Loads returns the reports of the targets.
func (d *Directory) Loads() *routing.LoadReports { return d.loads }

// Changed reports whether the targets of a service differ from those of the previous
// directory, or may.
func (d *Directory) Changed(service uint32) bool { return d.changed == nil || d.changed[service] }

// Services returns the numbers of the services that have targets, in any order.
func (d *Directory) Services() []uint32 {
	out := make([]uint32, 0, len(d.services))
	for number := range d.services {
		out = append(out, number)
	}
	return out
}

// Len returns the number of targets of a service.
func (d *Directory) Len(service uint32) int {
	if m := d.services[service]; m != nil {
		return len(m.targets)
	}
	return 0
}

// Damped returns the number of flapping targets.
func (d *Directory) Damped() int {
	sum := 0
	for _, m := range d.services {
		sum += m.damped
	}
	return sum
}

// Table builds the routing table of a service.
func (d *Directory) Table(policy *configpb.Policy, service uint32, now time.Duration) *routing.Table {
	m := d.services[service]
	if m == nil {
		m = &serviceTargets{}
	}
	for i := range m.targets {
		m.targets[i].Age = now - m.started[i]
	}
	return routing.NewTable(policy, service, m.targets, d.loads, now)
}

// sortedByNumber reports whether the target numbers are strictly ascending.
func sortedByNumber(records []*controlpb.TargetRecord) bool {
	for i := 1; i < len(records); i++ {
		if records[i-1].GetNumber() >= records[i].GetNumber() {
			return false
		}
	}
	return true
}

// build builds a directory from scratch.
func build(previous *Directory, records []*controlpb.TargetRecord, now time.Duration, usable Usable) *Directory {
	d := &Directory{
		records:  records,
		services: make(map[uint32]*serviceTargets),
		started:  make(map[incarnationKey]coldStart, len(records)),
	}
	list := make([]routing.Target, 0, len(records))
	for _, record := range records {
		target, ok := targetFrom(record, usable)
		if !ok {
			d.unusable++
			continue
		}
		m := d.services[target.Service]
		if m == nil {
			m = &serviceTargets{}
			d.services[target.Service] = m
		}
		m.add(target, d.start(previous, record, now))
		list = append(list, target)
	}

	var loads *routing.LoadReports
	if previous != nil {
		loads = previous.loads
	}
	d.loads = routing.NewLoadReports(loads, list)
	return d
}

// serviceDiff has what changed in one service: the numbers of deleted targets and the new
// or changed ones, both ascending. A changed target is in both.
type serviceDiff struct {
	deleted []uint32
	put     serviceTargets
}

// update returns the directory of the next list of records. Only what changed is decoded.
func (d *Directory) update(records []*controlpb.TargetRecord, now time.Duration, usable Usable) *Directory {
	deleted, put := Diff(d.records, records)
	next := &Directory{
		records:  records,
		unusable: d.unusable,
		services: maps.Clone(d.services),
		loads:    d.loads,
		started:  d.started,
		changed:  make(map[uint32]bool),
	}
	diffs := make(map[uint32]*serviceDiff)
	removed := next.deleteRecords(diffs, deleted, usable)
	added := next.putRecords(diffs, put, d, now, usable)
	for service, diff := range diffs {
		next.changed[service] = true
		next.services[service] = next.services[service].merge(diff)
		if len(next.services[service].targets) == 0 {
			delete(next.services, service)
		}
	}
	next.dropStartTimes(deleted, put, usable)
	if len(removed)+len(added) > 0 {
		next.loads = d.loads.Update(removed, added)
	}
	return next
}

func diffOf(diffs map[uint32]*serviceDiff, service uint32) *serviceDiff {
	diff := diffs[service]
	if diff == nil {
		diff = &serviceDiff{}
		diffs[service] = diff
	}
	return diff
}

// deleteRecords adds deleted records to the diffs of their services. It returns the numbers
// of the targets.
func (d *Directory) deleteRecords(diffs map[uint32]*serviceDiff, deleted []*controlpb.TargetRecord, usable Usable) (removed []uint32) {
	for _, record := range deleted {
		diff := diffOf(diffs, record.GetService())
		if _, ok := targetFrom(record, usable); !ok {
			d.unusable--
			continue
		}
		diff.deleted = append(diff.deleted, record.GetNumber())
		removed = append(removed, record.GetNumber())
	}
	return removed
}

// putRecords adds new and changed records to the diffs of their services. It returns their
// targets.
func (d *Directory) putRecords(diffs map[uint32]*serviceDiff, put []*controlpb.TargetRecord, previous *Directory, now time.Duration, usable Usable) (added []routing.Target) {
	for _, record := range put {
		diff := diffOf(diffs, record.GetService())
		target, ok := targetFrom(record, usable)
		if !ok {
			d.unusable++
			continue
		}
		diff.put.add(target, d.start(previous, record, now))
		added = append(added, target)
	}
	return added
}

// merge returns the targets after a diff.
func (m *serviceTargets) merge(diff *serviceDiff) *serviceTargets {
	if m == nil {
		m = &serviceTargets{}
	}
	size := len(m.targets) + len(diff.put.targets)
	next := &serviceTargets{
		targets: make([]routing.Target, 0, size),
		started: make([]time.Duration, 0, size),
	}
	deleted, put := diff.deleted, 0
	putBefore := func(number uint32, all bool) {
		for put < len(diff.put.targets) && (all || diff.put.targets[put].Number < number) {
			next.add(diff.put.targets[put], diff.put.started[put])
			put++
		}
	}
	for i, t := range m.targets {
		putBefore(t.Number, false)
		if len(deleted) > 0 && deleted[0] == t.Number {
			deleted = deleted[1:]
			continue
		}
		next.add(t, m.started[i])
	}
	putBefore(0, true)
	return next
}

// dropStartTimes drops the cold starts of incarnations that are no longer listed.
func (d *Directory) dropStartTimes(deleted, put []*controlpb.TargetRecord, usable Usable) {
	kept := make(map[incarnationKey]bool, len(put))
	for _, record := range put {
		if _, ok := targetFrom(record, usable); ok {
			kept[incarnationKeyOf(record)] = true
		}
	}
	for _, record := range deleted {
		if !kept[incarnationKeyOf(record)] {
			delete(d.started, incarnationKeyOf(record))
		}
	}
}

// Diff compares two lists sorted by target number, by the identity of their records. A
// changed record is in both results.
func Diff(before, after []*controlpb.TargetRecord) (deleted, put []*controlpb.TargetRecord) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].GetNumber() < after[0].GetNumber():
			deleted, before = append(deleted, before[0]), before[1:]
		case len(before) == 0 || after[0].GetNumber() < before[0].GetNumber():
			put, after = append(put, after[0]), after[1:]
		default:
			if before[0] != after[0] {
				deleted, put = append(deleted, before[0]), append(put, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return deleted, put
}

func incarnationKeyOf(record *controlpb.TargetRecord) incarnationKey {
	return incarnationKey{number: record.GetNumber(), incarnation: record.GetIncarnation()}
}

// targetFrom returns the target of a record, and false if its address isn't usable.
func targetFrom(record *controlpb.TargetRecord, usable Usable) (routing.Target, bool) {
	target, err := subscriber.TargetOf(record)
	return target, err == nil && usable(target.Address)
}

// start records and returns the time of a target's cold start.
func (d *Directory) start(previous *Directory, record *controlpb.TargetRecord, now time.Duration) time.Duration {
	key := incarnationKeyOf(record)
	start := coldStart{
		at:       now - time.Duration(record.GetAgeMs())*time.Millisecond,
		sequence: record.GetSequence(),
	}
	if previous != nil {
		if before, ok := previous.started[key]; ok {
			start = before.merge(start)
		}
	}
	d.started[key] = start
	return start.at
}
