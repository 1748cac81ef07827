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
	// DefaultLease is the lifetime of a record without renewal.
	DefaultLease = 9 * time.Second
	// DefaultHold is how long targets claimed only by an unresponsive control host are
	// kept beyond a lease.
	DefaultHold = time.Hour
	// DefaultMaxTargets bounds the records of a directory.
	DefaultMaxTargets = 32_768
	// DefaultMaxRemoved bounds the removals remembered for deltas.
	DefaultMaxRemoved = 4_096
)

// maxNumber bounds target numbers and incarnations, see package connid.
const maxNumber = 1<<24 - 1

// maxNameLength bounds names and failure domains in bytes.
const maxNameLength = 255

// Options configures a Directory. Zero fields take the defaults.
type Options struct {
	// Epoch identifies this instance of the directory. It is random and not zero.
	Epoch uint64
	// Start is when the directory was created.
	Start time.Duration
	Lease time.Duration
	Hold  time.Duration
	// RetainLost is how long a target is still listed, as unhealthy, after its lease has ended:
	// it may run and hold flows without its agent. 0 removes it with its lease.
	RetainLost time.Duration
	MaxTargets int
	MaxRemoved int
	Damping    Damping
}

// SetRetainLost changes Options.RetainLost.
func (d *Directory) SetRetainLost(retain time.Duration) { d.opts.RetainLost = retain }

// Result is the outcome of an announcement.
type Result int

// Results of Announce.
const (
	// Changed: the record is new or differs from the current one.
	Changed Result = iota + 1
	// Renewed: the lease of the current record was renewed.
	Renewed
	// Superseded: a newer incarnation of the target is known.
	Superseded
	// Outdated: a newer record of the same incarnation is known.
	Outdated
	// Invalid: the record exceeds a bound or lacks a valid address.
	Invalid
	// AtCapacity: the directory holds as many targets as it may.
	AtCapacity
)

// Accepted reports whether the record is the current one now.
func (r Result) Accepted() bool { return r == Changed || r == Renewed }

// Source is where a record came from: empty for the agent itself, else the control host
// that sent it.
type Source string

// Direct is the source of records that come from their agents.
const Direct Source = ""

// Directory holds the newest record of each target.
type Directory struct {
	opts Options
	byID map[uint32]*target
	// changes has targets and removals in the order of their last change.
	changes *list.List
	// leases has targets in the order in which their leases end, lost those whose lease has
	// ended, in that order.
	leases *list.List
	lost   *list.List
	// local has the claims of this host, peers those of other control hosts.
	local local
	peers map[Source]*peer
	// serial numbers the messages to other control hosts.
	serial   uint64
	sequence uint64
	// historyStart is the newest sequence of an evicted removal.
	historyStart uint64
	// removals has the removals that are remembered, oldest first.
	removals    *list.List
	removedByID map[uint32]*target
	// cachedDigests are those computed at sequence cachedAt.
	cachedAt      uint64
	cachedDigests map[digestKey]listDigests
}

// target is the state of one target number.
type target struct {
	// latest is the newest record, published the one that subscribers get.
	latest    *controlpb.TargetRecord
	published *controlpb.TargetRecord
	// receivedAt is when the newest record was received: its age counts from then.
	receivedAt time.Duration
	// leaseEnd is when the lease ends, valid if lease is set. The lease is that of the
	// agent's announcement here, or the rest after the last claim of another host has
	// ended. A target claimed only by other hosts has none.
	leaseEnd time.Duration
	lease    *list.Element
	// lost is set while the target is listed without a lease, since lostAt.
	lost   *list.Element
	lostAt time.Duration
	// graceUntil is how long the target is kept beyond the lease of its agent here.
	graceUntil time.Duration
	flaps      flaps
	sequence   uint64
	change     *list.Element
	// formerDomains are earlier failure domains of the target, whose subscribers need its
	// removal.
	formerDomains []string
	// changedHere is set once this directory has seen the target change or return.
	changedHere bool
	// isRemoved marks a removal that is remembered for deltas.
	isRemoved bool
	removal   *list.Element
}

