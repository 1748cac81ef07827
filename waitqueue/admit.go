package waitqueue

import "time"

// admit decides whether a new item can be served in its time. It sets late if it cannot meet
// its objective.
func (q *Queue[K]) admit(e *entry[K], load Load, now time.Duration) (Reason, time.Duration) {
	if now > e.limit {
		e.late = true
		return TooLate, 0
	}
	slots := time.Duration(max(load.Slots, 1))
	urgent, equal := q.ahead(e)
	ahead := load.Ahead + urgent + equal
	budget := q.startBy(e)
	switch {
	case now+ahead/slots <= budget || q.owed(e.level) && equal == 0 && now+load.Ahead/slots <= e.lateAt:
		return "", ahead
	case q.order == Shares && now+(load.Ahead+urgent)/slots <= budget && q.displaceEqual(e):
		return "", ahead
	}
	e.late = true
	if q.servedLate(e, load, now) {
		return "", ahead
	}
	if now+(load.Ahead+equal)/slots <= budget {
		return Displaced, ahead
	}
	return Full, ahead
}

// startBy returns when a new item has to be served at the latest to be admitted.
func (q *Queue[K]) startBy(e *entry[K]) time.Duration {
	if q.overloaded(e.level) {
		return e.briefAt
	}
	return e.lateAt
}

// HasRoom reports whether a new item would be admitted without another one being refused for it.
func (q *Queue[K]) HasRoom(it Item[K], load Load, now time.Duration) bool {
	if len(q.entries) >= q.size {
		return false
	}
	e := entry[K]{Item: it}
	q.setTimes(&e)
	urgent, equal := q.ahead(&e)
	return now+(load.Ahead+urgent+equal)/time.Duration(max(load.Slots, 1)) <= q.startBy(&e)
}

// admitHeld decides whether an item that may not be refused can meet its objective.
func (q *Queue[K]) admitHeld(e *entry[K], load Load, now time.Duration) (Reason, time.Duration) {
	urgent, equal := q.ahead(e)
	ahead := load.Ahead + urgent + equal
	if now+ahead/time.Duration(max(load.Slots, 1)) > e.lateAt {
		return Full, ahead
	}
	return "", ahead
}

// ahead returns the expected work that goes before an item: that of more urgent live items,
// and that of equal ones with an earlier objective.
func (q *Queue[K]) ahead(e *entry[K]) (urgent, equal time.Duration) {
	for level := range e.level {
		urgent += q.live[level]
	}
	for i := range q.entries {
		other := &q.entries[i]
		if other.level == e.level && !other.late && other.refused == "" && other.lateAt <= e.lateAt {
			equal += other.Work
		}
	}
	return urgent, equal
}

// owed reports whether a level has had less than its least share.
func (q *Queue[K]) owed(level int) bool {
	if q.order != Shares || level == 0 {
		return false
	}
	var total time.Duration
	for i := range q.served {
		total += q.served[i].total
	}
	return q.served[level].total*leastShareOf < total
}

// overloaded reports whether a level gets less than it needs: openings of it are refused, and no
// slot is left for less urgent work.
func (q *Queue[K]) overloaded(level int) bool {
	if q.order != Shares || q.served[level].refused*overloadedFrom <= q.served[level].total {
		return false
	}
	var less, total time.Duration
	for i := range q.served {
		total += q.served[i].total
		if i > level {
			less += q.served[i].total
		}
	}
	return less*leastShareOf <= total
}

// refuseAt returns how long a live item waits.
func (q *Queue[K]) refuseAt(e *entry[K]) time.Duration {
	if q.overloaded(e.level) {
		return e.briefAt
	}
	if s := &q.served[e.level]; s.refused*fewRefusedFrom <= s.total {
		return e.lateAt
	}
	return e.promptAt
}

// servedLate reports whether a late item is expected to be served in its time by what live
// items leave. It does not wait longer than a live one.
func (q *Queue[K]) servedLate(e *entry[K], load Load, now time.Duration) bool {
	q.pace.decay(now)
	left := float64(load.Slots) - q.pace.slots
	if left < float64(load.Slots)*leastLeft {
		return false
	}
	until := min(e.limit, e.QueuedAt+e.promptAt-e.SentAt)
	return now+time.Duration(float64(load.Ahead+q.Work())/left) <= until
}

// displaceEqual refuses the oldest equal item of the group that has had the most work, and has
// the most waiting, to make room for e. Otherwise a group that came first would keep all others
// out, and new items would wait behind old ones. It reports false if that group is the one of
// e and has no other item.
func (q *Queue[K]) displaceEqual(e *entry[K]) bool {
	work := q.served[e.level].groups
	for i := range q.entries {
		if other := &q.entries[i]; other.level == e.level && !other.late && other.refused == "" {
			work[other.in.group] += other.Work
		}
	}
	var oldest *entry[K]
	for i := range q.entries {
		other := &q.entries[i]
		if other.level != e.level || other.late || other.refused != "" || !other.Refusable {
			continue
		}
		if work[other.in.group]+fairQuantum < work[e.in.group]+e.Work {
			continue
		}
		if oldest == nil || work[other.in.group] > work[oldest.in.group] ||
			other.in.group == oldest.in.group && other.number < oldest.number {
			oldest = other
		}
	}
	if oldest == nil {
		return false
	}
	q.refuse(oldest, Displaced)
	return true
}

// displaceWorst makes room for an item by refusing the least important one: a late one, then
// the least urgent, then the newest. It reports false if that is the new one.
func (q *Queue[K]) displaceWorst(e *entry[K]) bool {
	if !q.order.tested() {
		return true // refused by age
	}
	var worst *entry[K]
	for i := range q.entries {
		other := &q.entries[i]
		if other.refused != "" {
			return true // about to leave
		}
		if !other.Refusable {
			continue
		}
		if worst == nil || other.late && !worst.late || other.late == worst.late &&
			(other.level > worst.level || other.level == worst.level && other.number > worst.number) {
			worst = other
		}
	}
	if worst == nil || !worst.late && worst.level <= e.level {
		return false
	}
	q.refuse(worst, Displaced)
	return true
}

// judge returns why a waiting item is refused, empty if it keeps waiting.
func (q *Queue[K]) judge(e *entry[K], load Load, now time.Duration) Reason {
	if now > e.limit {
		q.setLate(e)
		return TooLate
	}
	displaced := false
	if !e.late && q.order == Shares && e.level > 0 {
		urgent := load.Ahead
		for level := range e.level {
			urgent += q.live[level]
		}
		onlyOne := q.live[e.level] <= e.Work && q.owed(e.level)
		displaced = !onlyOne && now+urgent/time.Duration(max(load.Slots, 1)) > e.lateAt
	}
	if !e.late && !displaced && now <= e.lateAt && (q.order != Shares || now <= q.refuseAt(e)) {
		return ""
	}
	q.setLate(e)
	if q.servedLate(e, load, now) {
		return ""
	}
	if displaced {
		return Displaced
	}
	return Full
}
