package operator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/capacitystate"
)

// fullLoad is the load in thousandths of a target whose slots are all in use.
const fullLoad = 1000

// ServiceCapacity is the state of a service's targets as known to one control host.
type ServiceCapacity struct {
	Service string `json:"service"`
	// Number identifies the service, whose name a host that lags behind may not know.
	Number uint32 `json:"number"`
	// Targets is the number of targets in the directory of the host.
	Targets int `json:"targets"`
	// Reported is the number of targets whose agents report their state to this host.
	Reported   int                `json:"reported"`
	Overloaded []OverloadedTarget `json:"overloaded"`
	// Fine has the other reporting targets. A host of an earlier release does not list them.
	Fine []FineTarget `json:"fine,omitempty"`
}

// FineTarget is a target that reports not to be overloaded.
type FineTarget struct {
	Number      uint32 `json:"number"`
	ReportAgeMS int64  `json:"report_age_ms"`
}

// OverloadedTarget is a target that reports to be overloaded.
type OverloadedTarget struct {
	Number uint32 `json:"number"`
	// ForMS is how long it has been overloaded, ReportAgeMS how old the report is.
	ForMS       int64 `json:"overloaded_ms"`
	ReportAgeMS int64 `json:"report_age_ms"`
	// Refused counts the openings refused since then, by capacitystate.GroupNames.
	Refused []uint64 `json:"refused"`
	// LoadPermille is its load in thousandths of its slots.
	LoadPermille uint32 `json:"load_permille"`
}

// Overload is the state of a service by the reports of all control hosts.
type Overload struct {
	Service string
	// Targets is the number of its targets, Overloaded that of the overloaded ones, Unknown
	// that of those without a report: their agents are of an earlier release, or the control
	// host that they report to did not answer.
	Targets, Overloaded, Unknown int
	// For is the longest time for which one of them has been overloaded.
	For     time.Duration
	Refused capacitystate.Refused
	// MinLoadPermille and MaxLoadPermille are the loads of the overloaded targets.
	MinLoadPermille, MaxLoadPermille uint32
}

// MergeCapacity merges the reports of control hosts into one state for each service with
// overloaded or unknown targets, ordered by name. It returns nothing unless a host reports
// capacity. A target that has moved from one control host to another within a lease is
// counted once, by its newest report.
func MergeCapacity(hosts []HostStatus) []Overload {
	merged := map[uint32]*mergedService{}
	for _, h := range hosts {
		if h.Status == nil {
			continue
		}
		for i := range h.Status.Capacity {
			reported := &h.Status.Capacity[i]
			s := merged[reported.Number]
			if s == nil {
				s = &mergedService{newest: map[uint32]targetReport{}}
				merged[reported.Number] = s
			}
			s.add(reported)
		}
	}
	out := []Overload{}
	for _, s := range merged {
		if o := s.overload(); o.Overloaded > 0 || o.Unknown > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Overload) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// mergedService has the reports on one service.
type mergedService struct {
	name    string
	targets int
	// unlisted is the number of reporting targets that their hosts do not list.
	unlisted int
	// newest has the newest report of each target.
	newest map[uint32]targetReport
}

// targetReport is one report of a target.
type targetReport struct {
	ageMS int64
	// overloaded is nil if the target is not overloaded.
	overloaded *OverloadedTarget
}

func (s *mergedService) add(r *ServiceCapacity) {
	s.name = cmp.Or(s.name, r.Service)
	s.targets = max(s.targets, r.Targets)
	s.unlisted += max(r.Reported-len(r.Overloaded)-len(r.Fine), 0)
	for i := range r.Overloaded {
		t := &r.Overloaded[i]
		s.addTarget(t.Number, targetReport{ageMS: t.ReportAgeMS, overloaded: t})
	}
	for _, t := range r.Fine {
		s.addTarget(t.Number, targetReport{ageMS: t.ReportAgeMS})
	}
}

func (s *mergedService) addTarget(number uint32, r targetReport) {
	if old, known := s.newest[number]; !known || r.ageMS < old.ageMS {
		s.newest[number] = r
	}
}

func (s *mergedService) overload() Overload {
	o := Overload{
		Service: s.name,
		Targets: s.targets,
		Unknown: max(s.targets-s.unlisted-len(s.newest), 0),
	}
	for _, r := range s.newest {
		t := r.overloaded
		if t == nil {
			continue
		}
		first := o.Overloaded == 0
		o.Overloaded++
		o.For = max(o.For, time.Duration(t.ForMS)*time.Millisecond)
		if first {
			o.MinLoadPermille = t.LoadPermille
		}
		o.MinLoadPermille = min(o.MinLoadPermille, t.LoadPermille)
		o.MaxLoadPermille = max(o.MaxLoadPermille, t.LoadPermille)
		for i, n := range t.Refused[:min(len(t.Refused), len(o.Refused))] {
			o.Refused[i] += n
		}
	}
	return o
}

// WriteOverloads writes a line for each service that is overloaded or of unknown state.
func WriteOverloads(w io.Writer, overloads []Overload, now time.Time) {
	for i := range overloads {
		o := &overloads[i]
		if o.Overloaded == 0 {
			fmt.Fprintf(w, "service %s: capacity unknown for %d of %d targets\n", o.Service, o.Unknown, o.Targets)
			continue
		}
		fmt.Fprintf(w, "service %s: overloaded since %s (%s), %d of %d targets, load %.2f to %.2f, openings refused by priority:",
			o.Service, now.Add(-o.For).UTC().Format(time.RFC3339), o.For.Truncate(time.Second), o.Overloaded, o.Targets,
			float64(o.MinLoadPermille)/fullLoad, float64(o.MaxLoadPermille)/fullLoad)
		for group, name := range capacitystate.GroupNames {
			fmt.Fprintf(w, " %s: %d", name, o.Refused[group])
		}
		if o.Unknown > 0 {
			fmt.Fprintf(w, ", unknown targets: %d", o.Unknown)
		}
		fmt.Fprintln(w)
	}
}
