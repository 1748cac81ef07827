package entryd

import (
	"maps"
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// life names one incarnation of a target.
type life struct {
	number, incarnation uint32
}

// directory holds the targets of a view by service. Only the goroutine of Run
// uses it.
type directory struct {
	// records are those that the rest was made from. Unchanged ones are the same
	// messages in the next view.
	records  []*controlpb.TargetRecord
	unusable int
	services map[uint32]*members
	loads    *routing.LoadReports
	started  map[life]coldStart
	// changed has the services whose targets differ from those of the directory
	// before; nil means all.
	changed map[uint32]bool
}

// restartMargin is how much later than the known one the start of a newer
// record has to be in order to count as another cold start. Less is the time
// that records take to get here.
const restartMargin = time.Second

// coldStart tells when a target had its cold start, as a duration on the
// forwarder's clock. A record tells the age at the time it was made, which is
// not later than when it was first seen here, so the earliest start seen is the
// nearest to the truth, until the backend server starts again.
type coldStart struct {
	at time.Duration
	// sequence of the newest record seen.
	sequence uint64
}

// next returns the cold start after one more record.
func (s coldStart) next(record coldStart) coldStart {
	switch {
	case record.sequence <= s.sequence:
		return coldStart{at: min(s.at, record.at), sequence: s.sequence}
	case record.at > s.at+restartMargin:
		return record
	default:
		return coldStart{at: min(s.at, record.at), sequence: record.sequence}
	}
}

// members are the targets of one service with the start of each. The starts
// stand beside the targets because every refresh needs all of them.
type members struct {
	targets []routing.Target
	started []time.Duration
	// damped is the number of targets that flap.
	damped int
}

// damped returns the number of targets that flap.
func (d *directory) damped() int {
	sum := 0
	for _, m := range d.services {
		sum += m.damped
	}
	return sum
}

// usableFunc tells whether frames may go to an address.
type usableFunc func(netip.AddrPort) bool

// directoryFrom returns the directory of a list of records. It leaves out
// and counts those whose address isn't usable. Reports and ages of targets that
// previous holds as well are kept. Previous may be nil; it must not be used any
// more: what has not changed is taken over from it.
func directoryFrom(previous *directory, records []*controlpb.TargetRecord, now time.Duration, usable usableFunc) *directory {
	if previous == nil || !ascending(previous.records) || !ascending(records) {
		return wholeDirectory(previous, records, now, usable)
	}
	return previous.follow(records, now, usable)
}

// ascending reports whether each target number is greater than the one before.
func ascending(records []*controlpb.TargetRecord) bool {
	for i := 1; i < len(records); i++ {
		if records[i-1].GetNumber() >= records[i].GetNumber() {
			return false
		}
	}
	return true
}

// wholeDirectory makes all of a directory anew.
func wholeDirectory(previous *directory, records []*controlpb.TargetRecord, now time.Duration, usable usableFunc) *directory {
	d := &directory{
		records:  records,
		services: make(map[uint32]*members),
		started:  make(map[life]coldStart, len(records)),
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

// follow returns the directory of the next list of records: services none of
// whose records has changed are taken over, the others are made anew.
func (d *directory) follow(records []*controlpb.TargetRecord, now time.Duration, usable usableFunc) *directory {
	gone, put := differences(d.records, records)
	next := &directory{
		records:  records,
		unusable: d.unusable,
		services: maps.Clone(d.services),
		loads:    d.loads,
		started:  d.started,
		changed:  make(map[uint32]bool),
	}
	var removed []uint32
	for _, record := range gone {
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
	next.fill(d, now, usable)
	next.forget(gone, put, usable)
	if len(removed)+len(added) > 0 {
		next.loads = d.loads.Update(removed, added)
	}
	return next
}

// fill makes the services that have changed.
func (d *directory) fill(previous *directory, now time.Duration, usable usableFunc) {
	for _, record := range d.records {
		if !d.changed[record.GetService()] {
			continue
		}
		if target, ok := targetFrom(record, usable); ok {
			d.add(previous, target, record, now)
		}
	}
}

// forget drops the cold starts of the lives that are no longer listed.
func (d *directory) forget(gone, put []*controlpb.TargetRecord, usable usableFunc) {
	stays := make(map[life]bool, len(put))
	for _, record := range put {
		if _, ok := targetFrom(record, usable); ok {
			stays[lifeOf(record)] = true
		}
	}
	for _, record := range gone {
		if !stays[lifeOf(record)] {
			delete(d.started, lifeOf(record))
		}
	}
}

// differences compares two lists in the order of target numbers. A record
// that has changed is in both results.
func differences(before, after []*controlpb.TargetRecord) (gone, put []*controlpb.TargetRecord) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].GetNumber() < after[0].GetNumber():
			gone, before = append(gone, before[0]), before[1:]
		case len(before) == 0 || after[0].GetNumber() < before[0].GetNumber():
			put, after = append(put, after[0]), after[1:]
		default:
			if before[0] != after[0] {
				gone, put = append(gone, before[0]), append(put, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return gone, put
}

func lifeOf(record *controlpb.TargetRecord) life {
	return life{number: record.GetNumber(), incarnation: record.GetIncarnation()}
}

// targetFrom returns the target of a record, unless its address isn't usable.
func targetFrom(record *controlpb.TargetRecord, usable usableFunc) (routing.Target, bool) {
	target, err := subscriber.TargetOf(record)
	return target, err == nil && usable(target.Address)
}

// add adds a target to its service.
func (d *directory) add(previous *directory, t routing.Target, record *controlpb.TargetRecord, now time.Duration) {
	m := d.services[t.Service]
	if m == nil {
		m = &members{}
		d.services[t.Service] = m
	}
	start := coldStart{
		at:       now - time.Duration(record.GetAgeMs())*time.Millisecond,
		sequence: record.GetSequence(),
	}
	m.targets = append(m.targets, t)
	m.started = append(m.started, d.start(previous, lifeOf(record), start))
	if t.Damped {
		m.damped++
	}
}

// start remembers and returns when the target had its cold start.
func (d *directory) start(previous *directory, key life, start coldStart) time.Duration {
	if previous != nil {
		if before, ok := previous.started[key]; ok {
			start = before.next(start)
		}
	}
	d.started[key] = start
	return start.at
}

// table builds the routing table of a service.
func (d *directory) table(s *servicePolicy, now time.Duration) *routing.Table {
	m := d.services[s.number]
	if m == nil {
		m = &members{}
	}
	for i := range m.targets {
		m.targets[i].Age = now - m.started[i]
	}
	return routing.NewTable(s.policy, s.number, m.targets, d.loads, now)
}
