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
	// which a session counts as broken.
	SessionTimeoutFactor = 10
	// MinAnsweredPerTarget is the mean number of answers a target that a window
	// needs in order to count for imbalance.
	MinAnsweredPerTarget = 10

	// maxInFlight bounds the memory of a run against a service that hangs.
	maxInFlight = 20000
	// freeRetries is the part of the retry budget that needs no requests.
	freeRetries = 10
)

// ErrInvalidOptions reports options that no run can be made from.
var ErrInvalidOptions = errors.New("bad load options")

// Options describe one run.
type Options struct {
	// Addresses (ip:port, UDP) that callers dial, each flow the next one.
	Addresses []string
	// Service is the server name that callers ask for.
	Service string
	// Roots verify the caller certificate.
	Roots *x509.CertPool

	// Rate of requests a second; 0 sends none.
	Rate float64
	// Connections is the number of flows that carry requests at a time.
	Connections int
	// RequestsPerFlow is how many requests a flow carries before the caller
	// opens another in its place.
	RequestsPerFlow int
	// Sessions is the number of watch streams held open, each on its own flow.
	Sessions int
	// SessionRamp is the time over which they are opened, evenly; 0 takes a
	// tenth of the run.
	SessionRamp time.Duration
	// WatchPeriod is the time between two events that sessions ask for.
	WatchPeriod time.Duration
	// Duration of the run; requests under way at its end are waited for.
	Duration time.Duration
	// StopWhen is asked from time to time whether what the run has done so far
	// is enough. It then ends as it would after its duration. Nil means that
	// only the duration ends it.
	StopWhen func(sofar *Report) bool
	// NonRepeatable is the share of requests, 0 to 1, that may not be repeated.
	NonRepeatable float64
	// Work is the time that each request asks a target to work.
	Work time.Duration
	// Deadline of each request, over all of its attempts.
	Deadline time.Duration
	// MaxAttempts is the greatest number of attempts of one request.
	MaxAttempts int
	// RetryPercent bounds retries per hundred requests of the run.
	RetryPercent int
	// Seed of schedule, kinds and jitter.
	Seed uint64
	// RunID makes idempotency keys unique among runs. Empty takes a random one.
	RunID string

	// Window of time for imbalance.
	Window time.Duration
	// Targets are the names of all targets of the service, if known.
	Targets []string
	// HostFailed tells whether the host of a target of that name has failed.
	// Flows and sessions that end with their host are counted apart. Nil
	// means that none fails.
	HostFailed func(target string) bool
	// RunCount tells how often an idempotency key ran, at all backend servers
	// together. It goes before RunURLs.
	RunCount func(key string) int
	// IsTarget tells whether a target of that name is one of the service's, where
	// targets come while the run lasts. It goes before Targets in the search
	// for misrouted requests.
	IsTarget func(target string) bool
	// RunURLs are the base URLs of all backend servers, if they can be asked
	// for their runs.
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
		named := o.Targets
		o.IsTarget = func(target string) bool { return len(named) == 0 || slices.Contains(named, target) }
	}
	if o.RunID == "" {
		o.RunID = randomID()
	}
	return o
}

// randomID tells runs apart. It is an identity: the seed must not fix it, or
// the keys of a second run with the same seed would be known already.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (o Options) validate() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.Wrap(ErrInvalidOptions, "no address to call")
	case o.Service == "":
		return errors.Wrap(ErrInvalidOptions, "no service named")
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
