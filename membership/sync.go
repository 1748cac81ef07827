package membership

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// maxOwnLog bounds the changes of the own claims that are remembered. A host
// that missed older ones finds out by the digests.
const maxOwnLog = 8_192

// peer is what this host knows of the claims of another control host.
type peer struct {
	claims *claims
	// epoch and serial are those of the last message.
	epoch  uint64
	serial uint64
	// confirmed is when the claims were last known to be the host's.
	confirmed time.Duration
}

// ownLog has the numbers of the own claims in the order of their last change.
type ownLog struct {
	sequence uint64
	order    *list.List
	entries  map[uint32]*list.Element
}

// own is what this host hears from agents itself.
type own struct {
	*claims
	log *ownLog
}

func newOwn() own { return own{newClaims(), newOwnLog()} }

func (o own) put(number uint32, v version) {
	if o.claims.put(number, v) {
		o.log.add(number)
	}
}

func (o own) drop(number uint32) {
	if o.claims.drop(number) {
		o.log.add(number)
	}
}

type ownChange struct {
	number   uint32
	sequence uint64
}

func newOwnLog() *ownLog {
	return &ownLog{order: list.New(), entries: map[uint32]*list.Element{}}
}

func (l *ownLog) add(number uint32) {
	l.sequence++
	if e, ok := l.entries[number]; ok {
		l.order.Remove(e)
	}
	l.entries[number] = l.order.PushBack(ownChange{number, l.sequence})
	if l.order.Len() > maxOwnLog {
		oldest := l.order.Front()
		l.order.Remove(oldest)
		delete(l.entries, oldest.Value.(ownChange).number)
	}
}

// LocalSequence returns the sequence of the last change of the targets that are
// heard from agents here. It is the cursor that Sync returned last if there is
// nothing new to pass on.
func (d *Directory) LocalSequence() uint64 { return d.own.log.sequence }

// Sync returns what another control host has to be told that was told
// everything up to the cursor, and the new cursor. A message that got lost is
// made up for by calling Sync with the old cursor again.
func (d *Directory) Sync(now time.Duration, cursor uint64) (*controlpb.DirectorySync, uint64) {
	return d.compose(now, cursor, 0)
}

// Repair is Sync for a host whose digests, as it answered them, differ: the
// message has all records of the buckets that differ.
func (d *Directory) Repair(now time.Duration, cursor uint64, digests []uint64) (*controlpb.DirectorySync, uint64) {
	return d.compose(now, cursor, d.own.differing(digests))
}

func (d *Directory) compose(now time.Duration, cursor, whole uint64) (*controlpb.DirectorySync, uint64) {
	m := &controlpb.DirectorySync{Whole: whole, Summary: d.summary()}
	for e := d.own.log.order.Back(); e != nil; e = e.Prev() {
		c := e.Value.(ownChange)
		if c.sequence <= cursor {
			break
		}
		d.tell(now, m, c.number)
	}
	if whole != 0 {
		d.tellBuckets(now, m, whole)
	}
	slices.SortFunc(m.Records, byNumber)
	slices.Sort(m.Ended)
	slices.Sort(m.Left)
	return m, d.own.log.sequence
}

// tell adds one change of the own claims to a message.
func (d *Directory) tell(now time.Duration, m *controlpb.DirectorySync, number uint32) {
	t, known := d.byID[number]
	switch {
	case known && d.own.has(number):
		if m.Whole&(1<<bucketOf(number)) == 0 {
			m.Records = append(m.Records, t.aged(now, t.heard))
		}
	case known:
		m.Left = append(m.Left, number)
	default:
		m.Ended = append(m.Ended, number)
	}
}

func (d *Directory) tellBuckets(now time.Duration, m *controlpb.DirectorySync, whole uint64) {
	for number := range d.own.held {
		if whole&(1<<bucketOf(number)) != 0 {
			t := d.byID[number]
			m.Records = append(m.Records, t.aged(now, t.heard))
		}
	}
}

func (d *Directory) summary() *controlpb.DirectorySummary {
	d.serial++
	return &controlpb.DirectorySummary{
		Epoch:  d.opts.Epoch,
		Serial: d.serial,
		Count:  uint32(len(d.own.held)),
		Digest: d.own.digest(),
	}
}

