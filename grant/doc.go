// Package grant is the replicated state machine of the right to run a request
// that may not be repeated.
//
// An attempt acquires the right by the idempotency key of the request. While
// it holds the right, and after its answer was recorded, no other attempt gets
// it. A holder that vanished leaves a held record behind: whether its request
// ran is not known, so the right is not granted again for as long as the
// record is kept. A holder whose request provably did not run releases it.
// A released attempt is remembered for a while, so that an Acquire of it that
// comes late does not hold the key for nobody.
//
// Records expire by a logical clock that moves with the log (Advance), never
// by the clock of a host. A key may be used again for another request once
// its record has expired; callers must not repeat a request after that long.
package grant
