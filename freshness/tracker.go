package freshness

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	// DefaultLimit leaves a second of the time in which a change has to be in force, 3 s, for
	// the move to another control host.
	DefaultLimit      = 2 * time.Second
	DefaultBackoffMin = 250 * time.Millisecond
	DefaultBackoffMax = 3 * time.Second
)

const (
	// maxPatience bounds how long a control host that reports nothing is kept, in multiples
	// of the limit.
	maxPatience = 8
	// maxDoublings keeps durations in range; their bounds are reached before.
	maxDoublings = 16
)

// Options configure a Tracker. Zero values mean the defaults.
type Options struct {
	// Limit is the highest age of the proof that the version in use is the newest.
	Limit time.Duration
	// BackoffMin and BackoffMax bound the interval between two moves without a proof in
	// between, which doubles.
	BackoffMin, BackoffMax time.Duration
}

// WithDefaults returns the options with the defaults in place of zero values.
func (o Options) WithDefaults() Options {
	o.Limit = cmp.Or(o.Limit, DefaultLimit)
	o.BackoffMin = cmp.Or(o.BackoffMin, DefaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, DefaultBackoffMax)
	return o
}

// State is what a control host reports of itself.
type State struct {
	// Version is the version that it has.
	Version uint64
	// Confirmed is set if a quorum has confirmed since the start of the control host that it
	// has every committed version. Age is how long ago the last confirmation began.
	Confirmed bool
	Age       time.Duration
	// Isolated is set if the control host has not been able to confirm its state for longer
	// than an election takes.
	Isolated bool
}

// Reason is why a control host is kept or left.
type Reason string

// Reasons of Decide. The last three are those to leave.
const (
	ReasonNotSubscribed Reason = "not_subscribed"
	ReasonConfirmed     Reason = "confirmed"
	ReasonBackoff       Reason = "backoff"
	ReasonWaiting       Reason = "waiting"
	// ReasonIsolated: the control host reports that it is.
	ReasonIsolated Reason = "isolated"
	// ReasonBehind: the control host has an older version than the one in use.
	ReasonBehind Reason = "behind"
	// ReasonUnconfirmed: nothing has proved for too long that the version in use is the
	// newest.
	ReasonUnconfirmed Reason = "unconfirmed"
)

// Tracker knows as of when the version in use was the newest.
type Tracker struct {
	opts Options
	// provenAt is the latest time at which the version in use is known to have been the
	// newest, zero if there is none.
	provenAt time.Time
	// openedAt is the start of the subscription, zero without one.
	openedAt time.Time
	// observed is set once the control host has reported its state on this subscription.
	// isolated and behind are from the last report.
	observed, isolated, behind bool
	// hostProvenAt is like provenAt for the version of the control host, which need not have
	// arrived.
	hostProvenAt time.Time
	// moves counts the moves since the last proof, nextMove is the earliest time of another.
	// silent counts the moves from a control host that had reported nothing.
	moves, silent int
	nextMove      time.Time
}

// NewTracker returns a tracker without a subscription.
func NewTracker(o Options) *Tracker { return &Tracker{opts: o.WithDefaults()} }

// Opened records the start of a subscription to a control host.
func (t *Tracker) Opened(now time.Time) {
	t.openedAt = now
	t.observed, t.isolated, t.behind = false, false, false
	t.hostProvenAt = time.Time{}
}

// Closed records the end of the subscription.
func (t *Tracker) Closed() { t.openedAt = time.Time{} }

// Observe records the state of the control host. inUse is the version that this process has by
// now.
func (t *Tracker) Observe(s State, inUse uint64, now time.Time) {
	t.observed, t.isolated, t.behind = true, s.Isolated, s.Version < inUse
	if !s.Confirmed {
		return
	}
	t.hostProvenAt = later(t.hostProvenAt, now.Add(-s.Age))
	if s.Version != inUse {
		return
	}
	t.provenAt = later(t.provenAt, now.Add(-s.Age))
	if t.fresh(now) && !now.Before(t.nextMove) {
		t.moves, t.silent = 0, 0
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Age returns how long ago the version in use was known to be the newest. It is not known
// before the first proof.
func (t *Tracker) Age(now time.Time) (age time.Duration, known bool) {
	if t.provenAt.IsZero() {
		return 0, false
	}
	return now.Sub(t.provenAt), true
}

func (t *Tracker) fresh(now time.Time) bool {
	age, known := t.Age(now)
	return known && age <= t.opts.Limit
}

// Decide reports whether to move to another control host, and why or why not.
func (t *Tracker) Decide(now time.Time) (move bool, reason Reason) {
	switch {
	case t.openedAt.IsZero():
		return false, ReasonNotSubscribed
	case !t.isolated && t.fresh(now):
		return false, ReasonConfirmed
	case now.Before(t.nextMove):
		return false, ReasonBackoff
	case t.isolated:
		return true, ReasonIsolated
	case !t.hostProvenAt.IsZero() && now.Sub(t.hostProvenAt) > t.opts.Limit:
		return true, ReasonUnconfirmed
	case now.Sub(t.openedAt) <= t.patience():
		return false, ReasonWaiting
	case t.behind:
		return true, ReasonBehind
	}
	return true, ReasonUnconfirmed
}

// patience returns how long a control host without a confirmation is kept. It grows with
// each one that reported nothing, since the first message may take long over a slow path.
func (t *Tracker) patience() time.Duration {
	return min(t.opts.Limit<<t.silent, maxPatience*t.opts.Limit)
}

// Moved records a move. jitter varies the delay until the next one, so that processes do not
// act in sync.
func (t *Tracker) Moved(now time.Time, jitter func(time.Duration) time.Duration) {
	backoff := min(t.opts.BackoffMin<<t.moves, t.opts.BackoffMax)
	t.nextMove = now.Add(jitter(backoff))
	t.moves = min(t.moves+1, maxDoublings)
	if !t.observed {
		t.silent = min(t.silent+1, maxDoublings)
	}
}
