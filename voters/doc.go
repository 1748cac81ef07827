// Package voters decides how the members of a replicated group follow the hosts
// that are there, without an operator.
//
// The contract: Next looks at the members as the leader sees them and returns at
// most one change. The caller makes it and asks again once the membership shows
// it, so that two quorums in a row always share a member. A host that is only
// slow, cut off or frozen keeps its vote: it may hold the newest entries, and a
// group that drops it would lose the tolerance that it is there for. A vote is
// taken away only where it is known that nothing stands behind it any more:
// another replica of the same name is a member and answers. A host has one data
// folder, so the former one is gone.
package voters