// New returns an empty directory.
func New(opts Options) *Directory {
	opts.setDefaults()
	return &Directory{
		opts:        opts,
		byID:        map[uint32]*target{},
		changes:     list.New(),
		leases:      list.New(),
		lost:        list.New(),
		local:       newLocal(),
		peers:       map[Source]*peer{},
		removals:    list.New(),
		removedByID: map[uint32]*target{},
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

// Epoch returns the epoch of the directory.
func (d *Directory) Epoch() uint64 { return d.opts.Epoch }

// Sequence returns the sequence of the last change.
func (d *Directory) Sequence() uint64 { return d.sequence }

// Len returns the number of targets.
func (d *Directory) Len() int { return len(d.byID) }

// Damped returns the number of targets that are published as unhealthy because they have
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

// HasIncarnation reports whether the directory has a record of this incarnation of a
// target, or of a later one.
func (d *Directory) HasIncarnation(number, incarnation uint32) bool {
	t := d.byID[number]
	return t != nil && t.latest.GetIncarnation() >= incarnation
}

// LatestSequence returns the sequence of the newest record of an incarnation of a target, 0 if
// there is none.
func (d *Directory) LatestSequence(number, incarnation uint32) uint64 {
	t := d.byID[number]
	if t == nil || t.latest.GetIncarnation() != incarnation {
		return 0
	}
	return t.latest.GetSequence()
}

// HasDomain reports whether there is a target in a failure domain.
func (d *Directory) HasDomain(name string) bool {
	for _, t := range d.byID {
		if t.latest.GetFailureDomain() == name {
			return true
		}
	}
	return false
}

// Complete reports whether the directory has received announcements for a full lease:
// targets that it does not have by then have no valid lease.
func (d *Directory) Complete(now time.Duration) bool { return now-d.opts.Start >= d.opts.Lease }

// startedLately reports whether a target started within a lease before the directory or
// after it: lists of other hosts may lack it.
func (d *Directory) startedLately(t *target) bool {
	age := time.Duration(t.latest.GetAgeMs()) * time.Millisecond
	return t.receivedAt-age >= d.opts.Start-d.opts.Lease
}

// Announce merges a record. One from the agent itself gets a new lease. One from another
// control host is kept until that host withdraws it or is unresponsive for too long. The
// record must not be changed afterwards.
func (d *Directory) Announce(now time.Duration, r *controlpb.TargetRecord, from Source) Result {
	if from != Direct {
		d.removeLostBefore(now, r)
	}
	t, result := d.accept(now, r)
	switch {
	case t == nil:
		return result
	case from != Direct:
		// Older records count as well: digests compare what the other host claims, not
		// the merged result.
		d.peerOf(now, from).claims.put(r.GetNumber(), versionOf(r))
		if result == Changed && d.local.held[r.GetNumber()] != versionOf(r) {
			d.local.drop(r.GetNumber())
		}
		if result.Accepted() {
			d.markFound(now, t)
		}
	case result.Accepted():
		d.markFound(now, t)
		d.local.put(r.GetNumber(), versionOf(r))
		d.renewLease(now, t)
	}
	return result
}

// accept merges a record regardless of its source. It returns the target, nil if there is
// none.
func (d *Directory) accept(now time.Duration, r *controlpb.TargetRecord) (*target, Result) {
	if !valid(r) {
		return nil, Invalid
	}
	t, known := d.byID[r.GetNumber()]
	if !known {
		if len(d.byID) >= d.opts.MaxTargets {
			return nil, AtCapacity
		}
		t = d.create(r)
	}
	if result := compare(t.latest, r); known && !result.Accepted() {
		return t, result
	}
	return t, d.store(now, t, r, known)
}

func valid(r *controlpb.TargetRecord) bool {
	if r.GetNumber() == 0 || r.GetNumber() > maxNumber || r.GetIncarnation() > maxNumber {
		return false
	}
	if r.GetService() == 0 || r.GetIncarnation() == 0 || r.GetSlots() == 0 {
		return false
	}
	if len(r.GetName()) > maxNameLength || len(r.GetFailureDomain()) > maxNameLength {
		return false
	}
	if r.GetState() == controlpb.TargetState_TARGET_STATE_UNSPECIFIED {
		return false
	}
	addr, err := netip.ParseAddrPort(r.GetAddress())
	return err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}

// compare compares a record with the current one.
func compare(current, r *controlpb.TargetRecord) Result {
	switch {
	case r.GetIncarnation() < current.GetIncarnation():
		return Superseded
	case r.GetIncarnation() > current.GetIncarnation():
		return Changed
	case r.GetSequence() < current.GetSequence():
		return Outdated
	case r.GetSequence() > current.GetSequence():
		return Changed
	}
	return Renewed
}

func (d *Directory) create(r *controlpb.TargetRecord) *target {
	t := d.restore(r.GetNumber())
	t.latest = r
	d.byID[r.GetNumber()] = t
	return t
}

func (d *Directory) store(now time.Duration, t *target, r *controlpb.TargetRecord, known bool) Result {
	old := t.latest
	t.latest = r
	t.receivedAt = now
	if known && same(old, r) {
		return Renewed
	}
	t.flaps.record(now, &d.opts.Damping, old, r, known)
	d.publish(now, t)
	return Changed
}

// same compares records without their age.
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

// renewLease gives a target a new lease.
func (d *Directory) renewLease(now time.Duration, t *target) {
	t.leaseEnd = now + d.opts.Lease
	if t.lease != nil {
		d.leases.Remove(t.lease)
	}
	t.lease = d.leases.PushBack(t)
}

// extendLease keeps a target for another lease without its agent.
func (d *Directory) extendLease(now time.Duration, t *target) {
	if d.local.contains(t.latest.GetNumber()) {
		// The lease of the agent's announcement must not be extended by other hosts.
		t.graceUntil = now + d.opts.Lease
		return
	}
	d.renewLease(now, t)
}

// publish publishes the current record, damped if necessary, as a change.
func (d *Directory) publish(now time.Duration, t *target) {
	next := t.latest
	damped := t.flaps.suppressed(now, &d.opts.Damping)
	if damped || t.lost != nil {
		next = proto.CloneOf(next)
		next.Ill, next.Damped, next.Lost = true, damped, t.lost != nil
	}
	if t.published != nil && proto.Equal(t.published, next) {
		return
	}
	if t.published != nil && t.published.GetFailureDomain() != next.GetFailureDomain() {
		t.addFormerDomain(t.published)
	}
	t.changedHere = t.changedHere || t.published != nil
	t.published = next
	d.logChange(t)
}

// addFormerDomain adds the failure domain of a replaced record.
func (t *target) addFormerDomain(last *controlpb.TargetRecord) {
	if !slices.Contains(t.formerDomains, last.GetFailureDomain()) {
		t.formerDomains = append(t.formerDomains, last.GetFailureDomain())
	}
}

// logChange moves the target to the end of the change log.
func (d *Directory) logChange(t *target) {
	d.sequence++
	t.sequence = d.sequence
	if t.change != nil {
		d.changes.Remove(t.change)
	}
	t.change = d.changes.PushBack(t)
}
