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

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// DefaultLease is used until a control host has sent the duration of the lease.
	DefaultLease = 9 * time.Second
	// DefaultCallTimeout bounds one registration or announcement.
	DefaultCallTimeout = 3 * time.Second
	// renewalsPerLease is the number of renewals in one lease. Two in a row may be lost.
	renewalsPerLease = 3
	// failuresPerMove is the number of failed registrations at one control host after which
	// another one is tried.
	failuresPerMove = 2
)

var (
	// errRefused is returned if a control host refuses a registration or announcement.
	errRefused = errors.New("refused by the control host")
	// errOutdated is returned if a control host knows a newer record of this incarnation.
	errOutdated = errors.New("the control host knows a newer record")
)

// Status is the variable part of an announced target.
type Status struct {
	State controlpb.TargetState
	// Ill is set if the agent judges the backend server unhealthy.
	Ill bool
	// Slots is the number of requests that the target runs concurrently.
	Slots uint32
}

// AnnouncerOptions configure an Announcer.
type AnnouncerOptions struct {
	Client *link.Client
	Scope  tally.Scope
	Log    *zap.Logger
	// Service and Target are the names; Process is a random identity of this agent
	// process, for example 16 bytes.
	Service string
	Target  string
	Process []byte
	// CreateService creates the service if the configuration does not have it.
	CreateService bool
	// FailureDomain and Address (ip:port of the frame socket) are part of the record.
	FailureDomain string
	Address       string
	// Started is the time of the backend server's cold start.
	Started time.Time
	// Status is the initial status.
	Status Status
	// FirstSequence is the sequence of the first record, 1 if zero. If the target may have been
	// announced before by an earlier process with the same Process, it should exceed the
	// sequences of that one, see SequenceAt.
	FirstSequence uint64
	// Capacity returns the state of the target's capacity for each announcement. Nil reports
	// none. It is not called with a lock held.
	Capacity func() *controlpb.CapacityState
	// CallTimeout, RetryMin and RetryMax are as in Options.
	CallTimeout time.Duration
	RetryMin    time.Duration
	RetryMax    time.Duration
	// Rand is used for jitter, by the announcer alone. The default has a random seed.
	Rand *rand.Rand
}

func (o AnnouncerOptions) withDefaults() AnnouncerOptions {
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.FirstSequence = max(o.FirstSequence, 1)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.RetryMin = cmp.Or(o.RetryMin, DefaultRetryMin)
	o.RetryMax = cmp.Or(o.RetryMax, DefaultRetryMax)
	return o
}

// Announcer registers a target and renews its lease.
type Announcer struct {
	opts         AnnouncerOptions
	ctx          context.Context
	cancel       context.CancelFunc
	wg           conc.WaitGroup
	registered   chan struct{}
	registration atomic.Pointer[configpb.Registration]
	// created is set before registered is closed.
	created atomic.Bool
	// changed is signalled when the record has changed.
	changed chan struct{}
	// lastLoggedError is used by the goroutine of run only.
	lastLoggedError string

	// mu guards the fields below.
	mu       sync.Mutex
	status   Status
	started  time.Time
	sequence uint64
	// announced is the newest sequence accepted by a control host.
	announced uint64
}

// StartAnnouncer registers the target, retrying without limit, and announces it until
// Close.
func StartAnnouncer(opts AnnouncerOptions) *Announcer {
	opts = opts.withDefaults()
	a := &Announcer{
		opts:       opts,
		registered: make(chan struct{}),
		changed:    make(chan struct{}, 1),
		status:     opts.Status,
		started:    opts.Started,
		sequence:   opts.FirstSequence,
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.wg.Go(a.run)
	return a
}

// SequenceAt returns the first sequence for an announcer that starts at a time of the wall
// clock: its milliseconds. An earlier process of the agent has started before and has announced
// fewer changes than milliseconds have passed since. So its records are older also for hosts
// that remember them when the control host of the agent does not. If the clock was set back,
// that control host names a newer sequence to continue after.
func SequenceAt(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 1)) }

// Registered is closed once the target has a number and an incarnation.
func (a *Announcer) Registered() <-chan struct{} { return a.registered }

// Registration returns the number and incarnation, nil before Registered.
func (a *Announcer) Registration() *configpb.Registration { return a.registration.Load() }

