// Package membership is the directory of targets that agents announce: soft
// state under leases, kept by each control host and passed on to subscribers
// as deltas.
//
// A record is newer than another one of the same target number by
// incarnation, then by sequence. Control hosts pass on what they hear from
// agents, so their directories come to the same records in whatever order
// they hear them.
//
// The package is pure: the time is an argument, the caller's monotonic time
// since some fixed moment. A Directory is not safe for use by several
// goroutines.
package membership
