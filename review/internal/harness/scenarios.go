package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// startLimit bounds the start of the deployment.
	startLimit = 20 * time.Second
)

var registry = site{
	name: "ajoke-registry", region: "ibadan", zones: []string{"oke-ado", "dugbe", "bodija", "challenge"}, heartbeat: 1200 * time.Millisecond,
	stableWindow: 4 * time.Second, drain: 3 * time.Second, configApply: 3 * time.Second,
	bounds: `seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 5000
catchup_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
flow_ms = 2000
flow_max_s = 60`,
}

var registryServices = []service{{"lodgement", 4}, {"certificates", 2}}

var (
	filingWatch = kind{
		name: "filing-watch", method: "GET", routeType: "idempotent",
		timeoutMs: 2500, aimMs: 150, priority: 2, limit: 2500 * time.Millisecond,
	}
	instrumentLodge = kind{
		name: "instrument-lodge", method: "POST", routeType: "non_idempotent", bodyBytes: 900,
		timeoutMs: 3000, aimMs: 200, priority: 1, limit: 3 * time.Second,
	}
)

// openFlows opens flows one after the other, each with one request, and returns those that
// were answered.
func openFlows(q *requester, k *kind, count int, pause time.Duration) []*flow {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out []*flow
	for i := range count {
		all.Go(func() {
			f := q.open(public)
			if f == nil || f.do(k, fmt.Sprintf("%s-%d-first", k.name, i)) != resultOK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, f)
		})
		time.Sleep(pause)
	}
	all.Wait()
	return out
}

// useFlows sends a second request on each flow.
func useFlows(flows []*flow, k *kind) {
	var all sync.WaitGroup
	for i, f := range flows {
		all.Go(func() { f.do(k, fmt.Sprintf("%s-%d-second", k.name, i)) })
	}
	all.Wait()
}

// restartScenario replaces a target, the new one first, restarts the agent beside the new one,
// and uses the flows that were opened meanwhile later.
func restartScenario(d *deployment, q *requester, trouble bool) (int, error) {
	const (
		// targetDelay is how much later than its machine a target starts.
		targetDelay = time.Second
		// leaveAfter and rollAfter are when the old target leaves and the agent is stopped, after
		// the first report of the new one.
		leaveAfter = time.Second
		rollAfter  = 1900 * time.Millisecond
		// pause covers the stable window after the restart.
		pause = 7 * time.Second
	)
	time.Sleep(d.site.stableWindow)
	old := d.targets[0]
	added, err := d.addTarget("lodgement", targetDelay)
	if err != nil {
		return 0, err
	}
	time.AfterFunc(leaveAfter, func() { old.drain(d.site.drain) })
	rolled := make(chan error, 1)
	time.AfterFunc(rollAfter, func() {
		if !trouble {
			rolled <- nil
			return
		}
		rolled <- d.agentOf(added).restart()
	})
	time.Sleep(firstRetry)
	flows := openFlows(q, &filingWatch, 430, 4*time.Millisecond)
	if err := <-rolled; err != nil {
		return 0, err
	}
	d.record.line("%d flows are open", len(flows))
	time.Sleep(pause)
	useFlows(flows, &filingWatch)
	return d.judgeFlows(flows)
}