// ApplySync merges what another control host passes on. The reply tells that host
// whether its claims are known here as its summary says.
func (d *Directory) ApplySync(now time.Duration, from Source, m *controlpb.DirectorySync) *controlpb.DirectorySyncReply {
	s := m.GetSummary()
	if s == nil {
		d.hearRecords(now, m.GetRecords())
		return &controlpb.DirectorySyncReply{}
	}
	p := d.peerOf(now, from)
	if s.GetEpoch() == p.epoch && s.GetSerial() <= p.serial {
		return &controlpb.DirectorySyncReply{}
	}
	p.epoch, p.serial = s.GetEpoch(), s.GetSerial()
	d.merge(now, from, p, m)
	if !p.claims.matches(s) {
		return &controlpb.DirectorySyncReply{Digests: slices.Clone(p.claims.digests[:])}
	}
	p.confirmed = now
	return &controlpb.DirectorySyncReply{}
}

// hearRecords takes the records of a host that sends no summaries: each one
// is good for a lease.
func (d *Directory) hearRecords(now time.Duration, records []*controlpb.TargetRecord) {
	for _, r := range records {
		if t, verdict := d.accept(now, r); verdict.Accepted() {
			d.linger(now, t)
		}
	}
}

func (d *Directory) peerOf(now time.Duration, from Source) *peer {
	p, ok := d.peers[from]
	if !ok {
		p = &peer{claims: newClaims(), confirmed: now}
		d.peers[from] = p
	}
	return p
}

func (d *Directory) merge(now time.Duration, from Source, p *peer, m *controlpb.DirectorySync) {
	for _, r := range m.GetRecords() {
		d.Announce(now, r, from)
	}
	if m.GetWhole() != 0 {
		d.dropMissing(now, p, m.GetWhole(), m.GetRecords())
	}
	for _, number := range m.GetLeft() {
		d.unclaim(now, p, number, true)
	}
	for _, number := range m.GetEnded() {
		d.unclaim(now, p, number, false)
	}
}

// dropMissing ends the claims of a host in some buckets, but for those that
// it names. Their targets live for another lease: the host has not said that
// the agents are silent, only that it does not hear them itself.
func (d *Directory) dropMissing(now time.Duration, p *peer, mask uint64, named []*controlpb.TargetRecord) {
	keep := make(map[uint32]bool, len(named))
	for _, r := range named {
		keep[r.GetNumber()] = true
	}
	var missing []uint32
	for number := range p.claims.held {
		if mask&(1<<bucketOf(number)) != 0 && !keep[number] {
			missing = append(missing, number)
		}
	}
	slices.Sort(missing)
	for _, number := range missing {
		d.unclaim(now, p, number, true)
	}
}

// unclaim ends the claim of a host. A target that nobody claims any more goes
// at once, or after another lease.
func (d *Directory) unclaim(now time.Duration, p *peer, number uint32, lingers bool) {
	if !p.claims.drop(number) {
		return
	}
	t, known := d.byID[number]
	if !known || d.claimed(t) {
		return
	}
	if lingers {
		d.linger(now, t)
		return
	}
	if t.lease == nil {
		d.remove(now, t)
	}
}

// claimed reports whether this host or another one hears the target.
func (d *Directory) claimed(t *target) bool {
	number, v := t.heard.GetNumber(), versionOf(t.heard)
	if d.own.has(number) {
		return true
	}
	for _, p := range d.peers {
		if held, ok := p.claims.held[number]; ok && held == v {
			return true
		}
	}
	return false
}

// forgetSilent drops the claims of hosts that have been silent for too long.
func (d *Directory) forgetSilent(now time.Duration) {
	for from, p := range d.peers {
		if now-p.confirmed < d.opts.Lease+d.opts.Hold {
			continue
		}
		delete(d.peers, from)
		for _, number := range slices.Sorted(maps.Keys(p.claims.held)) {
			t, known := d.byID[number]
			if known && t.lease == nil && !d.claimed(t) {
				d.remove(now, t)
			}
		}
	}
}
