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

func TestFailedWriteOrSyncIsFinal(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*faultFS)
		want  error
	}{
		{"failed sync", func(f *faultFS) { f.failSync = errDisk }, errDisk},
		{"failed write", func(f *faultFS) { f.failWrite = errDisk }, errDisk},
		{"short write", func(f *faultFS) { f.short = true }, io.ErrShortWrite},
		{"full disk", func(f *faultFS) { f.failWrite = syscall.ENOSPC }, ErrNoSpace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			fs := &faultFS{}
			l, _ := mustOpen(t, folder, Options{Name: "a", FS: fs})
			is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
			c.fault(fs)
			err := l.Save(Batch{Entries: entries(1, 2, 2)})
			is.True(errors.Is(err, c.want))
			is.True(errors.Is(err, ErrFailed))
			is.True(strings.Contains(err.Error(), folder))

			*fs = faultFS{} // the disk is well again, the log stays refused
			is.True(errors.Is(l.Save(Batch{Entries: entries(1, 2, 2)}), ErrFailed))
			is.True(errors.Is(l.Compact(&raftpb.Snapshot{Index: 1, Term: 1}), ErrFailed))
			is.NoErr(l.Close())

			l, s := mustOpen(t, folder, testOptions())
			is.True(len(s.Entries) >= 1) // the acknowledged one
			is.NoErr(l.Close())
		})
	}
}

func TestFailedSnapshotIsFinal(t *testing.T) {
	cases := []struct {
		name  string
		fault faultFS
		want  error
	}{
		{"create", faultFS{failCreate: syscall.ENOSPC}, ErrNoSpace},
		{"write", faultFS{failWrite: syscall.ENOSPC}, ErrNoSpace},
		{"sync", faultFS{failSync: errDisk}, errDisk},
		{"sync of the folder", faultFS{failSyncDir: errDisk}, errDisk},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			fs := &faultFS{}
			l, _ := mustOpen(t, folder, Options{Name: "a", FS: fs})
			is.NoErr(l.Save(Batch{Entries: entries(1, 1, 9)}))
			*fs = c.fault
			err := l.Compact(&raftpb.Snapshot{Index: 5, Term: 1})
			is.True(errors.Is(err, c.want))
			is.True(errors.Is(err, ErrFailed))
			*fs = faultFS{}
			is.True(errors.Is(l.Save(Batch{Entries: entries(1, 10, 10)}), ErrFailed))
			is.NoErr(l.Close())
			l, s := mustOpen(t, folder, testOptions())
			is.Equal(s.Snapshot, nil)
			is.Equal(len(s.Entries), 9)
			is.Equal(len(fileNames(t, folder, snapshotSuffix)), 0) // never took effect
			is.Equal(len(fileNames(t, folder, tmpSuffix)), 0)
			is.NoErr(l.Close())
		})
	}
}

// crashed returns the segment of a log that was not closed, and the offset of
// its last record.
func crashed(t *testing.T) (folder, path string, data []byte, last int) {
	t.Helper()
	folder = t.TempDir()
	l, _ := mustOpen(t, folder, testOptions())
	for i := uint64(1); i <= 4; i++ {
		last = l.size
		must(t, l.Save(Batch{Entries: entries(1, i, i)}))
	}
	path = fileNames(t, folder, segmentSuffix)[0]
	data, err := os.ReadFile(path)
	must(t, err)
	must(t, l.file.Close())
	must(t, l.lock.Close())
	return folder, path, data, last
}

func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	folder, path, data, last := crashed(t)
	for size := last; size < len(data); size++ {
		torn := data[:size]
		is.NoErr(os.WriteFile(path, torn, 0o600))
		l, s := mustOpen(t, folder, testOptions())
		is.Equal(len(s.Entries), 3)
		is.Equal(s.TornBytes, size-last)
		is.NoErr(l.Save(Batch{Entries: entries(2, 4, 4)})) // the log goes on where it was cut
		is.NoErr(l.Close())
		l, s = mustOpen(t, folder, testOptions())
		is.Equal(len(s.Entries), 4)
		is.Equal(s.TornBytes, 0)
		is.NoErr(l.Close())
	}
}

