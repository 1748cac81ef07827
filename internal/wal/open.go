package wal

import (
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Open opens the data directory, or creates it with a new incarnation, and returns
// its content.
func Open(dir string, opts Options) (*Log, *State, error) {
	if opts.FS == nil {
		opts.FS = OSFS{}
	}
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if opts.Incarnation == nil {
		opts.Incarnation = randomNumber
	}
	if err := opts.FS.MkdirAll(dir); err != nil {
		return nil, nil, wrapFSError(err, "create directory", dir)
	}
	lockPath := filepath.Join(dir, lockName)
	lock, err := opts.FS.Lock(lockPath)
	if err != nil {
		return nil, nil, wrapFSError(err, "lock", lockPath)
	}
	l := &Log{dir: dir, fs: opts.FS, opts: opts, lock: lock}
	state, err := l.load()
	if err == nil {
		return l, state, nil
	}
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
	}
	return nil, nil, errors.Join(err, lock.Close())
}

// dirListing holds the file names of a data directory by kind, each in ascending
// order.
type dirListing struct {
	identity  bool
	segments  []string
	snapshots []string
	tmpFiles  []string
}

func (l *Log) list() (*dirListing, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, wrapFSError(err, "read directory", l.dir)
	}
	listing := &dirListing{}
	for _, name := range names {
		if name == identityName {
			listing.identity = true
		} else if strings.HasSuffix(name, tmpSuffix) {
			listing.tmpFiles = append(listing.tmpFiles, name)
		} else if _, ok := parseNumberedName(name, segmentSuffix); ok {
			listing.segments = append(listing.segments, name)
		} else if _, ok := parseNumberedName(name, snapshotSuffix); ok {
			listing.snapshots = append(listing.snapshots, name)
		}
	}
	return listing, nil
}

func (l *Log) load() (*State, error) {
	listing, err := l.list()
	if err != nil {
		return nil, err
	}
	for _, name := range listing.tmpFiles {
		if err := l.remove(name); err != nil {
			return nil, err
		}
	}
	state := &State{New: !listing.identity}
	if state.New {
		if err := l.create(listing); err != nil {
			return nil, err
		}
		if listing, err = l.list(); err != nil {
			return nil, err
		}
	}
	state.Self = &raftpb.ReplicaID{}
	if err := l.readMessage(identityName, state.Self); err != nil {
		return nil, err
	}
	if state.Self.Name != l.opts.Name {
		return nil, errors.Errorf("data directory %s belongs to replica %q, not %q", l.dir, state.Self.Name, l.opts.Name)
	}
	if err := l.replay(listing.segments, state); err != nil {
		return nil, err
	}
	if err := l.loadSnapshot(listing.snapshots, state); err != nil {
		return nil, err
	}
	return state, nil
}

// create initializes an empty data directory. The identity is written last: a
// directory without one was never used, unless it holds more than create writes.
func (l *Log) create(listing *dirListing) error {
	if err := l.checkUnused(listing); err != nil {
		return err
	}
	const firstSequence = 1
	data, _, err := newSegment(firstSequence, &logRecord{})
	if err != nil {
		return err
	}
	if err := writeFileAtomic(l.fs, l.path(numberedName(firstSequence, segmentSuffix)), data); err != nil {
		return err
	}
	incarnation, err := l.opts.Incarnation()
	if err != nil {
		return err
	}
	id := &raftpb.ReplicaID{Name: l.opts.Name, Incarnation: incarnation}
	if err := l.writeMessage(identityName, id); err != nil {
		return err
	}
	parent := filepath.Dir(l.dir)
	return wrapFSError(l.fs.SyncDir(parent), "sync directory", parent)
}

func (l *Log) checkUnused(listing *dirListing) error {
	unused := len(listing.snapshots) == 0 && len(listing.segments) <= 1
	for _, name := range listing.segments {
		data, err := l.fs.ReadFile(l.path(name))
		if err != nil {
			return wrapFSError(err, "read", l.path(name))
		}
		unused = unused && len(data) == headerLength+saltLength+headerLength
	}
	if !unused {
		return corrupted(l.path(identityName), 0, "missing although a log exists")
	}
	return nil
}

// loadSnapshot reads the snapshot that the log refers to and removes all others.
func (l *Log) loadSnapshot(names []string, state *State) error {
	want := ""
	if l.snapshotMeta != nil {
		want = numberedName(l.snapshotMeta.Index, snapshotSuffix)
		state.Snapshot = &raftpb.Snapshot{}
		if err := l.readMessage(want, state.Snapshot); err != nil {
			return err
		}
		if state.Snapshot.Index != l.snapshotMeta.Index || state.Snapshot.Term != l.snapshotMeta.Term {
			return corrupted(l.path(want), 0, "not the snapshot that the log refers to")
		}
	}
	for _, name := range names {
		if name == want {
			continue
		}
		if err := l.remove(name); err != nil {
			return err
		}
	}
	return nil
}
