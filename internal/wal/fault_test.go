package wal

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

func TestLogFailsAfterWriteOrSyncError(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*faultFS)
		want  error
	}{
		{"failed sync", func(f *faultFS) { f.failSync = errIO }, errIO},
		{"failed write", func(f *faultFS) { f.failWrite = errIO }, errIO},
		{"short write", func(f *faultFS) { f.short = true }, io.ErrShortWrite},
		{"full disk", func(f *faultFS) { f.failWrite = syscall.ENOSPC }, ErrNoSpace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			fs := &faultFS{}
			l, _ := mustOpen(t, dir, Options{Name: "a", FS: fs})
			is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
			c.fault(fs)
			err := l.Save(Batch{Entries: entries(1, 2, 2)})
			is.True(errors.Is(err, c.want))
			is.True(errors.Is(err, ErrFailed))
			is.True(strings.Contains(err.Error(), dir))

			*fs = faultFS{} // the disk works again, the log stays failed
			is.True(errors.Is(l.Save(Batch{Entries: entries(1, 2, 2)}), ErrFailed))
			is.True(errors.Is(l.Compact(&raftpb.Snapshot{Index: 1, Term: 1}), ErrFailed))
			is.NoErr(l.Close())

			l, s := mustOpen(t, dir, testOptions())
			is.True(len(s.Entries) >= 1) // the acknowledged entry
			is.NoErr(l.Close())
		})
	}
}

func TestLogFailsAfterSnapshotError(t *testing.T) {
	cases := []struct {
		name  string
		fault faultFS
		want  error
	}{
		{"create", faultFS{failCreate: syscall.ENOSPC}, ErrNoSpace},
		{"write", faultFS{failWrite: syscall.ENOSPC}, ErrNoSpace},
		{"sync", faultFS{failSync: errIO}, errIO},
		{"sync of the directory", faultFS{failSyncDir: errIO}, errIO},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			fs := &faultFS{}
			l, _ := mustOpen(t, dir, Options{Name: "a", FS: fs})
			is.NoErr(l.Save(Batch{Entries: entries(1, 1, 9)}))
			*fs = c.fault
			err := l.Compact(&raftpb.Snapshot{Index: 5, Term: 1})
			is.True(errors.Is(err, c.want))
			is.True(errors.Is(err, ErrFailed))
			*fs = faultFS{}
			is.True(errors.Is(l.Save(Batch{Entries: entries(1, 10, 10)}), ErrFailed))
			is.NoErr(l.Close())
			l, s := mustOpen(t, dir, testOptions())
			is.Equal(s.Snapshot, nil)
			is.Equal(len(s.Entries), 9)
			is.Equal(len(filePaths(t, dir, snapshotSuffix)), 0) // never took effect
			is.Equal(len(filePaths(t, dir, tmpSuffix)), 0)
			is.NoErr(l.Close())
		})
	}
}

// crashedLog returns the data directory of a log that was not closed, with the path
// and content of its segment and the offset of the last record.
func crashedLog(t *testing.T) (dir, path string, data []byte, last int) {
	t.Helper()
	dir = t.TempDir()
	l, _ := mustOpen(t, dir, testOptions())
	for i := uint64(1); i <= 4; i++ {
		last = l.size
		must(t, l.Save(Batch{Entries: entries(1, i, i)}))
	}
	path = filePaths(t, dir, segmentSuffix)[0]
	data, err := os.ReadFile(path)
	must(t, err)
	must(t, l.file.Close())
	must(t, l.lock.Close())
	return dir, path, data, last
}

func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	dir, path, data, last := crashedLog(t)
	for size := last; size < len(data); size++ {
		torn := data[:size]
		is.NoErr(os.WriteFile(path, torn, 0o600))
		l, s := mustOpen(t, dir, testOptions())
		is.Equal(len(s.Entries), 3)
		is.Equal(s.TornBytes, size-last)
		is.NoErr(l.Save(Batch{Entries: entries(2, 4, 4)})) // continues after the truncated tail
		is.NoErr(l.Close())
		l, s = mustOpen(t, dir, testOptions())
		is.Equal(len(s.Entries), 4)
		is.Equal(s.TornBytes, 0)
		is.NoErr(l.Close())
	}
}

func TestZeroTailIsTruncated(t *testing.T) {
	is := is.New(t)
	dir, path, data, last := crashedLog(t)
	zeros := make([]byte, len(data)-last)
	is.NoErr(os.WriteFile(path, append(data[:last:last], zeros...), 0o600))
	l, s := mustOpen(t, dir, testOptions())
	is.Equal(len(s.Entries), 3)
	is.Equal(s.TornBytes, len(zeros))
	is.NoErr(l.Close())
}

