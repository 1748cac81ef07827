package routing

import (
	"maps"
	"sync/atomic"
	"time"
)

const (
	// MaxReportAge is the age from which the flags of a report are ignored.
	MaxReportAge = 5 * time.Second
	// MaxLoadAge is the age from which the load of a report counts as the
	// average. It is shorter: load figures ride on replies, so a target that
	// went idle after a busy moment has nothing to tell it by.
	MaxLoadAge = time.Second
)

// Report is what a reply frame says of its sender.
type Report struct {
	// Load per mille of the target's capacity.
	Load uint16
	// Draining: the target takes no new flows.
	Draining bool
	// Unhealthy: its agent holds the backend server to be ill.
	Unhealthy bool
}

// LoadReports holds the last report of each target of a list, and nothing of any
// other one, so its size is bounded by the list. The set of targets is
// immutable; reports may be learned and read concurrently without a lock.
type LoadReports struct {
	cells map[uint32]*cell
}

// cell holds the report of one incarnation of a target.
type cell struct {
	// report is a packed Report with its time, zero if there is none.
	report atomic.Uint64
	// unanswered counts flows sent since the last report.
	unanswered  atomic.Uint32
	incarnation uint32
	// waiting is the stamp of the first packet since the last frame that the
	// target had to answer, zero if there is none; probed that of the last probe.
	waiting, probed atomic.Int64
}

// Layout of a packed report.
const (
	loadMask       = 1<<16 - 1
	packedDraining = 1 << 16
	packedIll      = 1 << 17
	packedKnown    = 1 << 18
	timeShift      = 19
)

// NewLoadReports returns the loads of a list of targets. Reports of incarnations
// that previous holds as well are shared with it, so that a report learned
// through either shows in both. Previous may be nil.
func NewLoadReports(previous *LoadReports, targets []Target) *LoadReports {
	l := &LoadReports{cells: make(map[uint32]*cell, len(targets))}
	for i := range targets {
		l.add(previous, &targets[i])
	}
	return l
}

// Update returns the loads of a list that lacks some numbers and has some
// targets in addition or in another incarnation. Reports of all others, and of
// incarnations that stay, are shared with l. No number may be added twice.
func (l *LoadReports) Update(gone []uint32, added []Target) *LoadReports {
	next := &LoadReports{cells: maps.Clone(l.cells)}
	for _, number := range gone {
		delete(next.cells, number)
	}
	for i := range added {
		next.add(l, &added[i])
	}
	return next
}

func (l *LoadReports) add(previous *LoadReports, t *Target) {
	if c := l.cells[t.Number]; c != nil && c.incarnation >= t.Incarnation {
		return
	}
	if c := previous.find(t.Number, t.Incarnation); c != nil {
		l.cells[t.Number] = c
		return
	}
	l.cells[t.Number] = &cell{incarnation: t.Incarnation}
}

func (l *LoadReports) find(number, incarnation uint32) *cell {
	if l == nil {
		return nil
	}
	c := l.cells[number]
	if c == nil || c.incarnation != incarnation {
		return nil
	}
	return c
}

// Len returns the number of targets.
func (l *LoadReports) Len() int {
	return len(l.cells)
}

// Record keeps the report of a frame that came now, ends the silence of its sender
// and reports whether the incarnation is on the list. It allocates nothing.
func (l *LoadReports) Record(number, incarnation uint32, r Report, now time.Duration) bool {
	c := l.find(number, incarnation)
	if c == nil {
		return false
	}
	c.report.Store(pack(r, now))
	if c.unanswered.Load() != 0 {
		c.unanswered.Store(0)
	}
	c.answered()
	return true
}

// Latest returns the last report of an incarnation if it is not stale.
func (l *LoadReports) Latest(number, incarnation uint32, now time.Duration) (Report, bool) {
	c := l.find(number, incarnation)
	if c == nil {
		return Report{}, false
	}
	return c.fresh(now)
}

// Age returns how old the last report of an incarnation is. Known is false if there
// is none that counts.
func (l *LoadReports) Age(number, incarnation uint32, now time.Duration) (age time.Duration, known bool) {
	c := l.find(number, incarnation)
	if c == nil {
		return 0, false
	}
	packed := c.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxLoadAge {
		return 0, false
	}
	return ageOf(packed, now), true
}

// Decay halves the count of unanswered flows of every target. Called about
// once a second, it lets a target that was silent be tried again.
func (l *LoadReports) Decay() {
	for _, c := range l.cells {
		if n := c.unanswered.Load(); n != 0 {
			c.unanswered.Store(n / 2)
		}
	}
}

// freshLoad returns the load of the last report, per mille, unless it is too
// old to tell.
func (c *cell) freshLoad(now time.Duration) (uint32, bool) {
	packed := c.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxLoadAge {
		return 0, false
	}
	return uint32(packed & loadMask), true
}

func ageOf(packed uint64, now time.Duration) time.Duration {
	return now - time.Duration(packed>>timeShift)*time.Millisecond
}

func (c *cell) fresh(now time.Duration) (Report, bool) {
	packed := c.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxReportAge {
		return Report{}, false
	}
	return Report{
		Load:      uint16(packed & loadMask),
		Draining:  packed&packedDraining != 0,
		Unhealthy: packed&packedIll != 0,
	}, true
}

func pack(r Report, now time.Duration) uint64 {
	packed := uint64(r.Load) | packedKnown | uint64(now.Milliseconds())<<timeShift
	if r.Draining {
		packed |= packedDraining
	}
	if r.Unhealthy {
		packed |= packedIll
	}
	return packed
}
