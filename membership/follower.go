package membership

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// maxAdditions bounds the records that a directory which is not settled adds
// to a list from elsewhere. What is more waits until it is settled and can
// tell what really differs.
const maxAdditions = 64

// UpdateKind tells what an update is made of, and for a full list why no less
// would do.
type UpdateKind string

// Kinds of updates.
const (
	// Delta has the changes since the last update.
	Delta UpdateKind = "delta"
	// Difference has the buckets in which a list from elsewhere differs.
	Difference UpdateKind = "difference"
	// Addition adds to a list from elsewhere and removes nothing but what is
	// known to be gone: the directory is not settled.
	Addition UpdateKind = "addition"
	// FullFirst is for a subscriber that holds nothing.
	FullFirst UpdateKind = "full_first"
	// FullHistory is for one that missed removals which are forgotten.
	FullHistory UpdateKind = "full_history"
	// FullUndigested is for one that holds a list from elsewhere, as far as is
	// known, and sent no digests of it.
	FullUndigested UpdateKind = "full_undigested"
)

// Position is how far a subscriber has followed: a sequence in an epoch, zero
// if it holds no whole list of any, and the digests of what it holds.
type Position struct {
	Epoch, Sequence uint64
	Digests         []uint64
}

// Subscriber is what a directory knows of one subscriber.
type Subscriber struct {
	scope           *Scope
	epoch, sequence uint64
	// whole says that the subscriber's list is the whole list at sequence, not
	// additions to what it had from elsewhere.
	whole bool
	// digests are those of the list that it came with. They are dropped as soon
	// as it follows by deltas.
	digests listDigests
	// touched has the buckets that additions went to since, additions their
	// number.
	touched   map[uint32]bool
	additions int
}

// NewSubscriber returns the follower for a subscriber at a position. Digests
// beyond the bound are taken for none.
func NewSubscriber(p Position, s *Scope) *Subscriber {
	f := &Subscriber{scope: s, epoch: p.Epoch, sequence: p.Sequence, whole: p.Epoch != 0, touched: map[uint32]bool{}}
	if len(p.Digests) <= maxListBuckets {
		f.digests = p.Digests
	}
	return f
}

// Next returns what a subscriber has to be sent, or nil. Changes outside of
// its scope are passed over. The follower is past the update then: one that
// cannot be sent has to end the subscription.
func (d *Directory) Next(now time.Duration, f *Subscriber) (*controlpb.DirectoryUpdate, UpdateKind) {
	u, kind := d.choose(now, f)
	if u == nil {
		return nil, kind
	}
	// One that follows without digests has to learn of the other epoch.
	moved := f.epoch != u.GetEpoch() && len(f.digests) == 0
	f.epoch, f.sequence = u.GetEpoch(), u.GetSequence()
	f.whole = kind != Addition
	if f.whole {
		f.digests, f.touched = nil, nil
	}
	empty := len(u.GetPut())+len(u.GetRemoved()) == 0
	if empty && !moved && (kind == Delta || kind == Addition) {
		return nil, kind
	}
	return u, kind
}

func (d *Directory) choose(now time.Duration, f *Subscriber) (*controlpb.DirectoryUpdate, UpdateKind) {
	known := f.epoch == d.opts.Epoch && d.remembers(f.sequence)
	digested := len(f.digests) > 0
	switch {
	case f.whole && known:
		return d.since(now, f.sequence, f.scope), Delta
	case digested && f.digests.empty():
		u := d.Full(now, f.scope)
		// Nothing from elsewhere is held that this could remove unduly.
		u.Full = true
		return u, FullFirst
	case digested && !d.Complete(now):
		return d.addition(now, f, known), Addition
	case digested:
		return d.difference(now, f), Difference
	case !d.Complete(now) && known:
		return d.since(now, f.sequence, f.scope), Addition
	case !d.Complete(now):
		return d.Full(now, f.scope), Addition
	case f.whole && f.epoch == d.opts.Epoch:
		return d.Full(now, f.scope), FullHistory
	}
	return d.Full(now, f.scope), FullUndigested
}

// difference returns the buckets in which the list that a subscriber came
// with differs from this one, or to which additions went since.
func (d *Directory) difference(now time.Duration, f *Subscriber) *controlpb.DirectoryUpdate {
	u := d.update()
	u.Buckets = uint32(len(f.digests))
	differs := make([]bool, len(f.digests))
	for i, digest := range d.digests(len(f.digests), f.scope) {
		if differs[i] = f.touched[uint32(i)] || digest != f.digests[i]; differs[i] {
			u.Whole = append(u.Whole, uint32(i))
		}
	}
	for number, t := range d.byID {
		if differs[f.digests.bucketOf(number)] {
			u.collect(now, t, f.scope)
		}
	}
	u.sort()
	return u.DirectoryUpdate
}

// addition returns what is new since the last addition, if there was one, but
// for the buckets that are the same. It returns nil from the moment on when
// that is more than maxAdditions.
func (d *Directory) addition(now time.Duration, f *Subscriber, known bool) *controlpb.DirectoryUpdate {
	if f.additions > maxAdditions {
		return nil
	}
	after := uint64(0)
	if known {
		after = f.sequence
	}
	own := d.digests(len(f.digests), f.scope)
	u := d.update()
	for t := range d.changedAfter(after) {
		bucket := f.digests.bucketOf(t.heard.GetNumber())
		if !f.scope.has(t.heard) && !f.scope.had(t) || !f.touched[bucket] && own[bucket] == f.digests[bucket] {
			continue
		}
		f.additions++
		if f.additions > maxAdditions {
			return nil
		}
		f.touched[bucket] = true
		u.collect(now, t, f.scope)
	}
	u.sort()
	return u.DirectoryUpdate
}

// digests returns the digests of the targets within a scope.
func (d *Directory) digests(buckets int, s *Scope) listDigests {
	out := make(listDigests, buckets)
	for _, t := range d.byID {
		if s.has(t.heard) {
			out.add(t.published)
		}
	}
	return out
}