// A flipped bit in any byte before the last record must make Open fail.
func TestOpenCorruptedRecord(t *testing.T) {
	is := is.New(t)
	dir, path, data, last := crashedLog(t)
	for at := range last {
		flipped := append([]byte(nil), data...)
		flipped[at] ^= 1 << (at % 8)
		is.NoErr(os.WriteFile(path, flipped, 0o600))
		_, _, err := Open(dir, testOptions())
		is.True(errors.Is(err, ErrCorrupted))
		is.True(strings.Contains(err.Error(), path))
		is.True(strings.Contains(err.Error(), "offset"))
		kept, err := os.ReadFile(path)
		is.NoErr(err)
		is.Equal(kept, flipped) // Open must not modify the file
	}
}

// After Close, corruption of the last entries is detected, since a record follows.
func TestOpenCorruptedLastEntries(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, testOptions())
	is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
	is.NoErr(l.Close())
	path := filePaths(t, dir, segmentSuffix)[0]
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-headerLength-1] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	_, _, err = Open(dir, testOptions())
	is.True(errors.Is(err, ErrCorrupted))
}

// filledDir returns a closed data directory with several segments and a snapshot.
func filledDir(t *testing.T) (string, Options) {
	t.Helper()
	dir := t.TempDir()
	opts := Options{Name: "a", SegmentBytes: 200}
	l, _ := mustOpen(t, dir, opts)
	for i := uint64(1); i <= 30; i++ {
		must(t, l.Save(Batch{Entries: entries(1, i, i)}))
	}
	must(t, l.Compact(&raftpb.Snapshot{Index: 10, Term: 1, Data: []byte("state")}))
	must(t, l.Close())
	return dir, opts
}

func TestOpenCorruptedOrMissingFiles(t *testing.T) {
	cases := []struct {
		name   string
		damage func(t *testing.T, dir string) string
	}{
		{"torn older segment", func(t *testing.T, dir string) string {
			path := filePaths(t, dir, segmentSuffix)[1]
			return path + truncate(t, path, 1)
		}},
		{"missing middle segment", func(t *testing.T, dir string) string {
			names := filePaths(t, dir, segmentSuffix)
			removeFile(t, names[1])
			return names[2]
		}},
		{"missing segment without entries", func(t *testing.T, dir string) string {
			l, _ := mustOpen(t, dir, Options{Name: "a", SegmentBytes: 1})
			for term := uint64(2); term <= 4; term++ {
				must(t, l.Save(Batch{HardState: &raftpb.HardState{Term: term}}))
			}
			must(t, l.Close())
			names := filePaths(t, dir, segmentSuffix)
			removeFile(t, names[len(names)-2])
			return names[len(names)-1]
		}},
		{"missing oldest segment", func(t *testing.T, dir string) string {
			names := filePaths(t, dir, segmentSuffix)
			removeFile(t, names[0])
			return names[1]
		}},
		{"no segment", func(t *testing.T, dir string) string {
			for _, name := range filePaths(t, dir, segmentSuffix) {
				removeFile(t, name)
			}
			return dir
		}},
		{"torn snapshot", func(t *testing.T, dir string) string {
			path := filePaths(t, dir, snapshotSuffix)[0]
			return path + truncate(t, path, 1)
		}},
		{"flipped bit in the snapshot", func(t *testing.T, dir string) string {
			path := filePaths(t, dir, snapshotSuffix)[0]
			flipBit(t, path)
			return path
		}},
		{"flipped bit in the identity", func(t *testing.T, dir string) string {
			path := filepath.Join(dir, identityName)
			flipBit(t, path)
			return path
		}},
		{"missing identity", func(t *testing.T, dir string) string {
			path := filepath.Join(dir, identityName)
			removeFile(t, path)
			return path
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir, opts := filledDir(t)
			named := c.damage(t, dir)
			_, _, err := Open(dir, opts)
			is.True(errors.Is(err, ErrCorrupted))
			is.True(strings.Contains(err.Error(), named))
		})
	}
}

func TestOpenMissingSnapshot(t *testing.T) {
	is := is.New(t)
	dir, opts := filledDir(t)
	path := filePaths(t, dir, snapshotSuffix)[0]
	removeFile(t, path)
	_, _, err := Open(dir, opts)
	is.True(errors.Is(err, os.ErrNotExist))
	is.True(strings.Contains(err.Error(), path))
}

func truncate(t *testing.T, path string, n int64) string {
	t.Helper()
	info, err := os.Stat(path)
	must(t, err)
	must(t, os.Truncate(path, info.Size()-n))
	return ""
}

func flipBit(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	must(t, err)
	data[len(data)-1] ^= 1
	must(t, os.WriteFile(path, data, 0o600))
}

func removeFile(t *testing.T, path string) {
	t.Helper()
	must(t, os.Remove(path))
}

