// Package experiment measures a deployment under load and faults.
//
// A Site describes the deployment and is read from a settings file. A Scenario is
// a sequence of events under load. A Policy is how entry hosts choose the target
// of a new flow. A RunResult is the result of one scenario under one policy with
// one seed; a Result holds those of several runs.
//
// All hosts run in this process on loopback. Proxies between them simulate the
// fabric and the delay between failure domains. Package loadgen provides the
// callers and their measurements.
//
// # Imbalance
//
// The imbalance of a window is the greatest number of responses of a target over
// the mean of all targets. A window of two seconds only counts targets that were
// in service for all of it. A target is in service from its registration until
// its drain begins or its host fails. Windows without such a target, or with
// fewer than loadgen.MinAnsweredPerTarget responses per target, are left out.
//
// The weights of a policy only matter while a target is cold, and windows often
// do not count such a target yet. Imbalance is therefore also reported over
// windows that start with the first cold start of the run.
//
// # Correctness
//
// The numbers of doubled, misrouted and falsely "not run" requests must be 0.
// They are computed from the run counts of the backend servers, which are kept
// across crashes.
package experiment
