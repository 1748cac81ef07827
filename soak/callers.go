package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

// Services and routes of a run: one route for each service, and one whose service
// changes between versions.
const (
	firstService  = "lodgement"
	secondService = "certificates"
)

var (
	firstRoute    = netip.MustParseAddrPort("198.18.0.1:443")
	secondRoute   = netip.MustParseAddrPort("198.18.0.1:8443")
	changingRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

const (
	// requestTimeout is the time after which a caller abandons a flow without response.
	requestTimeout = 8 * time.Second
	// maxRequestInterval is the longest interval between requests of a flow. It is below
	// the idle timeout of flows.
	maxRequestInterval = 400 * time.Millisecond
	// maxRequests is the maximum number of requests of a flow.
	maxRequests = 25
	// maxIdleInterval is the longest interval between requests of an idle flow. It exceeds two
	// leases of a target and is below the idle timeout of flows.
	maxIdleInterval = 9 * time.Second
)

// counts are the totals of callers and operators.
type counts struct {
	served, opened, resets, timedOut, changes, reads atomic.Int64
	// changesTried and readsTried count the calls of operators.
	changesTried, readsTried atomic.Int64
	// failure describes the last valid change that was not acknowledged.
	failure atomic.Pointer[string]
}

// lastFailure describes the last valid change that was not acknowledged, empty if there was none.
func (c *counts) lastFailure() string {
	if last := c.failure.Load(); last != nil {
		return *last
	}
	return ""
}

// caller opens flows one after the other.
type caller struct {
	checker *Checker
	caller  *standin.Caller
	random  *rand.Rand
	counts  *counts
	number  int
	// interval is the longest interval between requests of a flow.
	interval time.Duration
	// zoneOf returns the zone of a target's host.
	zoneOf func(host string) string
}

func (c *caller) run(ctx context.Context) {
	routes := []netip.AddrPort{firstRoute, secondRoute, changingRoute}
	for n := 0; ctx.Err() == nil; n++ {
		route := routes[c.random.IntN(len(routes))]
		sentAt := time.Now()
		f, err := c.caller.Open(route)
		if err != nil {
			// A refused or lost opening is retried.
			c.wait(ctx)
			continue
		}
		c.counts.opened.Add(1)
		c.sendRequests(ctx, f, route, sentAt, n)
	}
}

// sendRequests sends a random number of requests on a flow.
func (c *caller) sendRequests(ctx context.Context, f *standin.Flow, route netip.AddrPort, sentAt time.Time, flow int) {
	for n := range 1 + c.random.IntN(maxRequests) {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		err := f.Do(requestCtx, fmt.Sprintf("%d-%d-%d", c.number, flow, n))
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.recordFailure(f, err)
			return
		}
		c.counts.served.Add(1)
		if n == 0 {
			c.checkPlacement(f, route, sentAt)
		}
		c.wait(ctx)
	}
	f.Close()
}

// checkPlacement checks the service and the zone of a new flow.
func (c *caller) checkPlacement(f *standin.Flow, route netip.AddrPort, sentAt time.Time) {
	c.checker.CheckZone(c.zoneOf(hostOf(f.Target)), sentAt)
	switch want := map[netip.AddrPort]string{firstRoute: firstService, secondRoute: secondService}[route]; {
	case want == "":
		c.checker.CheckService(f.Service(), sentAt)
	case f.Service() != want:
		c.checker.AddViolation(RuleRoute, "route %s is for %s, served by %s", route, want, f.Service())
	}
}

func (c *caller) recordFailure(f *standin.Flow, err error) {
	switch {
	case errors.Is(err, standin.ErrMismatch):
		c.checker.AddViolation(RuleResponse, "%v", err)
	case errors.Is(err, standin.ErrReset) && f.Target == "":
		// No response yet, so the target is unknown.
		c.counts.resets.Add(1)
	case errors.Is(err, standin.ErrReset):
		c.counts.resets.Add(1)
		c.checker.CheckReset(f.Target, hostOf(f.Target), time.Now())
	default:
		c.counts.timedOut.Add(1)
	}
}

// hostOf returns the host of a target instance named "service i-IP/start".
func hostOf(instance string) string {
	_, rest, _ := strings.Cut(instance, " i-")
	host, _, _ := strings.Cut(rest, "/")
	return host
}

func (c *caller) wait(ctx context.Context) {
	select {
	case <-time.After(time.Duration(c.random.Int64N(int64(c.interval)))):
	case <-ctx.Done():
	}
}
