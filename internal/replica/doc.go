// Package replica runs one replica of a replicated state machine: it drives
// the agreement core of package raft, persists through package wal, applies
// committed commands to a StateMachine and answers the waiting proposers.
package replica
