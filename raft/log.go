package raft

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// entryOverhead is added to the size of each entry, in bytes, so that entries
// without data are bounded too.
const entryOverhead = 32

func entrySize(e *raftpb.Entry) int {
	return len(e.GetData()) + entryOverhead
}

// entryLog holds the entries after offset. Entries are shared with messages
// and batches and never modified.
type entryLog struct {
	// offset and offsetTerm are index and term of the entry before entries[0].
	offset     uint64
	offsetTerm uint64
	entries    []*raftpb.Entry
	// stable is the last index known to be synced.
	stable uint64
	// commit is the last index known to be committed.
	commit uint64
	// applied is the last applied index, or that of a snapshot to restore.
	applied uint64
}

func (l *entryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; false if the entry is compacted
// or does not exist yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries of from..to, as many as fit into maxBytes and at
// least one if there is one.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*raftpb.Entry {
	if from > to || from <= l.offset {
		return nil
	}
	all := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i, e := range all {
		size += entrySize(e)
		if i > 0 && size > maxBytes {
			return slices.Clip(all[:i])
		}
	}
	return slices.Clip(all)
}

// bytes returns the size of the entries of from..to.
func (l *entryLog) bytes(from, to uint64) int {
	size := 0
	for i := max(from, l.offset+1); i <= to; i++ {
		size += entrySize(l.entries[i-l.offset-1])
	}
	return size
}

// append adds entries. They replace existing entries from the first index on.
func (l *entryLog) append(entries ...*raftpb.Entry) {
	if len(entries) == 0 {
		return
	}
	before := entries[0].GetIndex() - 1
	if before < l.lastIndex() {
		// A batch or a message may still refer to the old tail: do not write
		// into the same array.
		l.entries = slices.Clone(l.entries[:before-l.offset])
	}
	l.stable = min(l.stable, before)
	l.entries = append(l.entries, entries...)
}

// stableTo records that the entry with this index and term was synced. If it was
// overwritten meanwhile, the terms differ and the next batch has the new entry.
func (l *entryLog) stableTo(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

// findConflictByTerm returns the last index up to index whose term is not above
// term, at least offset.
func (l *entryLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.offset {
		own, _ := l.term(index)
		if own <= term {
			break
		}
		index--
	}
	return max(index, l.offset)
}

// upToDate reports whether a log that ends with this index and term is at least
// as up to date as this log.
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.lastIndex()
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	// A copy, so that the dropped entries can be freed.
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset = index
	l.offsetTerm = term
}

// reset replaces the log with a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.entries = nil
	l.offset = index
	l.offsetTerm = term
	l.stable = index
	l.commit = index
}
