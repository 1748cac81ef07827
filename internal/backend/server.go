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
	// DefaultSlots is the default of Options.Slots.
	DefaultSlots = 4
	// DefaultAnnouncePeriod is the time between announcements.
	DefaultAnnouncePeriod = 2 * time.Second
	// DefaultDrainGrace is the time for which a draining server still accepts requests,
	// which may have been sent before its agent received the announcement.
	DefaultDrainGrace = 3 * time.Second

	// drainPollInterval is the interval of checks for running requests.
	drainPollInterval = 10 * time.Millisecond
	headerTimeout     = 10 * time.Second
)

// ErrListen reports that the address of the server cannot be opened.
var ErrListen = errors.New("cannot listen")

// Options configures a server.
type Options struct {
	// Service and Target are the announced names.
	Service, Target string
	// Listen is the address (ip:port) for requests. Port 0 selects a free port.
	Listen string
	// Announce is the address (ip:port) of the agent for announcements. If empty, the
	// server does not announce itself.
	Announce string
	// Slots is the number of requests that run at the same time, 0 means
	// DefaultSlots.
	Slots uint32
	// AnnouncePeriod and DrainGrace override their defaults unless 0.
	AnnouncePeriod, DrainGrace time.Duration
	Faults                     Faults
	// Cold makes work slower at first. The zero value starts warm.
	Cold ColdStart
	// RunLog counts the runs. Several servers may share it. If nil, a new one is
	// used.
	RunLog *RunLog
	Log    *zap.Logger
}

// Server is a running backend server. Its methods are safe for concurrent use.
type Server struct {
	opts     Options
	url      string
	http     *http.Server
	announce *announcer
	stop     context.CancelFunc
	wait     conc.WaitGroup

	startTime    time.Time
	runLog       *RunLog
	requestCount atomic.Uint64
	running      atomic.Int64
	watching     atomic.Int64
	lateRequests atomic.Int64
	drainStart   atomic.Pointer[time.Time]

	mu     sync.Mutex
	faults Faults
	// staleRunning is the value that LoadStale repeats.
	staleRunning *int64
}

// Start opens the address and begins to announce. It returns ErrListen if the address
// cannot be opened and ErrFault for unknown fault modes.
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
		startTime: time.Now(), runLog: o.RunLog,
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

// URL returns the base URL of the server.
func (s *Server) URL() string { return s.url }

// SetFaults replaces the faults. It returns ErrFault for unknown modes and then
// changes nothing.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.staleRunning = nil
	return nil
}

// RunCount returns the number of runs of the idempotency key.
func (s *Server) RunCount(key string) int { return s.runLog.Count(key) }

// Running returns the number of running requests for work.
func (s *Server) Running() int { return int(s.running.Load()) }

// Watching returns the number of open watch streams.
func (s *Server) Watching() int { return int(s.watching.Load()) }

// LateRequests returns the number of requests refused after the drain grace.
func (s *Server) LateRequests() int { return int(s.lateRequests.Load()) }

// Drain shuts the server down gracefully. It announces the draining state, waits until
// the agent has accepted it or the grace has passed, then until every request and watch
// stream has ended, and closes the server. The wait has no time limit except ctx: when
// it ends, Drain closes the server and returns the error of ctx. On a closed server
// Drain does nothing.
func (s *Server) Drain(ctx context.Context) error {
	now := time.Now()
	s.drainStart.CompareAndSwap(nil, &now)
	err := s.awaitIdle(ctx)
	closeErr := s.Close()
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	return closeErr
}

func (s *Server) awaitIdle(ctx context.Context) error {
	if s.announce != nil {
		if err := s.announceDraining(ctx); err != nil {
			return err
		}
	}
	tick := time.NewTicker(drainPollInterval)
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

// announceDraining waits for the agent to accept the draining state. It returns only
// the error of ctx.
func (s *Server) announceDraining(ctx context.Context) error {
	graceCtx, cancel := context.WithTimeout(ctx, s.opts.DrainGrace)
	defer cancel()
	if err := s.announce.announceNow(graceCtx); err != nil && ctx.Err() == nil {
		s.opts.Log.Warn("draining not acknowledged by the agent", zap.Error(err))
	}
	return ctx.Err()
}

// Close closes the server and cancels running requests.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.wait.Wait()
	return err
}

func (s *Server) announcement() Announcement {
	state := StateServing
	if s.drainStart.Load() != nil {
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
		AgeMS:      max(time.Since(s.startTime), s.currentFaults().Age).Milliseconds(),
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
