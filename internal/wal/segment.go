package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

const (
	lockName       = "LOCK"
	identityName   = "identity"
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snap"
	tmpSuffix      = ".tmp"
)

func numberedName(n uint64, suffix string) string { return fmt.Sprintf("%016x%s", n, suffix) }

func parseNumberedName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}

func newSalt() (salt, error) {
	n, err := randomNumber()
	return salt(n), err
}

// randomNumber returns a random non-zero number.
func randomNumber() (uint64, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, errors.Wrap(err, "random number")
		}
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n, nil
		}
	}
}

// rotate starts a new segment. It begins with a copy of the hard state and the
// snapshot metadata, so that earlier segments can be removed.
func (l *Log) rotate() error {
	name := numberedName(l.sequence, segmentSuffix)
	data, s, err := newSegment(l.sequence, &logRecord{hardState: l.hardState, snapshotMeta: l.snapshotMeta})
	if err != nil {
		return err
	}
	if err := writeFileAtomic(l.fs, l.path(name), data); err != nil {
		return err
	}
	if err := l.openSegment(name); err != nil {
		return err
	}
	l.salt = s
	l.size = len(data)
	l.sequence += segmentHeadRecords
	l.segments = append(l.segments, segment{name: name})
	return nil
}

// segmentHeadRecords is the number of records at the start of every segment: the first
// record and the copied state.
const segmentHeadRecords = 2

func newSegment(sequence uint64, state *logRecord) ([]byte, salt, error) {
	s, err := newSalt()
	if err != nil {
		return nil, 0, err
	}
	payload, err := state.encode(nil)
	if err != nil {
		return nil, 0, err
	}
	data := appendFirstRecord(nil, s, sequence)
	return appendRecord(data, s, sequence+1, payload), s, nil
}

// openSegment opens the segment for appending and closes the one before.
func (l *Log) openSegment(name string) error {
	f, err := l.fs.Append(l.path(name))
	if err != nil {
		return wrapFSError(err, "open", l.path(name))
	}
	old := l.file
	l.file = f
	if old == nil {
		return nil
	}
	return wrapFSError(old.Close(), "close previous segment of", l.path(name))
}

// removeObsolete removes segments and snapshots that the current snapshot replaces.
func (l *Log) removeObsolete() error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshotMeta.Index {
		// Each removal is synced, from the oldest segment on: a gap after a
		// crash would look like corruption.
		if err := l.remove(l.segments[0].name); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return l.fail(wrapFSError(err, "read directory", l.dir))
	}
	for _, name := range names {
		index, ok := parseNumberedName(name, snapshotSuffix)
		if !ok || index == l.snapshotMeta.Index {
			continue
		}
		if err := l.remove(name); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

func (l *Log) remove(name string) error {
	if err := l.fs.Remove(l.path(name)); err != nil {
		return wrapFSError(err, "remove", l.path(name))
	}
	return wrapFSError(l.fs.SyncDir(l.dir), "sync directory", l.dir)
}

func (l *Log) writeSnapshot(s *raftpb.Snapshot) error {
	return l.writeMessage(numberedName(s.Index, snapshotSuffix), s)
}

// writeMessage writes a file with one message.
func (l *Log) writeMessage(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if len(payload) > maxPayload {
		return errors.Wrapf(ErrTooLarge, "%d bytes for %s", len(payload), name)
	}
	s, err := newSalt()
	if err != nil {
		return err
	}
	data := appendFirstRecord(nil, s, 0)
	data = appendRecord(data, s, 1, payload)
	return writeFileAtomic(l.fs, l.path(name), data)
}

// readMessage reads a file with one message.
func (l *Log) readMessage(name string, m proto.Message) error {
	path := l.path(name)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return wrapFSError(err, "read", path)
	}
	s, _, rest, ok := parseFirstRecord(data)
	if !ok {
		return corrupted(path, 0, "no valid first record")
	}
	at := len(data) - len(rest)
	_, payload, ok := parseRecord(rest, s)
	if !ok || len(payload)+headerLength != len(rest) {
		return corrupted(path, int64(at), "no valid record")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return corrupted(path, int64(at), err.Error())
	}
	return nil
}
