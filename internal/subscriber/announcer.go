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
	// DefaultLease is assumed until a control host has named the length.
	DefaultLease = 9 * time.Second
	// DefaultCallTimeout bounds one registration or announcement.
	DefaultCallTimeout = 3 * time.Second
	// renewalsPerLease is how often a lease is renewed within its length, so
	// that two renewals in a row may get lost.
	renewalsPerLease = 3
)

// errRefused is returned for a registration or announcement that a control
// host refuses.
var errRefused = errors.New("refused by the control host")

// Status is the part of an announced target that changes.
type Status struct {
	State controlpb.TargetState
	// Ill is the agent's verdict on its backend server.
	Ill bool
	// Slots is how many requests the target runs at a time.
	Slots uint32
}

// AnnouncerOptions configure an Announcer.
type AnnouncerOptions struct {
	Client *link.Client
	Scope  tally.Scope
	Log    *zap.Logger
	// Service and Target name the target; Process is the random identity of
	// this agent process, 16 bytes say.
	Service string
	Target  string
	Process []byte
	// CreateService has the service made if the configuration does not name it.
	CreateService bool
	// FailureDomain and Address (ip:port of the frame socket) go into the
	// record.
	FailureDomain string
	Address       string
	// Started is the time of the backend server's cold start.
	Started time.Time
	// Status is what is announced first.
	Status Status
	// CallTimeout, RetryMin and RetryMax are as in Options.
	CallTimeout time.Duration
	RetryMin    time.Duration
	RetryMax    time.Duration
	// Rand drives jitter; by default it is seeded at random. The announcer
	// alone may use it.
	Rand *rand.Rand
}

func (o AnnouncerOptions) withDefaults() AnnouncerOptions {
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.RetryMin = cmp.Or(o.RetryMin, DefaultRetryMin)
	o.RetryMax = cmp.Or(o.RetryMax, DefaultRetryMax)
	return o
}

// Announcer registers a target and keeps its lease.
type Announcer struct {
	opts         AnnouncerOptions
	ctx          context.Context
	cancel       context.CancelFunc
	wg           conc.WaitGroup
	registered   chan struct{}
	registration atomic.Pointer[configpb.Registration]
	// changed is signalled when the record has changed.
	changed chan struct{}
	// lastRefusal is used by the goroutine of run only.
	lastRefusal string

	// mu guards the fields below.
	mu       sync.Mutex
	status   Status
	started  time.Time
	sequence uint64
	// announced is the newest sequence that a control host took.
	announced uint64
}

// StartAnnouncer registers the target, however long that takes, and then
// announces it until Close.
func StartAnnouncer(opts AnnouncerOptions) *Announcer {
	opts = opts.withDefaults()
	a := &Announcer{
		opts:       opts,
		registered: make(chan struct{}),
		changed:    make(chan struct{}, 1),
		status:     opts.Status,
		started:    opts.Started,
		sequence:   1,
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.wg.Go(a.run)
	return a
}

// Registered is closed once the target has its number and incarnation.
func (a *Announcer) Registered() <-chan struct{} { return a.registered }

// Registration returns the number and incarnation, nil before Registered.
func (a *Announcer) Registration() *configpb.Registration { return a.registration.Load() }

// Update announces a changed status at once.
func (a *Announcer) Update(s Status) {
	a.mu.Lock()
	same := a.status == s
	if !same {
		a.status = s
		a.sequence++
	}
	a.mu.Unlock()
	if !same {
		a.wake()
	}
}

// Restarted announces at once that the backend server has had another cold
// start.
func (a *Announcer) Restarted(at time.Time) {
	a.mu.Lock()
	a.started = at
	a.sequence++
	a.mu.Unlock()
	a.wake()
}

// WaitAnnounced waits until a control host has taken the status as it is
// now. An agent that leaves calls it after the update that says so.
func (a *Announcer) WaitAnnounced(ctx context.Context) error {
	a.mu.Lock()
	want := a.sequence
	a.mu.Unlock()
	ticker := time.NewTicker(awaitPeriod)
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

// Unregister tells the control hosts that the target is gone for good, until one has
// taken it or ctx ends. It stops announcing. A registration that stays behind costs a
// lease's wait after the next start of all control hosts: no caller is told until then
// that its flow is gone. A call that was not repeated kept the callers of
// lost flows waiting for 2 s after a loss of all power.
func (a *Announcer) Unregister(ctx context.Context) error {
	a.Close()
	reg := a.Registration()
	if reg == nil {
		return nil
	}
	req := &controlpb.Request{Body: &controlpb.Request_Unregister{
		Unregister: &configpb.UnregisterTarget{Number: reg.GetTargetNumber(), Incarnation: reg.GetIncarnation()},
	}}
	retry := a.opts.RetryMin
	for {
		err := a.callOnce(ctx, req)
		if err == nil {
			return nil
		}
		a.opts.Log.Info("target not unregistered, tried again", zap.Error(err))
		if sleep.For(ctx, max(jitter(a.opts.Rand, retry), requestedPause(err))) != nil {
			return errors.Wrap(err, "unregister")
		}
		retry = min(2*retry, a.opts.RetryMax)
	}
}

// callOnce makes a call that has no answer but a fault.
func (a *Announcer) callOnce(ctx context.Context, req *controlpb.Request) error {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	res, err := a.opts.Client.Call(ctx, req)
	if err != nil {
		return err
	}
	return link.FaultOf(res)
}

const awaitPeriod = 20 * time.Millisecond

// Close stops announcing. The lease ends by itself.
func (a *Announcer) Close() {
	a.cancel()
	a.wg.Wait()
}

func (a *Announcer) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *Announcer) run() {
	if !a.register() {
		return
	}
	retry := a.opts.RetryMin
	for {
		moved := a.opts.Client.Opened()
		lease, err := a.announce()
		wait := jitter(a.opts.Rand, lease/renewalsPerLease)
		if err != nil {
			a.failed("announce", err)
			wait = max(jitter(a.opts.Rand, retry), requestedPause(err))
			retry = min(2*retry, a.opts.RetryMax)
		} else {
			retry = a.opts.RetryMin
			a.lastRefusal = ""
		}
		if err != nil {
			moved = nil // as the client dials again and again
		}
		if !a.pause(wait, moved) {
			return
		}
	}
}

// pause waits, or until the record changes or the client has moved: the next
// control host may not have heard of the target. It reports whether to go on.
func (a *Announcer) pause(d time.Duration, moved <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-a.changed:
	case <-moved:
	case <-timer.C:
	}
	return true
}

