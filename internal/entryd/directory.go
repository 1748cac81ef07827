package entryd

import (
	"maps"
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// incarnationKey identifies one incarnation of a target.
type incarnationKey struct {
	number, incarnation uint32
}

// directory holds the targets of a view by service. Only the goroutine of Run uses it.
type directory struct {
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

// coldStart is the time of a target's cold start on the forwarder's clock. A record has
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

// serviceTargets holds the targets of a service and, by the same index, their start
// times.
type serviceTargets struct {
	targets []routing.Target
	started []time.Duration
	// damped is the number of flapping targets.
	damped int
}

// damped returns the number of flapping targets.
func (d *directory) damped() int {
	sum := 0
	for _, m := range d.services {
		sum += m.damped
	}
	return sum
}

// usableFunc reports whether frames may be sent to an address.
type usableFunc func(netip.AddrPort) bool

// newDirectory returns the directory of a list of records. Records without a usable
// address are counted and skipped. Reports and start times of incarnations in previous
// are kept. Previous may be nil and must not be used afterwards, as its state is
// reused.
func newDirectory(previous *directory, records []*controlpb.TargetRecord, now time.Duration, usable usableFunc) *directory {
	if previous == nil || !sortedByNumber(previous.records) || !sortedByNumber(records) {
		return buildDirectory(previous, records, now, usable)
	}
	return previous.update(records, now, usable)
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

// buildDirectory builds a directory from scratch.
func buildDirectory(previous *directory, records []*controlpb.TargetRecord, now time.Duration, usable usableFunc) *directory {
	d := &directory{
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
		d.add(previous, target, record, now)
		list = append(list, target)
	}

	var loads *routing.LoadReports
	if previous != nil {
		loads = previous.loads
	}
	d.loads = routing.NewLoadReports(loads, list)
	return d
}

// update returns the directory of the next list of records. It rebuilds only services
// with changed records.
func (d *directory) update(records []*controlpb.TargetRecord, now time.Duration, usable usableFunc) *directory {
	deleted, put := diffRecords(d.records, records)
	next := &directory{
		records:  records,
		unusable: d.unusable,
		services: maps.Clone(d.services),
		loads:    d.loads,
		started:  d.started,
		changed:  make(map[uint32]bool),
	}
	var removed []uint32
	for _, record := range deleted {
		next.changed[record.GetService()] = true
		if _, ok := targetFrom(record, usable); !ok {
			next.unusable--
			continue
		}
		removed = append(removed, record.GetNumber())
	}
	var added []routing.Target
	for _, record := range put {
		next.changed[record.GetService()] = true
		target, ok := targetFrom(record, usable)
		if !ok {
			next.unusable++
			continue
		}
		added = append(added, target)
	}
	for service := range next.changed {
		delete(next.services, service)
	}
	next.rebuildChanged(d, now, usable)
	next.dropStartTimes(deleted, put, usable)
	if len(removed)+len(added) > 0 {
		next.loads = d.loads.Update(removed, added)
	}
	return next
}

// rebuildChanged rebuilds the services that have changed.
func (d *directory) rebuildChanged(previous *directory, now time.Duration, usable usableFunc) {
	for _, record := range d.records {
		if !d.changed[record.GetService()] {
			continue
		}
		if target, ok := targetFrom(record, usable); ok {
			d.add(previous, target, record, now)
		}
	}
}

// dropStartTimes drops the cold starts of incarnations that are no longer listed.
func (d *directory) dropStartTimes(deleted, put []*controlpb.TargetRecord, usable usableFunc) {
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

// diffRecords compares two lists sorted by target number. A changed record is in both
// results.
func diffRecords(before, after []*controlpb.TargetRecord) (deleted, put []*controlpb.TargetRecord) {
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
func targetFrom(record *controlpb.TargetRecord, usable usableFunc) (routing.Target, bool) {
	target, err := subscriber.TargetOf(record)
	return target, err == nil && usable(target.Address)
}

// add adds a target to its service.
func (d *directory) add(previous *directory, t routing.Target, record *controlpb.TargetRecord, now time.Duration) {
	m := d.services[t.Service]
	if m == nil {
		m = &serviceTargets{}
		d.services[t.Service] = m
	}
	start := coldStart{
		at:       now - time.Duration(record.GetAgeMs())*time.Millisecond,
		sequence: record.GetSequence(),
	}
	m.targets = append(m.targets, t)
	m.started = append(m.started, d.start(previous, incarnationKeyOf(record), start))
	if t.Damped {
		m.damped++
	}
}

// start records and returns the time of the target's cold start.
func (d *directory) start(previous *directory, key incarnationKey, start coldStart) time.Duration {
	if previous != nil {
		if before, ok := previous.started[key]; ok {
			start = before.merge(start)
		}
	}
	d.started[key] = start
	return start.at
}

// table builds the routing table of a service.
func (d *directory) table(s *servicePolicy, now time.Duration) *routing.Table {
	m := d.services[s.number]
	if m == nil {
		m = &serviceTargets{}
	}
	for i := range m.targets {
		m.targets[i].Age = now - m.started[i]
	}
	return routing.NewTable(s.policy, s.number, m.targets, d.loads, now)
}
