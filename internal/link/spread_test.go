package link

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// TestFullServersSendClientsOn has more clients than three servers take. Each
// server holds its bound, the clients fill all of them, and those that are left
// over are refused with a time to come back and get the places that fall free.
func TestFullServersSendClientsOn(t *testing.T) {
	const servers, limit, clients = 3, 4, 14
	is := is.New(t)
	d := newDeployment(t)
	var all []*Server
	var scopes []tally.TestScope
	var addrs []string
	for i := range servers {
		s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, fmt.Sprint("c", i)), newFakeHandler(),
			ServerOptions{MaxConnections: limit, AdmitPerSecond: 1000, MaxRetryAfter: 100 * time.Millisecond})
		all, scopes, addrs = append(all, s), append(scopes, scope), append(addrs, s.Addr().String())
	}
	var connected []*Client
	var left []tally.TestScope
	open := map[*Client]tally.TestScope{}
	for i := range clients {
		opts := quick()
		opts.Rand = rand.New(rand.NewPCG(9, uint64(i)))
		c, scope := startClient(t, d.credentials(keys.RoleEntry, fmt.Sprint("e", i)), opts, addrs...)
		open[c] = scope
	}
	sort := func() {
		connected, left = nil, nil
		for c, scope := range open {
			if c.Address() != "" {
				connected = append(connected, c)
				continue
			}
			left = append(left, scope)
		}
	}
	eventually(t, "all places taken", func() bool {
		sort()
		return len(connected) == servers*limit
	})
	for i, s := range all {
		is.Equal(s.Connections(), limit)
		eventually(t, "a counted refusal", func() bool {
			return count(scopes[i], metricRefusedConnections, string(refusalCapacity)) > 0
		})
	}
	for _, scope := range left {
		eventually(t, "a refusal with a time", func() bool { return count(scope, metricDialFailures, "busy") > 0 })
	}
	for _, c := range connected[:clients-servers*limit] {
		c.Close()
		delete(open, c)
	}
	eventually(t, "the free places taken", func() bool {
		sort()
		return len(left) == 0
	})
	for _, s := range all {
		is.True(s.Connections() <= limit)
	}
}

func TestTrafficOutlivesConnections(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), quick(), s.Addr().String())
	mustAsk(t, c)
	before := s.Traffic()
	is.True(before.BytesSent > 0 && before.BytesReceived > 0)
	c.Close()
	eventually(t, "the end of the connection", func() bool { return s.Connections() == 0 })
	after := s.Traffic()
	is.True(after.BytesSent >= before.BytesSent && after.BytesReceived >= before.BytesReceived)
}
