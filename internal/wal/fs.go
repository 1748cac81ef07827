package wal

import (
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// File is a file open for appending.
type File interface {
	io.Writer
	io.Closer
	// Sync makes everything written durable.
	Sync() error
}

// FS is the file system interface of the log. Tests use it to inject faults.
type FS interface {
	MkdirAll(path string) error
	// Create creates or truncates a file.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a directory in ascending order.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes renames and removals in the directory durable.
	SyncDir(path string) error
	// Lock acquires the exclusive lock of a file. It returns ErrLocked without
	// waiting if the lock is held.
	Lock(path string) (io.Closer, error)
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFS is the file system of the operating system.
type OSFS struct{}

// MkdirAll implements FS.
func (OSFS) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

// Create implements FS.
func (OSFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append implements FS.
func (OSFS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile implements FS.
func (OSFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir implements FS.
func (OSFS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OSFS) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		return errors.Join(err, d.Close())
	}
	return d.Close()
}

// Lock implements FS. The lock is released at the latest when the process exits.
func (OSFS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &lockFile{File: f}, nil
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = errors.Wrapf(ErrLocked, "file %s", path)
	}
	return nil, errors.Join(err, f.Close())
}

type lockFile struct {
	*os.File
	once sync.Once
}

func (l *lockFile) Close() error {
	var err error
	l.once.Do(func() { err = l.File.Close() })
	return err
}

// wrapFSError adds the operation, the path and ErrNoSpace or ErrNotWritable, if they
// apply, to an error of the file system. It returns nil for nil.
func wrapFSError(err error, op, path string) error {
	if err == nil {
		return nil
	}
	err = errors.Wrapf(err, "%s %s", op, path)
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT), errors.Is(err, syscall.EFBIG):
		return errors.Join(ErrNoSpace, err)
	case errors.Is(err, os.ErrPermission), errors.Is(err, syscall.EROFS), errors.Is(err, syscall.ENOTDIR):
		return errors.Join(ErrNotWritable, err)
	}
	return err
}

// writeFileAtomic replaces the content of a file durably, or leaves it unchanged.
func writeFileAtomic(fs FS, path string, data []byte) error {
	tmp := path + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return wrapFSError(err, "create", tmp)
	}
	if err := writeAll(f, data); err != nil {
		return errors.Join(wrapFSError(err, "write", tmp), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(ErrSync, wrapFSError(err, "sync", tmp), f.Close())
	}
	if err := f.Close(); err != nil {
		return wrapFSError(err, "close", tmp)
	}
	if err := fs.Rename(tmp, path); err != nil {
		return wrapFSError(err, "rename", tmp)
	}
	// The rename is durable only once the directory is synced.
	dir := filepath.Dir(path)
	if err := fs.SyncDir(dir); err != nil {
		return errors.Join(ErrSync, wrapFSError(err, "sync directory", dir))
	}
	return nil
}

func writeAll(w io.Writer, data []byte) error {
	n, err := w.Write(data)
	if err != nil {
		return err
	}
	if n != len(data) {
		return io.ErrShortWrite
	}
	return nil
}
