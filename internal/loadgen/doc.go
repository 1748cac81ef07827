// Package loadgen plays many callers against a service and reports what
// became of their requests and flows.
//
// It is an open-loop generator: requests start on a schedule fixed by rate
// and seed, whatever became of the earlier ones, and latency counts from the
// scheduled time. Flows take turns, and the first ones differ in length, so that
// later ones begin one by one and not all in one round. Callers speak HTTP/3 and keep to the caller protocol: they
// honour Retry-After, retry within a budget, and repeat a non-repeatable request
// whose outcome is unknown only where the answer asks them to come back.
//
// # Measures
//
// A flow is one QUIC connection whose handshake completed. It is broken when
// it ends before the caller ends it, unless both ends closed it without an
// error (H3_NO_ERROR, as after GOAWAY) and the end left no request with an
// unknown outcome. A stream that is reset leaves its flow whole. A flow that
// went silent counts when its idle timeout passes. Flows whose target's host
// failed, as the options tell, are counted apart. A session is a flow
// that holds one watch stream; it is broken, and its flow with it, also when
// the stream ends or brings no event for SilenceFactor event periods.
//
// Imbalance of a window of time is the greatest number of requests that one
// target answered over the mean of all targets: 1 is even. All targets that
// answered in the whole run count as well as those named in the options, so
// that a target without work lowers the mean. Windows with fewer than
// MinPerTarget answers a target are left out, as chance alone makes them
// uneven. The 99th percentile is taken over the windows, and the overall
// figure over the whole run.
//
// A request is misrouted when the other end of its flow shows a certificate
// of another service, or when a target outside of the named ones answers.
// An answer is wrong when it is not the answer to that very request.
//
// A request is doubled when the backend servers together ran its idempotency
// key more than once, and denied falsely when its caller was told that it was
// not run and a backend server ran it. Both are known only when every backend
// server tells its runs; else the report leaves them out.
package loadgen
