// Package membership is the directory of targets that agents announce. Each control host
// keeps it as soft state under leases and sends it to subscribers as deltas.
//
// Records of a target are ordered by incarnation, then by sequence. Control hosts
// exchange the records that they receive from agents, so their directories converge
// independent of the order of messages. Each host claims the targets whose agents announce
// to it. It sends changes of its claims as records, and a summary with a digest of all
// claims. Where digests differ, the buckets that differ are sent again.
//
// Time is passed in as the duration since a fixed moment on a monotonic clock. A
// Directory is not safe for concurrent use.
package membership
