package link

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// Reasons for the loss of a connection, used as metric tags.
const (
	reasonClosed       = "closed"
	reasonMoved        = "moved"
	reasonUnresponsive = "silent"
	reasonShutdown     = "server_shutdown"
	reasonReset        = "reset"
	reasonOther        = "other"
)

// reasonTimeout is the reason of an attempt without a reply.
const reasonTimeout = "timeout"

func lossReason(err error) string {
	var idle *quic.IdleTimeoutError
	var reset *quic.StatelessResetError
	var app *quic.ApplicationError
	switch {
	case errors.As(err, &idle):
		return reasonUnresponsive
	case errors.As(err, &reset):
		return reasonReset
	case errors.As(err, &app) && app.ErrorCode == codeShutdown:
		return reasonShutdown
	}
	return reasonOther
}

// dialState is the state of the search for a server.
type dialState struct {
	index int
	// failures counts attempts since the last established connection.
	failures int
	// notBefore is the earliest time to retry a busy server, by address.
	notBefore map[string]time.Time
	// place is the server that keeps a place in its queue, empty if there is none.
	place string
	// connected is set once there has been a connection.
	connected bool
	// left is the server of the last move, empty if there was none.
	left string
}

// recordRefusal records the refusal of a server.
func (state *dialState) recordRefusal(addr string, r busyRefusal, now time.Time) {
	state.notBefore[addr] = now.Add(r.retryAfter)
	state.place = ""
	if r.queued {
		state.place = addr
	}
}

// skipLeft selects the next address in place of that of the server that was left, until all
// others have been tried.
func (state *dialState) skipLeft(addrs []string) {
	if addrs[state.index] == state.left && state.failures < len(addrs)-1 {
		state.index = (state.index + 1) % len(addrs)
	}
}

// run maintains a connection until the client is closed.
func (c *Client) run() {
	state := &dialState{notBefore: make(map[string]time.Time)}
	for c.awaitAddresses(state) {
		conn := c.connect(state)
		if conn == nil {
			return
		}
		c.setCurrent(conn)
		for conn != nil {
			conn = c.maintain(state, conn)
		}
	}
}

// maintain uses the current connection until it is lost or replaced. It returns the
// connection that replaces it, if any.
func (c *Client) maintain(state *dialState, conn *connection) (next *connection) {
	if state.failures > 0 {
		c.opts.Log.Info("control link established", zap.String("address", conn.addr))
	}
	state.failures, state.connected = 0, true
	state.resumeAt(c.addrs, conn.addr)
	clear(state.notBefore)
	state.place = ""
	established := time.Now()
	reason := c.watch(conn)
	for reason == reasonMoved {
		if next = c.connectElsewhere(state, conn); next != nil {
			c.setCurrent(next)
			break
		}
		reason = c.watch(conn)
	}
	c.release(conn, reason)
	if next != nil || reason == reasonClosed {
		return next
	}
	// The next server comes first, also after an unresponsive one: an attempt to a server that
	// is down costs a whole dial timeout.
	state.index = (state.index + 1) % len(c.addrs)
	if time.Since(established) < c.opts.BackoffMax {
		// A server that drops connections soon after it accepts them is treated like one that
		// refuses them.
		_ = sleep.For(c.ctx, c.jitter(c.opts.BackoffMin))
	}
	return nil
}

// release closes a connection that is lost or replaced, after its calls have ended if the
// server still replies.
func (c *Client) release(conn *connection, reason string) {
	if reason != reasonMoved {
		c.clearCurrent()
	}
	if reason == reasonMoved || reason == reasonShutdown {
		c.wg.Go(func() { c.drainAndClose(conn) })
	} else {
		conn.close(closeCode(reason))
	}
	if reason == reasonClosed {
		return
	}
	reasonCounter(c.opts.Scope, metricLostConnections, reason).Inc(1)
	c.opts.Log.Info("control link lost", zap.String("address", conn.addr), zap.String("reason", reason))
}

func closeCode(reason string) quic.ApplicationErrorCode {
	if reason == reasonUnresponsive {
		return codeUnresponsive
	}
	return codeNone
}

// discardMove drops a move that was requested before the current connection.
func (c *Client) discardMove() {
	select {
	case <-c.moveRequested:
	default:
	}
}

// takeMoveTarget returns the server to move to, or the one that is left if there is none.
func (c *Client) takeMoveTarget(leaving string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	moveTo := c.moveTo
	c.moveTo = ""
	return cmp.Or(moveTo, leaving)
}

// retryDelay returns the delay before the next address and skips busy servers. The delay is
// short while there are untried addresses, grows with each round and covers the retry-after
// time if all servers are busy. A client with a place in the queue of a server waits for it.
func (c *Client) retryDelay(state *dialState, now time.Time) time.Duration {
	if place := state.place; place != "" {
		state.place = ""
		state.resumeAt(c.addrs, place)
		return state.notBefore[place].Sub(now)
	}
	round := state.failures / len(c.addrs)
	d := c.opts.BackoffMin
	for i := 0; i < round && d < c.opts.BackoffMax; i++ {
		d *= 2
	}
	d = c.jitter(min(d, c.opts.BackoffMax))
	if state.failures%len(c.addrs) != 0 {
		d = c.jitter(c.opts.BackoffMin) / 2
	}
	for range c.addrs {
		until := state.notBefore[c.addrs[state.index]]
		if !until.After(now) {
			return d
		}
		state.index = (state.index + 1) % len(c.addrs)
	}
	return max(d, c.earliestAvailable(state, now))
}

// earliestAvailable selects the busy server with the earliest retry time and returns the
// delay until then.
func (c *Client) earliestAvailable(state *dialState, now time.Time) time.Duration {
	for i, addr := range c.addrs {
		if state.notBefore[addr].Before(state.notBefore[c.addrs[state.index]]) {
			state.index = i
		}
	}
	return state.notBefore[c.addrs[state.index]].Sub(now)
}

func dialReason(err error) string {
	if _, busy := refusalOf(err); busy {
		return "busy"
	}
	var idle *quic.IdleTimeoutError
	var handshake *quic.HandshakeTimeoutError
	var transport *quic.TransportError
	switch {
	case errors.Is(err, keys.ErrUnknownAuthority), errors.Is(err, keys.ErrExpired),
		errors.Is(err, keys.ErrRoleNotAllowed), errors.Is(err, keys.ErrNoIdentity):
		return "server_certificate"
	case errors.As(err, &idle), errors.As(err, &handshake), errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout
	case errors.As(err, &transport) && transport.Remote && transport.ErrorCode.IsCryptoError():
		return "refused_certificate"
	case errors.As(err, &transport) && transport.ErrorCode == quic.ConnectionRefused:
		return "refused"
	}
	return reasonOther
}
