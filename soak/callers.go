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

// Services and routes of a run: one route for each service, and one that each version
// sends to another service.
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
	// requestLimit is how long a caller waits for an answer before it gives a flow up.
	requestLimit = 8 * time.Second
	// maxPause is the longest pause between two requests of a flow, less than the
	// platform lets one stand idle.
	maxPause = 400 * time.Millisecond
	// maxRequests is the longest that a flow lives, in requests.
	maxRequests = 25
)

// counts is what callers and operators did.
type counts struct {
	served, opened, resets, silent, changes, reads atomic.Int64
}

// caller opens flows one after the other until ctx ends.
type caller struct {
	truth  *Checker
	caller *standin.Caller
	random *rand.Rand
	counts *counts
	number int
	// zoneOf returns the zone of a target's host.
	zoneOf func(host string) string
}

func (c *caller) run(ctx context.Context) {
	routes := []netip.AddrPort{firstRoute, secondRoute, changingRoute}
	for n := 0; ctx.Err() == nil; n++ {
		route := routes[c.random.IntN(len(routes))]
		sent := time.Now()
		f, err := c.caller.Open(route)
		if err != nil {
			// An opening that is refused or lost costs the caller its next attempt.
			c.pause(ctx)
			continue
		}
		c.counts.opened.Add(1)
		c.use(ctx, f, route, sent, n)
	}
}

// use sends requests on a flow until it ends.
func (c *caller) use(ctx context.Context, f *standin.Flow, route netip.AddrPort, sent time.Time, flow int) {
	for n := range 1 + c.random.IntN(maxRequests) {
		bounded, cancel := context.WithTimeout(ctx, requestLimit)
		err := f.Do(bounded, fmt.Sprintf("%d-%d-%d", c.number, flow, n))
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.failed(f, err)
			return
		}
		c.counts.served.Add(1)
		if n == 0 {
			c.placed(f, route, sent)
		}
		c.pause(ctx)
	}
	f.Close()
}

// placed holds the service and the zone that a flow was opened with.
func (c *caller) placed(f *standin.Flow, route netip.AddrPort, sent time.Time) {
	c.truth.CheckZone(c.zoneOf(hostOf(f.Target)), sent)
	switch want := map[netip.AddrPort]string{firstRoute: firstService, secondRoute: secondService}[route]; {
	case want == "":
		c.truth.CheckService(f.Service(), sent)
	case f.Service() != want:
		c.truth.AddViolation(RuleRoute, "route %s is for %s, served by %s", route, want, f.Service())
	}
}

func (c *caller) failed(f *standin.Flow, err error) {
	switch {
	case errors.Is(err, standin.ErrMismatch):
		c.truth.AddViolation(RuleResponse, "%v", err)
	case errors.Is(err, standin.ErrReset) && f.Target == "":
		// Which of two targets it was opened with is not known.
		c.counts.resets.Add(1)
	case errors.Is(err, standin.ErrReset):
		c.counts.resets.Add(1)
		c.truth.CheckReset(f.Target, hostOf(f.Target), time.Now())
	default:
		c.counts.silent.Add(1)
	}
}

// hostOf returns the host that the life of a target names: "service i-IP/start".
func hostOf(life string) string {
	_, rest, _ := strings.Cut(life, " i-")
	host, _, _ := strings.Cut(rest, "/")
	return host
}

func (c *caller) pause(ctx context.Context) {
	select {
	case <-time.After(time.Duration(c.random.Int64N(int64(maxPause)))):
	case <-ctx.Done():
	}
}
