// Package subscriber subscribes to the configuration and the directory of targets, and
// announces a target.
//
// The active version of a Subscriber never reverts to an older one, whatever control
// host it is connected to. After a start there is no active version to compare with. A
// version confirmed by a quorum is activated at once. Otherwise the subscriber queries
// all control hosts, ignores versions older than the newest one reported, and activates
// an unconfirmed version only after UnconfirmedDelay. The query is delayed, as a
// confirmation makes it unnecessary, and a restart of all processes would cause a
// handshake with every control host for each of them: 15 for each of 14,000.
//
// While disconnected, the last known directory stays in use. A record never replaces a
// newer one of its target, by incarnation and sequence.
//
// An Announcer registers a target and renews its lease.
package subscriber
