// Package servicetime estimates how long a target takes for a request of a route once the
// request runs, without the time that it waits at the target.
//
// Contract:
//
//   - Queue gives the time at which each request starts: the target runs as many requests as
//     it has slots, in order of arrival, so that a request starts when one before it ends. A
//     request that starts because another one was abandoned has an unknown start, and one that
//     is answered before its start was not run; neither gives a sample.
//   - Estimator gives the mean and a high quantile by route. Before the first sample a route
//     takes DefaultTime. Samples of the last 250 ms decide, and at least the last few, so that
//     a change by four either way is followed within two seconds at five requests a second.
//   - The number of routes is bounded: those beyond MaxRoutes share one estimate.
//   - Pace is a service time in seven bits, and Usual the service time that most targets of a
//     service have. One slow target does not change it, a slow service does.
//
// The package has no clock, locks or goroutines.
package servicetime
