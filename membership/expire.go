package membership

import "time"

// Expire removes expired leases and unresponsive control hosts, and lifts the damping of
// stable targets. It returns the number of targets removed.
//
// A target claimed by another control host needs no lease here: that host reports the end
// of its lease. While the host is unresponsive its targets are kept for Hold, since their
// agents may still run.
func (d *Directory) Expire(now time.Duration) int {
	before := len(d.byID)
	for e := d.leases.Front(); e != nil; e = d.leases.Front() {
		t := e.Value.(*target)
		if t.leaseEnd > now {
			break
		}
		d.endLease(now, t)
	}
	d.expirePeers(now)
	d.liftDamping(now)
	return before - len(d.byID)
}

// endLease ends the lease of a target, and removes it unless another host claims it.
func (d *Directory) endLease(now time.Duration, t *target) {
	d.leases.Remove(t.lease)
	t.lease = nil
	d.local.drop(t.latest.GetNumber())
	if d.claimed(t) {
		return
	}
	if t.graceUntil > now {
		t.graceUntil = 0
		d.renewLease(now, t)
		return
	}
	d.remove(now, t)
}

func (d *Directory) remove(now time.Duration, t *target) {
	number := t.latest.GetNumber()
	delete(d.byID, number)
	// Claims of older records are removed as well. Their hosts will send them again.
	for _, p := range d.peers {
		p.claims.drop(number)
	}
	t.isRemoved = true
	t.flaps.add(now, &d.opts.Damping)
	d.logChange(t)
	t.removal = d.removals.PushBack(t)
	d.removedByID[number] = t
	if d.removals.Len() > d.opts.MaxRemoved {
		d.evictRemoval(d.removals.Front().Value.(*target))
	}
}

// evictRemoval evicts a removal. Deltas from before it are no longer possible.
func (d *Directory) evictRemoval(t *target) {
	d.dropRemoval(t)
	d.historyStart = max(d.historyStart, t.sequence)
}

func (d *Directory) dropRemoval(t *target) {
	d.removals.Remove(t.removal)
	d.changes.Remove(t.change)
	delete(d.removedByID, t.latest.GetNumber())
}

// restore returns a new target with the damping and the former domains of its last removal.
func (d *Directory) restore(number uint32) *target {
	t, ok := d.removedByID[number]
	if !ok {
		return &target{}
	}
	// The new entry replaces the removal.
	d.dropRemoval(t)
	t.addFormerDomain(t.published)
	return &target{flaps: t.flaps, formerDomains: t.formerDomains, changedHere: true}
}

// liftDamping publishes the targets whose damping has ended.
func (d *Directory) liftDamping(now time.Duration) {
	for _, t := range d.byID {
		if t.flaps.damped && !t.flaps.suppressed(now, &d.opts.Damping) {
			d.publish(now, t)
		}
	}
}
