package wal

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

func testOptions() Options { return Options{Name: "a"} }

var must = unittest.Must

func mustOpen(t testing.TB, dir string, opts Options) (*Log, *State) {
	t.Helper()
	l, s, err := Open(dir, opts)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l, s
}

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: index, Term: term, Data: []byte(data)}
}

func entries(term, from, to uint64) []*raftpb.Entry {
	var es []*raftpb.Entry
	for i := from; i <= to; i++ {
		es = append(es, entry(i, term, "command"))
	}
	return es
}

// describe returns a state as text, for comparison.
func describe(s *State) string {
	var b strings.Builder
	b.WriteString(s.HardState.String() + "|" + s.Snapshot.String() + "|")
	for _, e := range s.Entries {
		b.WriteString(e.String() + ";")
	}
	return b.String()
}

func filePaths(t *testing.T, dir, suffix string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	must(t, err)
	return names
}

func TestDataDirIdentity(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "new", "dir")
	l, s := mustOpen(t, dir, testOptions())
	is.True(s.New)
	is.Equal(s.Self.Name, "a")
	is.True(s.Self.Incarnation != 0)
	is.NoErr(l.Close())

	l, again := mustOpen(t, dir, testOptions())
	is.True(!again.New)
	is.True(proto.Equal(s.Self, again.Self))
	is.NoErr(l.Close())

	l, other := mustOpen(t, t.TempDir(), testOptions())
	is.True(other.Self.Incarnation != s.Self.Incarnation) // a new directory is another replica
	is.NoErr(l.Close())

	_, _, err := Open(dir, Options{Name: "b"})
	is.True(err != nil) // directory of another replica
}

func TestSaveSurvivesReopen(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, testOptions())
	hs := &raftpb.HardState{Term: 3, Vote: &raftpb.ReplicaID{Name: "b", Incarnation: 9}, Commit: 2}
	is.NoErr(l.Save(Batch{HardState: hs, Entries: entries(1, 1, 5)}))
	is.NoErr(l.Save(Batch{Entries: entries(3, 4, 4)})) // replaces 4 and 5
	is.NoErr(l.Save(Batch{}))
	is.NoErr(l.Close())
	is.NoErr(l.Close())
	is.True(errors.Is(l.Save(Batch{HardState: hs}), ErrClosed))

	l, s := mustOpen(t, dir, testOptions())
	defer func() { is.NoErr(l.Close()) }()
	is.True(proto.Equal(s.HardState, hs))
	is.Equal(len(s.Entries), 4)
	is.Equal(s.Entries[2].Term, uint64(1))
	is.Equal(s.Entries[3].Term, uint64(3))
	is.Equal(s.TornBytes, 0)
}

func TestEntriesMustBeContiguous(t *testing.T) {
	is := is.New(t)
	l, _ := mustOpen(t, t.TempDir(), testOptions())
	defer func() { is.NoErr(l.Close()) }()
	is.NoErr(l.Save(Batch{Entries: entries(1, 1, 5)}))
	is.True(errors.Is(l.Save(Batch{Entries: entries(1, 7, 7)}), ErrNotContiguous))
	is.True(errors.Is(l.Compact(&raftpb.Snapshot{Index: 6, Term: 1}), ErrNotContiguous))
	is.NoErr(l.Compact(&raftpb.Snapshot{Index: 3, Term: 1}))
	is.True(errors.Is(l.Save(Batch{Entries: entries(1, 3, 3)}), ErrNotContiguous)) // covered by the snapshot
	is.True(errors.Is(l.Save(Batch{Snapshot: &raftpb.Snapshot{Index: 3, Term: 1}}), ErrNotContiguous))
	is.NoErr(l.Save(Batch{Entries: entries(1, 6, 6)})) // the log stays usable after a refused batch
}

