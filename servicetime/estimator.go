package servicetime

import (
	"math"
	"slices"
	"time"
)

const (
	// DefaultTime is the service time of a route without samples: what the queue of openings
	// assumes of a request of an unknown route.
	DefaultTime = 30 * time.Millisecond
	// MaxRoutes bounds the routes with an estimate of their own. 256 take 50 KB.
	MaxRoutes = 256
	// window is the averaging time. A target that gets slow has to get less within 300 ms.
	window = 250 * time.Millisecond
	// keptSamples is the weight of earlier samples at least, however old. It bounds the weight
	// of one sample to a third, as single requests take several times as long as others.
	keptSamples = 2
	// recentSamples is the number of samples that the quantile is taken from.
	recentSamples = 16
	// highQuantile is the share of requests that take no longer than High.
	highQuantile = 0.9
	// idleRoute is the time without a request after which a route may be replaced by another.
	idleRoute = time.Minute
	// defaultInterval is the time between two requests on an open flow of a route without any so far.
	defaultInterval = 3 * time.Second
	// flowWindow is the averaging time of the interval between requests on open flows: several
	// pauses of callers that keep flows open.
	flowWindow = 10 * time.Second
)

// Estimator estimates the service times of the routes of one target. The key identifies a
// route.
type Estimator[K comparable] struct {
	routes map[K]*route
	// others has the samples of routes beyond MaxRoutes, all those of every route.
	others, all route
	// evictedAt is when routes were last checked for being idle.
	evictedAt time.Duration
}

// route is the estimate of one route.
type route struct {
	// sum and weight give the mean, in nanoseconds, as of updatedAt.
	sum, weight float64
	updatedAt   time.Duration
	recent      [recentSamples]time.Duration
	samples     int
	// flows is the number of open flows, requests and flowTime are the requests on open flows
	// and the seconds that these were open, with older ones weighing less.
	flows              int
	requests, flowTime float64
	usedAt             time.Duration
}

func newRoute() route {
	return route{sum: float64(DefaultTime), weight: 1, requests: 1, flowTime: defaultInterval.Seconds()}
}

// NewEstimator returns an estimator without samples.
func NewEstimator[K comparable]() *Estimator[K] {
	return &Estimator[K]{routes: make(map[K]*route), others: newRoute(), all: newRoute()}
}

// Add records that a request of a route took d and ended now.
func (e *Estimator[K]) Add(key K, d, now time.Duration) {
	d = max(d, 0)
	e.obtain(key, now).add(d, now)
	e.all.add(d, now)
}

// Mean returns the expected service time of a request of a route.
func (e *Estimator[K]) Mean(key K) time.Duration { return e.find(key).mean() }

// High returns the service time that nine of ten requests of a route do not exceed.
func (e *Estimator[K]) High(key K) time.Duration { return e.find(key).high() }

// Overall returns the expected service time of a request of any route, and false without a
// sample.
func (e *Estimator[K]) Overall() (mean time.Duration, known bool) {
	return e.all.mean(), e.all.samples > 0
}

// Routes returns the number of routes with an estimate of their own.
func (e *Estimator[K]) Routes() int { return len(e.routes) }

// Later counts a request on a flow that has had one before.
func (e *Estimator[K]) Later(key K, now time.Duration) { e.obtain(key, now).requests++ }

// AdvanceFlows starts a new count of the open flows, some time after the last one.
func (e *Estimator[K]) AdvanceFlows(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / flowWindow.Seconds())
	e.others.advanceFlows(keep)
	for _, r := range e.routes {
		r.advanceFlows(keep)
	}
}

// CountFlow counts a flow that was open for the time since the last count.
func (e *Estimator[K]) CountFlow(key K, elapsed, now time.Duration) {
	r := e.obtain(key, now)
	r.flows++
	r.flowTime += elapsed.Seconds()
}

// OpenFlows returns the expected work of the requests in progress on the counted flows.
func (e *Estimator[K]) OpenFlows() time.Duration {
	work := e.others.openFlows()
	for _, r := range e.routes {
		work += r.openFlows()
	}
	return work
}

func (e *Estimator[K]) find(key K) *route {
	if r := e.routes[key]; r != nil {
		return r
	}
	return &e.others
}

// obtain returns the estimate of a route and creates it if there is room.
func (e *Estimator[K]) obtain(key K, now time.Duration) *route {
	r := e.routes[key]
	if r == nil {
		if len(e.routes) >= MaxRoutes && !e.evict(now) {
			return &e.others
		}
		fresh := newRoute()
		r = &fresh
		e.routes[key] = r
	}
	r.usedAt = now
	return r
}

// evict removes the routes that were not used lately, unless it has just looked for them. It
// reports whether there were any.
func (e *Estimator[K]) evict(now time.Duration) bool {
	if now-e.evictedAt < window {
		return false
	}
	e.evictedAt = now
	before := len(e.routes)
	for key, r := range e.routes {
		if now-r.usedAt > idleRoute {
			delete(e.routes, key)
		}
	}
	return len(e.routes) < before
}

func (r *route) add(d, now time.Duration) {
	keep := math.Exp(-float64(max(now-r.updatedAt, 0)) / float64(window))
	if r.samples == 0 {
		keep = 1
	}
	if kept := min(r.weight, keptSamples); r.weight*keep < kept {
		keep = kept / r.weight
	}
	r.sum, r.weight = r.sum*keep+float64(d), r.weight*keep+1
	r.updatedAt = now
	r.recent[r.samples%recentSamples] = d
	r.samples++
}

func (r *route) mean() time.Duration { return time.Duration(r.sum / r.weight) }

func (r *route) high() time.Duration {
	n := min(r.samples, recentSamples)
	if n == 0 {
		return DefaultTime
	}
	sorted := r.recent
	slices.Sort(sorted[:n])
	return max(sorted[int(math.Ceil(highQuantile*float64(n)))-1], r.mean())
}

func (r *route) advanceFlows(keep float64) {
	r.flows, r.requests, r.flowTime = 0, r.requests*keep, r.flowTime*keep
}

// openFlows returns the expected work in progress: requests a second, each for its service
// time, of which it has as much work.
func (r *route) openFlows() time.Duration {
	if r.flows == 0 {
		return 0
	}
	perSecond := float64(r.flows) * r.requests / r.flowTime
	return time.Duration(perSecond * r.mean().Seconds() * float64(r.mean()))
}
