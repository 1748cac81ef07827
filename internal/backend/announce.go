package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// firstRetry is the pause before another attempt while the agent has
	// not yet taken an announcement, for instance because it starts later.
	firstRetry = 200 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 2 * time.Second
)

// State is what a server says of itself to its agent.
type State string

// States of a server.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Announcement is the JSON body that a backend server posts to its agent.
type Announcement struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	URL        string `json:"url"`
	Slots      uint32 `json:"slots"`
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
	State      State  `json:"state"`
	// AgeMS is the time since the server started.
	AgeMS int64 `json:"age_ms"`
}

// ErrAnnouncement reports an announcement that the agent did not take.
var ErrAnnouncement = errors.New("the agent did not take the announcement")

// announcer tells the agent about the server, again and again.
type announcer struct {
	url    string
	period time.Duration
	log    *zap.Logger
	client http.Client
	// changed asks for an announcement at once; the channel is closed when
	// that one was taken.
	changed chan chan struct{}
	// done is closed when run returns.
	done chan struct{}
}

func newAnnouncer(address string, period time.Duration, log *zap.Logger) *announcer {
	return &announcer{
		url:     "http://" + address + "/announce",
		period:  period,
		log:     log,
		changed: make(chan chan struct{}),
		done:    make(chan struct{}),
	}
}

// run announces what current returns until ctx ends.
func (a *announcer) run(ctx context.Context, current func() Announcement) {
	defer close(a.done)
	taken := false
	var waiting []chan struct{}
	for {
		err := a.post(ctx, current())
		if ctx.Err() != nil {
			return
		}
		if ok := err == nil; ok != taken {
			taken = ok
			a.log.Info("announcement", zap.Bool("taken", ok), zap.Error(err))
		}
		if taken {
			for _, w := range waiting {
				close(w)
			}
			waiting = nil
		}
		pause := a.period
		if !taken {
			pause = min(firstRetry, a.period)
		}
		select {
		case <-ctx.Done():
			return
		case w := <-a.changed:
			waiting = append(waiting, w)
		case <-time.After(pause):
		}
	}
}

// announceNow waits until the agent took an announcement made after the call,
// or the server was closed.
func (a *announcer) announceNow(ctx context.Context) error {
	taken := make(chan struct{})
	select {
	case a.changed <- taken:
	case <-a.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-taken:
		return nil
	case <-a.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *announcer) post(ctx context.Context, what Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(what)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	if res.StatusCode/100 != 2 {
		return errors.Wrapf(ErrAnnouncement, "%s: %s", res.Status, bytes.TrimSpace(text))
	}
	return nil
}