func TestReceivedSnapshotReplacesLog(t *testing.T) {
	cases := []struct {
		name      string
		snapshot  *raftpb.Snapshot
		remaining int
	}{
		{"log agrees", &raftpb.Snapshot{Index: 3, Term: 1, Data: []byte("state")}, 2},
		{"log differs", &raftpb.Snapshot{Index: 3, Term: 2, Data: []byte("state")}, 0},
		{"beyond the log", &raftpb.Snapshot{Index: 30, Term: 2, Data: []byte("state")}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			l, _ := mustOpen(t, dir, testOptions())
			is.NoErr(l.Save(Batch{Entries: entries(1, 1, 5)}))
			is.NoErr(l.Save(Batch{Snapshot: c.snapshot}))
			next := c.snapshot.Index + uint64(c.remaining) + 1
			is.NoErr(l.Save(Batch{Entries: entries(2, next, next)}))
			is.NoErr(l.Close())
			l, s := mustOpen(t, dir, testOptions())
			is.True(proto.Equal(s.Snapshot, c.snapshot))
			is.Equal(len(s.Entries), c.remaining+1)
			is.Equal(s.Entries[0].Index, c.snapshot.Index+1)
			is.NoErr(l.Close())
		})
	}
}

func TestCompactRemovesObsoleteSegments(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	opts := testOptions()
	opts.SegmentBytes = 256
	l, _ := mustOpen(t, dir, opts)
	hs := &raftpb.HardState{Term: 7}
	is.NoErr(l.Save(Batch{HardState: hs}))
	for i := uint64(1); i <= 100; i++ {
		is.NoErr(l.Save(Batch{Entries: entries(1, i, i)}))
	}
	before := len(filePaths(t, dir, segmentSuffix))
	is.NoErr(l.Compact(&raftpb.Snapshot{Index: 50, Term: 1, Data: []byte("50")}))
	is.NoErr(l.Compact(&raftpb.Snapshot{Index: 90, Term: 1, Data: []byte("90")}))
	is.NoErr(l.Compact(&raftpb.Snapshot{Index: 80, Term: 1, Data: []byte("80")})) // older: ignored
	after := len(filePaths(t, dir, segmentSuffix))
	is.True(before > 15)
	is.True(after < 6)
	is.Equal(len(filePaths(t, dir, snapshotSuffix)), 1)
	is.NoErr(l.Close())

	l, s := mustOpen(t, dir, opts)
	is.True(proto.Equal(s.HardState, hs)) // written in a segment that was removed
	is.Equal(string(s.Snapshot.Data), "90")
	is.Equal(len(s.Entries), 10)
	is.NoErr(l.Save(Batch{Entries: entries(1, 101, 101)}))
	is.NoErr(l.Close())
}

func TestDataDirIsLocked(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, testOptions())
	_, _, err := Open(dir, testOptions())
	is.True(errors.Is(err, ErrLocked))
	is.True(strings.Contains(err.Error(), dir))
	is.NoErr(l.Close())
	l, _ = mustOpen(t, dir, testOptions())
	is.NoErr(l.Close())
}

func TestLogUsableAfterTooLargeBatch(t *testing.T) {
	is := is.New(t)
	l, _ := mustOpen(t, "/dir", Options{Name: "a", FS: newCrashFS()})
	large := &raftpb.Entry{Index: 1, Term: 1, Data: make([]byte, maxPayload)}
	is.True(errors.Is(l.Save(Batch{Entries: []*raftpb.Entry{large}}), ErrTooLarge))
	is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
	snapshot := &raftpb.Snapshot{Index: 1, Term: 1, Data: large.Data}
	is.True(errors.Is(l.Compact(snapshot), ErrTooLarge))
	is.NoErr(l.Close())
}

func TestDataDirNotWritable(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	_, _, err := Open(filepath.Join(file, "dir"), testOptions())
	is.True(errors.Is(err, ErrNotWritable))
	is.True(strings.Contains(err.Error(), file))

	opts := testOptions()
	opts.FS = &faultFS{failCreate: os.ErrPermission}
	_, _, err = Open(t.TempDir(), opts)
	is.True(errors.Is(err, ErrNotWritable))
}
