package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// Reasons for the loss of a connection.
const (
	reasonClosed   = "closed"
	reasonMoved    = "moved"
	reasonSilent   = "silent"
	reasonShutdown = "server_shutdown"
	reasonReset    = "reset"
	reasonOther    = "other"
)

// reasonTimeout is the reason of an attempt that got no answer.
const reasonTimeout = "timeout"

func lossReason(err error) string {
	var idle *quic.IdleTimeoutError
	var reset *quic.StatelessResetError
	var app *quic.ApplicationError
	switch {
	case errors.As(err, &idle):
		return reasonSilent
	case errors.As(err, &reset):
		return reasonReset
	case errors.As(err, &app) && app.ErrorCode == codeShutdown:
		return reasonShutdown
	}
	return reasonOther
}

// redial is the state of the search for a server.
type redial struct {
	index int
	// failures counts attempts since the last established connection.
	failures int
	// notBefore holds, by address, when a busy server wants to be asked again.
	notBefore map[string]time.Time
}

// run keeps a connection until the client is closed.
func (c *Client) run() {
	r := &redial{notBefore: make(map[string]time.Time)}
	for c.awaitAddresses(r) {
		conn := c.reach(r)
		if conn == nil {
			return
		}
		c.serve(r, conn)
	}
}

// serve holds an established connection until it is lost.
func (c *Client) serve(r *redial, conn *connection) {
	if r.failures > 0 {
		c.opts.Log.Info("control link established", zap.String("address", conn.addr))
	}
	r.failures = 0
	r.at(c.addrs, conn.addr)
	clear(r.notBefore)
	established := time.Now()
	c.drainMove()
	c.publish(conn)
	reason := c.watch(conn)
	c.unpublish()
	if reason == reasonMoved || reason == reasonShutdown {
		c.wg.Go(func() { c.leave(conn) })
	} else {
		conn.close(closeCode(reason))
	}
	if reason == reasonClosed {
		return
	}
	byReason(c.opts.Scope, metricLostConnections, reason).Inc(1)
	c.opts.Log.Info("control link lost", zap.String("address", conn.addr), zap.String("reason", reason))
	if reason == reasonMoved {
		// The server may just have named the one to go to.
		c.takeAddresses(r)
		r.index = c.moveTarget(r.index)
		return
	}
	// Also after silence: another attempt at a server that is gone takes a
	// whole dial timeout, and the next one is reached from a fresh port too.
	r.index = (r.index + 1) % len(c.addrs)
	if time.Since(established) < c.opts.BackoffMax {
		// A server that lets us in and drops us again is no better than one
		// that refuses.
		_ = sleep.For(c.ctx, c.jitter(c.opts.BackoffMin))
	}
}

func closeCode(reason string) quic.ApplicationErrorCode {
	if reason == reasonSilent {
		return codeSilent
	}
	return codeNone
}

// drainMove forgets a move that was asked for before this connection.
func (c *Client) drainMove() {
	select {
	case <-c.move:
	default:
	}
}

func (c *Client) moveTarget(index int) int {
	c.mu.Lock()
	next := c.next
	c.next = ""
	c.mu.Unlock()
	for i, addr := range c.addrs {
		if addr == next {
			return i
		}
	}
	return (index + 1) % len(c.addrs)
}

// wait returns how long to pause before the next address: hardly at all while
// others are untried, growing from round to round, and as long as a busy
// server asked for.
func (c *Client) wait(r *redial, now time.Time) time.Duration {
	round := r.failures / len(c.addrs)
	d := c.opts.BackoffMin
	for i := 0; i < round && d < c.opts.BackoffMax; i++ {
		d *= 2
	}
	d = c.jitter(min(d, c.opts.BackoffMax))
	if r.failures%len(c.addrs) != 0 {
		d = c.jitter(c.opts.BackoffMin) / 2
	}
	for range c.addrs {
		until := r.notBefore[c.addrs[r.index]]
		if !until.After(now) {
			return d
		}
		r.index = (r.index + 1) % len(c.addrs)
	}
	return max(d, c.soonest(r, now))
}

// soonest picks the busy server that may be asked first.
func (c *Client) soonest(r *redial, now time.Time) time.Duration {
	for i, addr := range c.addrs {
		if r.notBefore[addr].Before(r.notBefore[c.addrs[r.index]]) {
			r.index = i
		}
	}
	return r.notBefore[c.addrs[r.index]].Sub(now)
}

func dialReason(err error) string {
	if _, busy := retryAfter(err); busy {
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
