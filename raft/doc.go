// Package raft is an agreement core: a replicated log after the published Raft
// algorithm, as a pure step function. See Node.
package raft
