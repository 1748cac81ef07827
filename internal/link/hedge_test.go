package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// Guards against waiting for an attempt whose first packet was lost.
func TestUnansweredAttemptIsHedged(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	r := startRelay(t, s.Addr())
	r.dropFirstPath()
	opts := fastOptions()
	opts.DialTimeout = testTimeout
	opts.HedgeAfter = 50 * time.Millisecond
	c, _ := startClient(t, d.credentials(keys.RoleControl, "c2"), opts, r.addr())
	mustCall(t, c)
	is.Equal(c.Address(), r.addr())
	eventually(t, "single connection", func() bool { return s.Connections() == 1 })
}

// Guards against hedged attempts that outlive the dial timeout.
func TestHedgedAttemptsTimeOut(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	unresponsive := startUnresponsive(t)
	opts := fastOptions()
	opts.HedgeAfter = 20 * time.Millisecond
	c, scope := startClient(t, d.credentials(keys.RoleControl, "c2"), opts, unresponsive)
	eventually(t, "attempt failed", func() bool { return count(scope, metricDialFailures, "timeout") > 0 })
	c.Close()
	is.Equal(c.Address(), "")
}
