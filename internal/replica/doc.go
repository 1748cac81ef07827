// Package replica runs one replica of a replicated state machine: it drives
// the agreement core of package raft, persists through package wal, applies
// committed commands to a StateMachine and answers the waiting proposers.
//
// One goroutine owns the core, the log and the state machine. Callers hand it
// requests and messages through a bounded intake and wait for the outcome. It
// takes all that waits at once, so proposals that come during a sync share the
// next one (group commit).
//
// # Order of work
//
// A batch of the core is first synced, then its messages are sent, then its
// entries applied, then its reads answered: a message speaks of durable state,
// and an answer of applied state. After a failed sync nothing more is sent or
// answered but ErrUnknown.
//
// # Outcomes
//
// An error says that a command was not replicated only if it never entered the
// core's log or if another entry was committed in its place. In every other
// case it is ErrUnknown, and the command may still take effect later.
//
// # Founding and joining
//
// A replica's incarnation is made with its data folder, at random. The first
// members of a group therefore exchange their identities before each calls
// Form with the same list. A replica that lost its folder comes back as another
// one: it is never formed again, but added by AddLearner, caught up, promoted,
// and its former incarnation removed.
package replica
