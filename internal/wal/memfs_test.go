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

// memFS is a file system in memory that forgets, at a crash, what was not
// synced: bytes since the last Sync of a file, and names since the last
// SyncDir of their folder. It has one folder.
type memFS struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	locked  bool
	// steps counts the calls that change something. From step failAt on, every
	// call fails with failure; zero means never.
	steps, failAt int
	failure       error
	// shortWrites lets the failing write take half of its bytes.
	shortWrites bool
}

type inode struct {
	data, durable []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, durable: map[string]*inode{}, failure: errors.New("injected")}
}

// crash returns the file system after a loss of power. keep, between 0 and 1,
// is the part of the unsynced bytes that happened to reach the disk. Bit i of
// names tells whether the i-th unsynced change of a name did.
func (m *memFS) crash(keep float64, names uint) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := newMemFS()
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

// allNames returns the names known to the running system or to the disk.
func (m *memFS) allNames() []string {
	all := slices.Collect(maps.Keys(m.names))
	all = slices.AppendSeq(all, maps.Keys(m.durable))
	slices.Sort(all)
	return slices.Compact(all)
}

// unsyncedNames returns the names that a crash may lose or bring back.
func (m *memFS) unsyncedNames() []string {
	return slices.DeleteFunc(m.allNames(), func(name string) bool {
		return m.names[name] == m.durable[name]
	})
}

// step counts a call and tells whether it fails.
func (m *memFS) step() error {
	m.steps++
	if m.failAt > 0 && m.steps >= m.failAt {
		return m.failure
	}
	return nil
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	m.names[path] = &inode{}
	return &memFile{fs: m, node: m.names[path]}, nil
}

func (m *memFS) Append(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	node, ok := m.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &memFile{fs: m, node: node}, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(node.data), nil
}

func (m *memFS) ReadDir(string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for path := range m.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	delete(m.names, path)
	return nil
}

func (m *memFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.durable = map[string]*inode{}
	for name, node := range m.names {
		m.durable[name] = node
	}
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return &memLock{fs: m}, nil
}

type memLock struct{ fs *memFS }

func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	l.fs.locked = false
	return nil
}

type memFile struct {
	fs   *memFS
	node *inode
}

func (f *memFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step(); err != nil {
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

func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step(); err != nil {
		return err
	}
	f.node.durable = bytes.Clone(f.node.data)
	return nil
}

func (f *memFile) Close() error { return nil }

// faultFS is the real file system with one kind of call made to fail.
type faultFS struct {
	OSFS
	failWrite, failSync, failCreate, failSyncDir error
	// short lets writes report fewer bytes and no error.
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

var errDisk = syscall.EIO
