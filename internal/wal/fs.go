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
	// Sync returns once everything written is on the disk.
	Sync() error
}

// FS is the part of a file system that the log uses. Tests inject faults
// through it.
type FS interface {
	MkdirAll(path string) error
	// Create makes a file that does not exist or empties one that does.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a folder in ascending order.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes renames and removals in the folder durable.
	SyncDir(path string) error
	// Lock takes the exclusive lock of a file, or returns ErrLocked at once.
	Lock(path string) (io.Closer, error)
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OSFS is the file system of the operating system.
type OSFS struct{}

// MkdirAll implements FS.
func (OSFS) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

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

// Lock implements FS. The lock ends with the process at the latest.
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

// explain adds the sentinel that an operator can act on to an error of the
// file system. It returns nil for nil.
func explain(err error, doing, path string) error {
	if err == nil {
		return nil
	}
	err = errors.Wrapf(err, "%s %s", doing, path)
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT), errors.Is(err, syscall.EFBIG):
		return errors.Join(ErrNoSpace, err)
	case errors.Is(err, os.ErrPermission), errors.Is(err, syscall.EROFS), errors.Is(err, syscall.ENOTDIR):
		return errors.Join(ErrNotWritable, err)
	}
	return err
}

// writeWhole makes the file path hold exactly data, or leaves it as it was.
func writeWhole(fs FS, path string, data []byte) error {
	tmp := path + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return explain(err, "create", tmp)
	}
	if err := writeAll(f, data); err != nil {
		return errors.Join(explain(err, "write", tmp), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(ErrSync, explain(err, "sync", tmp), f.Close())
	}
	if err := f.Close(); err != nil {
		return explain(err, "close", tmp)
	}
	if err := fs.Rename(tmp, path); err != nil {
		return explain(err, "rename", tmp)
	}
	// The rename itself lasts only once the folder is synced.
	folder := filepath.Dir(path)
	if err := fs.SyncDir(folder); err != nil {
		return errors.Join(ErrSync, explain(err, "sync folder", folder))
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
