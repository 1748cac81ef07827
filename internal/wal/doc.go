// Package wal implements the write-ahead log of one replica. A data directory
// holds its identity, hard state, entries and latest snapshot, and is used by one
// process at a time.
//
// # Files
//
//   - LOCK is locked while a process uses the directory.
//   - identity holds the name and incarnation of the replica.
//   - SEQUENCE.wal is a segment of the log; SEQUENCE, in 16 hexadecimal digits,
//     is the sequence number of its first record.
//   - INDEX.snap is the snapshot at the log index INDEX.
//   - Files that end in .tmp are incomplete.
//
// # Records
//
// Every file is a series of records. A record has a header of 24 bytes (magic,
// payload length, sequence, CRC32C of the payload, CRC32C of the header) and a
// payload. Both checksums are seeded with the salt of the file, a random number
// in its first record, so that bytes of another file are never a valid record of
// this one. Save writes one record with one sync, so it is atomic.
//
// # Corruption
//
// Invalid bytes at the end of the newest segment, without a valid record after
// them, are a write that was not acknowledged. They are truncated and reported in
// State.TornBytes. For any other invalid record Open returns ErrCorrupted, because
// acknowledged data is lost. Corruption of the very last record after a crash is
// indistinguishable from a torn write; Close appends an empty record, so that it
// is detected after a regular stop.
//
// After a failed write or sync the log must be reopened, since the operating
// system may hold data in memory that never reaches the disk. For the same reason
// Open rewrites and syncs the newest segment before its content is used.
package wal
