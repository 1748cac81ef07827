package main

import (
	"fmt"
	"sync"
	"time"
)

// leavingScenario restarts the agent beside a target that leaves, while requesters have flows
// open there, and uses these flows one after the other until the target exits.
func leavingScenario(d *deployment, q *requester, trouble bool) (int, error) {
	const (
		// longestWork is the longest work of an instrument-lodge on the site's sheet.
		longestWork = 230 * time.Millisecond
		rollAfter   = time.Second
		firstUse    = 2400 * time.Millisecond
		spacing     = 260 * time.Millisecond
		exitAfter   = 9 * time.Second
	)
	time.Sleep(d.site.stableWindow)
	leaving := d.targets[0]
	var flows []*flow
	for _, f := range openFlows(q, &instrumentLodge, 120, 20*time.Millisecond) {
		if f.server == leaving.id && len(flows) < 24 {
			flows = append(flows, f)
		}
	}
	leaving.mu.Lock()
	leaving.work = longestWork
	leaving.mu.Unlock()
	ackedAt, acked := leaving.drain(10 * time.Second)
	if !acked {
		return 0, fmt.Errorf("the leaving was not acknowledged")
	}
	d.record.line("the leaving of %s is acknowledged, %d flows are open there", leaving.id, len(flows))
	time.Sleep(time.Until(ackedAt.Add(rollAfter)))
	if trouble {
		if err := d.agentOf(leaving).restart(); err != nil {
			return 0, err
		}
	}
	var all sync.WaitGroup
	for i, f := range flows {
		time.Sleep(time.Until(ackedAt.Add(firstUse + time.Duration(i)*spacing)))
		all.Go(func() { f.do(&instrumentLodge, fmt.Sprintf("instrument-lodge-%d-second", i)) })
	}
	time.Sleep(time.Until(ackedAt.Add(exitAfter)))
	all.Wait()
	return d.judgeFlows(flows)
}
