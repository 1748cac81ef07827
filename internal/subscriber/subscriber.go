package subscriber

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// Defaults of Options.
const (
	DefaultQueryDelay       = 1500 * time.Millisecond
	DefaultQueryTimeout     = 3 * time.Second
	DefaultUnconfirmedDelay = 5 * time.Second
	DefaultReceiveTimeout   = 3 * link.SubscriptionHeartbeat
	DefaultMaxLagTime       = 10 * time.Second
	DefaultReportPeriod     = 5 * time.Second
	DefaultRetryMin         = 100 * time.Millisecond
	DefaultRetryMax         = 5 * time.Second
)

// errBehind ends a subscription to a control host that serves an older version
// than the one acted on.
var errBehind = errors.New("control host is behind")

// errIsolated ends a subscription to a control host that knows no leader.
var errIsolated = errors.New("control host is isolated")

// Bounds of the pause after a control host was left because it is isolated, until
// another one is left for the same reason. Without any quorum all are isolated, and
// subscribers must not go round among them for nothing.
const (
	isolationPauseMin = time.Second
	isolationPauseMax = 30 * time.Second
)

// errAskedToMove ends a subscription because its control host has too many.
var errAskedToMove = errors.New("control host asked to move")

// Options configure a Subscriber. Zero durations mean the defaults.
type Options struct {
	Client *link.Client
	Scope  tally.Scope
	Log    *zap.Logger
	// OnView is called with each new view, one call at a time. It must not
	// block and must not close the subscriber.
	OnView func(*View)
	// Services limits the directory to these service numbers; empty means all.
	Services []uint32
	// ScopedConfig limits the configuration to Services, too. The version
	// number moves with each version all the same.
	ScopedConfig bool
	// FailureDomains limits the directory to these; empty means all.
	FailureDomains []string
	// FailureDomain is told to the control host.
	FailureDomain string
	// QueryDelay is how long after an unconfirmed version a confirmation is
	// waited for before every control host is asked, and the least pause
	// between two rounds of asking. Control hosts try again to confirm a
	// version after a second.
	QueryDelay time.Duration
	// QueryTimeout bounds one round of asking.
	QueryTimeout time.Duration
	// UnconfirmedDelay is how long after its arrival an unconfirmed version may
	// be acted on by a process that has acted on none.
	UnconfirmedDelay time.Duration
	// ReceiveTimeout ends a subscription on which nothing arrives.
	ReceiveTimeout time.Duration
	// MaxLagTime is how long a control host may be behind the version acted
	// on before the subscriber leaves it for another one.
	MaxLagTime time.Duration
	// ReportPeriod is the time between reports of the version acted on; a new
	// version is reported at once.
	ReportPeriod time.Duration
	// RetryMin and RetryMax bound the pause before another subscription.
	RetryMin time.Duration
	RetryMax time.Duration
	// Rand drives jitter; by default it is seeded at random. The subscriber
	// alone may use it.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	if o.OnView == nil {
		o.OnView = func(*View) {}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.QueryDelay = cmp.Or(o.QueryDelay, DefaultQueryDelay)
	o.QueryTimeout = cmp.Or(o.QueryTimeout, DefaultQueryTimeout)
	o.UnconfirmedDelay = cmp.Or(o.UnconfirmedDelay, DefaultUnconfirmedDelay)
	o.ReceiveTimeout = cmp.Or(o.ReceiveTimeout, DefaultReceiveTimeout)
	o.MaxLagTime = cmp.Or(o.MaxLagTime, DefaultMaxLagTime)
	o.ReportPeriod = cmp.Or(o.ReportPeriod, DefaultReportPeriod)
	o.RetryMin = cmp.Or(o.RetryMin, DefaultRetryMin)
	o.RetryMax = cmp.Or(o.RetryMax, DefaultRetryMax)
	return o
}

