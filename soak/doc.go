// Package soak runs the real roles as processes on loopback with a stand-in for the
// platform, and injects faults: signals, restarts, lost and full disks, crashed and
// drained targets, packet loss, delay and partitions. Meanwhile it checks what callers,
// targets and operators observe.
//
// Plan generates the faults from a seed, Run injects them and returns all violations.
// Faults overlap, but never exceed the disk losses that the deployment tolerates.
// Guarantees for connected hosts are not checked around faults of those hosts. A run
// stops all its processes and signals no others.
package soak