// CreatedRegistration reports whether the registration is known to be a new one, created by this
// announcer. It is false before Registered.
func (a *Announcer) CreatedRegistration() bool { return a.created.Load() }

// Update announces a changed status immediately.
func (a *Announcer) Update(s Status) {
	a.mu.Lock()
	same := a.status == s
	if !same {
		a.status = s
		a.sequence++
	}
	a.mu.Unlock()
	if !same {
		a.notifyChanged()
	}
}

// Restarted announces another cold start of the backend server immediately.
func (a *Announcer) Restarted(at time.Time) {
	a.mu.Lock()
	a.started = at
	a.sequence++
	a.mu.Unlock()
	a.notifyChanged()
}

// WaitAnnounced waits until a control host has accepted the current status. An agent
// that shuts down calls it after the update to draining.
func (a *Announcer) WaitAnnounced(ctx context.Context) error {
	a.mu.Lock()
	want := a.sequence
	a.mu.Unlock()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		done := a.announced >= want
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for announcement")
		case <-a.ctx.Done():
			return errors.Wrap(a.ctx.Err(), "announcer closed")
		case <-ticker.C:
		}
	}
}

// Unregister stops announcing and removes the registration. It retries until a control
// host accepts the call or ctx ends. After a restart of all control hosts the directory
// is complete only when each registered target has announced itself or a lease has
// passed, and callers of lost flows wait until then: 2 s after a loss of all power when
// the call was not repeated.
func (a *Announcer) Unregister(ctx context.Context) error {
	a.Close()
	reg := a.Registration()
	if reg == nil {
		return nil
	}
	req := &controlpb.Request{Body: &controlpb.Request_Unregister{
		Unregister: &configpb.UnregisterTarget{Number: reg.GetTargetNumber(), Incarnation: reg.GetIncarnation()},
	}}
	backoff := a.opts.RetryMin
	for {
		err := a.callOnce(ctx, req)
		if err == nil {
			return nil
		}
		a.opts.Log.Info("failed to unregister target, retrying", zap.Error(err))
		if sleep.For(ctx, max(jitter(a.opts.Rand, backoff), requestedDelay(err))) != nil {
			return errors.Wrap(err, "unregister")
		}
		backoff = min(2*backoff, a.opts.RetryMax)
	}
}

// callOnce makes a call whose reply has no content except a fault.
func (a *Announcer) callOnce(ctx context.Context, req *controlpb.Request) error {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	res, err := a.opts.Client.Call(ctx, req)
	if err != nil {
		return err
	}
	return link.ResponseError(res)
}

const pollInterval = 20 * time.Millisecond

// Close stops announcing. The lease expires.
func (a *Announcer) Close() {
	a.cancel()
	a.wg.Wait()
}

func (a *Announcer) notifyChanged() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *Announcer) run() {
	if !a.register() {
		return
	}
	backoff := a.opts.RetryMin
	for {
		reconnected := a.opts.Client.Reconnected()
		lease, err := a.announce()
		wait := jitter(a.opts.Rand, lease/renewalsPerLease)
		if err != nil {
			a.recordFailure("announce", err)
			wait = max(jitter(a.opts.Rand, backoff), requestedDelay(err))
			backoff = min(2*backoff, a.opts.RetryMax)
		} else {
			backoff = a.opts.RetryMin
			a.lastLoggedError = ""
		}
		if err != nil {
			reconnected = nil // it changes with every redial
		}
		if !a.waitForChange(wait, reconnected) {
			return
		}
	}
}

// waitForChange waits for d, a changed record or another connection, as a new control
// host may not know the target. It returns false once the announcer is closed.
func (a *Announcer) waitForChange(d time.Duration, reconnected <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-a.changed:
	case <-reconnected:
	case <-timer.C:
	}
	return true
}

