package wal

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// MemFS is an in-memory file system for a log that need not survive its process.
// Directories exist implicitly.
type MemFS struct {
	mu    sync.Mutex
	files map[string][]byte
	locks map[string]bool
}

// NewMemFS returns an empty file system.
func NewMemFS() *MemFS {
	return &MemFS{files: map[string][]byte{}, locks: map[string]bool{}}
}

// MkdirAll implements FS.
func (m *MemFS) MkdirAll(string) error { return nil }

// Create implements FS.
func (m *MemFS) Create(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[path] = nil
	return &memFSFile{fs: m, path: path}, nil
}

// Append implements FS.
func (m *MemFS) Append(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.files[path]; !found {
		return nil, errNotExist("open", path)
	}
	return &memFSFile{fs: m, path: path}, nil
}

func errNotExist(op, path string) error {
	return &os.PathError{Op: op, Path: path, Err: os.ErrNotExist}
}

// ReadFile implements FS.
func (m *MemFS) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, found := m.files[path]
	if !found {
		return nil, errNotExist("read", path)
	}
	return slices.Clone(data), nil
}

// ReadDir implements FS.
func (m *MemFS) ReadDir(path string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == strings.TrimSuffix(path, "/") {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements FS.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, found := m.files[from]
	if !found {
		return errNotExist("rename", from)
	}
	delete(m.files, from)
	m.files[to] = data
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.files[path]; !found {
		return errNotExist("remove", path)
	}
	delete(m.files, path)
	return nil
}

// SyncDir implements FS.
func (m *MemFS) SyncDir(string) error { return nil }

// Lock implements FS.
func (m *MemFS) Lock(path string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[path] {
		return nil, ErrLocked
	}
	m.locks[path] = true
	return &memFSLock{fs: m, path: path}, nil
}

// memFSFile appends to one file.
type memFSFile struct {
	fs   *MemFS
	path string
}

// Write implements File.
func (f *memFSFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.files[f.path] = append(f.fs.files[f.path], b...)
	return len(b), nil
}

// Sync implements File.
func (f *memFSFile) Sync() error { return nil }

// Close implements File.
func (f *memFSFile) Close() error { return nil }

type memFSLock struct {
	fs   *MemFS
	path string
}

// Close implements io.Closer.
func (l *memFSLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.path)
	return nil
}
