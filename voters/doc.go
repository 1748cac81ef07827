// Package voters decides how the membership of a replicated group follows its
// hosts, without an operator.
//
// NextChange takes the members as the leader sees them and returns at most one
// change. The caller makes it and calls again once the membership contains it, so
// that successive quorums overlap. A host that is slow, partitioned or frozen keeps
// its vote: it may hold the newest entries, and the group tolerates fewer failures
// without it. A voter is removed only if another active member has the same name,
// since a host has one data directory, or if it was unresponsive for
// Limits.RemoveAfter and at least Limits.MinActiveVoters others are active. A
// removed host that returns joins again.
package voters
