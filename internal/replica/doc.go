// Package replica runs one replica of a replicated state machine: it drives a
// raft.Node, persists its state in a wal.Log, applies committed commands to a
// StateMachine and completes pending proposals.
//
// One goroutine owns the node, the log and the state machine. Callers pass it
// requests and messages through a bounded inbox and wait for the result. It
// takes all queued requests at once, so proposals that arrive during a sync
// share the next one (group commit).
//
// # Processing order
//
// A batch of the node is first synced, then its messages are sent, its entries
// applied and its reads answered: messages refer to durable state, and replies
// to applied state. After a failed sync no more messages are sent, and pending
// proposals get ErrUnknown.
//
// # Outcomes
//
// An error other than ErrUnknown means that the command was not replicated: it
// was never appended to the log, or another entry was committed in its place.
// After ErrUnknown the command may still take effect.
//
// # Bootstrapping and joining
//
// The random incarnation of a replica is created with its data directory. The
// initial members of a group exchange their identities before each calls
// Bootstrap with the same list. A replica that lost its data directory is a new
// one: it is not bootstrapped again, but added by AddLearner and promoted, and
// its previous incarnation is removed.
package replica
