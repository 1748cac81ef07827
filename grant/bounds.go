package grant

import "time"

// Bounds of the replicated state. Replicas must agree on them, so a change of
// one is a change of the format of the log.
const (
	// MaxRecords bounds the keys that a group keeps.
	MaxRecords = 200_000
	// MaxBytes bounds the memory of keys and recorded bodies of a group, in
	// bytes.
	MaxBytes = 64 << 20
	// MaxBodyLength is the longest body of an answer that is recorded, in bytes. Of
	// a longer one only status and content type are known.
	MaxBodyLength = 4 << 10
	// MaxKeyLength bounds an idempotency key, in bytes.
	MaxKeyLength = 256
	// MaxAttemptLength bounds the identity of an attempt, in bytes.
	MaxAttemptLength = 64
	// MaxDigestLength bounds the digest of a request, in bytes.
	MaxDigestLength = 64
	// MaxContentTypeLength bounds the content type of a recorded answer, in bytes.
	MaxContentTypeLength = 256
	// AnsweredRetention is how long an answer is kept, in logical time, unless
	// operators set less.
	AnsweredRetention = 24 * time.Hour
	// MinAnsweredRetention is the least they can set. It exceeds the time for
	// which a caller that lost its answer comes back, and that for which a
	// command is repeated or under way.
	MinAnsweredRetention = 10 * time.Minute
	// HeldRetention is how long a record without an answer is kept, in
	// logical time, unless operators set less.
	HeldRetention = 7 * 24 * time.Hour
	// MinHeldRetention is the least they can set. It exceeds by far the time
	// that any request runs.
	MinHeldRetention = 24 * time.Hour
	// MaxReleased bounds the released attempts that are remembered. The oldest
	// one is forgotten first.
	MaxReleased = 4096
	// ReleasedRetention is how long a released attempt is remembered, in
	// logical time. It exceeds by far the time for which a command is repeated
	// or under way.
	ReleasedRetention = 10 * time.Minute
	// MaxAdvance bounds one step of the logical clock, so that a leader whose
	// clock jumped cannot expire everything at once.
	MaxAdvance = time.Minute
	// recordOverhead stands for the memory of a record besides its fields. It
	// takes less since records are packed.
	recordOverhead = 256
)
