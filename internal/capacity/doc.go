// Package capacity measures the slopes from which docs/CAPACITY.md is worked
// out: what a role's state, messages, processor time and memory grow by for
// each flow, target, address, version, subscriber and grant.
//
// A slope is the least-squares fit over at least four sizes, with its standard
// error. Resident memory and processor time are those that the system shows of
// a real daemon: the lab runs control hosts, an entry host and an agent as
// processes of the binary that it is part of, and plays callers, subscribers
// and announcing agents itself, so that the two ends are told apart. It is a
// tool for developers; no daemon starts a process. All traffic stays on
// loopback, and everything that was started ends with the lab.
package capacity
