package membership

import (
	"container/list"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Defaults of Options.
const (
	// DefaultLease is how long a record lives without being renewed.
	DefaultLease = 9 * time.Second
	// DefaultHold is how long records from a source that fell silent are kept
	// beyond their lease.
	DefaultHold = time.Hour
	// DefaultMaxTargets bounds the records of a directory.
	DefaultMaxTargets = 32_768
	// DefaultMaxRemoved bounds the removals remembered for deltas.
	DefaultMaxRemoved = 4_096
)

// maxNumber bounds target numbers and incarnations, see package connid.
const maxNumber = 1<<24 - 1

// maxText bounds names and failure domains, in bytes.
const maxText = 255

// Options configures a Directory. Zero fields take the defaults.
type Options struct {
	// Epoch names this life of the directory; it is random and not zero.
	Epoch uint64
	// Start is the time at which the directory is made.
	Start      time.Duration
	Lease      time.Duration
	Hold       time.Duration
	MaxTargets int
	MaxRemoved int
	Damping    Damping
}

// Verdict tells what became of an announced record.
type Verdict int

// Verdicts of Announce.
const (
	// Changed tells that the record is new or differs from the one held.
	Changed Verdict = iota + 1
	// Renewed tells that the record held got a new lease.
	Renewed
	// Superseded tells that a newer incarnation of the target is known.
	Superseded
	// Outdated tells that a newer record of the same incarnation is known.
	Outdated
	// Improper tells that the record breaks a bound or names no address.
	Improper
	// Full tells that the directory holds as many targets as it may.
	Full
)

// Took reports whether the record is now held.
func (v Verdict) Took() bool { return v == Changed || v == Renewed }

// Source names where a record was heard: empty for the agent itself, else
// the control host that passed it on.
type Source string

// Direct is the source of records heard from their agents.
const Direct Source = ""

// Directory holds the newest record of each target.
type Directory struct {
	opts Options
	byID map[uint32]*target
	// changes has targets and removals in the order of their last change.
	changes *list.List
	// leases has targets in the order in which their leases end.
	leases   *list.List
	sequence uint64
	// floor is the newest sequence whose removals are forgotten.
	floor uint64
	// removed has the removals that are remembered, oldest first.
	removed *list.List
	gone    map[uint32]*target
}

// target is the state of one target number.
type target struct {
	// heard is the newest record; published is what subscribers were told.
	heard     *controlpb.TargetRecord
	published *controlpb.TargetRecord
	// heardAt is when the newest record was heard: its age counts from then.
	heardAt time.Duration
	source  Source
	ends    time.Duration
	// heldSince is set while the lease is over but the source is silent.
	heldSince time.Duration
	held      bool
	flaps     flaps
	sequence  uint64
	change    *list.Element
	lease     *list.Element
	// isGone marks a removal that is remembered for deltas.
	isGone  bool
	removal *list.Element
}

// New returns an empty directory.
func New(opts Options) *Directory {
	opts.setDefaults()
	return &Directory{
		opts:    opts,
		byID:    map[uint32]*target{},
		changes: list.New(),
		leases:  list.New(),
		removed: list.New(),
		gone:    map[uint32]*target{},
	}
}

func (o *Options) setDefaults() {
	if o.Lease <= 0 {
		o.Lease = DefaultLease
	}
	if o.Hold <= 0 {
		o.Hold = DefaultHold
	}
	if o.MaxTargets <= 0 {
		o.MaxTargets = DefaultMaxTargets
	}
	if o.MaxRemoved <= 0 {
		o.MaxRemoved = DefaultMaxRemoved
	}
	o.Damping.setDefaults()
}

// Lease returns the length of a lease.
func (d *Directory) Lease() time.Duration { return d.opts.Lease }

// Epoch returns the epoch of this life of the directory.
func (d *Directory) Epoch() uint64 { return d.opts.Epoch }

// Sequence returns the sequence of the last change.
func (d *Directory) Sequence() uint64 { return d.sequence }

// Len returns the number of targets held.
func (d *Directory) Len() int { return len(d.byID) }

// Settled reports whether the directory has listened for a whole lease, so
// that a target that it does not hold has no lease. Before that its list says
// which targets exist, not which do not.
func (d *Directory) Settled(now time.Duration) bool { return now-d.opts.Start >= d.opts.Lease }

// Announce merges a record and renews its lease. The record must not be
// changed afterwards.
func (d *Directory) Announce(now time.Duration, r *controlpb.TargetRecord, from Source) Verdict {
	if !proper(r) {
		return Improper
	}
	t, known := d.byID[r.GetNumber()]
	if !known {
		if len(d.byID) >= d.opts.MaxTargets {
			return Full
		}
		t = d.create(r)
	}
	if verdict := compare(t.heard, r); known && !verdict.Took() {
		return verdict
	}
	return d.take(now, t, r, from, known)
}

func proper(r *controlpb.TargetRecord) bool {
	if r.GetNumber() == 0 || r.GetNumber() > maxNumber || r.GetIncarnation() > maxNumber {
		return false
	}
	if r.GetService() == 0 || r.GetIncarnation() == 0 || r.GetSlots() == 0 {
		return false
	}
	if len(r.GetName()) > maxText || len(r.GetFailureDomain()) > maxText {
		return false
	}
	if r.GetState() == controlpb.TargetState_TARGET_STATE_UNSPECIFIED {
		return false
	}
	addr, err := netip.ParseAddrPort(r.GetAddress())
	return err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}

// compare tells how a record stands to the one held.
func compare(held, r *controlpb.TargetRecord) Verdict {
	switch {
	case r.GetIncarnation() < held.GetIncarnation():
		return Superseded
	case r.GetIncarnation() > held.GetIncarnation():
		return Changed
	case r.GetSequence() < held.GetSequence():
		return Outdated
	case r.GetSequence() > held.GetSequence():
		return Changed
	}
	return Renewed
}

func (d *Directory) create(r *controlpb.TargetRecord) *target {
	t := &target{heard: r, flaps: d.recall(r.GetNumber())}
	d.byID[r.GetNumber()] = t
	return t
}

func (d *Directory) take(now time.Duration, t *target, r *controlpb.TargetRecord, from Source, known bool) Verdict {
	old := t.heard
	t.heard = r
	t.heardAt = now
	// A record heard from its agent does not become one from hearsay while
	// its lease runs: the agent is known to reach this host.
	if from == Direct || t.source != Direct || !known || now >= t.ends {
		t.source = from
	}
	d.renew(now, t)
	if known && same(old, r) {
		return Renewed
	}
	t.flaps.count(now, &d.opts.Damping, old, r, known)
	d.publish(now, t)
	return Changed
}

// same compares records without the fields that grow by themselves.
func same(a, b *controlpb.TargetRecord) bool {
	if a == b {
		return true
	}
	if a.GetSequence() != b.GetSequence() || a.GetIncarnation() != b.GetIncarnation() {
		return false
	}
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.AgeMs, y.AgeMs = 0, 0
	return proto.Equal(x, y)
}

func (d *Directory) renew(now time.Duration, t *target) {
	t.ends = now + d.opts.Lease
	t.held = false
	if t.lease != nil {
		d.leases.Remove(t.lease)
	}
	t.lease = d.leases.PushBack(t)
}

// publish makes the record held, as damped, part of the deltas.
func (d *Directory) publish(now time.Duration, t *target) {
	next := t.heard
	if t.flaps.suppressed(now, &d.opts.Damping) && !next.GetIll() {
		next = proto.CloneOf(next)
		next.Ill = true
	}
	if t.published != nil && proto.Equal(t.published, next) {
		return
	}
	t.published = next
	d.move(t)
}

// move puts a change at the end of the log.
func (d *Directory) move(t *target) {
	d.sequence++
	t.sequence = d.sequence
	if t.change != nil {
		d.changes.Remove(t.change)
	}
	t.change = d.changes.PushBack(t)
}
