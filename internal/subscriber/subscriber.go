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
	"eelgrasswharf.example/eelgrasswharf/freshness"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// Defaults of Options.
const (
	DefaultQueryDelay       = 1500 * time.Millisecond
	DefaultQueryTimeout     = 3 * time.Second
	DefaultUnconfirmedDelay = 5 * time.Second
	DefaultReceiveTimeout   = 3 * link.SubscriptionHeartbeatInterval
	DefaultReportPeriod     = 5 * time.Second
	DefaultRetryMin         = 100 * time.Millisecond
	DefaultRetryMax         = 5 * time.Second
)

// errMoveRequested ends a subscription because its control host has too many of them.
var errMoveRequested = errors.New("control host requested a move")

// errNewerElsewhere ends a subscription because another control host has a newer version.
var errNewerElsewhere = errors.New("another control host has a newer version")

// Options configure a Subscriber. Zero durations mean the defaults.
type Options struct {
	Client *link.Client
	Scope  tally.Scope
	Log    *zap.Logger
	// OnView is called with each new view, one call at a time. It must not block or
	// close the subscriber.
	OnView func(*View)
	// OnConfirmed is called, in the order of OnView and under the same conditions, when the
	// active version, and the targets in the view, are known to have been the newest at a later
	// time than before. It does not rest on how long messages take.
	OnConfirmed func(at time.Time)
	// Services limits the directory to these service numbers; empty means all.
	Services []uint32
	// ScopedConfig limits the configuration to Services, too. The version number still
	// counts all versions.
	ScopedConfig bool
	// FailureDomains limits the directory to these; empty means all.
	FailureDomains []string
	// FailureDomain is sent to the control host.
	FailureDomain string
	// QueryDelay is the time to wait for a confirmation before the control hosts are
	// queried, and the least interval of queries. Control hosts retry a confirmation
	// after a second.
	QueryDelay time.Duration
	// QueryTimeout bounds one query of all control hosts.
	QueryTimeout time.Duration
	// UnconfirmedDelay is the time from receipt after which an unconfirmed version may
	// be activated if no version is active.
	UnconfirmedDelay time.Duration
	// ReceiveTimeout ends a subscription on which nothing is received.
	ReceiveTimeout time.Duration
	// Freshness bounds the age of the proof that the active version is the newest.
	Freshness freshness.Options
	// ReportPeriod is the interval of reports of the active version; a new version is
	// reported at once.
	ReportPeriod time.Duration
	// RetryMin and RetryMax bound the backoff between subscriptions.
	RetryMin time.Duration
	RetryMax time.Duration
	// Rand is used for jitter, by the subscriber alone. The default has a random seed.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	if o.OnView == nil {
		o.OnView = func(*View) {}
	}
	if o.OnConfirmed == nil {
		o.OnConfirmed = func(time.Time) {}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.QueryDelay = cmp.Or(o.QueryDelay, DefaultQueryDelay)
	o.QueryTimeout = cmp.Or(o.QueryTimeout, DefaultQueryTimeout)
	o.UnconfirmedDelay = cmp.Or(o.UnconfirmedDelay, DefaultUnconfirmedDelay)
	o.ReceiveTimeout = cmp.Or(o.ReceiveTimeout, DefaultReceiveTimeout)
	o.ReportPeriod = cmp.Or(o.ReportPeriod, DefaultReportPeriod)
	o.RetryMin = cmp.Or(o.RetryMin, DefaultRetryMin)
	o.RetryMax = cmp.Or(o.RetryMax, DefaultRetryMax)
	return o
}

// Subscriber maintains a view of the configuration and the directory.
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
	// confirmedAt is the latest time at which the active version is known to have been the
	// newest, nil if there is none.
	confirmedAt atomic.Pointer[time.Time]
	// report is signalled when another version is activated, confirm when a confirmation is
	// needed.
	report, confirm chan struct{}

	// mu guards the fields below and orders calls of OnView. It is acquired before the
	// lock of link.Client, never after.
	mu        sync.Mutex
	versions  versions
	targets   membership.List
	connected bool
	// freshness decides when to leave the control host.
	freshness *freshness.Tracker
	// pending is the last request for a confirmation.
	pending confirmRequest
	// directoryComplete is the last value sent by the control host.
	directoryComplete bool
	// targetsRestarted and awaitedTargets are the last values sent by the control host.
	targetsRestarted bool
	awaitedTargets   *uint32
	// move is the requested move to another control host, nil if there is none. moveRequested
	// signals a new one.
	move          *requestedMove
	moveRequested chan struct{}
	// wantSnapshot requests a full configuration after a delta that did not match.
	wantSnapshot bool
}

