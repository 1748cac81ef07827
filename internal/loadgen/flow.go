package loadgen

import (
	"context"
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	idleTimeout     = 20 * time.Second
	keepAlivePeriod = 5 * time.Second
	// handshakeTimeout leaves time within a usual deadline for another flow.
	handshakeTimeout = time.Second
)

// flow is one QUIC connection of a caller.
type flow struct {
	conn *quic.Conn
	h3   *http3.ClientConn
	// uses counts the requests that were given this flow; the slot guards it.
	uses int
	// leaving flows get no more requests and end with their last one.
	leaving  atomic.Bool
	inFlight atomic.Int64
	// target is the name of the target that answered on it, if any did.
	target atomic.Pointer[string]
	// own is set before the caller closes the flow.
	own atomic.Bool
	// broken is set when the flow was counted as broken.
	broken atomic.Bool
}

// dialer opens flows and counts their ends.
type dialer struct {
	opts Options
	rec  *recorder
	next atomic.Uint64
}

// dial opens a flow to the next address.
func (d *dialer) dial(ctx context.Context) (*flow, error) {
	addr := d.opts.Addresses[d.next.Add(1)%uint64(len(d.opts.Addresses))]
	conn, err := quic.DialAddr(ctx, addr, &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: d.opts.Service,
		RootCAs:    d.opts.Roots,
		NextProtos: []string{http3.NextProtoH3},
	}, &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
	})
	if err != nil {
		return nil, err
	}
	transport := &http3.Transport{DisableCompression: true}
	f := &flow{conn: conn, h3: transport.NewClientConn(conn)}
	d.rec.flowOpened()
	context.AfterFunc(conn.Context(), func() { d.ended(f) })
	return f, nil
}

// ended counts a flow that did not end cleanly.
func (d *dialer) ended(f *flow) {
	if reason := endReason(context.Cause(f.conn.Context())); reason != "" {
		d.breakFlow(f, reason)
	}
}

// requestLost counts a flow as broken whose end left a request unknown; that
// holds for a clean end too. The error tells of the end, since it may come
// before the connection's own context is done.
func (d *dialer) requestLost(f *flow, err error) {
	reason := endReason(err)
	if reason == "" {
		reason = reasonLost
	}
	d.breakFlow(f, reason)
}

// breakFlow counts a flow once.
func (d *dialer) breakFlow(f *flow, reason string) {
	if f.own.Load() || !f.broken.CompareAndSwap(false, true) {
		return
	}
	if d.hostFailed(f) {
		d.rec.flowLostWithHost()
		return
	}
	d.rec.flowBroken(reason)
}

// hostFailed tells whether the flow's target stands on a host that failed.
func (d *dialer) hostFailed(f *flow) bool {
	target := f.target.Load()
	return target != nil && d.opts.HostFailed(*target)
}

// answeredBy keeps the target that a flow leads to.
func (f *flow) answeredBy(target string) {
	if name := targetName(target); name != "" && f.target.Load() == nil {
		f.target.Store(&name)
	}
}

// endReason names what ended a connection, or nothing for a clean end.
func endReason(cause error) string {
	var app *quic.ApplicationError
	var idle *quic.IdleTimeoutError
	var reset *quic.StatelessResetError
	var transport *quic.TransportError
	switch {
	case errors.As(cause, &app):
		if app.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError) {
			return ""
		}
		return "application-error"
	case errors.As(cause, &idle):
		return "silent"
	case errors.As(cause, &reset):
		return "stateless-reset"
	case errors.As(cause, &transport):
		return "transport-error"
	}
	return "other"
}

// close ends the flow from the caller's side.
func (f *flow) close() {
	if f.conn.Context().Err() == nil {
		f.own.Store(true)
	}
	_ = f.h3.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// dead tells that the flow can carry no more requests.
func (f *flow) dead() bool {
	return f.leaving.Load() || f.conn.Context().Err() != nil
}

// release ends one use of the flow.
func (f *flow) release() {
	if f.inFlight.Add(-1) == 0 && f.leaving.Load() {
		f.close()
	}
}

// leave keeps further requests off the flow.
func (f *flow) leave() {
	f.leaving.Store(true)
	if f.inFlight.Load() == 0 {
		f.close()
	}
}

// slot holds the flow that serves a share of the requests, and replaces it.
type slot struct {
	dialer *dialer
	// lock is a channel so that waiting ends with the request's context.
	lock chan struct{}
	flow *flow
	// spent is how many requests the first flow is shorter.
	spent int
}

// newSlot returns the slot of an index. Slots take turns, so flows of one length
// would all end within one round and be opened anew in a burst; the first ones
// differ in length.
func newSlot(d *dialer, index int) *slot {
	s := &slot{dialer: d, lock: make(chan struct{}, 1)}
	if n := d.opts.RequestsPerFlow; n > 0 {
		s.spent = index % n
	}
	return s
}

// acquire returns a flow that the caller has to release.
func (s *slot) acquire(ctx context.Context) (*flow, error) {
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.lock }()
	if s.flow != nil && (s.flow.dead() || s.flow.uses >= s.dialer.opts.RequestsPerFlow) {
		s.flow.leave()
		s.flow = nil
	}
	if s.flow == nil {
		f, err := s.dialer.dial(ctx)
		if err != nil {
			return nil, err
		}
		f.uses, s.spent = s.spent, 0
		s.flow = f
	}
	s.flow.uses++
	s.flow.inFlight.Add(1)
	return s.flow, nil
}

// close ends the slot's flow.
func (s *slot) close() {
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	if s.flow != nil {
		s.flow.close()
	}
}
