package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func (s *Server) acceptLoop() {
	for {
		// The server's context would end this loop too early: during a graceful shutdown new
		// connections are accepted and refused with a reason.
		conn, err := s.listener.Accept(context.Background())
		if err != nil {
			return
		}
		endHandshake(conn)
		s.loops.Go(func() { s.serveConnection(conn) })
	}
}

func (s *Server) serveConnection(conn *quic.Conn) {
	id, err := keys.IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		// Not reached: the handshake has verified the identity.
		_ = conn.CloseWithError(codeNone, "identity")
		return
	}
	if !s.admit(conn, id) {
		return
	}
	defer s.removeConnection(conn, id)
	peer := Peer{
		Role:     id.Role,
		Name:     id.Name,
		Service:  id.Service,
		Newcomer: conn.ConnectionState().TLS.NegotiatedProtocol == protocolNewcomer,
	}
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.startStream(peer, stream)
	}
}

// admit registers a connection or refuses it.
func (s *Server) admit(conn *quic.Conn, id keys.Identity) bool {
	if s.isClosing() {
		s.counters.refusedWhileClosing.Inc(1)
		_ = conn.CloseWithError(codeBusy, busyRefusal{retryAfter: s.opts.DrainTimeout}.message())
		return false
	}
	if id.Role != keys.RoleControl {
		if reason := s.admission.admit(time.Now()); reason != "" {
			s.counters.refusedAdmission(reason)
			refused := s.refusal(conn.ConnectionState().TLS.NegotiatedProtocol, reason)
			_ = conn.CloseWithError(codeBusy, refused.message())
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
	s.counters.connections.Update(float64(len(s.conns)))
	return true
}

// refusal returns what a refused client is told. One that knows no other servers is sent to
// these: a place in the queue would be left unused. One that does keeps its place: if it asked
// the others meanwhile, each would keep a place of which it uses one, and the queues would
// take that much longer.
func (s *Server) refusal(protocol string, reason refusal) busyRefusal {
	full := reason == refusalCapacity
	if protocol == protocolNewcomer || protocol == protocolQueue && full {
		if others := s.opts.OtherServers(); len(others) > 0 {
			return busyRefusal{servers: others}
		}
	}
	return busyRefusal{
		retryAfter: s.admission.nextRetryAfter(time.Now()),
		queued:     protocol == protocolQueue && !full,
	}
}

func (s *Server) removeConnection(conn *quic.Conn, id keys.Identity) {
	_ = conn.CloseWithError(codeNone, "")
	if id.Role != keys.RoleControl {
		s.admission.release()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.endedTraffic.add(conn.ConnectionStats())
	s.counters.connections.Update(float64(len(s.conns)))
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) startStream(peer Peer, stream *quic.Stream) {
	s.mu.Lock()
	closing := s.closing
	if !closing {
		// Started with mu held, so that Close waits for every stream that it does not refuse.
		s.streams.Go(func() { s.serveWithRecovery(peer, stream) })
	}
	s.mu.Unlock()
	if closing {
		s.counters.refusedWhileClosing.Inc(1)
		abort(stream, streamRefused)
	}
}

// serveWithRecovery limits a handler's panic to its stream, since a retry of the same request
// would crash one control host after another.
func (s *Server) serveWithRecovery(peer Peer, stream *quic.Stream) {
	recovered := panics.Try(func() { s.serveStream(peer, stream) })
	if recovered == nil {
		return
	}
	abort(stream, streamFailed)
	s.counters.panics.Inc(1)
	s.opts.Log.Error("handler panicked", zap.String("peer", peer.Name), zap.Error(recovered.AsError()))
}

func (s *Server) serveStream(peer Peer, stream *quic.Stream) {
	req, err := s.readRequest(peer, stream)
	if err != nil {
		s.counters.refusedRequest(err)
		abort(stream, streamMalformed)
		return
	}
	switch body := req.GetBody().(type) {
	case nil:
		s.counters.refusedRequest(ErrMalformed)
		abort(stream, streamMalformed)
	case *controlpb.Request_Heartbeat:
		s.respond(stream, doneResponse())
	case *controlpb.Request_Subscribe:
		s.serveSubscription(peer, body.Subscribe, stream)
	default:
		s.respond(stream, s.handler.Call(stream.Context(), peer, req))
	}
}

func (s *Server) readRequest(peer Peer, stream *quic.Stream) (*controlpb.Request, error) {
	if err := stream.SetReadDeadline(time.Now().Add(s.opts.RequestTimeout)); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	req := new(controlpb.Request)
	if err := readMessage(stream, req, s.requestLimit(peer)); err != nil {
		return nil, err
	}
	return req, nil
}

func (s *Server) requestLimit(peer Peer) int {
	if peer.Role == keys.RoleControl {
		return s.opts.MaxControlRequestBytes
	}
	return s.opts.MaxRequestBytes
}

// respond sends the only response of a stream and waits until the client has received it, so
// that a shutdown does not cut it off.
func (s *Server) respond(stream *quic.Stream, res *controlpb.Response) {
	if res == nil {
		s.counters.unanswered.Inc(1)
		abort(stream, streamFailed)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(s.opts.SendTimeout))
	if err := writeMessage(stream, res, s.opts.MaxResponseBytes); err != nil {
		s.counters.failedSend(err)
		abort(stream, streamFailed)
		return
	}
	_ = stream.Close()
	awaitClientClose(stream, s.opts.SendTimeout)
}

// awaitClientClose waits until the client closes its side after the response.
func awaitClientClose(stream *quic.Stream, timeout time.Duration) {
	_ = stream.SetReadDeadline(time.Now().Add(timeout))
	var b [1]byte
	_, _ = stream.Read(b[:])
	stream.CancelRead(streamDone)
}

func (s *Server) serveSubscription(peer Peer, req *controlpb.Subscribe, stream *quic.Stream) {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	sub := &ServerStream{
		stream:       stream,
		sendTimeout:  s.opts.SendTimeout,
		sendLimit:    s.opts.MaxResponseBytes,
		receiveLimit: s.requestLimit(peer),
	}
	// Heartbeats arrive at the subscriber's interval; the handler bounds the wait.
	_ = stream.SetReadDeadline(time.Time{})
	unblock := context.AfterFunc(ctx, func() { stream.CancelRead(streamDone) })
	defer unblock()
	s.counters.subscriptions.Inc(1)
	err := s.handler.Subscribe(ctx, peer, req, sub)
	sub.finish(err)
	if err != nil && ctx.Err() == nil {
		s.counters.failedSubscriptions.Inc(1)
	}
}

func doneResponse() *controlpb.Response {
	return &controlpb.Response{Body: &controlpb.Response_Done{Done: &controlpb.Done{}}}
}

// abort ends both sides of a stream immediately.
func abort(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
