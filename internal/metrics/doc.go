// Package metrics creates the tally scope of a process and serves its metrics at /metrics in
// the Prometheus text format.
package metrics
