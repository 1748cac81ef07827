// Package wal is the durable log of one replica: its identity, its hard state,
// its entries and its newest snapshot, in one data folder that belongs to one
// process at a time.
//
// # Files
//
//   - LOCK is locked while a process uses the folder.
//   - identity holds the replica's name and incarnation.
//   - SEQUENCE.wal is a segment of the log; SEQUENCE, in 16 hexadecimal digits,
//     is the sequence of its first record.
//   - INDEX.snap is the snapshot up to the log index INDEX.
//   - Files that end in .tmp were being written when a process stopped.
//
// # Records
//
// Every file is a series of records. A record has a header of 24 bytes (magic,
// payload length, sequence, CRC32C of the payload, CRC32C of the header) and a
// payload. Both checksums start from the salt of the file, a random number in
// its first record, so that bytes of another file are never taken for a record
// of this one. One Save writes one record with one sync; a record is therefore
// valid as a whole or not at all.
//
// # Damage
//
// An invalid record with no valid one after it, in the newest segment, is a
// write that was never acknowledged: it is cut and reported. Any other
// invalid record stops Open with ErrDamaged, because what it held had been
// acknowledged. Damage to exactly the last record of a process that did not
// close its log cannot be told from a torn write; Close ends the log with an
// empty record to keep this case to crashes.
//
// After a failed write or sync the log refuses everything: the operating system
// may then hold bytes in memory that never reach the disk. For the same reason
// Open writes the newest segment anew before it relies on what it read there.
package wal
