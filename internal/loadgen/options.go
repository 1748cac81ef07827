package loadgen

import (
	"cmp"
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Defaults of Options.
const (
	DefaultConnections     = 16
	DefaultRequestsPerFlow = 50
	DefaultDeadline        = 5 * time.Second
	DefaultMaxAttempts     = 4
	DefaultRetryPercent    = 20
	DefaultWindow          = time.Second
	DefaultWatchPeriod     = time.Second
)

const (
	// SessionTimeoutFactor is the number of event periods without an event after
	// which a session is broken.
	SessionTimeoutFactor = 10
	// MinAnsweredPerTarget is the mean number of answered requests per target that a window
	// needs to count for imbalance.
	MinAnsweredPerTarget = 10

	// maxInFlight bounds the memory used against an unresponsive service.
	maxInFlight = 20000
	// retryBurst is the retry budget before the first request.
	retryBurst = 10
)

// ErrInvalidOptions reports invalid Options.
var ErrInvalidOptions = errors.New("invalid load options")

// Options describe one run.
type Options struct {
	// Addresses (ip:port, UDP) that callers dial, round robin.
	Addresses []string
	// Service is the TLS server name and HTTP host.
	Service string
	// Roots verify the caller certificate.
	Roots *x509.CertPool

	// Rate of requests per second; 0 sends none.
	Rate float64
	// Connections is the number of concurrent flows that carry requests.
	Connections int
	// RequestsPerFlow is the number of requests after which the caller replaces a
	// flow.
	RequestsPerFlow int
	// Sessions is the number of watch streams held open, each on its own flow.
	Sessions int
	// SessionRamp is the time over which sessions are opened evenly; 0 means a tenth
	// of the run.
	SessionRamp time.Duration
	// WatchPeriod is the time between two events that sessions request.
	WatchPeriod time.Duration
	// Duration of the run, without the wait for requests in flight at its end.
	Duration time.Duration
	// StopWhen is polled during the run; when it returns true, the run ends as it
	// would after Duration. Nil means that only Duration ends it.
	StopWhen func(soFar *Report) bool
	// NonRepeatable is the share of requests, 0 to 1, that must not run twice.
	NonRepeatable float64
	// Work is the processing time of each request at its target.
	Work time.Duration
	// Deadline of each request, over all of its attempts.
	Deadline time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// RetryPercent bounds the retries per hundred requests of the run.
	RetryPercent int
	// Seed of schedule, kinds and jitter.
	Seed uint64
	// RunID makes idempotency keys unique across runs. Empty means a random one.
	RunID string

	// Window is the length of a time window.
	Window time.Duration
	// Targets are the names of all targets of the service, if known.
	Targets []string
	// HostFailed reports whether the host of the named target has failed. Flows and
	// sessions that end with their host are counted separately. Nil means that none
	// fails.
	HostFailed func(target string) bool
	// RunCount returns how often an idempotency key ran on all backend servers
	// together. It takes precedence over RunURLs.
	RunCount func(key string) int
	// IsTarget reports whether the service has a target of that name, for services
	// whose targets change during the run. It takes precedence over Targets in the
	// detection of misrouted requests.
	IsTarget func(target string) bool
	// RunURLs are the base URLs of all backend servers, if they serve /runs.
	RunURLs []string
}

func (o Options) withDefaults() Options {
	o.Connections = cmp.Or(o.Connections, DefaultConnections)
	o.RequestsPerFlow = cmp.Or(o.RequestsPerFlow, DefaultRequestsPerFlow)
	o.Deadline = cmp.Or(o.Deadline, DefaultDeadline)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.RetryPercent = cmp.Or(o.RetryPercent, DefaultRetryPercent)
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.WatchPeriod = cmp.Or(o.WatchPeriod, DefaultWatchPeriod)
	if o.SessionRamp == 0 {
		o.SessionRamp = time.Duration(sessionRamp * float64(o.Duration))
	}
	if o.HostFailed == nil {
		o.HostFailed = func(string) bool { return false }
	}
	if o.IsTarget == nil {
		targets := o.Targets
		o.IsTarget = func(target string) bool { return len(targets) == 0 || slices.Contains(targets, target) }
	}
	if o.RunID == "" {
		o.RunID = newRunID()
	}
	return o
}

// newRunID returns a random ID. It does not depend on the seed, so that a second run
// with the same seed uses new idempotency keys.
func newRunID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (o Options) validate() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.Wrap(ErrInvalidOptions, "no address")
	case o.Service == "":
		return errors.Wrap(ErrInvalidOptions, "no service")
	case o.Rate < 0 || o.Sessions < 0 || o.Connections < 0 || o.RequestsPerFlow < 0 || o.MaxAttempts < 0 || o.RetryPercent < 0:
		return errors.Wrap(ErrInvalidOptions, "a number is negative")
	case o.NonRepeatable < 0 || o.NonRepeatable > 1:
		return errors.Wrap(ErrInvalidOptions, "the share of non-repeatable requests is not between 0 and 1")
	case o.Duration <= 0:
		return errors.Wrap(ErrInvalidOptions, "the duration is not positive")
	case o.Window < 0 || o.SessionRamp < 0 || o.WatchPeriod < 0 || o.Deadline < 0 || o.Work < 0:
		return errors.Wrap(ErrInvalidOptions, "a time is negative")
	}
	for _, addr := range o.Addresses {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errors.Wrapf(ErrInvalidOptions, "%q is not an address of the form ip:port", addr)
		}
	}
	return nil
}
