package membership

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// maxAdditions bounds the records that an incomplete directory adds to a list from another
// host without knowing whether it lacks them. Further ones wait until the directory is
// complete and knows the difference.
const maxAdditions = 64

// maxCachedDigests bounds the scopes whose digests are kept at a time.
const maxCachedDigests = 256

// digestKey identifies the digests of a scope for lists with a number of buckets.
type digestKey struct {
	scope   string
	buckets int
}

// UpdateKind is the kind of an update, for a full list with the reason.
type UpdateKind string

// Kinds of updates.
const (
	// Delta has the changes since the last update.
	Delta UpdateKind = "delta"
	// Difference has the buckets that differ from a list of another host.
	Difference UpdateKind = "difference"
	// Addition adds to a list of another host and removes only targets known to be gone,
	// since the directory is incomplete.
	Addition UpdateKind = "addition"
	// FullFirst is for a subscriber without records.
	FullFirst UpdateKind = "full_first"
	// FullHistory is for a subscriber that missed evicted removals.
	FullHistory UpdateKind = "full_history"
	// FullUndigested is for a subscriber that may have the list of another host and sent
	// no digests of it.
	FullUndigested UpdateKind = "full_undigested"
)

// Position is the state from which a subscriber resumes: the epoch and sequence of its last
// update, zero if its list is not complete, and the digests of its list.
type Position struct {
	Epoch, Sequence uint64
	Digests         []uint64
}

// Subscriber is the state of one subscriber.
type Subscriber struct {
	scope           *Scope
	epoch, sequence uint64
	// complete: the subscriber's list is the complete list at sequence, without records
	// of other hosts.
	complete bool
	// digests are those of the subscriber's initial list, nil once it follows by deltas.
	digests listDigests
	// touched has the buckets of the records that an incomplete directory has sent, additions
	// is the number of those that the initial list may have.
	touched   map[uint32]bool
	additions int
}

// NewSubscriber returns the state of a subscriber at a position. Too many digests are
// ignored.
func NewSubscriber(p Position, s *Scope) *Subscriber {
	sub := &Subscriber{scope: s, epoch: p.Epoch, sequence: p.Sequence, complete: p.Epoch != 0, touched: map[uint32]bool{}}
	if len(p.Digests) <= maxListBuckets {
		sub.digests = p.Digests
	}
	return sub
}

// Next returns the next update for a subscriber, nil if there is none within its scope. The
// subscriber's state advances: if the update cannot be sent, the subscription has to
// end.
func (d *Directory) Next(now time.Duration, sub *Subscriber) (*controlpb.DirectoryUpdate, UpdateKind) {
	u, kind := d.chooseUpdate(now, sub)
	if u == nil {
		return nil, kind
	}
	// A subscriber without digests needs the new epoch, even if nothing else has changed.
	epochChanged := sub.epoch != u.GetEpoch() && len(sub.digests) == 0
	sub.epoch, sub.sequence = u.GetEpoch(), u.GetSequence()
	sub.complete = kind != Addition
	if sub.complete {
		sub.digests, sub.touched = nil, nil
	}
	empty := len(u.GetPut())+len(u.GetRemoved()) == 0
	if empty && !epochChanged && (kind == Delta || kind == Addition) {
		return nil, kind
	}
	return u, kind
}

// chooseUpdate returns the next update for a subscriber, nil if there is none, and its kind.
func (d *Directory) chooseUpdate(now time.Duration, sub *Subscriber) (*controlpb.DirectoryUpdate, UpdateKind) {
	known := sub.epoch == d.opts.Epoch && d.hasHistory(sub.sequence)
	hasDigests := len(sub.digests) > 0
	switch {
	case sub.complete && known:
		return d.since(now, sub.sequence, sub.scope), Delta
	case hasDigests && sub.digests.empty():
		u := d.Full(now, sub.scope)
		// The subscriber has no records that a full list of an incomplete directory could
		// remove.
		u.Full = true
		return u, FullFirst
	case hasDigests && !d.Complete(now):
		return d.addition(now, sub, known), Addition
	case hasDigests:
		return d.difference(now, sub), Difference
	case !d.Complete(now) && known:
		return d.since(now, sub.sequence, sub.scope), Addition
	case !d.Complete(now):
		return d.Full(now, sub.scope), Addition
	case sub.complete && sub.epoch == d.opts.Epoch:
		return d.Full(now, sub.scope), FullHistory
	}
	return d.Full(now, sub.scope), FullUndigested
}

