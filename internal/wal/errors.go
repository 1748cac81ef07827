package wal

import "github.com/go-faster/errors"

var (
	// ErrCorrupted: acknowledged data cannot be read back. The text names the
	// file and the offset in bytes.
	ErrCorrupted = errors.New("data folder is damaged")
	// ErrLocked: another process uses the folder.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrNotWritable: the folder cannot be written to.
	ErrNotWritable = errors.New("data folder is not writable")
	// ErrNoSpace: the file system of the folder has no room left, or the process may
	// not make its files longer.
	ErrNoSpace = errors.New("no space left for the data folder")
	// ErrSync: a sync failed, so that what was written before may be lost though it
	// can be read.
	ErrSync = errors.New("sync failed")
	// ErrFailed: an earlier write or sync failed, so that what is on the disk
	// is not known; only opening the folder anew helps.
	ErrFailed = errors.New("log has failed")
	// ErrClosed: the log was closed.
	ErrClosed = errors.New("log is closed")
	// ErrNotContiguous: the entries do not continue the log.
	ErrNotContiguous = errors.New("entries do not continue the log")
	// ErrTooLarge: one batch is larger than a record may be.
	ErrTooLarge = errors.New("batch is too large")
)

func damaged(file string, offset int64, reason string) error {
	return errors.Wrapf(ErrCorrupted, "file %s, offset %d: %s", file, offset, reason)
}
