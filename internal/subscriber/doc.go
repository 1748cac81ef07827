// Package subscriber is the near end of a subscription to configuration and
// directory, and of the announcement of a target.
//
// A Subscriber never acts on a version older than one it has acted on,
// whatever control host it reaches. A process that has just started has
// nothing to compare with: a version that a quorum confirmed makes it ready
// at once; otherwise it asks every control host, takes the newest version that
// any of them knows as the least it will act on, and acts on an unconfirmed
// one only after the time UnconfirmedWait. Asking all waits for an unconfirmed
// version and then for a moment more, because a confirmed answer settles the
// matter alone, and 14,000 processes that restart together would make 15
// handshakes each.
//
// The directory of targets is soft: the last one known stays in use while the
// process is cut off. Within it a record never replaces a newer one of its
// target, by incarnation and sequence.
//
// An Announcer registers a target and keeps its lease.
package subscriber
