package membership

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Expire removes expired leases and unresponsive control hosts, and lifts the damping of
// stable targets. It returns the number of targets removed. With Options.RetainLost a target
// whose lease has ended is lost first, and removed later.
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
	for e := d.lost.Front(); e != nil; e = d.lost.Front() {
		t := e.Value.(*target)
		if now-t.lostAt < d.opts.RetainLost {
			break
		}
		d.remove(now, t)
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
	d.markLost(now, t)
}

// markLost lists a target that nobody claims as lost, or removes it if lost targets are not
// retained.
func (d *Directory) markLost(now time.Duration, t *target) {
	if d.opts.RetainLost <= 0 {
		d.remove(now, t)
		return
	}
	if t.lost != nil {
		return
	}
	t.lost, t.lostAt = d.lost.PushBack(t), now
	d.dropPeerClaims(t)
	t.flaps.add(now, &d.opts.Damping)
	d.publish(now, t)
}

// addLost lists a target that another host lists as lost, unless this directory knows it, or has
// removed it itself.
func (d *Directory) addLost(now time.Duration, r *controlpb.TargetRecord) {
	_, known := d.byID[r.GetNumber()]
	_, removed := d.removedByID[r.GetNumber()]
	if known || removed || !valid(r) || len(d.byID) >= d.opts.MaxTargets || d.opts.RetainLost <= 0 {
		return
	}
	t := d.create(r)
	t.receivedAt = now
	d.markLost(now, t)
}

// markFound ends the loss of a target that is announced again.
func (d *Directory) markFound(now time.Duration, t *target) {
	if t.lost == nil {
		return
	}
	d.lost.Remove(t.lost)
	t.lost = nil
	d.publish(now, t)
}

// removeLostBefore removes a lost target if another host claims an older record of it, which
// replaces the one whose lease has ended.
func (d *Directory) removeLostBefore(now time.Duration, r *controlpb.TargetRecord) {
	t, known := d.byID[r.GetNumber()]
	if known && t.lost != nil && valid(r) && !compare(t.latest, r).Accepted() {
		d.remove(now, t)
	}
}

// dropPeerClaims removes the claims of other hosts, which are of older records. They will send
// them again.
func (d *Directory) dropPeerClaims(t *target) {
	for _, p := range d.peers {
		p.claims.drop(t.latest.GetNumber())
	}
}

// TargetID identifies an incarnation of a target.
type TargetID struct {
	Number, Incarnation uint32
}

// Lost returns the targets that are listed without a lease.
func (d *Directory) Lost() []TargetID {
	var out []TargetID
	for e := d.lost.Front(); e != nil; e = e.Next() {
		r := e.Value.(*target).latest
		out = append(out, TargetID{Number: r.GetNumber(), Incarnation: r.GetIncarnation()})
	}
	return out
}

// RemoveLost removes a lost target that is known to have ended.
func (d *Directory) RemoveLost(now time.Duration, id TargetID) {
	t, known := d.byID[id.Number]
	if known && t.lost != nil && t.latest.GetIncarnation() == id.Incarnation {
		d.remove(now, t)
	}
}

func (d *Directory) remove(now time.Duration, t *target) {
	number := t.latest.GetNumber()
	delete(d.byID, number)
	d.dropPeerClaims(t)
	t.isRemoved = true
	if t.lost != nil {
		d.lost.Remove(t.lost)
		t.lost = nil
	} else {
		t.flaps.add(now, &d.opts.Damping)
	}
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
