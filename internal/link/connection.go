package link

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// connection is an established connection with its own socket.
type connection struct {
	addr      string
	quic      *quic.Conn
	transport *quic.Transport
	socket    *net.UDPConn
	// sendLimit and receiveLimit bound messages, in bytes.
	sendLimit    int
	receiveLimit int
	calls        inflight
}

// dial connects to a server within a timeout, with hedged attempts if configured.
func (c *Client) dial(ctx context.Context, addr string, timeout time.Duration) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.opts.HedgeAfter <= 0 {
		return c.attempt(ctx, addr)
	}
	return c.hedge(ctx, addr)
}

// attempt connects from a new UDP port and waits for the reply to a heartbeat. By then the
// server has verified the client's certificate and admitted the connection.
func (c *Client) attempt(ctx context.Context, addr string) (*connection, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "server address")
	}
	var local *net.UDPAddr
	if c.opts.LocalIP.IsValid() {
		local = &net.UDPAddr{IP: c.opts.LocalIP.AsSlice()}
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	conn := &connection{
		addr:         addr,
		socket:       socket,
		transport:    &quic.Transport{Conn: socket},
		sendLimit:    c.opts.MaxRequestBytes,
		receiveLimit: c.opts.MaxResponseBytes,
	}
	tlsConfig := c.creds.ClientTLS(c.opts.Allowed...)
	tlsConfig.NextProtos = c.protocols()
	conn.quic, err = conn.transport.Dial(ctx, remote, tlsConfig, c.quicConfig())
	if err != nil {
		conn.close(codeNone)
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	if err := conn.heartbeat(ctx); err != nil {
		cause := context.Cause(conn.quic.Context())
		conn.close(codeNone)
		if cause != nil {
			// The error of the connection is more specific than that of the stream.
			err = cause
		}
		return nil, errors.Wrapf(err, "first heartbeat to %s", addr)
	}
	return conn, nil
}

// protocols returns the ALPN names to offer.
func (c *Client) protocols() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.learned) == 0 {
		return []string{protocolNewcomer, protocolQueue, protocolName}
	}
	return []string{protocolQueue, protocolName}
}

func (c *connection) close(code quic.ApplicationErrorCode) {
	if c.quic != nil {
		_ = c.quic.CloseWithError(code, "")
	}
	_ = c.transport.Close()
	_ = c.socket.Close()
}

// heartbeat sends a heartbeat and waits for the reply.
func (c *connection) heartbeat(ctx context.Context) error {
	_, err := c.call(ctx, &controlpb.Request{
		Body: &controlpb.Request_Heartbeat{Heartbeat: &controlpb.Heartbeat{}},
	})
	return err
}

func (c *connection) call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error) {
	if !c.calls.begin() {
		return nil, notSent(errDrained)
	}
	defer c.calls.end()
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, notSent(errors.Wrap(err, "open stream"))
	}
	stop := context.AfterFunc(ctx, func() { abort(stream, streamCancelled) })
	defer stop()
	if err := c.write(ctx, stream, req); err != nil {
		return nil, err
	}
	res := new(controlpb.Response)
	if err := readMessage(stream, res, c.receiveLimit); err != nil {
		return nil, c.failCall(ctx, stream, err)
	}
	// Signals to the server that the response has arrived.
	_ = stream.Close()
	stream.CancelRead(streamDone)
	return res, nil
}

func (c *connection) subscribe(ctx context.Context, req *controlpb.Subscribe) (*ClientStream, error) {
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, notSent(errors.Wrap(err, "open stream"))
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { abort(stream, streamCancelled) })
	first := &controlpb.Request{Body: &controlpb.Request_Subscribe{Subscribe: req}}
	if err := c.write(ctx, stream, first); err != nil {
		cancel()
		return nil, err
	}
	return &ClientStream{stream: stream, messageLimit: c.receiveLimit, stop: stop, cancel: cancel}, nil
}

// write sends the request of a stream. It sends nothing of a request that is too large.
func (c *connection) write(ctx context.Context, stream *quic.Stream, req *controlpb.Request) error {
	err := writeMessage(stream, req, c.sendLimit)
	if errors.Is(err, ErrTooLarge) {
		abort(stream, streamCancelled)
		return err
	}
	if err != nil {
		return c.failCall(ctx, stream, err)
	}
	return nil
}

// failCall aborts a stream and converts its error to a callError.
func (c *connection) failCall(ctx context.Context, stream *quic.Stream, err error) error {
	abort(stream, streamCancelled)
	if ctx.Err() != nil {
		return outcomeUnknown(ctx.Err())
	}
	return wrapSentError(err)
}

// watch sends heartbeats until the connection is lost, the server stops replying or the
// client moves or closes. It returns the reason.
func (c *Client) watch(conn *connection) string {
	for {
		timer := time.NewTimer(c.jitter(c.opts.HeartbeatInterval))
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return reasonClosed
		case <-c.moveRequested:
			timer.Stop()
			return reasonMoved
		case <-conn.quic.Context().Done():
			timer.Stop()
			return lossReason(context.Cause(conn.quic.Context()))
		case <-timer.C:
		}
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.HeartbeatTimeout)
		err := conn.heartbeat(ctx)
		timedOut := ctx.Err() != nil
		cancel()
		switch {
		case err == nil || c.ctx.Err() != nil:
		case timedOut:
			return reasonUnresponsive
		case refusedBeforeRead(err):
			// The server accepts no new requests because it is shutting down.
			return reasonShutdown
		default:
			// Streams fail shortly before their connection does.
			return c.awaitLoss(conn)
		}
	}
}

// awaitLoss waits for the end of a connection whose streams have failed and returns the reason.
func (c *Client) awaitLoss(conn *connection) string {
	select {
	case <-conn.quic.Context().Done():
		return lossReason(context.Cause(conn.quic.Context()))
	case <-c.ctx.Done():
		return reasonClosed
	case <-time.After(c.opts.HeartbeatTimeout):
		return reasonOther
	}
}

// drainAndClose closes a connection once its calls have ended.
func (c *Client) drainAndClose(conn *connection) {
	select {
	case <-conn.calls.drain():
	case <-conn.quic.Context().Done():
	case <-c.ctx.Done():
	}
	conn.close(codeNone)
}
