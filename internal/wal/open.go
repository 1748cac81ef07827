package wal

import (
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Open opens the data folder, or makes it with a new incarnation, and returns
// what it holds.
func Open(folder string, opts Options) (*Log, *State, error) {
	if opts.FS == nil {
		opts.FS = OSFS{}
	}
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if opts.Incarnation == nil {
		opts.Incarnation = randomNumber
	}
	if err := opts.FS.MkdirAll(folder); err != nil {
		return nil, nil, explain(err, "make folder", folder)
	}
	lockPath := filepath.Join(folder, lockName)
	lock, err := opts.FS.Lock(lockPath)
	if err != nil {
		return nil, nil, explain(err, "lock", lockPath)
	}
	l := &Log{folder: folder, fs: opts.FS, opts: opts, lock: lock}
	state, err := l.load()
	if err == nil {
		return l, state, nil
	}
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
	}
	return nil, nil, errors.Join(err, lock.Close())
}

// listing is the names in a folder by kind, each in ascending order.
type listing struct {
	identity  bool
	segments  []string
	snapshots []string
	temporary []string
}

func (l *Log) list() (*listing, error) {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return nil, explain(err, "read folder", l.folder)
	}
	found := &listing{}
	for _, name := range names {
		if name == identityName {
			found.identity = true
		} else if strings.HasSuffix(name, tmpSuffix) {
			found.temporary = append(found.temporary, name)
		} else if _, ok := parseNumberedName(name, segmentSuffix); ok {
			found.segments = append(found.segments, name)
		} else if _, ok := parseNumberedName(name, snapshotSuffix); ok {
			found.snapshots = append(found.snapshots, name)
		}
	}
	return found, nil
}

func (l *Log) load() (*State, error) {
	found, err := l.list()
	if err != nil {
		return nil, err
	}
	for _, name := range found.temporary {
		if err := l.remove(name); err != nil {
			return nil, err
		}
	}
	state := &State{New: !found.identity}
	if state.New {
		if err := l.create(found); err != nil {
			return nil, err
		}
		if found, err = l.list(); err != nil {
			return nil, err
		}
	}
	state.Self = &raftpb.ReplicaID{}
	if err := l.readMessage(identityName, state.Self); err != nil {
		return nil, err
	}
	if state.Self.Name != l.opts.Name {
		return nil, errors.Errorf("folder %s belongs to replica %q, not %q", l.folder, state.Self.Name, l.opts.Name)
	}
	if err := l.replay(found.segments, state); err != nil {
		return nil, err
	}
	if err := l.loadSnapshot(found.snapshots, state); err != nil {
		return nil, err
	}
	return state, nil
}

// create fills an empty folder. The identity comes last: a folder without one
// has never been used, unless it holds more than create makes.
func (l *Log) create(found *listing) error {
	if err := l.checkUnused(found); err != nil {
		return err
	}
	const firstSequence = 1
	data, _, err := newSegment(firstSequence, &items{})
	if err != nil {
		return err
	}
	if err := writeWhole(l.fs, l.path(numberedName(firstSequence, segmentSuffix)), data); err != nil {
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
	parent := filepath.Dir(l.folder)
	return explain(l.fs.SyncDir(parent), "sync folder", parent)
}

func (l *Log) checkUnused(found *listing) error {
	unused := len(found.snapshots) == 0 && len(found.segments) <= 1
	for _, name := range found.segments {
		data, err := l.fs.ReadFile(l.path(name))
		if err != nil {
			return explain(err, "read", l.path(name))
		}
		unused = unused && len(data) == headerLength+saltLength+headerLength
	}
	if !unused {
		return damaged(l.path(identityName), 0, "missing beside a log")
	}
	return nil
}

// loadSnapshot reads the snapshot that the log refers to. Others never took
// effect or were replaced, and are removed.
func (l *Log) loadSnapshot(names []string, state *State) error {
	want := ""
	if l.mark != nil {
		want = numberedName(l.mark.Index, snapshotSuffix)
		state.Snapshot = &raftpb.Snapshot{}
		if err := l.readMessage(want, state.Snapshot); err != nil {
			return err
		}
		if state.Snapshot.Index != l.mark.Index || state.Snapshot.Term != l.mark.Term {
			return damaged(l.path(want), 0, "not the snapshot that the log refers to")
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
