package link

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func TestRefusalMessage(t *testing.T) {
	for _, want := range []busyRefusal{
		{retryAfter: 1500 * time.Millisecond},
		{retryAfter: 20 * time.Millisecond, queued: true},
		{servers: []string{"127.0.0.1:1", "127.0.0.1:2"}},
	} {
		is := is.New(t)
		refused := &quic.ApplicationError{Remote: true, ErrorCode: codeBusy, ErrorMessage: want.message()}
		got, ok := refusalOf(errors.Wrap(refused, "dial"))
		is.True(ok)
		is.Equal(got, want)
	}
	is := is.New(t)
	// Clients of earlier releases read this one only.
	is.Equal(busyRefusal{retryAfter: 1500 * time.Millisecond}.message(), "retry-after-ms=1500")
	for _, text := range []string{"", "retry-after-ms=", "retry-after-ms=-5", "retry-after-ms=99999999999999", "later", "%"} {
		_, ok := refusalOf(&quic.ApplicationError{Remote: true, ErrorCode: codeBusy, ErrorMessage: text})
		is.True(!ok)
	}
	many := strings.Repeat("127.0.0.1:1,nonsense,", 100)
	got, ok := refusalOf(&quic.ApplicationError{Remote: true, ErrorCode: codeBusy, ErrorMessage: "retry-after-ms=0&servers=" + many})
	is.True(ok)
	is.Equal(len(got.servers), maxNamedServers)
}

// startFullServer starts a server that has admitted as many connections as it may for now.
func startFullServer(t *testing.T, d *deployment, name string, others ...string) *Server {
	t.Helper()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, name), newFakeHandler(),
		ServerOptions{AdmitPerSecond: 0.2, AdmitBurst: 1, OtherServers: func() []string { return others }})
	first, _ := startClient(t, d.credentials(keys.RoleEntry, "first-"+name), fastOptions(), s.Addr().String())
	mustCall(t, first)
	return s
}

// A client that is refused by the only server of its settings goes to the others at once.
func TestRefusedNewcomerGoesToOtherServers(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	free, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c2"), newFakeHandler(), ServerOptions{})
	full := startFullServer(t, d, "c1", free.Addr().String())
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), full.Addr().String())
	mustCall(t, c)
	is.Equal(c.Address(), free.Addr().String())
	is.Equal(count(scope, metricDialFailures, "busy"), int64(1))
}

// A client that knows the other servers waits for its place in the queue of one in place of
// taking a place in each queue.
func TestRefusedClientKeepsOnePlace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := &Client{addrs: []string{"a", "b", "c"}, opts: fastOptions().withDefaults()}
	state := &dialState{failures: 1, notBefore: map[string]time.Time{}, index: 1}
	state.recordRefusal("a", busyRefusal{retryAfter: 3 * time.Second, queued: true}, now)
	is.Equal(c.retryDelay(state, now), 3*time.Second)
	is.Equal(c.addrs[state.index], "a")
	// If it fails there, the next one is tried.
	state.failures, state.index = 2, 1
	is.True(c.retryDelay(state, now.Add(3*time.Second)) < time.Second)
	is.Equal(c.addrs[state.index], "b")
}

// Two servers that are both full keep a place for a client only once it knows them.
func TestQueuePlacesOfRefusedClients(t *testing.T) {
	for _, test := range []struct {
		protocol string
		reason   refusal
		others   []string
		queued   bool
		servers  int
	}{
		{protocolName, refusalRate, []string{"127.0.0.1:1"}, false, 0},
		{protocolNewcomer, refusalRate, []string{"127.0.0.1:1"}, false, 1},
		{protocolNewcomer, refusalRate, nil, false, 0},
		{protocolNewcomer, refusalCapacity, []string{"127.0.0.1:1"}, false, 1},
		{protocolQueue, refusalRate, []string{"127.0.0.1:1"}, true, 0},
		{protocolQueue, refusalCapacity, []string{"127.0.0.1:1"}, false, 1},
		{protocolQueue, refusalCapacity, nil, false, 0},
	} {
		is := is.New(t)
		s := &Server{
			opts:      ServerOptions{OtherServers: func() []string { return test.others }},
			admission: newAdmission(1, 1, 1, time.Minute),
		}
		got := s.refusal(test.protocol, test.reason)
		is.Equal(got.queued, test.queued)
		is.Equal(len(got.servers), test.servers)
		is.True(got.retryAfter > 0 || test.servers > 0)
	}
}
