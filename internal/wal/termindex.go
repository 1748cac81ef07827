package wal

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// termIndex holds the terms of the entries in the log, as runs of equal terms.
type termIndex struct {
	// last is the index of the last entry, or that of the snapshot.
	last uint64
	runs []termRun
}

// termRun is a run of entries of one term, starting at the index first.
type termRun struct {
	first, term uint64
}

// append adds an entry, which replaces those from its index on.
func (t *termIndex) append(index, term uint64) {
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].first >= index {
		t.runs = t.runs[:len(t.runs)-1]
	}
	if len(t.runs) == 0 || t.runs[len(t.runs)-1].term != term {
		t.runs = append(t.runs, termRun{first: index, term: term})
	}
	t.last = index
}

// holds reports whether the log has an entry with this index and term.
func (t *termIndex) holds(index, term uint64) bool {
	if index > t.last {
		return false
	}
	for i := len(t.runs) - 1; i >= 0; i-- {
		if t.runs[i].first <= index {
			return t.runs[i].term == term
		}
	}
	return false
}

// drop removes the entries up to the snapshot, or all of them if reset is set.
func (t *termIndex) drop(snapshotMeta *raftpb.Snapshot, reset bool) {
	if reset || t.last <= snapshotMeta.Index {
		t.runs = nil
		t.last = snapshotMeta.Index
		return
	}
	for len(t.runs) > 1 && t.runs[1].first <= snapshotMeta.Index+1 {
		t.runs = t.runs[1:]
	}
	t.runs[0].first = max(t.runs[0].first, snapshotMeta.Index+1)
}
