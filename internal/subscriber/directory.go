package subscriber

import (
	"cmp"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// directory is the list of targets as told by control hosts.
type directory struct {
	epoch    uint64
	sequence uint64
	// whole is set once a full list of the epoch has been received: from then
	// on deltas carry every removal.
	whole bool

	// records is sorted by target number; the slices are replaced, never
	// written to, because views hold them.
	records []*controlpb.TargetRecord
	heardAt []time.Time
}

// resume returns what the control host needs to go on with deltas. Without a
// full list of the epoch the next one has to be full.
func (d *directory) resume() (epoch, sequence uint64) {
	if !d.whole {
		return 0, 0
	}
	return d.epoch, d.sequence
}

// directoryResult counts what an update did.
type directoryResult struct {
	changed bool
	// older records were refused because a newer one of their target is known.
	older int
	// repeated is set for an update that was received before.
	repeated bool
}

// apply takes an update in one step. A list that is not full and comes from
// another epoch adds to what is known: its control host has just started and
// does not yet know what to remove.
func (d *directory) apply(u *controlpb.DirectoryUpdate, now time.Time) directoryResult {
	sameEpoch := d.epoch == u.GetEpoch()
	if sameEpoch && !u.GetFull() && u.GetSequence() < d.sequence {
		return directoryResult{repeated: true}
	}
	d.whole = u.GetFull() || (d.whole && sameEpoch)
	d.epoch = u.GetEpoch()
	d.sequence = u.GetSequence()

	var res directoryResult
	puts := make(map[uint32]*controlpb.TargetRecord, len(u.GetPut()))
	for _, r := range u.GetPut() {
		puts[r.GetNumber()] = r
	}
	removed := make(map[uint32]bool, len(u.GetRemoved()))
	for _, n := range u.GetRemoved() {
		removed[n] = true
	}
	records := make([]*controlpb.TargetRecord, 0, len(d.records)+len(puts))
	heardAt := make([]time.Time, 0, cap(records))
	for i, held := range d.records {
		n := held.GetNumber()
		next, put := puts[n]
		delete(puts, n)
		switch {
		case put && !older(next, held):
			records, heardAt = append(records, next), append(heardAt, now)
			res.changed = true
		case put:
			res.older++
			records, heardAt = append(records, held), append(heardAt, d.heardAt[i])
		case removed[n] || u.GetFull():
			res.changed = true
		default:
			records, heardAt = append(records, held), append(heardAt, d.heardAt[i])
		}
	}
	for _, r := range puts {
		records, heardAt = append(records, r), append(heardAt, now)
		res.changed = true
	}
	if len(puts) > 0 {
		sortRecords(records, heardAt)
	}
	if res.changed {
		d.records, d.heardAt = records, heardAt
	}
	return res
}

// older reports whether a record is older than the one held. An equal one is
// not: the control host may have changed its verdict on the target.
func older(next, held *controlpb.TargetRecord) bool {
	c := cmp.Compare(next.GetIncarnation(), held.GetIncarnation())
	if c == 0 {
		c = cmp.Compare(next.GetSequence(), held.GetSequence())
	}
	return c < 0
}

func sortRecords(records []*controlpb.TargetRecord, heardAt []time.Time) {
	type pair struct {
		record *controlpb.TargetRecord
		heard  time.Time
	}
	pairs := make([]pair, len(records))
	for i := range records {
		pairs[i] = pair{records[i], heardAt[i]}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Compare(a.record.GetNumber(), b.record.GetNumber())
	})
	for i, p := range pairs {
		records[i], heardAt[i] = p.record, p.heard
	}
}
