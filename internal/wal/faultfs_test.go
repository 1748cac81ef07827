package wal

import (
	"bytes"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// crashFS is an in-memory file system with one directory. A crash loses what was not
// synced: bytes since the last Sync of a file, and names since the last SyncDir.
type crashFS struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	locked  bool
	// calls counts the modifying calls. From call failAt on, every one fails with
	// failure; zero means never.
	calls, failAt int
	failure       error
	// shortWrites makes failing writes write half of their bytes.
	shortWrites bool
}

type inode struct {
	data, durable []byte
}

func newCrashFS() *crashFS {
	return &crashFS{names: map[string]*inode{}, durable: map[string]*inode{}, failure: errors.New("injected")}
}

// crash returns the file system after a power failure. keep, between 0 and 1, is the
// part of the unsynced bytes that reached the disk. Bit i of names is set if the i-th
// unsynced change of a name did.
func (m *crashFS) crash(keep float64, names uint) *crashFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := newCrashFS()
	for _, name := range m.allNames() {
		node := m.durable[name]
		if at := slices.Index(m.unsyncedNames(), name); at >= 0 && names&(1<<at) != 0 {
			node = m.names[name]
		}
		if node == nil {
			continue
		}
		kept := bytes.Clone(node.durable)
		if len(node.data) > len(kept) {
			unsynced := node.data[len(kept):]
			kept = append(kept, unsynced[:int(float64(len(unsynced))*keep)]...)
		}
		copied := &inode{data: kept, durable: bytes.Clone(kept)}
		after.names[name] = copied
		after.durable[name] = copied
	}
	return after
}

// allNames returns the names before and after a crash.
func (m *crashFS) allNames() []string {
	all := slices.Collect(maps.Keys(m.names))
	all = slices.AppendSeq(all, maps.Keys(m.durable))
	slices.Sort(all)
	return slices.Compact(all)
}

// unsyncedNames returns the names that a crash may lose or restore.
func (m *crashFS) unsyncedNames() []string {
	return slices.DeleteFunc(m.allNames(), func(name string) bool {
		return m.names[name] == m.durable[name]
	})
}

// countCall counts a call and returns the error that it fails with, if any.
func (m *crashFS) countCall() error {
	m.calls++
	if m.failAt > 0 && m.calls >= m.failAt {
		return m.failure
	}
	return nil
}

func (m *crashFS) MkdirAll(string) error { return nil }

func (m *crashFS) Create(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return nil, err
	}
	m.names[path] = &inode{}
	return &crashFile{fs: m, node: m.names[path]}, nil
}

func (m *crashFS) Append(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return nil, err
	}
	node, ok := m.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &crashFile{fs: m, node: node}, nil
}

func (m *crashFS) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(node.data), nil
}

func (m *crashFS) ReadDir(string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for path := range m.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (m *crashFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *crashFS) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return err
	}
	delete(m.names, path)
	return nil
}

func (m *crashFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return err
	}
	m.durable = map[string]*inode{}
	for name, node := range m.names {
		m.durable[name] = node
	}
	return nil
}

func (m *crashFS) Lock(string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return &crashLock{fs: m}, nil
}

type crashLock struct{ fs *crashFS }

func (l *crashLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	l.fs.locked = false
	return nil
}

type crashFile struct {
	fs   *crashFS
	node *inode
}

func (f *crashFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countCall(); err != nil {
		n := 0
		if f.fs.shortWrites {
			n = len(p) / 2
		}
		f.node.data = append(f.node.data, p[:n]...)
		return n, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *crashFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countCall(); err != nil {
		return err
	}
	f.node.durable = bytes.Clone(f.node.data)
	return nil
}

func (f *crashFile) Close() error { return nil }

// faultFS is the real file system with failing calls.
type faultFS struct {
	OSFS
	failWrite, failSync, failCreate, failSyncDir error
	// short makes writes return fewer bytes and no error.
	short bool
}

func (f *faultFS) Create(path string) (File, error) {
	if f.failCreate != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: f.failCreate}
	}
	file, err := f.OSFS.Create(path)
	return &faultFile{File: file, fs: f}, err
}

func (f *faultFS) Append(path string) (File, error) {
	file, err := f.OSFS.Append(path)
	return &faultFile{File: file, fs: f}, err
}

func (f *faultFS) SyncDir(path string) error {
	if f.failSyncDir != nil {
		return f.failSyncDir
	}
	return f.OSFS.SyncDir(path)
}

type faultFile struct {
	File
	fs *faultFS
}

func (f *faultFile) Write(p []byte) (int, error) {
	if f.fs.failWrite != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, f.fs.failWrite
	}
	if f.fs.short {
		return f.File.Write(p[:len(p)/2])
	}
	return f.File.Write(p)
}

func (f *faultFile) Sync() error {
	if f.fs.failSync != nil {
		return f.fs.failSync
	}
	return f.File.Sync()
}

var errIO = syscall.EIO