// register retries until the target is registered. Repeating a call whose reply was
// lost is safe: the same process gets the same registration. Before the registration there
// need not be a subscription, which would leave a control host that is cut off.
func (a *Announcer) register() bool {
	backoff := a.opts.RetryMin
	req := &controlpb.Request{Body: &controlpb.Request_Register{Register: &configpb.RegisterTarget{
		Service: a.opts.Service,
		Target:  a.opts.Target,
		Process: a.opts.Process,

		CreateService: a.opts.CreateService,
	}}}
	for failures := 1; a.ctx.Err() == nil; failures++ {
		res, err := a.call(req)
		reg := res.GetRegistration()
		if err == nil {
			err = refusalError(reg != nil, reg.GetRefusal())
		}
		if err == nil {
			a.registration.Store(reg)
			a.created.Store(res.GetRegistrationCreated())
			close(a.registered)
			a.opts.Log.Info("target registered",
				zap.Uint32("number", reg.GetTargetNumber()),
				zap.Uint32("incarnation", reg.GetIncarnation()))
			return true
		}
		a.recordFailure("register", err)
		if failures%failuresPerMove == 0 && !errors.Is(err, errRefused) {
			a.opts.Client.Move("")
		}
		if !a.waitForChange(max(jitter(a.opts.Rand, backoff), requestedDelay(err)), nil) {
			return false
		}
		backoff = min(2*backoff, a.opts.RetryMax)
	}
	return false
}

func (a *Announcer) announce() (time.Duration, error) {
	record := a.record(time.Now())
	announcement := &controlpb.Announce{Record: record}
	if a.opts.Capacity != nil {
		announcement.Capacity = a.opts.Capacity()
	}
	res, err := a.call(&controlpb.Request{Body: &controlpb.Request_Announce{Announce: announcement}})
	if err != nil {
		return 0, err
	}
	reply := res.GetAnnounce()
	if err := refusalError(reply != nil, reply.GetRefusal()); err != nil {
		return 0, err
	}
	if newer := reply.GetNewerSequence(); newer > 0 {
		a.continueAfter(newer)
		return 0, errors.Wrapf(errOutdated, "sequence %d, here it is %d", newer, record.GetSequence())
	}
	a.mu.Lock()
	a.announced = max(a.announced, record.GetSequence())
	a.mu.Unlock()
	if reply.GetLeaseMs() == 0 {
		return DefaultLease, nil
	}
	return time.Duration(reply.GetLeaseMs()) * time.Millisecond, nil
}

// continueAfter makes the current record newer than one that an earlier process of this agent
// has announced for the same incarnation. The next announcement has the new sequence.
func (a *Announcer) continueAfter(sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence = max(a.sequence, sequence+1)
}

func (a *Announcer) call(req *controlpb.Request) (*controlpb.Response, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.opts.CallTimeout)
	defer cancel()
	res, err := a.opts.Client.Call(ctx, req)
	if err != nil {
		return nil, err
	}
	return res, link.ResponseError(res)
}

func (a *Announcer) record(now time.Time) *controlpb.TargetRecord {
	reg := a.registration.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return &controlpb.TargetRecord{
		Service:       reg.GetServiceNumber(),
		Number:        reg.GetTargetNumber(),
		Incarnation:   reg.GetIncarnation(),
		Name:          a.opts.Target,
		FailureDomain: a.opts.FailureDomain,
		Address:       a.opts.Address,
		State:         a.status.State,
		Sequence:      a.sequence,
		AgeMs:         uint64(max(now.Sub(a.started), 0).Milliseconds()),
		Slots:         a.status.Slots,
		Ill:           a.status.Ill,
	}
}

func refusalError(replied bool, text string) error {
	if !replied {
		return errors.Wrap(errRefused, "unexpected kind of reply")
	}
	if text != "" {
		return errors.Wrap(errRefused, text)
	}
	return nil
}

// recordFailure counts a failure and logs it unless it repeats the last one.
func (a *Announcer) recordFailure(step string, err error) {
	if a.ctx.Err() != nil {
		return
	}
	reason := step + "_failed"
	var fault *link.FaultError
	switch {
	case errors.Is(err, errOutdated):
		reason = step + "_outdated"
	case errors.Is(err, errRefused) || errors.As(err, &fault):
		reason = step + "_refused"
	}
	byReason(a.opts.Scope, metricAnnounceFailures, reason).Inc(1)
	if text := err.Error(); text != a.lastLoggedError {
		a.lastLoggedError = text
		a.opts.Log.Warn("failed to announce target", zap.String("reason", reason), zap.Error(err))
	}
}
