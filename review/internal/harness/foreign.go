package main

import (
	"errors"
	"time"
)

var wien = site{
	name: "ldbo-wien-grown", region: "at-ost", zones: []string{"at-ost-a", "at-ost-b", "at-ost-c"}, heartbeat: 1200 * time.Millisecond,
	born: true, stableWindow: 5 * time.Second, drain: 4 * time.Second, configApply: 4 * time.Second,
	bounds: `seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 5000
ack_ms = 6000
catchup_s = 6
drain_ms = 4000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 4000
downgrade_slack_ms = 250
max_stretch_ms = 15000
recovery_s = 15
flow_ms = 2000
flow_max_s = 60`,
}

var wienServices = []service{{"ausleihe", 3}, {"buchdepot", 1}}

var loan = kind{
	name: "loan-txn", method: "POST", routeType: "non_idempotent", bodyBytes: 900,
	timeoutMs: 3000, aimMs: 300, priority: 1, limit: 3 * time.Second,
}

// foreignScenario lets another writer send status reports without a zone to the agent of a
// target, which then leaves.
func foreignScenario(d *deployment, q *requester, trouble bool) (int, error) {
	time.Sleep(d.site.stableWindow)
	leaving := d.targets[0]
	done := make(chan struct{})
	defer close(done)
	if trouble {
		go d.writeForeignReports(leaving, done)
	}
	time.Sleep(d.site.stableWindow)
	ackedAt, acked := leaving.drain(10 * time.Second)
	if !acked {
		return 0, errors.New("the leaving was not acknowledged")
	}
	d.record.line("the leaving of %s is acknowledged", leaving.id)
	if flows := openFlows(q, &loan, 100, 100*time.Millisecond); len(flows) == 0 {
		return 0, errors.New("no flow was opened")
	}
	return d.judgeDrain(leaving, ackedAt), nil
}

// writeForeignReports sends reports that name the service and address of a target and lack
// its zone.
func (d *deployment) writeForeignReports(t *target, done chan struct{}) {
	started := time.Now()
	for seq := 1; ; seq++ {
		status := post(t.control+"/instances/i-other/heartbeat", map[string]any{
			"service": t.service, "address": t.address.String(), "version": "v1", "slots": 4, "state": "ready",
			"warmup_left_ms": 0, "seq": seq, "born": started.UnixMilli(),
		})
		d.record.line("another writer reports seq %d, without a zone: %d", seq, status)
		select {
		case <-time.After(d.site.heartbeat):
		case <-done:
			return
		}
	}
}

// judgeDrain checks DRAIN: no opening reaches a target later than drain_ms after its leaving
// was acknowledged. It returns the number of breaks.
func (d *deployment) judgeDrain(t *target, ackedAt time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := 0
	for key, at := range t.openings {
		if late := at.Sub(ackedAt); late > d.site.drain {
			broken++
			d.record.line("DRAIN is broken: %s reaches %s %.3f s after the confirmation", key, t.id, late.Seconds())
		}
	}
	return broken
}
