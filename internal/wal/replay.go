package wal

import (
	"fmt"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// replay reads the segments and opens the newest one for writing.
func (l *Log) replay(names []string, state *State) error {
	if len(names) == 0 {
		return corrupted(l.dir, 0, "no segment")
	}
	r := &replayer{log: l}
	for i, name := range names {
		if err := r.segment(name, i == 0, i == len(names)-1); err != nil {
			return err
		}
	}
	if err := r.checkStart(); err != nil {
		return err
	}
	state.HardState = l.hardState
	state.Entries = r.entries
	state.TornBytes = r.tornBytes
	l.termIndex.last = l.snapshotMeta.GetIndex()
	for _, e := range r.entries {
		l.termIndex.append(e.Index, e.Term)
	}
	return l.rewriteNewest(r.data)
}

// rewriteNewest rewrites and syncs the valid part of the newest segment. After a
// failed sync of an earlier process it may only be in the page cache.
func (l *Log) rewriteNewest(data []byte) error {
	name := l.segments[len(l.segments)-1].name
	if err := writeFileAtomic(l.fs, l.path(name), data); err != nil {
		return err
	}
	l.size = len(data)
	return l.openSegment(name)
}

// replayer applies the records of all segments in order.
type replayer struct {
	log     *Log
	entries []*raftpb.Entry
	// data is the valid part of the newest segment read.
	data      []byte
	tornBytes int
}

// segment reads one segment. Only the newest one may have a torn tail.
func (r *replayer) segment(name string, oldest, newest bool) error {
	path := r.log.path(name)
	data, err := r.log.fs.ReadFile(path)
	if err != nil {
		return wrapFSError(err, "read", path)
	}
	named, _ := parseNumberedName(name, segmentSuffix)
	s, sequence, rest, ok := parseFirstRecord(data)
	if !ok || sequence != named {
		return corrupted(path, 0, "no valid first record")
	}
	if !oldest && sequence != r.log.sequence {
		return corrupted(path, 0, fmt.Sprintf("begins at record %d, want %d", sequence, r.log.sequence))
	}
	r.log.salt = s
	r.log.sequence = sequence + 1
	r.log.segments = append(r.log.segments, segment{name: name})
	at := len(data) - len(rest)
	for at < len(data) {
		n, err := r.record(path, data, at)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		at += n
	}
	if r.log.sequence < sequence+segmentHeadRecords {
		return corrupted(path, int64(at), "no valid second record")
	}
	if at < len(data) && (!newest || containsRecord(data[at:], s)) {
		return corrupted(path, int64(at), "invalid record before valid ones")
	}
	r.tornBytes += len(data) - at
	r.data = data[:at]
	return nil
}

// record applies the record at the offset and returns its length, or 0 if
// there is no valid one.
func (r *replayer) record(path string, data []byte, at int) (int, error) {
	sequence, payload, ok := parseRecord(data[at:], r.log.salt)
	if !ok {
		return 0, nil
	}
	if sequence != r.log.sequence {
		return 0, corrupted(path, int64(at), fmt.Sprintf("record %d, want %d", sequence, r.log.sequence))
	}
	rec, err := decodeLogRecord(payload)
	if err != nil {
		return 0, corrupted(path, int64(at), err.Error())
	}
	if rec.hardState != nil {
		r.log.hardState = rec.hardState
	}
	if rec.snapshotMeta != nil {
		r.log.snapshotMeta = rec.snapshotMeta
		r.drop(rec.snapshotMeta.Index, rec.reset)
	}
	newest := &r.log.segments[len(r.log.segments)-1]
	for _, e := range rec.entries {
		if !r.append(e) {
			return 0, corrupted(path, int64(at), fmt.Sprintf("entry %d leaves a gap", e.Index))
		}
		newest.lastIndex = max(newest.lastIndex, e.Index)
	}
	r.log.sequence++
	return headerLength + len(payload), nil
}

// drop removes the entries up to index, or all of them if reset is set.
func (r *replayer) drop(index uint64, reset bool) {
	if reset || len(r.entries) == 0 {
		r.entries = nil
		return
	}
	first := r.entries[0].Index
	if index < first {
		return
	}
	n := min(index-first+1, uint64(len(r.entries)))
	r.entries = append([]*raftpb.Entry(nil), r.entries[n:]...)
}

// append adds an entry, which replaces those from its index on. It reports false for
// a gap. The log may begin at any index, since older segments may be removed;
// checkStart checks that at the end.
func (r *replayer) append(e *raftpb.Entry) bool {
	if len(r.entries) == 0 || e.Index <= r.entries[0].Index {
		r.entries = append(r.entries[:0], e)
		return true
	}
	n := e.Index - r.entries[0].Index
	if n > uint64(len(r.entries)) {
		return false
	}
	r.entries = append(r.entries[:n], e)
	return true
}

// checkStart checks that the entries follow the snapshot.
func (r *replayer) checkStart() error {
	if len(r.entries) == 0 {
		return nil
	}
	first, want := r.entries[0].Index, r.log.snapshotMeta.GetIndex()+1
	if first == want {
		return nil
	}
	oldest := r.log.path(r.log.segments[0].name)
	return corrupted(oldest, 0, fmt.Sprintf("log begins at entry %d, want %d", first, want))
}
