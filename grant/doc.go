// Package grant is the replicated state machine of grants: permissions to run a request
// that must not be repeated.
//
// An attempt acquires the grant for the idempotency key of its request. No other attempt
// gets it while it is held or after a response was recorded. If the holder vanishes, it is
// unknown whether its request ran, so the grant is not given again while the record is
// kept. A holder whose request certainly did not run releases the grant. Released attempts
// are kept for a while, so that a late Acquire of one does not take the grant again.
//
// Records expire by a logical clock that is advanced through the log (Advance), never by
// the clock of a host. A key can be reused once its record has expired; callers must not
// repeat a request after that time.
package grant
