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
	// handshakeTimeout leaves time for another flow within the default deadline.
	handshakeTimeout = time.Second
)

// flow is one QUIC connection of a caller.
type flow struct {
	conn *quic.Conn
	h3   *http3.ClientConn
	// uses counts the requests assigned to this flow; guarded by the slot's lock.
	uses int
	// draining flows get no more requests and are closed after their last one.
	draining atomic.Bool
	inFlight atomic.Int64
	// target is the name of the target that responded first, if any.
	target atomic.Pointer[string]
	// closedByCaller is set before the caller closes the flow.
	closedByCaller atomic.Bool
	// broken is set when the flow was counted as broken.
	broken atomic.Bool
}

// dialer opens flows and counts the broken ones.
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
	context.AfterFunc(conn.Context(), func() { d.connectionClosed(f) })
	return f, nil
}

// connectionClosed counts the flow as broken unless it ended cleanly.
func (d *dialer) connectionClosed(f *flow) {
	if reason := endReason(context.Cause(f.conn.Context())); reason != "" {
		d.recordBroken(f, reason)
	}
}

// requestLost counts a flow as broken whose end, even a clean one, left the outcome of a
// request unknown. The reason comes from the error, since the connection's context may
// not be done yet.
func (d *dialer) requestLost(f *flow, err error) {
	reason := endReason(err)
	if reason == "" {
		reason = reasonLost
	}
	d.recordBroken(f, reason)
}

// recordBroken counts a flow as broken, at most once.
func (d *dialer) recordBroken(f *flow, reason string) {
	if f.closedByCaller.Load() || !f.broken.CompareAndSwap(false, true) {
		return
	}
	if d.hostFailed(f) {
		d.rec.flowLostWithHost()
		return
	}
	d.rec.flowBroken(reason)
}

// hostFailed reports whether the host of the flow's target has failed.
func (d *dialer) hostFailed(f *flow) bool {
	target := f.target.Load()
	return target != nil && d.opts.HostFailed(*target)
}

// setTarget stores the target of the flow's first response.
func (f *flow) setTarget(target string) {
	if name := targetName(target); name != "" && f.target.Load() == nil {
		f.target.Store(&name)
	}
}

// endReason returns the reason for the end of a connection, "" for a clean one.
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

// close closes the flow from the caller's side.
func (f *flow) close() {
	if f.conn.Context().Err() == nil {
		f.closedByCaller.Store(true)
	}
	_ = f.h3.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// unusable reports whether the flow can carry no more requests.
func (f *flow) unusable() bool {
	return f.draining.Load() || f.conn.Context().Err() != nil
}

// release ends one use of the flow and closes a draining flow after the last one.
func (f *flow) release() {
	if f.inFlight.Add(-1) == 0 && f.draining.Load() {
		f.close()
	}
}

// drain stops further requests on the flow and closes it when idle.
func (f *flow) drain() {
	f.draining.Store(true)
	if f.inFlight.Load() == 0 {
		f.close()
	}
}

// slot holds a flow that carries a share of the requests, and replaces it.
type slot struct {
	dialer *dialer
	// lock is a channel so that waiting ends with the request's context.
	lock chan struct{}
	flow *flow
	// initialUses shortens the first flow by that many requests.
	initialUses int
}

// newSlot returns the slot of an index. Requests use the slots round robin, so first flows
// of equal length would all be replaced at once; their lengths differ by index.
func newSlot(d *dialer, index int) *slot {
	s := &slot{dialer: d, lock: make(chan struct{}, 1)}
	if n := d.opts.RequestsPerFlow; n > 0 {
		s.initialUses = index % n
	}
	return s
}

// acquire returns a flow, which the caller must release.
func (s *slot) acquire(ctx context.Context) (*flow, error) {
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.lock }()
	if s.flow != nil && (s.flow.unusable() || s.flow.uses >= s.dialer.opts.RequestsPerFlow) {
		s.flow.drain()
		s.flow = nil
	}
	if s.flow == nil {
		f, err := s.dialer.dial(ctx)
		if err != nil {
			return nil, err
		}
		f.uses, s.initialUses = s.initialUses, 0
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