// Start subscribes and resubscribes until Close.
func Start(opts Options) *Subscriber {
	opts = opts.withDefaults()
	s := &Subscriber{
		opts:      opts,
		counters:  newCounters(opts.Scope),
		ready:     make(chan struct{}),
		candidate: make(chan struct{}),
		report:    make(chan struct{}, 1),
		confirm:   make(chan struct{}, 1),
		freshness: freshness.NewTracker(opts.Freshness),

		moveRequested: make(chan struct{}, 1),
	}
	s.view.Store(&View{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	queryRand := rand.New(rand.NewPCG(opts.Rand.Uint64(), opts.Rand.Uint64()))
	s.wg.Go(s.run)
	s.wg.Go(func() { s.chooseInitialVersion(queryRand) })
	return s
}

// View returns the current view. It never returns nil.
func (s *Subscriber) View() *View { return s.view.Load() }

// Ready is closed once a version is active.
func (s *Subscriber) Ready() <-chan struct{} { return s.ready }

// Close ends the subscription. The last view can still be read.
func (s *Subscriber) Close() {
	s.cancel()
	s.wg.Wait()
}

// run opens one subscription after another.
func (s *Subscriber) run() {
	backoff := s.opts.RetryMin
	for s.ctx.Err() == nil {
		received, err := s.subscribeOnce()
		s.setConnected(false)
		if s.ctx.Err() != nil {
			return
		}
		s.counters.ended(err)
		if received {
			backoff = s.opts.RetryMin
		}
		_ = sleep.For(s.ctx, max(jitter(s.opts.Rand, backoff), requestedDelay(err)))
		backoff = min(2*backoff, s.opts.RetryMax)
	}
}

func requestedDelay(err error) time.Duration {
	var fault *link.FaultError
	if errors.As(err, &fault) {
		return fault.RetryAfter
	}
	return 0
}

// subscribeOnce handles one subscription. It reports whether an update was received.
func (s *Subscriber) subscribeOnce() (received bool, err error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stream, err := s.opts.Client.Subscribe(ctx, s.request())
	if err != nil {
		return false, err
	}
	s.recordOpened(time.Now())
	var workers conc.WaitGroup
	workers.Go(func() { s.reportVersions(ctx, stream) })
	workers.Go(func() { s.watchControlHost(ctx, cancel) })
	defer workers.Wait()
	defer cancel()
	defer stream.Close()
	for {
		if err := stream.SetReceiveDeadline(time.Now().Add(s.opts.ReceiveTimeout)); err != nil {
			return received, err
		}
		u, err := stream.Receive()
		if err != nil {
			return received, cmp.Or(s.moveCause(), err)
		}
		received = true
		if err := s.applyUpdate(u, time.Now()); err != nil {
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
		req.Version = s.versions.latest().GetVersion()
		table := s.versions.latest().GetTable()
		req.TableRevision, req.TableHistory = table.GetRevision(), table.GetHistory().Enum()
	}
	position := s.targets.Position()
	req.DirectoryEpoch, req.DirectorySequence = position.Epoch, position.Sequence
	req.DirectoryDigests = position.Digests
	return req
}

// reportVersions reports the active version to the control host.
func (s *Subscriber) reportVersions(ctx context.Context, stream *link.ClientStream) {
	ticker := time.NewTicker(s.opts.ReportPeriod)
	defer ticker.Stop()
	var request uint64
	for {
		version := s.View().Config.GetVersion()
		if err := stream.Send(&controlpb.Heartbeat{Version: version, Confirm: request}); err != nil {
			return
		}
		request = 0
		select {
		case <-ctx.Done():
			return
		case <-s.confirm:
			request = s.newConfirmRequest(time.Now())
		case <-s.report:
		case <-ticker.C:
		}
	}
}

// applyUpdate applies one message of the subscription.
func (s *Subscriber) applyUpdate(u *controlpb.SubscribeUpdate, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.connected
	s.connected = true
	if c := u.GetConfig(); c != nil {
		activated, err := s.applyConfig(c, now)
		if err != nil {
			return err
		}
		changed = changed || activated
	}
	s.opts.Client.SetLearnedAddresses(u.GetHosts().GetAddresses())
	if d := u.GetDirectory(); d != nil {
		changed = s.applyDirectory(d, now) || changed
	}
	changed = changed || s.directoryComplete != u.GetDirectoryWhole()
	s.directoryComplete = u.GetDirectoryWhole()
	changed = s.applyRestart(u) || changed
	if h := u.GetHeartbeat(); h != nil {
		s.recordState(h, now)
		if h.GetIsolated() {
			s.moveIfStale(now)
		}
	}
	if changed {
		s.publish()
	}
	if at, confirmed := s.confirmedBy(u.GetHeartbeat(), now); confirmed {
		s.opts.OnConfirmed(at)
	}
	if u.GetMove() != nil {
		s.requestMove(u.GetMove().GetAddress(), errMoveRequested)
	}
	return nil
}

// applyRestart records how far the targets have come back, and reports whether that changed.
// The caller holds mu.
func (s *Subscriber) applyRestart(u *controlpb.SubscribeUpdate) bool {
	same := s.targetsRestarted == u.GetTargetsRestarted() &&
		(s.awaitedTargets == nil) == (u.AwaitedTargets == nil) &&
		(u.AwaitedTargets == nil || *s.awaitedTargets == *u.AwaitedTargets)
	s.targetsRestarted, s.awaitedTargets = u.GetTargetsRestarted(), u.AwaitedTargets
	return !same
}

func (s *Subscriber) applyConfig(u *controlpb.ConfigUpdate, now time.Time) (bool, error) {
	first := s.versions.latest() == nil
	activated, err := s.versions.receive(u, now)
	if first && s.versions.latest() != nil {
		close(s.candidate)
	}
	if errors.Is(err, config.ErrOlderVersion) {
		// The control host has an older version and may catch up.
		s.counters.refused(err)
		return false, nil
	}
	if err != nil {
		s.counters.refused(err)
		s.wantSnapshot = true
		return false, err
	}
	s.wantSnapshot = false
	return activated, nil
}

func (s *Subscriber) applyDirectory(u *controlpb.DirectoryUpdate, now time.Time) bool {
	change := s.targets.Apply(u, now)
	s.counters.directory(u, change)
	return change.Changed
}

func (s *Subscriber) setConnected(connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !connected {
		s.freshness.Closed()
	}
	if s.connected == connected {
		return
	}
	s.connected = connected
	s.publish()
}

// publish creates a new view. The caller holds mu.
func (s *Subscriber) publish() {
	old := s.view.Load()
	targets, receivedAt := s.targets.Records()
	v := &View{
		Config:            s.versions.active,
		Targets:           targets,
		Connected:         s.connected,
		DirectoryComplete: s.connected && s.directoryComplete,
		receivedAt:        receivedAt,
	}
	if s.connected {
		v.TargetsRestarted, v.AwaitedTargets = s.targetsRestarted, s.awaitedTargets
	}
	s.view.Store(v)
	s.counters.observe(v)
	if old.Config != v.Config {
		s.notifyVersion(old, v)
	}
	if old.Connected != v.Connected {
		s.opts.Log.Info("subscription state changed", zap.Bool("connected", v.Connected),
			zap.String("address", s.opts.Client.Address()), zap.Uint64("version", v.Config.GetVersion()))
	}
	s.opts.OnView(v)
}

func (s *Subscriber) notifyVersion(old, v *View) {
	s.opts.Log.Info("configuration version in use", zap.Uint64("version", v.Config.GetVersion()))
	if old.Config == nil {
		close(s.ready)
	}
	select {
	case s.report <- struct{}{}:
	default:
	}
}
