package wal

import (
	"io"
	"path/filepath"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 8 << 20

// Options configures a Log.
type Options struct {
	// Name is the replica's name. A folder that was made under another name is
	// refused.
	Name string
	// SegmentBytes is the size after which a new segment is begun.
	SegmentBytes int
	// FS is the file system. Nil means that of the operating system.
	FS FS
	// Incarnation returns the incarnation of a new folder, which must be
	// non-zero. Nil means a random one.
	Incarnation func() (uint64, error)
}

// State is what a folder holds when it is opened.
type State struct {
	Self *raftpb.ReplicaID
	// HardState is nil if none was saved.
	HardState *raftpb.HardState
	// Snapshot is nil if there is none.
	Snapshot *raftpb.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*raftpb.Entry
	// New says that the folder was made by this call.
	New bool
	// TornBytes counts the bytes cut off the end of the log.
	TornBytes int
}

// Batch is what one Save makes durable. Each field may be empty.
type Batch struct {
	HardState *raftpb.HardState
	// Snapshot is one received from the leader. Entries before it are dropped,
	// and those after it too unless the log agrees with it.
	Snapshot *raftpb.Snapshot
	// Entries continue the log or replace it from their first index on.
	Entries []*raftpb.Entry
}

func (b *Batch) empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0
}

// Log is an open data folder. It is not safe for concurrent use.
type Log struct {
	folder string
	fs     FS
	opts   Options
	lock   io.Closer

	file     File
	salt     salt
	size     int
	sequence uint64 // of the next record
	segments []segment
	buffer   []byte

	hardState *raftpb.HardState
	mark      *raftpb.Snapshot // without data; nil for none
	tail      tail

	failure error
	closed  bool
}

// segment is one file of the log.
type segment struct {
	name string
	// lastIndex is the highest index of an entry in it.
	lastIndex uint64
}

// Save makes the batch durable and returns once it is synced. An error other
// than ErrOrder and ErrTooLarge, which leave the log as it was, is final: the
// log refuses everything after.
func (l *Log) Save(b Batch) error {
	if err := l.usable(); err != nil {
		return err
	}
	if b.empty() {
		return nil
	}
	it := &items{hardState: b.HardState, entries: b.Entries}
	if b.Snapshot != nil {
		it.mark = &raftpb.Snapshot{Index: b.Snapshot.Index, Term: b.Snapshot.Term}
		it.reset = !l.tail.holds(b.Snapshot.Index, b.Snapshot.Term)
	}
	if err := l.checkOrder(it); err != nil {
		return err
	}
	// The snapshot must be durable before the record that refers to it.
	if b.Snapshot != nil {
		if err := l.writeSnapshot(b.Snapshot); err != nil {
			return l.fail(err)
		}
	}
	if err := l.append(it); err != nil {
		return err
	}
	if b.Snapshot == nil {
		return nil
	}
	return l.removeOld()
}

// Compact makes a snapshot of the state machine durable and removes what lies
// behind it. A snapshot that is not newer than the present one is ignored.
// Errors are as those of Save.
func (l *Log) Compact(s *raftpb.Snapshot) error {
	if err := l.usable(); err != nil {
		return err
	}
	if s.Index <= l.mark.GetIndex() {
		return nil
	}
	if s.Index > l.tail.last {
		return errors.Wrapf(ErrNotContiguous, "snapshot at %d, last entry %d", s.Index, l.tail.last)
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.fail(err)
	}
	mark := &raftpb.Snapshot{Index: s.Index, Term: s.Term}
	if err := l.append(&items{mark: mark}); err != nil {
		return err
	}
	return l.removeOld()
}

// Snapshot reads the snapshot that was made durable at an index and not
// replaced since. Errors: ErrDamaged, with the file.
func (l *Log) Snapshot(index uint64) (*raftpb.Snapshot, error) {
	s := new(raftpb.Snapshot)
	return s, l.readMessage(numberedName(index, snapshotSuffix), s)
}

// Close ends the log with an empty record and gives the folder free.
func (l *Log) Close() error {
	if l.closed {
		return nil
	}
	var err error
	if l.failure == nil {
		err = l.append(&items{})
	}
	l.closed = true
	return errors.Join(err, l.file.Close(), l.lock.Close())
}

func (l *Log) usable() error {
	if l.closed {
		return ErrClosed
	}
	if l.failure != nil {
		return errors.Join(ErrFailed, l.failure)
	}
	return nil
}

// fail makes err final, because the state of the disk is not known after it.
func (l *Log) fail(err error) error {
	if errors.Is(err, ErrTooLarge) {
		// Found before anything was written.
		return err
	}
	l.failure = err
	return errors.Join(ErrFailed, err)
}

func (l *Log) checkOrder(it *items) error {
	floor, last := l.mark.GetIndex(), l.tail.last
	if it.mark != nil {
		if it.mark.Index <= floor {
			return errors.Wrapf(ErrNotContiguous, "snapshot at %d, have one at %d", it.mark.Index, floor)
		}
		floor = it.mark.Index
		if it.reset {
			last = floor
		}
	}
	for _, e := range it.entries {
		if e.Index <= floor || e.Index > last+1 {
			return errors.Wrapf(ErrNotContiguous, "entry %d, snapshot at %d, last entry %d", e.Index, floor, last)
		}
		last = e.Index
	}
	return nil
}

// append writes and syncs one record and takes it into the state in memory.
func (l *Log) append(it *items) error {
	payload, err := it.encode(l.buffer[:0])
	if err != nil {
		return err
	}
	l.keepBuffer(payload)
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
		return l.fail(explain(err, "write", path))
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(errors.Join(ErrSync, explain(err, "sync", path)))
	}
	l.sequence++
	l.size += len(record)
	l.take(it)
	return nil
}

// keepBuffer keeps the encoding buffer unless it has grown out of proportion.
func (l *Log) keepBuffer(b []byte) {
	const maxKept = 1 << 20
	if cap(b) <= maxKept {
		l.buffer = b
	}
}

func (l *Log) take(it *items) {
	if it.hardState != nil {
		l.hardState = proto.CloneOf(it.hardState)
	}
	if it.mark != nil {
		l.mark = it.mark
		l.tail.drop(it.mark, it.reset)
	}
	newest := &l.segments[len(l.segments)-1]
	for _, e := range it.entries {
		l.tail.append(e.Index, e.Term)
		newest.lastIndex = max(newest.lastIndex, e.Index)
	}
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }
