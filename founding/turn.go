package founding

import (
	"slices"
	"time"
)

const (
	// patience is how long the same initial voters have to answer, without the others, before a
	// majority founds the groups. A majority that has just been found may lose one at the same
	// moment, and a group that has no voter to spare would then wait for it. Those that come later
	// join.
	patience = 2 * time.Second
	// stagger is how much later each further initial voter proposes, so that their proposals do not
	// end each other.
	stagger = 500 * time.Millisecond
)

// Turn decides when a host proposes the first members.
type Turn struct {
	// durable are the voters that answered last, since since.
	durable []string
	since   time.Duration
}

// Due reports whether it is the turn of a host to propose, at a time. durable has the names of the
// initial voters with a durable log that answer, itself included, in the order in which they
// propose. missing is the number of those that do not answer.
func (t *Turn) Due(self string, durable []string, missing int, now time.Duration) bool {
	if !slices.Equal(durable, t.durable) {
		t.durable, t.since = slices.Clone(durable), now
	}
	wait := time.Duration(slices.Index(durable, self)) * stagger
	if missing > 0 {
		wait += patience
	}
	return now-t.since >= wait
}
