// Package membership is the directory of targets that agents announce: soft
// state under leases, kept by each control host and passed on to subscribers
// as deltas.
//
// A record is newer than another one of the same target number by
// incarnation, then by sequence. Control hosts pass on what they hear from
// agents, so their directories come to the same records in whatever order
// they hear them. Each host claims the targets that it hears itself. Others
// get changes of its claims as records, and a summary with a digest for all
// that stays as it is; where the digests differ, the parts that do are sent
// again.
//
// The package is pure: the time is an argument, the caller's monotonic time
// since some fixed moment. A Directory is not safe for use by several
// goroutines.
package membership
