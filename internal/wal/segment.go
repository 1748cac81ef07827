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

// randomNumber returns a random number other than zero.
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

// rotate begins a new segment. It starts with a copy of hard state and
// snapshot mark, so that the segments before it can be removed.
func (l *Log) rotate() error {
	name := numberedName(l.sequence, segmentSuffix)
	data, s, err := newSegment(l.sequence, &items{hardState: l.hardState, mark: l.mark})
	if err != nil {
		return err
	}
	if err := writeWhole(l.fs, l.path(name), data); err != nil {
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

// segmentHeadRecords is the number of records every segment starts with.
const segmentHeadRecords = 2

func newSegment(sequence uint64, state *items) ([]byte, salt, error) {
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

// openSegment makes the segment the one that records are written to.
func (l *Log) openSegment(name string) error {
	f, err := l.fs.Append(l.path(name))
	if err != nil {
		return explain(err, "open", l.path(name))
	}
	old := l.file
	l.file = f
	if old == nil {
		return nil
	}
	return explain(old.Close(), "close segment before", l.path(name))
}

// removeOld removes segments and snapshots that lie behind the mark.
func (l *Log) removeOld() error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.mark.Index {
		// Removed one by one from the oldest on, each made durable: a crash
		// must not leave a gap, which would look like damage.
		if err := l.remove(l.segments[0].name); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return l.fail(explain(err, "read folder", l.folder))
	}
	for _, name := range names {
		index, ok := parseNumberedName(name, snapshotSuffix)
		if !ok || index == l.mark.Index {
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
		return explain(err, "remove", l.path(name))
	}
	return explain(l.fs.SyncDir(l.folder), "sync folder", l.folder)
}

func (l *Log) writeSnapshot(s *raftpb.Snapshot) error {
	return l.writeMessage(numberedName(s.Index, snapshotSuffix), s)
}

// writeMessage makes a file of one message.
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
	return writeWhole(l.fs, l.path(name), data)
}

// readMessage reads a file of one message.
func (l *Log) readMessage(name string, m proto.Message) error {
	path := l.path(name)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return explain(err, "read", path)
	}
	s, _, rest, ok := parseFirstRecord(data)
	if !ok {
		return damaged(path, 0, "no valid first record")
	}
	at := len(data) - len(rest)
	_, payload, ok := parseRecord(rest, s)
	if !ok || len(payload)+headerLength != len(rest) {
		return damaged(path, int64(at), "no valid record")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return damaged(path, int64(at), err.Error())
	}
	return nil
}