func TestTailOfZerosIsCut(t *testing.T) {
	is := is.New(t)
	folder, path, data, last := crashed(t)
	zeros := make([]byte, len(data)-last)
	is.NoErr(os.WriteFile(path, append(data[:last:last], zeros...), 0o600))
	l, s := mustOpen(t, folder, testOptions())
	is.Equal(len(s.Entries), 3)
	is.Equal(s.TornBytes, len(zeros))
	is.NoErr(l.Close())
}

// Every bit of every record but the last is covered: a flipped one stops Open.
func TestDamagedMiddleStops(t *testing.T) {
	is := is.New(t)
	folder, path, data, last := crashed(t)
	for at := range last {
		flipped := append([]byte(nil), data...)
		flipped[at] ^= 1 << (at % 8)
		is.NoErr(os.WriteFile(path, flipped, 0o600))
		_, _, err := Open(folder, testOptions())
		is.True(errors.Is(err, ErrCorrupted))
		is.True(strings.Contains(err.Error(), path))
		is.True(strings.Contains(err.Error(), "offset"))
		kept, err := os.ReadFile(path)
		is.NoErr(err)
		is.Equal(kept, flipped) // nothing is repaired behind the operator's back
	}
}

// After Close even the last batch of entries is followed by a record.
func TestDamageBeforeTheEndRecordStops(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _ := mustOpen(t, folder, testOptions())
	is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
	is.NoErr(l.Close())
	path := fileNames(t, folder, segmentSuffix)[0]
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-headerLength-1] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	_, _, err = Open(folder, testOptions())
	is.True(errors.Is(err, ErrCorrupted))
}

// filled returns a closed folder of several segments and a snapshot.
func filled(t *testing.T) (string, Options) {
	t.Helper()
	folder := t.TempDir()
	opts := Options{Name: "a", SegmentBytes: 200}
	l, _ := mustOpen(t, folder, opts)
	for i := uint64(1); i <= 30; i++ {
		must(t, l.Save(Batch{Entries: entries(1, i, i)}))
	}
	must(t, l.Compact(&raftpb.Snapshot{Index: 10, Term: 1, Data: []byte("state")}))
	must(t, l.Close())
	return folder, opts
}

func TestDamagedOrMissingFilesStop(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(t *testing.T, folder string) string
	}{
		{"torn older segment", func(t *testing.T, folder string) string {
			path := fileNames(t, folder, segmentSuffix)[1]
			return path + cut(t, path, 1)
		}},
		{"missing middle segment", func(t *testing.T, folder string) string {
			names := fileNames(t, folder, segmentSuffix)
			remove(t, names[1])
			return names[2]
		}},
		{"missing segment without entries", func(t *testing.T, folder string) string {
			l, _ := mustOpen(t, folder, Options{Name: "a", SegmentBytes: 1})
			for term := uint64(2); term <= 4; term++ {
				must(t, l.Save(Batch{HardState: &raftpb.HardState{Term: term}}))
			}
			must(t, l.Close())
			names := fileNames(t, folder, segmentSuffix)
			remove(t, names[len(names)-2])
			return names[len(names)-1]
		}},
		{"missing oldest segment", func(t *testing.T, folder string) string {
			names := fileNames(t, folder, segmentSuffix)
			remove(t, names[0])
			return names[1]
		}},
		{"no segment", func(t *testing.T, folder string) string {
			for _, name := range fileNames(t, folder, segmentSuffix) {
				remove(t, name)
			}
			return folder
		}},
		{"torn snapshot", func(t *testing.T, folder string) string {
			path := fileNames(t, folder, snapshotSuffix)[0]
			return path + cut(t, path, 1)
		}},
		{"flipped bit in the snapshot", func(t *testing.T, folder string) string {
			path := fileNames(t, folder, snapshotSuffix)[0]
			flip(t, path)
			return path
		}},
		{"flipped bit in the identity", func(t *testing.T, folder string) string {
			path := filepath.Join(folder, identityName)
			flip(t, path)
			return path
		}},
		{"missing identity", func(t *testing.T, folder string) string {
			path := filepath.Join(folder, identityName)
			remove(t, path)
			return path
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder, opts := filled(t)
			named := c.spoil(t, folder)
			_, _, err := Open(folder, opts)
			is.True(errors.Is(err, ErrCorrupted))
			is.True(strings.Contains(err.Error(), named))
		})
	}
}

