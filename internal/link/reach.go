package link

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// maxAttempts bounds the attempts at several servers that run beside each other: a few KB
// each on a link that may be full.
const maxAttempts = 4

// search looks for a server that answers. One attempt follows the other, from address to
// address; an attempt that has had no answer for DialTimeout goes on beside the next ones
// until DialPatience is over. So a server that is gone costs DialTimeout, and a path on which
// a handshake takes longer, as behind a full link, is found all the same.
type search struct {
	client *Client
	redial *redial
	ctx    context.Context
	cancel context.CancelFunc
	// results gets one value from each attempt.
	results chan reached
	running int
	// newest is the number of the attempt that the next one waits for.
	newest int
}

// reached is the outcome of the attempt of that number.
type reached struct {
	dialed
	number int
	addr   string
}

// reach returns a connection to the first server that answers, nil once the client is
// closed.
func (c *Client) reach(r *redial) *connection {
	s := &search{client: c, redial: r, results: make(chan reached, maxAttempts)}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	defer s.end()
	for {
		c.takeAddresses(r)
		s.start(c.addrs[r.index])
		if conn := s.await(c.opts.DialTimeout, true); conn != nil || c.ctx.Err() != nil {
			return conn
		}
		r.failures++
		r.index = (r.index + 1) % len(c.addrs)
		if conn := s.await(c.wait(r, time.Now()), false); conn != nil || c.ctx.Err() != nil {
			return conn
		}
	}
}

func (s *search) start(addr string) {
	s.newest++
	s.running++
	number := s.newest
	s.client.wg.Go(func() {
		conn, err := s.client.dial(s.ctx, addr, s.client.opts.AttemptTimeout)
		s.results <- reached{dialed: dialed{conn: conn, err: err}, number: number, addr: addr}
	})
}

// await takes results in for a time, or until one is a connection, which it returns. If
// asked to it returns as soon as the newest attempt has failed. It goes on for longer where
// no further attempt may begin.
func (s *search) await(d time.Duration, untilFailed bool) *connection {
	timer := time.NewTimer(d)
	defer timer.Stop()
	over := false
	for !over || s.running >= maxAttempts {
		select {
		case <-s.client.ctx.Done():
			return nil
		case <-timer.C:
			over = true
		case r := <-s.results:
			s.running--
			if r.err == nil {
				return r.conn
			}
			s.client.dialFailed(s.redial, r.addr, r.err)
			over = over || untilFailed && r.number == s.newest
		}
	}
	return nil
}

// end gives up what still runs. Connections that come of it are closed.
func (s *search) end() {
	s.cancel()
	running, results := s.running, s.results
	s.client.wg.Go(func() {
		for range running {
			if r := <-results; r.conn != nil {
				r.conn.close(codeNone)
			}
		}
	})
}

// dialFailed counts and notes a failed attempt.
func (c *Client) dialFailed(r *redial, addr string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	reason := dialReason(err)
	byReason(c.opts.Scope, metricDialFailures, reason).Inc(1)
	c.opts.Log.Info("control host not reached", zap.String("address", addr), zap.String("reason", reason),
		zap.Int("failures", r.failures+1), zap.Error(err))
	if wait, ok := retryAfter(err); ok {
		r.notBefore[addr] = time.Now().Add(wait)
	}
}

// awaitAddresses waits until the client knows any server. It reports false once the client
// is closed.
func (c *Client) awaitAddresses(r *redial) bool {
	for {
		c.mu.Lock()
		named := c.named
		c.mu.Unlock()
		c.takeAddresses(r)
		if len(c.addrs) > 0 {
			return true
		}
		select {
		case <-named:
		case <-c.ctx.Done():
			return false
		}
	}
}

// nameAddresses tells the goroutine of run that there are other addresses. The lock is held.
func (c *Client) nameAddresses() {
	c.stale = true
	close(c.named)
	c.named = make(chan struct{})
}

// at makes an address the one that the search goes on from.
func (r *redial) at(addrs []string, addr string) {
	if i := slices.Index(addrs, addr); i >= 0 {
		r.index = i
	}
}
