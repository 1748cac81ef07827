package wal

import "github.com/go-faster/errors"

var (
	// ErrCorrupted: acknowledged data cannot be read back. The message contains the
	// file and the offset in bytes.
	ErrCorrupted = errors.New("data directory is corrupted")
	// ErrLocked: another process uses the data directory.
	ErrLocked = errors.New("data directory is in use by another process")
	// ErrNotWritable: the data directory is not writable.
	ErrNotWritable = errors.New("data directory is not writable")
	// ErrNoSpace: the file system is full, or a quota or the file size limit is
	// exceeded.
	ErrNoSpace = errors.New("no space left for the data directory")
	// ErrSync: a sync failed. Earlier writes may be lost although they can still be
	// read.
	ErrSync = errors.New("sync failed")
	// ErrFailed: an earlier write or sync failed, so the content of the disk is
	// unknown. The log must be reopened.
	ErrFailed = errors.New("log has failed")
	// ErrClosed: the log was closed.
	ErrClosed = errors.New("log is closed")
	// ErrNotContiguous: the entries do not continue the log.
	ErrNotContiguous = errors.New("entries do not continue the log")
	// ErrTooLarge: the batch does not fit into one record.
	ErrTooLarge = errors.New("batch is too large")
)

func corrupted(file string, offset int64, reason string) error {
	return errors.Wrapf(ErrCorrupted, "file %s, offset %d: %s", file, offset, reason)
}