func TestMissingSnapshotStops(t *testing.T) {
	is := is.New(t)
	folder, opts := filled(t)
	path := fileNames(t, folder, snapshotSuffix)[0]
	remove(t, path)
	_, _, err := Open(folder, opts)
	is.True(errors.Is(err, os.ErrNotExist))
	is.True(strings.Contains(err.Error(), path))
}

func cut(t *testing.T, path string, n int64) string {
	t.Helper()
	info, err := os.Stat(path)
	must(t, err)
	must(t, os.Truncate(path, info.Size()-n))
	return ""
}

func flip(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	must(t, err)
	data[len(data)-1] ^= 1
	must(t, os.WriteFile(path, data, 0o600))
}

func remove(t *testing.T, path string) {
	t.Helper()
	must(t, os.Remove(path))
}

// script is a series of steps that uses every part of the log.
func script(l *Log) []func() error {
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

// reopenedShape opens the file system anew and returns what it holds.
func reopenedShape(t *testing.T, fs *memFS) string {
	t.Helper()
	l, s := mustOpen(t, "/folder", scriptOptions(fs))
	got := shape(s)
	must(t, l.Close())
	return got
}

func scriptOptions(fs *memFS) Options {
	return Options{Name: "a", FS: fs, SegmentBytes: 150}
}

// TestCrashAtEveryCall stops the machine at every single call to the file
// system, with none, part or all of the unsynced bytes and names on the disk.
// Whatever was acknowledged is there, and nothing but whole steps.
func TestCrashAtEveryCall(t *testing.T) {
	want := shapesAfterSteps(t)
	for _, short := range []bool{false, true} {
		for failAt := 1; ; failAt++ {
			fs := newMemFS()
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

// shapesAfterSteps returns the state before the first and after each step.
func shapesAfterSteps(t *testing.T) []string {
	t.Helper()
	var shapes []string
	for n := 0; ; n++ {
		fs := newMemFS()
		l, _ := mustOpen(t, "/folder", scriptOptions(fs))
		steps := script(l)
		if n > len(steps) {
			return shapes
		}
		for _, step := range steps[:n] {
			must(t, step())
		}
		shapes = append(shapes, reopenedShape(t, fs.crash(0, 0)))
	}
}

// runScript returns the number of acknowledged steps, -1 if Open failed.
func runScript(fs *memFS) int {
	l, _, err := Open("/folder", scriptOptions(fs))
	if err != nil {
		return -1
	}
	for i, step := range script(l) {
		if step() != nil {
			return i
		}
	}
	return len(script(l))
}

func checkCrash(t *testing.T, fs *memFS, failAt, done int, want []string) {
	t.Helper()
	for _, keep := range []float64{0, 0.5, 1} {
		for names := range uint(1) << len(fs.unsyncedNames()) {
			got := reopenedShape(t, fs.crash(keep, names))
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

// A log whose last sync failed is opened again by a new process while the
// bytes are in memory only. What that process relies on must outlast a crash.
func TestBytesOfAFailedSyncAreMadeDurable(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	l, _ := mustOpen(t, "/folder", Options{Name: "a", FS: fs})
	is.NoErr(l.Save(Batch{Entries: entries(1, 1, 1)}))
	fs.failAt = fs.steps + 2 // the sync after the next write
	is.True(l.Save(Batch{Entries: entries(1, 2, 2)}) != nil)
	is.NoErr(l.Close())
	fs.failAt = 0

	l, s := mustOpen(t, "/folder", Options{Name: "a", FS: fs})
	is.Equal(len(s.Entries), 2) // read from memory, from now on relied on
	after := fs.crash(0, 0)
	is.NoErr(l.Close())
	l, again := mustOpen(t, "/folder", Options{Name: "a", FS: after})
	is.True(proto.Equal(again.Entries[len(again.Entries)-1], s.Entries[1]))
	is.NoErr(l.Close())
}
