package wal

import (
	"io"
	"path/filepath"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options configures a Log.
type Options struct {
	// Name is the name of the replica. A data directory with another name is
	// refused.
	Name string
	// SegmentBytes is the size after which a new segment is started.
	SegmentBytes int
	// FS is the file system. Nil means that of the operating system.
	FS FS
	// Incarnation returns the non-zero incarnation of a new data directory. Nil
	// means a random one.
	Incarnation func() (uint64, error)
}

// State is the content of a data directory when it is opened.
type State struct {
	Self *raftpb.ReplicaID
	// HardState is nil if none was saved.
	HardState *raftpb.HardState
	// Snapshot is nil if there is none.
	Snapshot *raftpb.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*raftpb.Entry
	// New is set if the data directory was created by Open.
	New bool
	// TornBytes is the number of bytes truncated from the end of the log.
	TornBytes int
}

// Batch is the argument of Save. Each field may be empty.
type Batch struct {
	HardState *raftpb.HardState
	// Snapshot is a snapshot received from the leader. Entries up to it are
	// dropped; later ones too, unless the log matches its index and term.
	Snapshot *raftpb.Snapshot
	// Entries continue the log or overwrite it from their first index on.
	Entries []*raftpb.Entry
}

func (b *Batch) empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0
}

// Log is an open data directory. It is not safe for concurrent use.
type Log struct {
	dir  string
	fs   FS
	opts Options
	lock io.Closer

	file     File
	salt     salt
	size     int
	sequence uint64 // of the next record
	segments []segment
	buffer   []byte

	hardState    *raftpb.HardState
	snapshotMeta *raftpb.Snapshot // without data; nil for none
	termIndex    termIndex

	failure error
	closed  bool
}

// segment is one file of the log.
type segment struct {
	name string
	// lastIndex is the highest index of an entry in it.
	lastIndex uint64
}

// Save makes the batch durable and returns once it is synced. ErrNotContiguous and
// ErrTooLarge leave the log unchanged; after any other error the log must be
// reopened.
func (l *Log) Save(b Batch) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if b.empty() {
		return nil
	}
	rec := &logRecord{hardState: b.HardState, entries: b.Entries}
	if b.Snapshot != nil {
		rec.snapshotMeta = &raftpb.Snapshot{Index: b.Snapshot.Index, Term: b.Snapshot.Term}
		rec.reset = !l.termIndex.holds(b.Snapshot.Index, b.Snapshot.Term)
	}
	if err := l.checkOrder(rec); err != nil {
		return err
	}
	// The snapshot must be durable before the record that refers to it.
	if b.Snapshot != nil {
		if err := l.writeSnapshot(b.Snapshot); err != nil {
			return l.fail(err)
		}
	}
	if err := l.append(rec); err != nil {
		return err
	}
	if b.Snapshot == nil {
		return nil
	}
	return l.removeObsolete()
}

// Compact makes a snapshot of the state machine durable and removes the segments and
// snapshots that it replaces. A snapshot that is not newer than the current one is
// ignored. Errors are those of Save.
func (l *Log) Compact(s *raftpb.Snapshot) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if s.Index <= l.snapshotMeta.GetIndex() {
		return nil
	}
	if s.Index > l.termIndex.last {
		return errors.Wrapf(ErrNotContiguous, "snapshot at %d, last entry %d", s.Index, l.termIndex.last)
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.fail(err)
	}
	snapshotMeta := &raftpb.Snapshot{Index: s.Index, Term: s.Term}
	if err := l.append(&logRecord{snapshotMeta: snapshotMeta}); err != nil {
		return err
	}
	return l.removeObsolete()
}

// Snapshot reads the current snapshot, which must be at the given index. It returns
// ErrCorrupted if the file is invalid.
func (l *Log) Snapshot(index uint64) (*raftpb.Snapshot, error) {
	s := new(raftpb.Snapshot)
	return s, l.readMessage(numberedName(index, snapshotSuffix), s)
}

// Close appends an empty record and releases the data directory.
func (l *Log) Close() error {
	if l.closed {
		return nil
	}
	var err error
	if l.failure == nil {
		err = l.append(&logRecord{})
	}
	l.closed = true
	return errors.Join(err, l.file.Close(), l.lock.Close())
}

func (l *Log) checkUsable() error {
	if l.closed {
		return ErrClosed
	}
	if l.failure != nil {
		return errors.Join(ErrFailed, l.failure)
	}
	return nil
}

// fail records err, after which the content of the disk is unknown, and returns it with
// ErrFailed. ErrTooLarge does not make the log fail.
func (l *Log) fail(err error) error {
	if errors.Is(err, ErrTooLarge) {
		// Detected before anything was written.
		return err
	}
	l.failure = err
	return errors.Join(ErrFailed, err)
}

func (l *Log) checkOrder(rec *logRecord) error {
	floor, last := l.snapshotMeta.GetIndex(), l.termIndex.last
	if rec.snapshotMeta != nil {
		if rec.snapshotMeta.Index <= floor {
			return errors.Wrapf(ErrNotContiguous, "snapshot at %d, have one at %d", rec.snapshotMeta.Index, floor)
		}
		floor = rec.snapshotMeta.Index
		if rec.reset {
			last = floor
		}
	}
	for _, e := range rec.entries {
		if e.Index <= floor || e.Index > last+1 {
			return errors.Wrapf(ErrNotContiguous, "entry %d, snapshot at %d, last entry %d", e.Index, floor, last)
		}
		last = e.Index
	}
	return nil
}

// append writes and syncs one record and applies it to the state in memory.
func (l *Log) append(rec *logRecord) error {
	payload, err := rec.encode(l.buffer[:0])
	if err != nil {
		return err
	}
	l.retainBuffer(payload)
	if len(payload) > maxPayload {
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	if l.size >= l.opts.SegmentBytes {
		if err := l.rotate(); err != nil {
			return l.fail(err)
		}
	}
	record := appendRecord(make([]byte, 0, headerLength+len(payload)), l.salt, l.sequence, payload)
	path := l.path(l.segments[len(l.segments)-1].name)
	if err := writeAll(l.file, record); err != nil {
		return l.fail(wrapFSError(err, "write", path))
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(errors.Join(ErrSync, wrapFSError(err, "sync", path)))
	}
	l.sequence++
	l.size += len(record)
	l.applyRecord(rec)
	return nil
}

// retainBuffer keeps the encoding buffer unless it is too large.
func (l *Log) retainBuffer(b []byte) {
	const maxKept = 1 << 20
	if cap(b) <= maxKept {
		l.buffer = b
	}
}

func (l *Log) applyRecord(rec *logRecord) {
	if rec.hardState != nil {
		l.hardState = proto.CloneOf(rec.hardState)
	}
	if rec.snapshotMeta != nil {
		l.snapshotMeta = rec.snapshotMeta
		l.termIndex.drop(rec.snapshotMeta, rec.reset)
	}
	newest := &l.segments[len(l.segments)-1]
	for _, e := range rec.entries {
		l.termIndex.append(e.Index, e.Term)
		newest.lastIndex = max(newest.lastIndex, e.Index)
	}
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }
