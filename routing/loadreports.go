package routing

import (
	"maps"
	"sync/atomic"
	"time"
)

const (
	// MaxReportAge is the age above which the flags of a report are ignored.
	MaxReportAge = 5 * time.Second
	// MaxLoadAge is the age above which the load of a report is ignored. It is short,
	// as a target that became idle sends no replies and so no newer load.
	MaxLoadAge = time.Second
)

// Report is the state of a target as sent in a reply frame.
type Report struct {
	// Load per mille of the target's capacity.
	Load uint16
	// Draining is set if the target takes no new flows.
	Draining bool
	// Unhealthy is set if the agent considers the backend server unhealthy.
	Unhealthy bool
}

// LoadReports holds the last report of each target of a list. The set of targets is
// immutable; reports may be recorded and read concurrently without a lock.
type LoadReports struct {
	states map[uint32]*reportState
}

// reportState holds the last report of one incarnation and tracks unanswered packets.
type reportState struct {
	// report is a packed Report with its time, zero if there is none.
	report atomic.Uint64
	// unanswered counts the flows sent since the last report.
	unanswered  atomic.Uint32
	incarnation uint32
	// unansweredSince is the timestamp of the first packet since the target's last frame
	// that it must answer, lastProbe that of the last probe. Zero means none.
	unansweredSince, lastProbe atomic.Int64
}

// Layout of a packed report.
const (
	loadMask        = 1<<16 - 1
	packedDraining  = 1 << 16
	packedUnhealthy = 1 << 17
	packedKnown     = 1 << 18
	timeShift       = 19
)

// NewLoadReports returns the reports of a list of targets. The state of incarnations
// that are also in previous is shared with it. Previous may be nil.
func NewLoadReports(previous *LoadReports, targets []Target) *LoadReports {
	l := &LoadReports{states: make(map[uint32]*reportState, len(targets))}
	for i := range targets {
		l.add(previous, &targets[i])
	}
	return l
}

// Update returns the reports of a list without the removed numbers and with the added
// targets, which may replace other incarnations. The state of all other incarnations is
// shared with l. No number may be added twice.
func (l *LoadReports) Update(removed []uint32, added []Target) *LoadReports {
	next := &LoadReports{states: maps.Clone(l.states)}
	for _, number := range removed {
		delete(next.states, number)
	}
	for i := range added {
		next.add(l, &added[i])
	}
	return next
}

func (l *LoadReports) add(previous *LoadReports, t *Target) {
	if s := l.states[t.Number]; s != nil && s.incarnation >= t.Incarnation {
		return
	}
	if s := previous.find(t.Number, t.Incarnation); s != nil {
		l.states[t.Number] = s
		return
	}
	l.states[t.Number] = &reportState{incarnation: t.Incarnation}
}

func (l *LoadReports) find(number, incarnation uint32) *reportState {
	if l == nil {
		return nil
	}
	s := l.states[number]
	if s == nil || s.incarnation != incarnation {
		return nil
	}
	return s
}

// Len returns the number of targets.
func (l *LoadReports) Len() int {
	return len(l.states)
}

// Record stores the report of a frame received at now and marks its sender as
// responsive. It returns false if the incarnation is not in the list. It does not
// allocate.
func (l *LoadReports) Record(number, incarnation uint32, r Report, now time.Duration) bool {
	s := l.find(number, incarnation)
	if s == nil {
		return false
	}
	s.report.Store(pack(r, now))
	if s.unanswered.Load() != 0 {
		s.unanswered.Store(0)
	}
	s.recordReply()
	return true
}

// Latest returns the last report of an incarnation unless it is stale.
func (l *LoadReports) Latest(number, incarnation uint32, now time.Duration) (Report, bool) {
	s := l.find(number, incarnation)
	if s == nil {
		return Report{}, false
	}
	return s.freshReport(now)
}

// Age returns the age of the last report of an incarnation, or false if its load is
// stale.
func (l *LoadReports) Age(number, incarnation uint32, now time.Duration) (age time.Duration, known bool) {
	s := l.find(number, incarnation)
	if s == nil {
		return 0, false
	}
	packed := s.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxLoadAge {
		return 0, false
	}
	return ageOf(packed, now), true
}

// Decay halves the number of unanswered flows of every target. It is called about once
// a second, so that a target without reports is tried again.
func (l *LoadReports) Decay() {
	for _, s := range l.states {
		if n := s.unanswered.Load(); n != 0 {
			s.unanswered.Store(n / 2)
		}
	}
}

// freshLoad returns the last reported load per mille unless it is stale.
func (s *reportState) freshLoad(now time.Duration) (uint32, bool) {
	packed := s.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxLoadAge {
		return 0, false
	}
	return uint32(packed & loadMask), true
}

func ageOf(packed uint64, now time.Duration) time.Duration {
	return now - time.Duration(packed>>timeShift)*time.Millisecond
}

func (s *reportState) freshReport(now time.Duration) (Report, bool) {
	packed := s.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxReportAge {
		return Report{}, false
	}
	return Report{
		Load:      uint16(packed & loadMask),
		Draining:  packed&packedDraining != 0,
		Unhealthy: packed&packedUnhealthy != 0,
	}, true
}

func pack(r Report, now time.Duration) uint64 {
	packed := uint64(r.Load) | packedKnown | uint64(now.Milliseconds())<<timeShift
	if r.Draining {
		packed |= packedDraining
	}
	if r.Unhealthy {
		packed |= packedUnhealthy
	}
	return packed
}
