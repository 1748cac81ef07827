package membership

import "time"

// Expire ends the leases that are over, forgets control hosts that have been
// silent for too long, and lifts the damping of targets that have calmed down.
// It returns the number of targets removed.
//
// A target that another control host claims needs no lease here: that host
// says when it hears the agent no more. While it is silent nothing is known,
// and the target is held for a while: its silence says nothing about the
// agents beside it.
func (d *Directory) Expire(now time.Duration) int {
	before := len(d.byID)
	for e := d.leases.Front(); e != nil; e = d.leases.Front() {
		t := e.Value.(*target)
		if t.ends > now {
			break
		}
		d.end(now, t)
	}
	d.forgetSilent(now)
	d.calm(now)
	return before - len(d.byID)
}

// end ends the lease of a target, and the target unless another host hears it.
func (d *Directory) end(now time.Duration, t *target) {
	d.leases.Remove(t.lease)
	t.lease = nil
	d.own.drop(t.heard.GetNumber())
	if d.claimed(t) {
		return
	}
	if t.lingers > now {
		t.lingers = 0
		d.restart(now, t)
		return
	}
	d.remove(now, t)
}

func (d *Directory) remove(now time.Duration, t *target) {
	number := t.heard.GetNumber()
	delete(d.byID, number)
	// A claim of an older record goes too: its host notices and sends it anew.
	for _, p := range d.peers {
		p.claims.drop(number)
	}
	t.isGone = true
	t.flaps.add(now, &d.opts.Damping)
	d.move(t)
	t.removal = d.removed.PushBack(t)
	d.gone[number] = t
	if d.removed.Len() > d.opts.MaxRemoved {
		d.forget(d.removed.Front().Value.(*target))
	}
}

// forget drops the memory of a removal. Deltas from before it are no longer
// possible.
func (d *Directory) forget(t *target) {
	d.drop(t)
	d.floor = max(d.floor, t.sequence)
}

func (d *Directory) drop(t *target) {
	d.removed.Remove(t.removal)
	d.changes.Remove(t.change)
	delete(d.gone, t.heard.GetNumber())
}

// recall returns a target of a number with what is to be remembered of its
// last removal: how it flapped and where it was.
func (d *Directory) recall(number uint32) *target {
	t, ok := d.gone[number]
	if !ok {
		return &target{}
	}
	// The target is back: its new entry stands for the removal.
	d.drop(t)
	t.noteDomain(t.published)
	return &target{flaps: t.flaps, formerDomains: t.formerDomains}
}

// calm publishes the targets whose damping has ended.
func (d *Directory) calm(now time.Duration) {
	for _, t := range d.byID {
		if t.flaps.damped && !t.flaps.suppressed(now, &d.opts.Damping) {
			d.publish(now, t)
		}
	}
}
