package entryd

import (
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// life names one incarnation of a target.
type life struct {
	number, incarnation uint32
}

// directory holds the targets of a view by service. Only the goroutine of Run
// uses it.
type directory struct {
	services map[uint32]*members
	loads    *routing.Loads
	started  map[life]coldStart
	// damped is the number of targets that flap.
	damped int
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
}

// directoryFrom returns the directory of a list of records. It leaves out
// and counts those whose address isn't usable. Reports and ages of targets that
// previous holds as well are kept; previous may be nil.
func directoryFrom(previous *directory, records []*controlpb.TargetRecord, now time.Duration, usable func(netip.AddrPort) bool) (d *directory, unusable int) {
	d = &directory{
		services: make(map[uint32]*members),
		started:  make(map[life]coldStart, len(records)),
	}
	list := make([]routing.Target, 0, len(records))
	for _, record := range records {
		address, err := netip.ParseAddrPort(record.GetAddress())
		if err != nil || !usable(address) {
			unusable++
			continue
		}
		target := targetFrom(record, address)
		start := coldStart{
			at:       now - time.Duration(record.GetAgeMs())*time.Millisecond,
			sequence: record.GetSequence(),
		}
		d.add(target, d.start(previous, &target, start))
		list = append(list, target)
	}

	var loads *routing.Loads
	if previous != nil {
		loads = previous.loads
	}
	d.loads = routing.NewLoads(loads, list)
	return d, unusable
}

func targetFrom(record *controlpb.TargetRecord, address netip.AddrPort) routing.Target {
	return routing.Target{
		Number:      record.GetNumber(),
		Incarnation: record.GetIncarnation(),
		Service:     record.GetService(),
		Address:     address,
		Draining:    record.GetState() == controlpb.TargetState_TARGET_STATE_DRAINING,
		Ill:         record.GetIll(),
		Damped:      record.GetDamped(),
	}
}

func (d *directory) add(t routing.Target, started time.Duration) {
	m := d.services[t.Service]
	if m == nil {
		m = &members{}
		d.services[t.Service] = m
	}
	m.targets = append(m.targets, t)
	m.started = append(m.started, started)
	if t.Damped {
		d.damped++
	}
}

// start remembers and returns when the target had its cold start.
func (d *directory) start(previous *directory, t *routing.Target, start coldStart) time.Duration {
	key := life{number: t.Number, incarnation: t.Incarnation}
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
