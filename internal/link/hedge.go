package link

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// dialed is the outcome of one attempt to connect.
type dialed struct {
	conn *connection
	err  error
}

// hedge makes another attempt whenever the ones before have had no answer for
// HedgeAfter, and returns the first connection. The first packet of an attempt is lost
// if the server is not up yet, and is sent again after 0.2, 0.6 and 1.4 s only.
func (c *Client) hedge(ctx context.Context, addr string) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	var attempts conc.WaitGroup
	results := make(chan dialed)
	running := 0
	start := func() {
		running++
		attempts.Go(func() {
			conn, err := c.attempt(ctx, addr)
			results <- dialed{conn: conn, err: err}
		})
	}
	defer func() {
		cancel()
		c.discard(results, running)
		attempts.Wait()
	}()
	ticker := time.NewTicker(c.opts.HedgeAfter)
	defer ticker.Stop()
	start()
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil || running == 0 || !unanswered(r.err) {
				return r.conn, r.err
			}
		case <-ticker.C:
			if running < maxHedges {
				start()
			}
		}
	}
}

// discard closes the connections of attempts that are not needed any more.
func (c *Client) discard(results chan dialed, running int) {
	for range running {
		if r := <-results; r.conn != nil {
			r.conn.close(codeNone)
		}
	}
}

// unanswered reports whether an attempt failed for want of any answer: a server that
// has refused one would refuse the next.
func unanswered(err error) bool { return dialReason(err) == reasonTimeout }