// register asks for number and incarnation until it gets them. A lost answer
// does no harm: the same process gets the same registration again.
func (a *Announcer) register() bool {
	retry := a.opts.RetryMin
	req := &controlpb.Request{Body: &controlpb.Request_Register{Register: &configpb.RegisterTarget{
		Service: a.opts.Service,
		Target:  a.opts.Target,
		Process: a.opts.Process,

		CreateService: a.opts.CreateService,
	}}}
	for a.ctx.Err() == nil {
		res, err := a.call(req)
		reg := res.GetRegistration()
		if err == nil {
			err = refusal(reg != nil, reg.GetRefusal())
		}
		if err == nil {
			a.registration.Store(reg)
			close(a.registered)
			a.opts.Log.Info("target registered",
				zap.Uint32("number", reg.GetTargetNumber()),
				zap.Uint32("incarnation", reg.GetIncarnation()))
			return true
		}
		a.failed("register", err)
		if !a.pause(max(jitter(a.opts.Rand, retry), requestedPause(err)), nil) {
			return false
		}
		retry = min(2*retry, a.opts.RetryMax)
	}
	return false
}

func (a *Announcer) announce() (time.Duration, error) {
	record := a.record(time.Now())
	res, err := a.call(&controlpb.Request{Body: &controlpb.Request_Announce{
		Announce: &controlpb.Announce{Record: record},
	}})
	if err != nil {
		return 0, err
	}
	reply := res.GetAnnounce()
	if err := refusal(reply != nil, reply.GetRefusal()); err != nil {
		return 0, err
	}
	a.mu.Lock()
	a.announced = max(a.announced, record.GetSequence())
	a.mu.Unlock()
	if reply.GetLeaseMs() == 0 {
		return DefaultLease, nil
	}
	return time.Duration(reply.GetLeaseMs()) * time.Millisecond, nil
}

func (a *Announcer) call(req *controlpb.Request) (*controlpb.Response, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.opts.CallTimeout)
	defer cancel()
	res, err := a.opts.Client.Call(ctx, req)
	if err != nil {
		return nil, err
	}
	return res, link.FaultOf(res)
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

func refusal(answered bool, text string) error {
	if !answered {
		return errors.Wrap(errRefused, "answer of another kind")
	}
	if text != "" {
		return errors.Wrap(errRefused, text)
	}
	return nil
}

// failed counts a failure; the log hears of a refusal once.
func (a *Announcer) failed(step string, err error) {
	if a.ctx.Err() != nil {
		return
	}
	reason := step + "_failed"
	var fault *link.FaultError
	if errors.Is(err, errRefused) || errors.As(err, &fault) {
		reason = step + "_refused"
	}
	byReason(a.opts.Scope, metricAnnounceFailures, reason).Inc(1)
	if text := err.Error(); text != a.lastRefusal {
		a.lastRefusal = text
		a.opts.Log.Warn("target not announced", zap.String("reason", reason), zap.Error(err))
	}
}