// Subscriber keeps a view of configuration and directory up to date.
type Subscriber struct {
	opts     Options
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	ready    chan struct{}
	// candidate is closed once a configuration has been received.
	candidate chan struct{}
	view      atomic.Pointer[View]
	// report is signalled when another version is acted on.
	report chan struct{}

	// mu guards the fields below and orders calls of OnView. It is taken before
	// the lock of link.Client, never after.
	mu          sync.Mutex
	versions    versions
	targets     membership.List
	connected   bool
	behindSince time.Time
	// directoryWhole is what the control host said last about its list.
	directoryWhole bool
	// stayUntil is when a control host may be left again because it is isolated,
	// isolationPause the pause after that.
	stayUntil      time.Time
	isolationPause time.Duration
	// wantSnapshot asks for a whole configuration after a delta did not fit.
	wantSnapshot bool
}

// Start subscribes and keeps subscribed until Close.
func Start(opts Options) *Subscriber {
	opts = opts.withDefaults()
	s := &Subscriber{
		opts:      opts,
		counters:  newCounters(opts.Scope),
		ready:     make(chan struct{}),
		candidate: make(chan struct{}),
		report:    make(chan struct{}, 1),
	}
	s.view.Store(&View{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	settleRand := rand.New(rand.NewPCG(opts.Rand.Uint64(), opts.Rand.Uint64()))
	s.wg.Go(s.run)
	s.wg.Go(func() { s.settle(settleRand) })
	return s
}

// View returns the current view. It never returns nil.
func (s *Subscriber) View() *View { return s.view.Load() }

// Ready is closed once there is a version to act on.
func (s *Subscriber) Ready() <-chan struct{} { return s.ready }

// Close ends the subscription. The last view stays readable.
func (s *Subscriber) Close() {
	s.cancel()
	s.wg.Wait()
}

// run opens one subscription after another.
func (s *Subscriber) run() {
	pause := s.opts.RetryMin
	for s.ctx.Err() == nil {
		received, err := s.follow()
		s.setConnected(false)
		if s.ctx.Err() != nil {
			return
		}
		s.counters.ended(err)
		if received {
			pause = s.opts.RetryMin
		}
		_ = sleep.For(s.ctx, max(jitter(s.opts.Rand, pause), requestedPause(err)))
		pause = min(2*pause, s.opts.RetryMax)
	}
}

func requestedPause(err error) time.Duration {
	var fault *link.FaultError
	if errors.As(err, &fault) {
		return fault.RetryAfter
	}
	return 0
}

// follow serves one subscription. It reports whether any update arrived.
func (s *Subscriber) follow() (received bool, err error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stream, err := s.opts.Client.Subscribe(ctx, s.request())
	if err != nil {
		return false, err
	}
	var reporter conc.WaitGroup
	reporter.Go(func() { s.reportVersions(ctx, stream) })
	defer reporter.Wait()
	defer cancel()
	defer stream.Close()
	for {
		if err := stream.SetReceiveDeadline(time.Now().Add(s.opts.ReceiveTimeout)); err != nil {
			return received, err
		}
		u, err := stream.Receive()
		if err != nil {
			return received, err
		}
		received = true
		if err := s.take(u, time.Now()); err != nil {
			return received, err
		}
	}
}

func (s *Subscriber) request() *controlpb.Subscribe {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &controlpb.Subscribe{
		Services:       s.opts.Services,
		FailureDomains: s.opts.FailureDomains,
		FailureDomain:  s.opts.FailureDomain,
		ScopedConfig:   s.opts.ScopedConfig,
	}
	if !s.wantSnapshot {
		req.Version = s.versions.held().GetVersion()
	}
	position := s.targets.Position()
	req.DirectoryEpoch, req.DirectorySequence = position.Epoch, position.Sequence
	req.DirectoryDigests = position.Digests
	return req
}

// reportVersions tells the control host which version is acted on.
func (s *Subscriber) reportVersions(ctx context.Context, stream *link.ClientStream) {
	ticker := time.NewTicker(s.opts.ReportPeriod)
	defer ticker.Stop()
	for {
		version := s.View().Config.GetVersion()
		if err := stream.Send(&controlpb.Heartbeat{Version: version}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.report:
		case <-ticker.C:
		}
	}
}

// take applies one message of the subscription.
func (s *Subscriber) take(u *controlpb.SubscribeUpdate, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.connected
	s.connected = true
	if c := u.GetConfig(); c != nil {
		acted, err := s.takeConfig(c, now)
		if err != nil {
			return err
		}
		changed = changed || acted
	}
	s.opts.Client.Learn(u.GetHosts().GetAddresses())
	if d := u.GetDirectory(); d != nil {
		changed = s.takeDirectory(d, now) || changed
	}
	changed = changed || s.directoryWhole != u.GetDirectoryWhole()
	s.directoryWhole = u.GetDirectoryWhole()
	if h := u.GetHeartbeat(); h != nil {
		s.noteVersion(h.GetVersion(), now)
	}
	if changed {
		s.publish()
	}
	if s.leavesIsolated(u, now) {
		s.opts.Client.Move("")
		return errIsolated
	}
	if u.GetMove() != nil {
		s.opts.Client.Move(u.GetMove().GetAddress())
		return errAskedToMove
	}
	if !s.behindSince.IsZero() && now.Sub(s.behindSince) >= s.opts.MaxLagTime {
		s.behindSince = time.Time{}
		s.opts.Client.Move("")
		return errBehind
	}
	return nil
}

// leavesIsolated reports whether the control host is to be left because it knows no
// leader.
func (s *Subscriber) leavesIsolated(u *controlpb.SubscribeUpdate, now time.Time) bool {
	if u.GetConfig().GetConfirmed() {
		s.isolationPause = 0
	}
	if !u.GetHeartbeat().GetIsolated() || now.Before(s.stayUntil) {
		return false
	}
	s.isolationPause = min(max(2*s.isolationPause, isolationPauseMin), isolationPauseMax)
	s.stayUntil = now.Add(s.isolationPause)
	s.opts.Log.Info("leaving an isolated control host", zap.String("address", s.opts.Client.Address()),
		zap.Duration("none_again_for", s.isolationPause))
	return true
}

func (s *Subscriber) takeConfig(u *controlpb.ConfigUpdate, now time.Time) (bool, error) {
	first := s.versions.held() == nil
	acted, err := s.versions.receive(u, now)
	if first && s.versions.held() != nil {
		close(s.candidate)
	}
	if errors.Is(err, config.ErrOlderVersion) {
		// The control host is behind; it may catch up.
		s.counters.refused(err)
		s.noteVersion(u.GetVersion(), now)
		return false, nil
	}
	if err != nil {
		s.counters.refused(err)
		s.wantSnapshot = true
		return false, err
	}
	s.wantSnapshot = false
	s.noteVersion(u.GetVersion(), now)
	return acted, nil
}

func (s *Subscriber) takeDirectory(u *controlpb.DirectoryUpdate, now time.Time) bool {
	change := s.targets.Apply(u, now)
	s.counters.directory(u, change)
	return change.Changed
}

// noteVersion remembers since when the control host is behind.
func (s *Subscriber) noteVersion(version uint64, now time.Time) {
	switch {
	case version >= s.versions.held().GetVersion():
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = now
	}
}

func (s *Subscriber) setConnected(connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connected == connected {
		return
	}
	s.connected = connected
	s.behindSince = time.Time{}
	s.publish()
}

// publish makes a new view. The caller holds mu.
func (s *Subscriber) publish() {
	old := s.view.Load()
	targets, heardAt := s.targets.Records()
	v := &View{
		Config:            s.versions.acted,
		Targets:           targets,
		Connected:         s.connected,
		DirectoryComplete: s.connected && s.directoryWhole,
		heardAt:           heardAt,
	}
	s.view.Store(v)
	s.counters.observe(v)
	if old.Config != v.Config {
		s.announceVersion(old, v)
	}
	if old.Connected != v.Connected {
		s.opts.Log.Info("subscription", zap.Bool("connected", v.Connected))
	}
	s.opts.OnView(v)
}

func (s *Subscriber) announceVersion(old, v *View) {
	s.opts.Log.Info("acting on version", zap.Uint64("version", v.Config.GetVersion()))
	if old.Config == nil {
		close(s.ready)
	}
	select {
	case s.report <- struct{}{}:
	default:
	}
}
