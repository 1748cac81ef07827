// Package loadgen generates load against a service and reports the outcomes of
// requests and flows.
//
// It is an open-loop generator: requests start on a schedule fixed by rate and
// seed, independent of earlier outcomes, and latency counts from the scheduled
// time. Requests use the flows round robin. The first flows differ in length, so
// that they are not all replaced in the same round. Callers speak HTTP/3 and follow
// the caller protocol: they honour Retry-After, retry within a budget, and repeat a
// non-repeatable request with an unknown outcome only if the response permits it.
//
// # Measures
//
// A flow is one QUIC connection whose handshake completed. It is broken when it
// ends before the caller closes it, unless it was closed without an error
// (H3_NO_ERROR, as after GOAWAY) and no request got an unknown outcome. A stream
// reset does not break its flow. An inactive flow is broken when its idle timeout
// expires. Flows whose target's host failed, according to the options, are counted
// separately. A session is a flow with one watch stream; it is broken, and its flow
// with it, also when the stream ends or has no event for SessionTimeoutFactor event
// periods.
//
// Imbalance of a time window is the highest number of requests that one target
// answered divided by the mean of all targets; 1 is even. The targets are those
// that answered during the run and those named in the options, so an idle target
// lowers the mean. Windows with fewer than MinAnsweredPerTarget requests per target
// are ignored as statistically insignificant. The 99th percentile is over the
// windows, the overall value over the whole run.
//
// A request is misrouted when the server presents the certificate of another
// service, or when an unknown target responds. A response is a wrong answer when it
// belongs to another request.
//
// A request is doubled when the backend servers together ran its idempotency key
// more than once, and denied falsely when a backend server ran it although its
// outcome was "not run". The report has both only if every backend server reports
// its runs.
package loadgen
