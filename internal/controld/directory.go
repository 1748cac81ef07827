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
	// subscribers are those of this host. Its lock is never taken with mu held.
	subscribers *subscribers

	mu  sync.Mutex
	dir *membership.Directory
	// hosts has what other control hosts have told of their subscribers.
	hosts map[string]hostLoad
}

func newDirectory(epoch uint64, lease time.Duration) *directory {
	return &directory{
		changed: newHub(),
		start:   time.Now(),
		dir:     membership.New(membership.Options{Epoch: epoch, Lease: lease}),

		subscribers: newSubscribers(),
		hosts:       map[string]hostLoad{},
	}
}

func (d *directory) now() time.Duration { return time.Since(d.start) }

// holds reports whether the directory has heard of an incarnation of a target, or of
// a later one.
func (d *directory) holds(number, incarnation uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.HasIncarnation(number, incarnation)
}

func (d *directory) lease() time.Duration { return d.dir.Lease() }

// announce takes the record of an agent.
func (d *directory) announce(r *controlpb.TargetRecord) membership.Result {
	verdict := d.merge(r)
	if verdict == membership.Changed {
		d.changed.notify()
	}
	return verdict
}

func (d *directory) merge(r *controlpb.TargetRecord) membership.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Announce(d.now(), r, membership.Direct)
}

// hear takes what another control host passes on.
func (d *directory) hear(host string, m *controlpb.DirectorySync) *controlpb.DirectorySyncReply {
	d.noteLoad(host, m)
	reply, changed := d.mergeSync(membership.Source(host), m)
	if changed {
		d.changed.notify()
	}
	return reply
}

func (d *directory) mergeSync(from membership.Source, m *controlpb.DirectorySync) (*controlpb.DirectorySyncReply, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.dir.Sequence()
	reply := d.dir.ApplySync(d.now(), from, m)
	return reply, d.dir.Sequence() != before
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
	settled := d.dir.Complete(now)
	d.dir.Expire(now)
	// Subscribers wait for the full list of a directory that has just settled.
	justSettled := settled && !d.dir.Complete(now-2*expirePeriod)
	return justSettled || d.dir.Sequence() != before
}

// ownSequence returns the sequence of the last change that is to be passed on.
func (d *directory) ownSequence() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.LocalSequence()
}

// sync returns what to tell a control host that was told all up to the cursor.
func (d *directory) sync(cursor uint64) (*controlpb.DirectorySync, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Sync(d.now(), cursor)
}

// repair returns what to tell a control host whose digests differ.
func (d *directory) repair(cursor uint64, digests []uint64) (*controlpb.DirectorySync, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Repair(d.now(), cursor, digests)
}

// hasDomain reports whether a target stands in a failure domain.
func (d *directory) hasDomain(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.HasDomain(name)
}

func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Len()
}

func (d *directory) damped() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Damped()
}

// settled reports whether a target that the directory does not hold has no
// lease.
func (d *directory) settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Complete(d.now())
}

// next returns what the follower has to be sent, or nil.
func (d *directory) next(f *membership.Subscriber) (*controlpb.DirectoryUpdate, membership.UpdateKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Next(d.now(), f)
}
