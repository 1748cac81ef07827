package membership

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// maxLocalLog bounds the logged changes of local claims. Hosts that missed older ones are
// repaired by the digests.
const maxLocalLog = 8_192

// peer is the state of another control host.
type peer struct {
	claims *claims
	// epoch and serial are those of its last message.
	epoch  uint64
	serial uint64
	// lastConfirmed is when the claims last matched its summary.
	lastConfirmed time.Duration
	// matchedAt is the same, but zero before the first match.
	matchedAt time.Duration
}

// localLog has the numbers of local claims in the order of their last change.
type localLog struct {
	sequence uint64
	order    *list.List
	entries  map[uint32]*list.Element
}

// local has the claims of this host.
type local struct {
	*claims
	log *localLog
}

func newLocal() local { return local{newClaims(), newLocalLog()} }

func (l local) put(number uint32, v version) {
	if l.claims.put(number, v) {
		l.log.add(number)
	}
}

func (l local) drop(number uint32) {
	if l.claims.drop(number) {
		l.log.add(number)
	}
}

type localChange struct {
	number   uint32
	sequence uint64
}

func newLocalLog() *localLog {
	return &localLog{order: list.New(), entries: map[uint32]*list.Element{}}
}

func (l *localLog) add(number uint32) {
	l.sequence++
	if e, ok := l.entries[number]; ok {
		l.order.Remove(e)
	}
	l.entries[number] = l.order.PushBack(localChange{number, l.sequence})
	if l.order.Len() > maxLocalLog {
		oldest := l.order.Front()
		l.order.Remove(oldest)
		delete(l.entries, oldest.Value.(localChange).number)
	}
}

// LocalSequence returns the sequence of the last change of local claims. It equals the
// cursor returned by Sync if there is nothing new to send.
func (d *Directory) LocalSequence() uint64 { return d.local.log.sequence }

// Sync returns the message for a control host that has everything up to the cursor, and
// the new cursor. After a lost message Sync is called with the old cursor again.
func (d *Directory) Sync(now time.Duration, cursor uint64) (*controlpb.DirectorySync, uint64) {
	return d.buildSync(now, cursor, 0)
}

// Repair is Sync for a host that replied with its digests: the message has all records of
// the buckets that differ.
func (d *Directory) Repair(now time.Duration, cursor uint64, digests []uint64) (*controlpb.DirectorySync, uint64) {
	return d.buildSync(now, cursor, d.local.differingBuckets(digests))
}

func (d *Directory) buildSync(now time.Duration, cursor, mask uint64) (*controlpb.DirectorySync, uint64) {
	m := &controlpb.DirectorySync{Whole: mask, Summary: d.summary()}
	for e := d.local.log.order.Back(); e != nil; e = e.Prev() {
		c := e.Value.(localChange)
		if c.sequence <= cursor {
			break
		}
		d.appendChange(now, m, c.number)
	}
	if mask != 0 {
		d.appendBuckets(now, m, mask)
	}
	if mask != 0 || cursor == 0 {
		d.appendLost(now, m)
	}
	slices.SortFunc(m.Records, byNumber)
	slices.Sort(m.Ended)
	slices.Sort(m.Left)
	return m, d.local.log.sequence
}

// appendChange adds a change of a local claim to a message.
func (d *Directory) appendChange(now time.Duration, m *controlpb.DirectorySync, number uint32) {
	t, known := d.byID[number]
	switch {
	case known && d.local.contains(number):
		if m.Whole&(1<<bucketOf(number)) == 0 {
			m.Records = append(m.Records, t.withAge(now, t.latest))
		}
	case known && t.lost == nil:
		m.Left = append(m.Left, number)
	default:
		m.Ended = append(m.Ended, number)
	}
}

func (d *Directory) appendBuckets(now time.Duration, m *controlpb.DirectorySync, mask uint64) {
	for number := range d.local.held {
		if mask&(1<<bucketOf(number)) != 0 {
			t := d.byID[number]
			m.Records = append(m.Records, t.withAge(now, t.latest))
		}
	}
}

// appendLost adds the lost targets to a message.
func (d *Directory) appendLost(now time.Duration, m *controlpb.DirectorySync) {
	for e := d.lost.Front(); e != nil; e = e.Next() {
		t := e.Value.(*target)
		m.Lost = append(m.Lost, t.withAge(now, t.latest))
	}
}

func (d *Directory) summary() *controlpb.DirectorySummary {
	d.serial++
	return &controlpb.DirectorySummary{
		Epoch:  d.opts.Epoch,
		Serial: d.serial,
		Count:  uint32(len(d.local.held)),
		Digest: d.local.digest(),
	}
}

// ApplySync merges a message of another control host. The reply has digests if the claims
// do not match its summary.
func (d *Directory) ApplySync(now time.Duration, from Source, m *controlpb.DirectorySync) *controlpb.DirectorySyncReply {
	s := m.GetSummary()
	if s == nil {
		d.mergeRecords(now, m.GetRecords())
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
	p.lastConfirmed, p.matchedAt = now, now
	return &controlpb.DirectorySyncReply{}
}

// mergeRecords merges the records of a host that sends no summaries. Each gets a lease.
func (d *Directory) mergeRecords(now time.Duration, records []*controlpb.TargetRecord) {
	for _, r := range records {
		d.removeLostBefore(now, r)
		if t, result := d.accept(now, r); result.Accepted() {
			d.markFound(now, t)
			d.extendLease(now, t)
		}
	}
}

// MatchedAt returns when the directory last had exactly the targets that announce themselves to
// another control host, zero if it never had.
func (d *Directory) MatchedAt(from Source) time.Duration {
	if p, ok := d.peers[from]; ok {
		return p.matchedAt
	}
	return 0
}

func (d *Directory) peerOf(now time.Duration, from Source) *peer {
	p, ok := d.peers[from]
	if !ok {
		p = &peer{claims: newClaims(), lastConfirmed: now}
		d.peers[from] = p
	}
	return p
}

func (d *Directory) merge(now time.Duration, from Source, p *peer, m *controlpb.DirectorySync) {
	for _, r := range m.GetRecords() {
		d.Announce(now, r, from)
	}
	for _, r := range m.GetLost() {
		d.addLost(now, r)
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

// dropMissing ends the claims of a host in some buckets that it did not send again. Their
// targets are kept for another lease: their agents may announce to other hosts.
func (d *Directory) dropMissing(now time.Duration, p *peer, mask uint64, sent []*controlpb.TargetRecord) {
	keep := make(map[uint32]bool, len(sent))
	for _, r := range sent {
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

// unclaim ends the claim of a host. A target without any other claim is removed at once, or
// after another lease.
func (d *Directory) unclaim(now time.Duration, p *peer, number uint32, grace bool) {
	if !p.claims.drop(number) {
		return
	}
	t, known := d.byID[number]
	if !known || d.claimed(t) {
		return
	}
	if grace {
		d.extendLease(now, t)
		return
	}
	if t.lease == nil {
		d.markLost(now, t)
	}
}

// claimed reports whether this host or another one claims the current record.
func (d *Directory) claimed(t *target) bool {
	number, v := t.latest.GetNumber(), versionOf(t.latest)
	if d.local.contains(number) {
		return true
	}
	for _, p := range d.peers {
		if held, ok := p.claims.held[number]; ok && held == v {
			return true
		}
	}
	return false
}

// expirePeers removes hosts that have been unresponsive for too long, with their claims.
func (d *Directory) expirePeers(now time.Duration) {
	for from, p := range d.peers {
		if now-p.lastConfirmed < d.opts.Lease+d.opts.Hold {
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
