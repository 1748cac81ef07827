package link

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// maxAttempts bounds the concurrent attempts to several servers.
const maxAttempts = 4

// search looks for a server that replies. It tries the addresses in turn. An attempt without
// a reply within DialTimeout continues until AttemptTimeout while the next ones run, so an
// unreachable server costs DialTimeout and a slow path is still found.
type search struct {
	client    *Client
	dialState *dialState
	ctx       context.Context
	cancel    context.CancelFunc
	// results receives one value from each attempt.
	results chan attemptResult
	running int
	// latest is the number of the most recent attempt.
	latest int
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	dialResult
	number int
	addr   string
}

func (c *Client) newSearch(state *dialState) *search {
	s := &search{client: c, dialState: state, results: make(chan attemptResult, maxAttempts)}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	return s
}

// connect returns a connection to the first server that replies, or nil once the client is
// closed.
func (c *Client) connect(state *dialState) *connection {
	s := c.newSearch(state)
	defer s.end()
	for {
		c.applyAddresses(state)
		state.skipLeft(c.addrs)
		s.start(c.addrs[state.index])
		if conn := s.await(c.dialTimeout(state), true); conn != nil || c.ctx.Err() != nil {
			return conn
		}
		state.failures++
		state.index = (state.index + 1) % len(c.addrs)
		if conn := s.await(c.retryDelay(state, time.Now()), false); conn != nil || c.ctx.Err() != nil {
			return conn
		}
	}
}

// dialTimeout returns when the next server is tried.
func (c *Client) dialTimeout(state *dialState) time.Duration {
	if state.connected {
		return c.opts.DialTimeout
	}
	return c.opts.FirstDialTimeout
}

// connectElsewhere returns a connection to the server that the client was asked to move to,
// or else to the first other one that replies. Each is tried once. It returns nil if none
// replies or the present connection is lost first.
func (c *Client) connectElsewhere(state *dialState, present *connection) *connection {
	s := c.newSearch(state)
	defer s.end()
	defer context.AfterFunc(present.quic.Context(), s.cancel)()
	// The address to move to may have been learned just before the move.
	c.applyAddresses(state)
	state.left = present.addr
	state.resumeAt(c.addrs, present.addr)
	state.resumeAt(c.addrs, c.takeMoveTarget(present.addr))
	for ; state.failures < len(c.addrs)-1 && s.ctx.Err() == nil; state.failures++ {
		state.skipLeft(c.addrs)
		addr := c.addrs[state.index]
		state.index = (state.index + 1) % len(c.addrs)
		if state.notBefore[addr].After(time.Now()) {
			continue
		}
		s.start(addr)
		if conn := s.await(c.opts.DialTimeout, true); conn != nil {
			return conn
		}
	}
	// Attempts over a slow path may still succeed.
	for s.running > 0 && s.ctx.Err() == nil {
		if conn := s.await(c.opts.AttemptTimeout, true); conn != nil {
			return conn
		}
	}
	state.failures, state.place = 0, ""
	c.opts.Log.Info("control link kept, no other control host replied", zap.String("address", present.addr))
	return nil
}

func (s *search) start(addr string) {
	s.latest++
	s.running++
	number := s.latest
	s.client.wg.Go(func() {
		conn, err := s.client.dial(s.ctx, addr, s.client.opts.AttemptTimeout)
		s.results <- attemptResult{dialResult: dialResult{conn: conn, err: err}, number: number, addr: addr}
	})
}

// await processes results for d and returns the first connection. With untilFailed it
// returns as soon as the latest attempt has failed. It waits longer than d while maxAttempts
// are running.
func (s *search) await(d time.Duration, untilFailed bool) *connection {
	timer := time.NewTimer(d)
	defer timer.Stop()
	done := false
	for !done || s.running >= maxAttempts {
		select {
		case <-s.ctx.Done():
			return nil
		case <-timer.C:
			done = true
		case r := <-s.results:
			s.running--
			if r.err == nil {
				return r.conn
			}
			s.client.recordDialFailure(s.dialState, r.addr, r.err)
			done = done || untilFailed && r.number == s.latest
		}
	}
	return nil
}

// end cancels the running attempts and closes any connection they still return.
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

// recordDialFailure counts and logs a failed attempt.
func (c *Client) recordDialFailure(state *dialState, addr string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	reason := dialReason(err)
	reasonCounter(c.opts.Scope, metricDialFailures, reason).Inc(1)
	c.opts.Log.Info("connection to control host failed", zap.String("address", addr), zap.String("reason", reason),
		zap.Int("failures", state.failures+1), zap.Error(err))
	if refused, ok := refusalOf(err); ok {
		state.recordRefusal(addr, refused, time.Now())
		c.SetLearnedAddresses(refused.servers)
	}
}

// awaitAddresses waits until there is at least one address. It returns false once the client
// is closed.
func (c *Client) awaitAddresses(state *dialState) bool {
	for {
		c.mu.Lock()
		addressesChanged := c.addressesChanged
		c.mu.Unlock()
		c.applyAddresses(state)
		if len(c.addrs) > 0 {
			return true
		}
		select {
		case <-addressesChanged:
		case <-c.ctx.Done():
			return false
		}
	}
}

// notifyAddresses signals run that the addresses have changed. The caller holds mu.
func (c *Client) notifyAddresses() {
	c.addressesStale = true
	close(c.addressesChanged)
	c.addressesChanged = make(chan struct{})
}

// resumeAt sets the address at which the search continues.
func (state *dialState) resumeAt(addrs []string, addr string) {
	if i := slices.Index(addrs, addr); i >= 0 {
		state.index = i
	}
}
