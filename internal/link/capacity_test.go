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

// Guards against servers that exceed MaxConnections and against clients that do not get
// the places that become free.
func TestFullServersRefuseClients(t *testing.T) {
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
	var refused []tally.TestScope
	open := map[*Client]tally.TestScope{}
	for i := range clients {
		opts := fastOptions()
		opts.Rand = rand.New(rand.NewPCG(9, uint64(i)))
		c, scope := startClient(t, d.credentials(keys.RoleEntry, fmt.Sprint("e", i)), opts, addrs...)
		open[c] = scope
	}
	classify := func() {
		connected, refused = nil, nil
		for c, scope := range open {
			if c.Address() != "" {
				connected = append(connected, c)
				continue
			}
			refused = append(refused, scope)
		}
	}
	eventually(t, "all servers at capacity", func() bool {
		classify()
		return len(connected) == servers*limit
	})
	for i, s := range all {
		is.Equal(s.Connections(), limit)
		eventually(t, "refusal counted by the server", func() bool {
			return count(scopes[i], metricRefusedConnections, string(refusalCapacity)) > 0
		})
	}
	for _, scope := range refused {
		eventually(t, "refusal counted by the client", func() bool { return count(scope, metricDialFailures, "busy") > 0 })
	}
	for _, c := range connected[:clients-servers*limit] {
		c.Close()
		delete(open, c)
	}
	eventually(t, "freed places in use", func() bool {
		classify()
		return len(refused) == 0
	})
	for _, s := range all {
		is.True(s.Connections() <= limit)
	}
}

func TestTrafficIncludesClosedConnections(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	mustCall(t, c)
	before := s.Traffic()
	is.True(before.BytesSent > 0 && before.BytesReceived > 0)
	c.Close()
	eventually(t, "connection closed", func() bool { return s.Connections() == 0 })
	after := s.Traffic()
	is.True(after.BytesSent >= before.BytesSent && after.BytesReceived >= before.BytesReceived)
}
