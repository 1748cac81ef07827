package wal

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// tail knows the terms of the entries in the log, as runs of equal terms.
type tail struct {
	// last is the index of the last entry, or that of the snapshot.
	last uint64
	runs []run
}

// run is a series of entries of one term that begins at first.
type run struct {
	first, term uint64
}

// append takes in an entry, which replaces those from its index on.
func (t *tail) append(index, term uint64) {
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].first >= index {
		t.runs = t.runs[:len(t.runs)-1]
	}
	if len(t.runs) == 0 || t.runs[len(t.runs)-1].term != term {
		t.runs = append(t.runs, run{first: index, term: term})
	}
	t.last = index
}

// holds tells whether the log has an entry of this index and term.
func (t *tail) holds(index, term uint64) bool {
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

// drop forgets the entries up to the snapshot, with reset also those after.
func (t *tail) drop(mark *raftpb.Snapshot, reset bool) {
	if reset || t.last <= mark.Index {
		t.runs = nil
		t.last = mark.Index
		return
	}
	for len(t.runs) > 1 && t.runs[1].first <= mark.Index+1 {
		t.runs = t.runs[1:]
	}
	t.runs[0].first = max(t.runs[0].first, mark.Index+1)
}
