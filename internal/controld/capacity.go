package controld

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/capacitystate"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// capacityReports has the capacity states that agents announce to this host, in memory only.
// Each is valid for a lease.
type capacityReports struct {
	mu       sync.Mutex
	byTarget map[uint32]capacityReport
	// overloaded is the number of overloaded targets, expiredAt the end of the last sweep.
	overloaded int
	expiredAt  time.Duration
}

// capacitySweepInterval is the time between two sweeps of all reports. Replies to operators
// leave out ended reports in any case, a sweep frees them and corrects the gauge.
const capacitySweepInterval = time.Second

// capacityReport is the last report of a target.
type capacityReport struct {
	service    uint32
	receivedAt time.Duration
	overloaded bool
	// since, refused and load are valid if overloaded.
	since   time.Duration
	refused capacitystate.Refused
	load    uint32
}

func newCapacityReports() *capacityReports {
	return &capacityReports{byTarget: map[uint32]capacityReport{}}
}

// record replaces the report of a target. Without a state the target is unknown.
func (c *capacityReports) record(now time.Duration, r *controlpb.TargetRecord, s *controlpb.CapacityState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil {
		c.remove(r.GetNumber())
		return
	}
	report := capacityReport{
		service:    r.GetService(),
		receivedAt: now,
		overloaded: s.OverloadedMs != nil,
		since:      now - time.Duration(s.GetOverloadedMs())*time.Millisecond,
		load:       s.GetLoadPermille(),
	}
	copy(report.refused[:], s.GetRefused())
	if c.byTarget[r.GetNumber()].overloaded {
		c.overloaded--
	}
	if report.overloaded {
		c.overloaded++
	}
	c.byTarget[r.GetNumber()] = report
}

// remove removes the report of a target. The lock is held.
func (c *capacityReports) remove(number uint32) {
	if c.byTarget[number].overloaded {
		c.overloaded--
	}
	delete(c.byTarget, number)
}

// expire removes the reports received until a time, unless it did so less than
// capacitySweepInterval before.
func (c *capacityReports) expire(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until-c.expiredAt < capacitySweepInterval {
		return
	}
	c.expiredAt = until
	for number, r := range c.byTarget {
		if r.receivedAt <= until {
			c.remove(number)
		}
	}
}

// overloadedCount returns the number of overloaded targets.
func (c *capacityReports) overloadedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overloaded
}

// summarize adds the reports received after a time to those services.
func (c *capacityReports) summarize(after, now time.Duration, services map[uint32]*operator.ServiceCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, r := range c.byTarget {
		s := services[r.service]
		if s == nil || r.receivedAt <= after {
			continue
		}
		s.Reported++
		age := (now - r.receivedAt).Milliseconds()
		if !r.overloaded {
			s.Fine = append(s.Fine, operator.FineTarget{Number: number, ReportAgeMS: age})
		} else {
			s.Overloaded = append(s.Overloaded, operator.OverloadedTarget{
				Number:       number,
				ForMS:        (now - r.since).Milliseconds(),
				ReportAgeMS:  age,
				Refused:      slices.Clone(r.refused[:]),
				LoadPermille: r.load,
			})
		}
	}
}

// ServiceCapacity returns the state of each service with targets, ordered by name.
func (d *Daemon) ServiceCapacity() []operator.ServiceCapacity {
	services := map[uint32]*operator.ServiceCapacity{}
	for number, targets := range d.directory.countByService() {
		services[number] = &operator.ServiceCapacity{
			Service: d.configs.serviceName(number), Number: number, Targets: targets, Overloaded: []operator.OverloadedTarget{},
		}
	}
	now := d.directory.now()
	d.directory.capacity.summarize(now-d.directory.lease(), now, services)
	out := []operator.ServiceCapacity{}
	for _, s := range services {
		slices.SortFunc(s.Overloaded, func(a, b operator.OverloadedTarget) int { return cmp.Compare(a.Number, b.Number) })
		slices.SortFunc(s.Fine, func(a, b operator.FineTarget) int { return cmp.Compare(a.Number, b.Number) })
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b operator.ServiceCapacity) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
	})
	return out
}
