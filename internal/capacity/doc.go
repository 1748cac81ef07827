// Package capacity measures the slopes that docs/CAPACITY-SLOPES.md is based on: the
// growth of state, messages, processor time and memory for each flow, target,
// address, version, subscriber and grant.
//
// A slope is a least-squares fit over at least four sizes, with its standard
// error. Memory and processor time are read from /proc: the daemons run as
// separate processes of the same binary, and this process acts as callers,
// subscribers and announcing agents, so that each end is measured alone. All
// traffic stays on loopback, and all processes end with the measurement.
package capacity
