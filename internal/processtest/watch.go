package processtest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

const (
	watchPath = "/watch?ms=20"
	// progressEvents exceeds the number of events in delayed datagrams.
	progressEvents = 10
)

// Watch is an open session with a stream of numbered events.
type Watch struct {
	t      testing.TB
	cancel context.CancelFunc
	worker conc.WaitGroup

	mu     sync.Mutex
	events int
	target string
	err    error
}

// Watch opens a session and waits for its first event. It ends with the test.
func (c *Caller) Watch() *Watch {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{t: c.t, cancel: cancel}
	w.worker.Go(func() { w.run(ctx, c) })
	c.t.Cleanup(w.Close)
	w.WaitEvents()
	return w
}

// Close ends the session.
func (w *Watch) Close() {
	w.cancel()
	w.worker.Wait()
}

func (w *Watch) run(ctx context.Context, c *Caller) {
	err := w.read(ctx, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = errors.Wrapf(err, "session with %s ended after %d events", c.service, w.events)
}

func (w *Watch) read(ctx context.Context, c *Caller) error {
	resp, err := c.open(ctx, http.MethodGet, watchPath, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d, %s", resp.StatusCode, resp.Header.Get(HeaderReason))
	}
	w.mu.Lock()
	w.target = resp.Header.Get(HeaderTarget)
	w.mu.Unlock()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if err := w.handleEvent(lines.Text()); err != nil {
			return err
		}
	}
	return errors.Errorf("no more events: %v", lines.Err())
}

// handleEvent checks an event. A missing or duplicate one is an error.
func (w *Watch) handleEvent(line string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var number int
	if _, err := fmt.Sscanf(line, "event %d", &number); err != nil {
		return errors.Wrapf(err, "line %q", line)
	}
	if w.events > 0 && number != w.events+1 {
		return errors.Errorf("event %d after %d", number, w.events)
	}
	w.events = number
	return nil
}

// progress returns the number of the last event and the error that ended the
// session.
func (w *Watch) progress() (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events, w.err
}

// Target returns the target of the session.
func (w *Watch) Target() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target
}

// WaitEvents waits for enough events that some of them were sent after the call.
// It fails the test if the session has ended.
func (w *Watch) WaitEvents() {
	w.t.Helper()
	before, _ := w.progress()
	Eventually(w.t, "more events arrive", func() bool {
		now, err := w.progress()
		if err != nil {
			w.t.Fatal(err)
		}
		return now >= before+progressEvents
	})
}
