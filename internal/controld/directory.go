package controld

import (
	"math/rand/v2"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// directory makes membership.Directory safe for concurrent use and gives it a monotonic
// clock.
type directory struct {
	changed *notifier
	start   time.Time
	// subscribers has the subscribers of this host. Its lock is never taken with mu held.
	subscribers *subscribers
	// capacity has what agents announce to this host. Its lock is never taken with mu held.
	capacity *capacityReports

	mu  sync.Mutex
	dir *membership.Directory
	// loads has the subscriber counts reported by other control hosts.
	loads map[string]hostLoad
	// retainLost is how long lost targets stay listed, nil if they are not.
	retainLost *flow.IdleTimeout
}

func newDirectory(epoch uint64, lease time.Duration) *directory {
	return newRetainingDirectory(epoch, lease, 0)
}

// newRetainingDirectory returns a directory that lists lost targets for a time.
func newRetainingDirectory(epoch uint64, lease, retainLost time.Duration) *directory {
	return &directory{
		changed: newNotifier(),
		start:   time.Now(),
		dir:     membership.New(membership.Options{Epoch: epoch, Lease: lease, RetainLost: retainLost}),

		subscribers: newSubscribers(),
		capacity:    newCapacityReports(),
		loads:       map[string]hostLoad{},
	}
}

// directoryFor returns the directory that the settings describe.
func directoryFor(s *settingspb.Replica) *directory {
	lease := time.Duration(s.GetLeaseMs()) * time.Millisecond
	retain := time.Duration(s.GetRetainLostMs()) * time.Millisecond
	d := newRetainingDirectory(rand.Uint64()|1, lease, retain)
	if retain > 0 {
		longest := time.Duration(s.GetMaxRetainLostMs()) * time.Millisecond
		timeout := flow.NewIdleTimeout(retain, max(retain, longest))
		d.retainLost = &timeout
	}
	return d
}

func (d *directory) now() time.Duration { return time.Since(d.start) }

// hasIncarnation reports whether the directory has an incarnation of a target or a later
// one.
func (d *directory) hasIncarnation(number, incarnation uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.HasIncarnation(number, incarnation)
}

func (d *directory) lease() time.Duration { return d.dir.Lease() }

// announce merges a record announced by an agent.
func (d *directory) announce(r *controlpb.TargetRecord) membership.Result {
	result := d.merge(r)
	if result == membership.Changed {
		d.changed.notify()
	}
	return result
}

func (d *directory) merge(r *controlpb.TargetRecord) membership.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Announce(d.now(), r, membership.Direct)
}

// latestSequence returns the sequence of the newest record of an incarnation of a target, 0 if
// there is none.
func (d *directory) latestSequence(number, incarnation uint32) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.LatestSequence(number, incarnation)
}

// applySync merges a sync message of another control host.
func (d *directory) applySync(host string, m *controlpb.DirectorySync) *controlpb.DirectorySyncReply {
	d.recordLoad(host, m)
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

// setIdleTimeout sets the idle timeout of flows. A target that may hold idle ones stays listed
// for that long after its lease.
func (d *directory) setIdleTimeout(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retainLost == nil {
		return
	}
	d.retainLost.Set(timeout, d.now())
	d.dir.SetRetainLost(d.retainLost.Configured(d.now()))
}

// expire ends leases and lifts damping.
func (d *directory) expire() {
	d.capacity.expire(d.now() - d.lease())
	if d.expireAll() {
		d.changed.notify()
	}
}

// lost returns the targets that are listed without a lease.
func (d *directory) lost() []membership.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Lost()
}

// removeLost removes lost targets that are known to have ended.
func (d *directory) removeLost(ended []membership.TargetID) {
	if len(ended) == 0 {
		return
	}
	d.mu.Lock()
	for _, id := range ended {
		d.dir.RemoveLost(d.now(), id)
	}
	d.mu.Unlock()
	d.changed.notify()
}

func (d *directory) expireAll() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	before := d.dir.Sequence()
	complete := d.dir.Complete(now)
	d.dir.Expire(now)
	// Subscribers wait for the full list once the directory becomes complete.
	justCompleted := complete && !d.dir.Complete(now-2*expirePeriod)
	return justCompleted || d.dir.Sequence() != before
}

// sequence returns the sequence of the last change.
func (d *directory) sequence() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Sequence()
}

// localSequence returns the sequence of the last change to be sent to peers.
func (d *directory) localSequence() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.LocalSequence()
}

// sync returns the message for a control host that has all changes up to the cursor.
func (d *directory) sync(cursor uint64) (*controlpb.DirectorySync, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Sync(d.now(), cursor)
}

// repair returns the message for a control host whose digests differ.
func (d *directory) repair(cursor uint64, digests []uint64) (*controlpb.DirectorySync, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Repair(d.now(), cursor, digests)
}

// hasDomain reports whether any target is in a failure domain.
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

// countByService returns the number of targets of each service.
func (d *directory) countByService() map[uint32]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.CountByService()
}

// complete reports whether a target missing in the directory has no lease.
func (d *directory) complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Complete(d.now())
}

// nextUpdate returns the next update for a subscriber, or nil.
func (d *directory) nextUpdate(s *membership.Subscriber) (*controlpb.DirectoryUpdate, membership.UpdateKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Next(d.now(), s)
}
