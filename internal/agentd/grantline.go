package agentd

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

// grantLines has the line to each group of grants that a deployment can have.
type grantLines [grant.MaxGroups]*grantLine

func newGrantLines(c clock, t timing, log *zap.Logger) grantLines {
	var lines grantLines
	for group := range lines {
		lines[group] = newGrantLine(c, t, log.With(zap.Int("group", group+1)))
	}
	return lines
}

// grantLine tells whether a group of grants answers calls, so that a
// request that may not be repeated is told at once when they do not.
type grantLine struct {
	clock clock
	log   *zap.Logger

	mu       sync.Mutex
	breaker  retry.CircuitBreaker
	unlinked bool
	// checked is the time of the last check.
	checked time.Duration
	// told is set while the log says that they do not answer.
	told bool
}

func newGrantLine(c clock, t timing, log *zap.Logger) *grantLine {
	return &grantLine{
		clock: c, log: log, checked: c.now(),
		breaker: retry.CircuitBreaker{OpenAfter: t.grantWait, ProbeInterval: t.grantProbe},
	}
}

// allow decides on a request for a grant.
func (l *grantLine) allow() retry.Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaker.Allow(l.clock.now())
}

// away reports whether the control hosts are known not to answer.
func (l *grantLine) away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaker.Open()
}

// tried records what became of a call that began at a time.
func (l *grantLine) tried(began time.Duration, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		l.breaker.RecordSuccess()
	} else {
		l.breaker.RecordFailure(began, l.clock.now())
	}
	l.logChange()
}

// check records whether there is a connection to a control host. A new one is
// worth a probe, whatever became of calls on the former one.
func (l *grantLine) check(linked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.now()
	switch {
	case !linked:
		l.breaker.RecordFailure(l.checked, now)
	case l.unlinked:
		l.breaker.ProbeNow(now)
	}
	l.unlinked = !linked
	l.checked = now
	l.logChange()
}

// logChange is called with the lock held.
func (l *grantLine) logChange() {
	if open := l.breaker.Open(); open != l.told {
		l.told = open
		l.log.Info("control hosts grant rights", zap.Bool("yes", !open))
	}
}
