// Package experiment measures a whole deployment under load and faults.
//
// A Site is what is deployed, read from a settings file. A Scenario is a
// sequence of events while callers make load. A policy is how entry hosts
// choose the target of a new flow. A Cell is one run of a scenario under a
// policy with one seed; a Result holds the cells of several.
//
// Everything runs in this process: hosts on loopback with proxies between them
// that stand in for the fabric and for the distance between failure domains,
// and callers with the measures of package loadgen.
//
// # Imbalance
//
// Targets come and go in a run, so a window of two seconds counts the targets
// that were in service for the whole of it, and no others: the imbalance of a
// window is the greatest number of answers of one of them over their mean. A
// target that starts cold is in service from its
// registration, one that drains until its drain begins, one on a lost host
// until the loss. Windows in which no target was in service throughout, or
// with fewer than loadgen.MinPerTarget answers a target, are left out.
//
// The weights of a policy decide only while a target is cold, and in those
// windows it is often not yet counted. So imbalance is told once more over
// windows that begin with the first cold start of the run.
//
// # Correctness
//
// Doubled, misrouted and falsely "not run" must be 0 in every cell. They are
// found from the backend servers' own counts of runs, which are kept across
// crashes.
package experiment
