// Package metrics makes the tally scope of a process and serves what it
// gathers at /metrics in the Prometheus text format.
package metrics
