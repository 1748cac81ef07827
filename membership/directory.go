package membership

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Defaults of Options.
const (
	// DefaultLease is how long a record lives without being renewed.
	DefaultLease = 9 * time.Second
	// DefaultHold is how long targets that only a silent control host hears
	// are kept beyond a lease.
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

// Result tells what became of an announced record.
type Result int

// Verdicts of Announce.
const (
	// Changed tells that the record is new or differs from the one held.
	Changed Result = iota + 1
	// Renewed tells that the record held got a new lease.
	Renewed
	// Superseded tells that a newer incarnation of the target is known.
	Superseded
	// Outdated tells that a newer record of the same incarnation is known.
	Outdated
	// Invalid tells that the record breaks a bound or names no address.
	Invalid
	// AtCapacity tells that the directory holds as many targets as it may.
	AtCapacity
)

// Accepted reports whether the record is now held.
func (v Result) Accepted() bool { return v == Changed || v == Renewed }

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
	leases *list.List
	// own is what agents announce here, peers what they announce elsewhere.
	own   own
	peers map[Source]*peer
	// serial numbers the messages to other control hosts.
	serial   uint64
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
	// ends is when the lease ends, while lease is set: that of the agent's
	// announcement here, else what is left after the last host let go of it.
	// A target that only other hosts hear has none: their claims keep it.
	ends  time.Duration
	lease *list.Element
	// lingers is until when the target lives beyond a lease of its agent here.
	lingers  time.Duration
	flaps    flaps
	sequence uint64
	change   *list.Element
	// formerDomains are failure domains that the target was published in before.
	// A subscriber that wants only one of these has to learn that it left.
	formerDomains []string
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
		own:     newOwn(),
		peers:   map[Source]*peer{},
		removed: list.New(),
		gone:    map[uint32]*target{},
	}
}

func (o *Options) setDefaults() {
	o.Lease = cmp.Or(max(o.Lease, 0), DefaultLease)
	o.Hold = cmp.Or(max(o.Hold, 0), DefaultHold)
	o.MaxTargets = cmp.Or(max(o.MaxTargets, 0), DefaultMaxTargets)
	o.MaxRemoved = cmp.Or(max(o.MaxRemoved, 0), DefaultMaxRemoved)
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

// Damped returns the number of targets that are shown as ill because they
// changed too often.
func (d *Directory) Damped() int {
	damped := 0
	for _, t := range d.byID {
		if t.flaps.damped {
			damped++
		}
	}
	return damped
}

// HasIncarnation reports whether the directory has heard of an incarnation of a target, or of
// a later one, whose lease lasts.
func (d *Directory) HasIncarnation(number, incarnation uint32) bool {
	t := d.byID[number]
	return t != nil && t.heard.GetIncarnation() >= incarnation
}

// HasDomain reports whether a target stands in a failure domain.
func (d *Directory) HasDomain(name string) bool {
	for _, t := range d.byID {
		if t.heard.GetFailureDomain() == name {
			return true
		}
	}
	return false
}

// Complete reports whether the directory has listened for a whole lease, so
// that a target that it does not hold has no lease. Before that its list says
// which targets exist, not which do not.
func (d *Directory) Complete(now time.Duration) bool { return now-d.opts.Start >= d.opts.Lease }

// Announce merges a record. One from the agent itself gets a new lease; one
// from another control host lives until that host says otherwise or has been
// silent for too long. The record must not be changed afterwards.
func (d *Directory) Announce(now time.Duration, r *controlpb.TargetRecord, from Source) Result {
	t, verdict := d.accept(now, r)
	switch {
	case t == nil:
		return verdict
	case from != Direct:
		// Also what is older than the record held: the digests compare what the
		// other host hears, not what is made of it here.
		d.peerOf(now, from).claims.put(r.GetNumber(), versionOf(r))
		if verdict == Changed && d.own.held[r.GetNumber()] != versionOf(r) {
			d.own.drop(r.GetNumber())
		}
	case verdict.Accepted():
		d.own.put(r.GetNumber(), versionOf(r))
		d.restart(now, t)
	}
	return verdict
}

// accept merges a record without regard to who claims it. It returns the
// target, nil if there is none.
func (d *Directory) accept(now time.Duration, r *controlpb.TargetRecord) (*target, Result) {
	if !proper(r) {
		return nil, Invalid
	}
	t, known := d.byID[r.GetNumber()]
	if !known {
		if len(d.byID) >= d.opts.MaxTargets {
			return nil, AtCapacity
		}
		t = d.create(r)
	}
	if verdict := compare(t.heard, r); known && !verdict.Accepted() {
		return t, verdict
	}
	return t, d.take(now, t, r, known)
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
func compare(held, r *controlpb.TargetRecord) Result {
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
	t := d.recall(r.GetNumber())
	t.heard = r
	d.byID[r.GetNumber()] = t
	return t
}

func (d *Directory) take(now time.Duration, t *target, r *controlpb.TargetRecord, known bool) Result {
	old := t.heard
	t.heard = r
	t.heardAt = now
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

// restart gives a target a new lease.
func (d *Directory) restart(now time.Duration, t *target) {
	t.ends = now + d.opts.Lease
	if t.lease != nil {
		d.leases.Remove(t.lease)
	}
	t.lease = d.leases.PushBack(t)
}

// linger keeps a target for another lease that no agent has to renew.
func (d *Directory) linger(now time.Duration, t *target) {
	if d.own.has(t.heard.GetNumber()) {
		// The lease of the agent itself must not grow by what others say.
		t.lingers = now + d.opts.Lease
		return
	}
	d.restart(now, t)
}

// publish makes the record held, as damped, part of the deltas.
func (d *Directory) publish(now time.Duration, t *target) {
	next := t.heard
	if t.flaps.suppressed(now, &d.opts.Damping) {
		next = proto.CloneOf(next)
		next.Ill = true
		next.Damped = true
	}
	if t.published != nil && proto.Equal(t.published, next) {
		return
	}
	if t.published != nil && t.published.GetFailureDomain() != next.GetFailureDomain() {
		t.noteDomain(t.published)
	}
	t.published = next
	d.move(t)
}

// noteDomain remembers the failure domain of a record that gives way.
func (t *target) noteDomain(last *controlpb.TargetRecord) {
	if !slices.Contains(t.formerDomains, last.GetFailureDomain()) {
		t.formerDomains = append(t.formerDomains, last.GetFailureDomain())
	}
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
