package link

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// dialResult is the outcome of an attempt to connect.
type dialResult struct {
	conn *connection
	err  error
}

// hedge starts another attempt after each HedgeAfter without a reply and returns the first
// connection. The first packet is lost if the server is not up yet, and QUIC retransmits it
// only after 0.2, 0.6 and 1.4 s.
func (c *Client) hedge(ctx context.Context, addr string) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	var attempts conc.WaitGroup
	results := make(chan dialResult)
	running := 0
	start := func() {
		running++
		attempts.Go(func() {
			conn, err := c.attempt(ctx, addr)
			results <- dialResult{conn: conn, err: err}
		})
	}
	defer func() {
		cancel()
		c.closeUnused(results, running)
		attempts.Wait()
	}()
	ticker := time.NewTicker(c.opts.HedgeAfter)
	defer ticker.Stop()
	start()
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil || running == 0 || !isTimeout(r.err) {
				return r.conn, r.err
			}
		case <-ticker.C:
			if running < maxHedgedAttempts {
				start()
			}
		}
	}
}

// closeUnused closes the connections of the remaining attempts.
func (c *Client) closeUnused(results chan dialResult, running int) {
	for range running {
		if r := <-results; r.conn != nil {
			r.conn.close(codeNone)
		}
	}
}

// isTimeout reports whether an attempt failed without any reply. Hedging does not help
// against a refusal.
func isTimeout(err error) bool { return dialReason(err) == reasonTimeout }
