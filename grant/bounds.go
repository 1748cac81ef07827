package grant

import "time"

// Bounds of the replicated state. They must be the same on all replicas, so changing one
// changes the format of the log.
const (
	// MaxRecords bounds the keys of a group.
	MaxRecords = 200_000
	// MaxBytes bounds the memory of the records of a group, in bytes.
	MaxBytes = 64 << 20
	// MaxBodyLength bounds the recorded body of a response, in bytes. Of longer ones only
	// status and content type are recorded.
	MaxBodyLength = 4 << 10
	// MaxKeyLength bounds an idempotency key, in bytes.
	MaxKeyLength = 256
	// MaxAttemptLength bounds the identity of an attempt, in bytes.
	MaxAttemptLength = 64
	// MaxDigestLength bounds the digest of a request, in bytes.
	MaxDigestLength = 64
	// MaxContentTypeLength bounds the content type of a recorded response, in bytes.
	MaxContentTypeLength = 256
	// AnsweredRetention is the default and maximum retention of a recorded response, in
	// logical time.
	AnsweredRetention = 24 * time.Hour
	// MinAnsweredRetention is the minimum retention of a recorded response. It exceeds the
	// time in which a caller retries, and that in which a command is repeated or in transit.
	MinAnsweredRetention = 10 * time.Minute
	// HeldRetention is the default and maximum retention of a record without a response, in
	// logical time.
	HeldRetention = 7 * 24 * time.Hour
	// MinHeldRetention is the minimum retention of a record without a response. It far
	// exceeds the duration of any request.
	MinHeldRetention = 24 * time.Hour
	// MaxReleased bounds the released attempts. The oldest is evicted first.
	MaxReleased = 4096
	// ReleasedRetention is the retention of a released attempt, in logical time. It far
	// exceeds the time in which a command is repeated or in transit.
	ReleasedRetention = 10 * time.Minute
	// MaxAdvance bounds one step of the logical clock, so that a clock jump on the leader
	// does not expire all records.
	MaxAdvance = time.Minute
	// recordOverhead is the estimated memory of a record besides its fields, in bytes.
	recordOverhead = 256
)
