// Package freshness decides when a process leaves the control host that it gets the
// configuration from.
//
// A control host confirms its state by a read that a quorum answers. It reports its version
// and how long ago the last confirmation began. From these reports a Tracker derives as of
// when the version in use was the newest. If that is too long ago, the control host is left,
// whatever the reason: no leader, a disk that stalls, a partition in one direction, a version
// that does not arrive, or no messages. One bound on the age covers all of them, while
// timeouts of each of the parts would add up.
//
// Without a quorum every control host is left in turn. The interval between two moves grows
// until one reports a confirmation.
//
// The package has no clock, locks or goroutines. Callers pass the time and serialize the
// calls.
package freshness
