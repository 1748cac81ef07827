// Package agentd is the daemon that runs beside each backend server. It ends
// the callers' QUIC connections, which reach it through entry hosts as frames,
// and passes their HTTP/3 requests on to the backend server of its own host by
// plain HTTP.
//
// The agent issues connection IDs that name itself, so that every later packet
// of a flow finds it again. It answers each first packet by a QUIC Retry, by
// which the caller itself settles which of several agents accepts the flow.
// While it is leaving it hands first packets on to another target, tells its
// callers by GOAWAY to open new requests elsewhere, and ends when its last
// session has ended, however long that takes.
//
// Each request to the backend server has a connection of its own. An answer
// that comes late, twice or after its request was abandoned can therefore not
// be taken for the answer to another request.
//
// # Watch sessions
//
// A watch is a request whose answer streams for as long as the caller listens.
// It takes no slot and has no default deadline. A request is a watch if it is
// a GET that accepts text/event-stream or whose path lies below one of the
// watch paths that the backend server announced (default /watch). An answer of
// the type text/event-stream makes its request a watch from then on.
//
// # Requests that may not be repeated
//
// A request with an Idempotency-Key runs only with a grant of the control
// hosts and its answer is recorded there before the caller is told. An outcome
// of not-run on such a request rests on the grant and holds for every attempt
// under its key. Where the control hosts could not be asked the outcome is
// unknown, with a time to come back, since an earlier attempt may have run.
//
// # Locks
//
// No lock of this package is held while another one of it is taken, except
// that daemon.mu may be held while a gate or tracker lock is taken.
package agentd