// scriptSteps returns steps that use every operation of the log.
func scriptSteps(l *Log) []func() error {
	save := func(b Batch) func() error { return func() error { return l.Save(b) } }
	compact := func(s *raftpb.Snapshot) func() error { return func() error { return l.Compact(s) } }
	return []func() error{
		save(Batch{HardState: &raftpb.HardState{Term: 1}}),
		save(Batch{Entries: entries(1, 1, 6)}),
		save(Batch{Entries: entries(2, 4, 8), HardState: &raftpb.HardState{Term: 2}}),
		save(Batch{Entries: entries(2, 9, 12)}),
		compact(&raftpb.Snapshot{Index: 5, Term: 2, Data: []byte("5")}),
		save(Batch{Entries: entries(3, 10, 11), HardState: &raftpb.HardState{Term: 3, Commit: 9}}),
		compact(&raftpb.Snapshot{Index: 10, Term: 3, Data: []byte("10")}),
		save(Batch{Snapshot: &raftpb.Snapshot{Index: 40, Term: 4, Data: []byte("40")}, HardState: &raftpb.HardState{Term: 4}}),
		save(Batch{Entries: entries(4, 41, 45)}),
		compact(&raftpb.Snapshot{Index: 44, Term: 4, Data: []byte("44")}),
	}
}

// describeReopened opens the log and describes its state.
func describeReopened(t *testing.T, fs *crashFS) string {
	t.Helper()
	l, s := mustOpen(t, "/dir", scriptOptions(fs))
	got := describe(s)
	must(t, l.Close())
	return got
}

func scriptOptions(fs *crashFS) Options {
	return Options{Name: "a", FS: fs, SegmentBytes: 150}
}

// A crash at any call to the file system, with any part of the unsynced bytes and names
// on the disk, must keep all acknowledged steps and the next one completely or not at all.
func TestCrashAtEveryCall(t *testing.T) {
	want := statesAfterSteps(t)
	for _, short := range []bool{false, true} {
		for failAt := 1; ; failAt++ {
			fs := newCrashFS()
			fs.failAt = failAt
			fs.shortWrites = short
			done := runScript(fs)
			checkCrash(t, fs, failAt, done, want)
			if done == len(want)-1 {
				break
			}
		}
	}
}

// statesAfterSteps returns the states before the first and after each step.
func statesAfterSteps(t *testing.T) []string {
	t.Helper()
	var states []string
	for n := 0; ; n++ {
		fs := newCrashFS()
		l, _ := mustOpen(t, "/dir", scriptOptions(fs))
		steps := scriptSteps(l)
		if n > len(steps) {
			return states
		}
		for _, step := range steps[:n] {
			must(t, step())
		}
		states = append(states, describeReopened(t, fs.crash(0, 0)))
	}
}

// runScript runs the steps and returns the number of acknowledged ones, -1 if Open
// failed.
func runScript(fs *crashFS) int {
	l, _, err := Open("/dir", scriptOptions(fs))
	if err != nil {
		return -1
	}
	for i, step := range scriptSteps(l) {
		if step() != nil {
			return i
		}
	}
	return len(scriptSteps(l))
}

func checkCrash(t *testing.T, fs *crashFS, failAt, done int, want []string) {
	t.Helper()
	for _, keep := range []float64{0, 0.5, 1} {
		for names := range uint(1) << len(fs.unsyncedNames()) {
			got := describeReopened(t, fs.crash(keep, names))
			if got == want[max(done, 0)] {
				continue
			}
			if done+1 < len(want) && got == want[done+1] {
				continue
			}
			t.Fatalf("crash at call %d, %d steps done, keep %v, names %b: %s", failAt, done, keep, names, got)
		}
	}
}

// After a failed sync the bytes of a write may be in the page cache only. If Open
// returns them, they must survive a later crash.
func TestOpenSyncsBytesOfFailedSync(t *testing.T) {
	is := is.New(t)
	fs := newCrashFS()
	l, _ := mustOpen(t, "/dir", Options{Name: "a", FS: fs})
	is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
	fs.failAt = fs.calls + 2 // the sync after the next write
	is.True(l.Save(Batch{Entries: entries(1, 2, 2)}) != nil)
	is.NoErr(l.Close())
	fs.failAt = 0

	l, s := mustOpen(t, "/dir", Options{Name: "a", FS: fs})
	is.Equal(len(s.Entries), 2) // read from the page cache
	after := fs.crash(0, 0)
	is.NoErr(l.Close())
	l, again := mustOpen(t, "/dir", Options{Name: "a", FS: after})
	is.True(proto.Equal(again.Entries[len(again.Entries)-1], s.Entries[1]))
	is.NoErr(l.Close())
}