// difference returns the buckets that differ from the subscriber's initial list or were
// touched by additions.
func (d *Directory) difference(now time.Duration, sub *Subscriber) *controlpb.DirectoryUpdate {
	u := d.update()
	u.Buckets = uint32(len(sub.digests))
	differs := make([]bool, len(sub.digests))
	for i, digest := range d.digests(len(sub.digests), sub.scope) {
		if differs[i] = sub.touched[uint32(i)] || digest != sub.digests[i]; differs[i] {
			u.Whole = append(u.Whole, uint32(i))
		}
	}
	for number, t := range d.byID {
		if differs[sub.digests.bucketOf(number)] {
			u.collect(now, t, sub.scope)
		}
	}
	u.sort()
	return u.DirectoryUpdate
}

// addition returns the changes since the last addition that the subscriber's initial list
// probably lacks: those in buckets that differ. While targets come back to a host that has
// just started, most buckets differ, so of the targets that may be in the list only
// maxAdditions are sent.
func (d *Directory) addition(now time.Duration, sub *Subscriber, known bool) *controlpb.DirectoryUpdate {
	after := uint64(0)
	if known {
		after = sub.sequence
	}
	u := d.update()
	var news, returned []*target
	for t := range d.changedAfter(after) {
		switch {
		case !sub.scope.contains(t.latest) && !sub.scope.formerlyContained(t):
		case d.isNews(t):
			news = append(news, t)
		case sub.additions <= maxAdditions:
			returned = append(returned, t)
		}
	}
	if len(news)+len(returned) == 0 {
		return u.DirectoryUpdate
	}
	current := d.digests(len(sub.digests), sub.scope)
	news, returned = sub.differing(news, current), sub.differing(returned, current)
	sub.additions += len(returned)
	if sub.additions > maxAdditions {
		returned = nil
	}
	for _, t := range append(news, returned...) {
		sub.touched[sub.digests.bucketOf(t.latest.GetNumber())] = true
		u.collect(now, t, sub.scope)
	}
	u.sort()
	return u.DirectoryUpdate
}

// isNews reports whether a target has started, changed or left, and has not merely come back
// to a host that has just started. A complete directory sends as many such changes, so they
// need no bound.
func (d *Directory) isNews(t *target) bool {
	return t.isRemoved || t.changedHere || d.startedLately(t)
}

// differing returns the targets in buckets that were touched by additions, or whose current
// digest differs from that of the subscriber's initial list.
func (sub *Subscriber) differing(all []*target, current listDigests) []*target {
	var out []*target
	for _, t := range all {
		bucket := sub.digests.bucketOf(t.latest.GetNumber())
		if sub.touched[bucket] || current[bucket] != sub.digests[bucket] {
			out = append(out, t)
		}
	}
	return out
}

// digests returns the digests of the targets within a scope. They must not be modified: all
// subscribers of one scope share them until the next change, so that a host with many
// subscribers does not compute them for each.
func (d *Directory) digests(buckets int, s *Scope) listDigests {
	if d.cachedAt != d.sequence || len(d.cachedDigests) >= maxCachedDigests {
		d.cachedAt, d.cachedDigests = d.sequence, map[digestKey]listDigests{}
	}
	key := digestKey{scope: s.key(), buckets: buckets}
	out, ok := d.cachedDigests[key]
	if !ok {
		out = d.computeDigests(buckets, s)
		d.cachedDigests[key] = out
	}
	return out
}

func (d *Directory) computeDigests(buckets int, s *Scope) listDigests {
	out := make(listDigests, buckets)
	for _, t := range d.byID {
		if s.contains(t.latest) {
			out.add(t.published)
		}
	}
	return out
}
