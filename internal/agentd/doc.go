// Package agentd is the daemon that runs next to each backend server. It terminates
// the callers' QUIC connections, whose packets arrive as frames from entry hosts, and
// proxies their HTTP/3 requests to the backend server of the same host over HTTP/1.1.
//
// The agent issues connection IDs that identify itself, so that later packets of a
// flow reach it. It replies to each first packet with a QUIC Retry, so that the caller
// selects which of several agents accepts the flow. While draining, it redirects
// first packets to another target, sends GOAWAY to its callers, and exits after its
// last session has ended, without a time limit.
//
// Each request to the backend server uses its own connection. A late or duplicate
// response can therefore not be mistaken for the response to another request.
//
// # Watch sessions
//
// A watch is a request whose response streams for as long as the caller listens. It
// uses no slot and has no default deadline. A request is a watch if it is a GET that
// accepts text/event-stream or whose path is below one of the announced watch paths
// (default /watch). A response of type text/event-stream also makes its request a
// watch.
//
// # Requests with an idempotency key
//
// A request with an Idempotency-Key runs only with a grant from the control hosts,
// and its response is recorded there before it is sent to the caller. An outcome of
// not-run for such a request is based on the grant and holds for every attempt with
// its key. If the control hosts do not respond, the outcome is unknown with a retry
// delay, since an earlier attempt may have run.
//
// # Locks
//
// No lock of this package is acquired while another one is held.
package agentd
