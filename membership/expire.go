package membership

import "time"

// Expire ends the leases that are over and lifts the damping of targets that
// have calmed down. It returns the number of targets removed.
//
// audible tells whether a control host has been heard of lately. The leases
// of records from a silent one are held open for a while: its silence says
// nothing about the agents beside it. Direct is never asked for.
func (d *Directory) Expire(now time.Duration, audible func(Source) bool) int {
	count := 0
	for e := d.leases.Front(); e != nil; e = d.leases.Front() {
		t := e.Value.(*target)
		if t.ends > now {
			break
		}
		if d.hold(now, t, audible) {
			continue
		}
		d.remove(now, t)
		count++
	}
	d.calm(now)
	return count
}

// hold gives a target another lease if its source is silent.
func (d *Directory) hold(now time.Duration, t *target, audible func(Source) bool) bool {
	if t.source == Direct || audible(t.source) {
		return false
	}
	if !t.held {
		t.heldSince = now
	}
	if now-t.heldSince >= d.opts.Hold {
		return false
	}
	since := t.heldSince
	d.renew(now, t)
	t.held = true
	t.heldSince = since
	return true
}

func (d *Directory) remove(now time.Duration, t *target) {
	d.leases.Remove(t.lease)
	t.lease = nil
	delete(d.byID, t.heard.GetNumber())
	t.isGone = true
	t.flaps.add(now, &d.opts.Damping)
	d.move(t)
	t.removal = d.removed.PushBack(t)
	d.gone[t.heard.GetNumber()] = t
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

// recall returns how a target flapped before its last removal.
func (d *Directory) recall(number uint32) flaps {
	t, ok := d.gone[number]
	if !ok {
		return flaps{}
	}
	// The target is back: its new entry stands for the removal.
	d.drop(t)
	return t.flaps
}

// calm publishes the targets whose damping has ended.
func (d *Directory) calm(now time.Duration) {
	for _, t := range d.byID {
		if t.flaps.damped && !t.flaps.suppressed(now, &d.opts.Damping) {
			d.publish(now, t)
		}
	}
}
