package controld

import (
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// directory shares the directory of targets between goroutines and gives it a
// monotonic clock.
type directory struct {
	changed *hub
	start   time.Time

	mu  sync.Mutex
	dir *membership.Directory
	// fresh has the changed records that are to be passed on.
	fresh map[uint32]*controlpb.TargetRecord
	// heard is when each control host last passed records on.
	heard map[membership.Source]time.Duration
}

func newDirectory(epoch uint64) *directory {
	return &directory{
		changed: newHub(),
		start:   time.Now(),
		dir:     membership.New(membership.Options{Epoch: epoch}),
		fresh:   map[uint32]*controlpb.TargetRecord{},
		heard:   map[membership.Source]time.Duration{},
	}
}

func (d *directory) now() time.Duration { return time.Since(d.start) }

func (d *directory) lease() time.Duration { return d.dir.Lease() }

// announce takes the record of an agent.
func (d *directory) announce(r *controlpb.TargetRecord) membership.Verdict {
	verdict := d.merge(r)
	if verdict == membership.Changed {
		d.changed.notify()
	}
	return verdict
}

func (d *directory) merge(r *controlpb.TargetRecord) membership.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := d.dir.Announce(d.now(), r, membership.Direct)
	if verdict == membership.Changed {
		d.fresh[r.GetNumber()] = r
	}
	return verdict
}

// hear takes records that another control host passes on.
func (d *directory) hear(host string, records []*controlpb.TargetRecord) {
	if d.mergeAll(membership.Source(host), records) {
		d.changed.notify()
	}
}

func (d *directory) mergeAll(from membership.Source, records []*controlpb.TargetRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.heard[from] = now
	before := d.dir.Sequence()
	for _, r := range records {
		d.dir.Announce(now, r, from)
	}
	return d.dir.Sequence() != before
}

// expire ends leases and lifts damping.
func (d *directory) expire() {
	if d.expireAll() {
		d.changed.notify()
	}
}

func (d *directory) expireAll() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	before := d.dir.Sequence()
	settled := d.dir.Settled(now)
	d.dir.Expire(now, func(s membership.Source) bool {
		heard, known := d.heard[s]
		return known && now-heard < d.dir.Lease()
	})
	// Subscribers wait for the full list of a directory that has just settled.
	justSettled := settled && !d.dir.Settled(now-2*expirePeriod)
	return justSettled || d.dir.Sequence() != before
}

// takeFresh returns the records changed since the last call.
func (d *directory) takeFresh() []*controlpb.TargetRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*controlpb.TargetRecord, 0, len(d.fresh))
	for _, r := range d.fresh {
		out = append(out, r)
	}
	clear(d.fresh)
	return out
}

// own returns all records heard from agents themselves.
func (d *directory) own() []*controlpb.TargetRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Records(d.now())
}

func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Len()
}

// follower is how far one subscriber has followed the directory.
type follower struct {
	epoch    uint64
	sequence uint64
	scope    membership.Scope
	// whole says that the subscriber's list is the whole list at sequence, not
	// additions to what it had from elsewhere.
	whole bool
}

// next returns what the follower has to be sent, or nil.
func (d *directory) next(f *follower) *controlpb.DirectoryUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if !f.whole && f.epoch == d.dir.Epoch() && d.dir.Settled(now) {
		return d.dir.Full(now, f.scope)
	}
	return d.dir.Update(now, f.epoch, f.sequence, f.scope)
}

// sent notes that the follower was sent an update.
func (f *follower) sent(u *controlpb.DirectoryUpdate) {
	f.whole = u.GetFull() || (f.whole && u.GetEpoch() == f.epoch)
	f.epoch = u.GetEpoch()
	f.sequence = u.GetSequence()
}
