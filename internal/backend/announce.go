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
	// retryInterval is the delay after an announcement that the agent did not accept,
	// for example because it has not started yet.
	retryInterval = 200 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 2 * time.Second
)

// State is the state that a server announces.
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

// ErrAnnouncement reports an announcement that the agent did not accept.
var ErrAnnouncement = errors.New("announcement not accepted")

// announcer periodically announces the server to its agent.
type announcer struct {
	url    string
	period time.Duration
	log    *zap.Logger
	client http.Client
	// announceRequests requests an immediate announcement. The received channel is
	// closed when it was accepted.
	announceRequests chan chan struct{}
	// done is closed when run returns.
	done chan struct{}
}

func newAnnouncer(address string, period time.Duration, log *zap.Logger) *announcer {
	return &announcer{
		url:              "http://" + address + "/announce",
		period:           period,
		log:              log,
		announceRequests: make(chan chan struct{}),
		done:             make(chan struct{}),
	}
}

// run announces the result of current until ctx ends.
func (a *announcer) run(ctx context.Context, current func() Announcement) {
	defer close(a.done)
	accepted := false
	var waiting []chan struct{}
	for {
		err := a.post(ctx, current())
		if ctx.Err() != nil {
			return
		}
		if ok := err == nil; ok != accepted {
			accepted = ok
			a.log.Info("announcement status changed", zap.Bool("accepted", ok), zap.Error(err))
		}
		if accepted {
			for _, w := range waiting {
				close(w)
			}
			waiting = nil
		}
		delay := a.period
		if !accepted {
			delay = min(retryInterval, a.period)
		}
		select {
		case <-ctx.Done():
			return
		case w := <-a.announceRequests:
			waiting = append(waiting, w)
		case <-time.After(delay):
		}
	}
}

// announceNow waits until the agent has accepted an announcement made after the call,
// or the server was closed.
func (a *announcer) announceNow(ctx context.Context) error {
	accepted := make(chan struct{})
	select {
	case a.announceRequests <- accepted:
	case <-a.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-accepted:
		return nil
	case <-a.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *announcer) post(ctx context.Context, announcement Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
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
