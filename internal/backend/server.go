package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// DefaultSlots is the number of requests run at a time when the options
	// name none.
	DefaultSlots = 4
	// DefaultAnnouncePeriod is the time between two announcements.
	DefaultAnnouncePeriod = 2 * time.Second
	// DefaultDrainGrace is how long a draining server still takes requests
	// that were on their way when it announced its leaving.
	DefaultDrainGrace = 3 * time.Second

	// drainPoll is the pause between two looks for running requests.
	drainPoll     = 10 * time.Millisecond
	headerTimeout = 10 * time.Second
)

// ErrListen reports that the address of the server cannot be opened.
var ErrListen = errors.New("cannot listen")

// Options describe one server.
type Options struct {
	// Service and Target are the names that the server announces.
	Service, Target string
	// Listen is the address (ip:port) for requests; port 0 takes a free one.
	Listen string
	// Announce is the address (ip:port) where the agent takes
	// announcements. Empty announces to nobody.
	Announce string
	// Slots is how many requests run at a time; 0 means DefaultSlots.
	Slots uint32
	// AnnouncePeriod and DrainGrace replace their defaults unless 0.
	AnnouncePeriod, DrainGrace time.Duration
	Faults                     Faults
	// Cold makes work take longer at first. The zero value starts warm.
	Cold ColdStart
	// RunLog counts the runs. Several servers, or the lives of one, may share
	// it. Nil takes a new one.
	RunLog *RunLog
	Log    *zap.Logger
}

// Server is a running backend server. Its methods may be called from any
// goroutine.
type Server struct {
	opts     Options
	url      string
	http     *http.Server
	announce *announcer
	stop     context.CancelFunc
	wait     conc.WaitGroup

	began     time.Time
	runs      *RunLog
	work      atomic.Uint64
	running   atomic.Int64
	watching  atomic.Int64
	lateNew   atomic.Int64
	drainFrom atomic.Pointer[time.Time]

	mu     sync.Mutex
	faults Faults
	// stale is the figure that LoadStale repeats.
	stale *int64
}

// Start opens the address and begins to announce. It returns ErrListen when
// the address cannot be opened and ErrFault for unknown faults.
func Start(o Options) (*Server, error) {
	if err := o.Faults.Validate(); err != nil {
		return nil, err
	}
	o = withDefaults(o)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(ErrListen, "%v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		opts: o, url: "http://" + listener.Addr().String(), stop: stop, faults: o.Faults,
		began: time.Now(), runs: o.RunLog,
	}
	s.http = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.wait.Go(func() { _ = s.http.Serve(listener) })
	if o.Announce != "" {
		s.announce = newAnnouncer(o.Announce, o.AnnouncePeriod, o.Log)
		s.wait.Go(func() { s.announce.run(ctx, s.announcement) })
	}
	return s, nil
}

func withDefaults(o Options) Options {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.AnnouncePeriod == 0 {
		o.AnnouncePeriod = DefaultAnnouncePeriod
	}
	if o.DrainGrace == 0 {
		o.DrainGrace = DefaultDrainGrace
	}
	if o.RunLog == nil {
		o.RunLog = &RunLog{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

// URL is where the server takes requests.
func (s *Server) URL() string { return s.url }

// SetFaults replaces the faults from now on. It returns ErrFault for unknown
// ones and keeps the old ones then.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.stale = nil
	return nil
}

// RunCount tells how often the idempotency key began to run.
func (s *Server) RunCount(key string) int { return s.runs.Count(key) }

// Running is the number of requests for work that run now.
func (s *Server) Running() int { return int(s.running.Load()) }

// Watching is the number of open watch streams.
func (s *Server) Watching() int { return int(s.watching.Load()) }

// LateRequests counts requests for work that arrived after the grace of the
// drain and were refused.
func (s *Server) LateRequests() int { return int(s.lateNew.Load()) }

// Drain announces that the server leaves, waits until its agent has taken
// that (or the grace has passed, when the agent is gone) and every request and
// watch stream has ended, and closes the server. There is no time limit but ctx, at whose end the rest is cut off and its
// error returned. Draining a closed server does nothing.
func (s *Server) Drain(ctx context.Context) error {
	now := time.Now()
	s.drainFrom.CompareAndSwap(nil, &now)
	err := s.awaitQuiet(ctx)
	closeErr := s.Close()
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	return closeErr
}

func (s *Server) awaitQuiet(ctx context.Context) error {
	if s.announce != nil {
		if err := s.sayLeaving(ctx); err != nil {
			return err
		}
	}
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for s.running.Load() > 0 || s.watching.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// sayLeaving returns only the error of ctx.
func (s *Server) sayLeaving(ctx context.Context) error {
	graced, cancel := context.WithTimeout(ctx, s.opts.DrainGrace)
	defer cancel()
	if err := s.announce.announceNow(graced); err != nil && ctx.Err() == nil {
		s.opts.Log.Warn("the agent did not hear of the leaving", zap.Error(err))
	}
	return ctx.Err()
}

// Close ends the server at once, with whatever still runs.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.wait.Wait()
	return err
}

func (s *Server) announcement() Announcement {
	state := StateServing
	if s.drainFrom.Load() != nil {
		state = StateDraining
	}
	return Announcement{
		Service:    s.opts.Service,
		Target:     s.opts.Target,
		URL:        s.url,
		Slots:      s.opts.Slots,
		HealthPath: healthPath,
		LoadPath:   loadPath,
		State:      state,
		AgeMS:      max(time.Since(s.began), s.currentFaults().Age).Milliseconds(),
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
