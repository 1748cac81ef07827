package main

import (
	"errors"
	"fmt"
	"time"
)

// maxFlowAge is flow_max_s.
const maxFlowAge = 60 * time.Second

// judgeFlows checks part (a) of FLOW: while its target lives, an open flow that is neither
// older than flow_max_s nor was idle for longer than the idle timeout gets no reset that its
// target did not send. It returns the number of breaks, and an error without flows.
func (d *deployment) judgeFlows(flows []*flow) (int, error) {
	if len(flows) == 0 {
		return 0, errors.New("no flow was opened")
	}
	broken := 0
	for _, f := range flows {
		at, bySystem := f.wasReset()
		if at.IsZero() {
			continue
		}
		verdict := d.excuse(f, at, bySystem)
		if verdict == "" {
			broken++
			verdict = "FLOW is broken"
		}
		d.record.line("reset of %s at %.3f s: %s", f.key, d.record.at(at), verdict)
	}
	return broken, nil
}

// excuse returns why a reset breaks no rule, empty if it does.
func (d *deployment) excuse(f *flow, at time.Time, bySystem bool) string {
	t := d.targetOf(f.server)
	if t == nil {
		return "the flow's target is not known"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	opened, open := t.opened[f.key]
	ended, closed := t.ended[f.key]
	switch {
	case !bySystem || t.resets[f.key]:
		return "the flow's target sent it"
	case !open || closed && ended.Before(at) || t.exited():
		return "the flow is not open at its target"
	case at.Sub(opened) > maxFlowAge:
		return fmt.Sprintf("the flow is %s old", at.Sub(opened).Round(time.Millisecond))
	case f.idleFor > idleTimeout:
		return fmt.Sprintf("the flow was idle for %s, the idle timeout is %s", f.idleFor.Round(time.Millisecond), idleTimeout)
	}
	return ""
}

// exited reports whether the boot has ended.
func (t *target) exited() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}
