package link

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// behind starts a server to and from which every datagram takes that long.
func behind(t *testing.T, d *deployment, name string, delay time.Duration) string {
	t.Helper()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, name), newFakeHandler(), ServerOptions{})
	r, err := faultproxy.NewRelay(faultproxy.Options{
		Listen: netip.MustParseAddrPort(anyPort),
		Hosts:  []netip.AddrPort{netip.MustParseAddrPort(s.Addr().String())},
		Rand:   rand.New(rand.NewPCG(1, 2)),
		Delay:  func(netip.Addr) time.Duration { return delay },
	})
	is.New(t).NoErr(err)
	t.Cleanup(r.Close)
	return r.Addr().String()
}

// A path on which a handshake takes longer than DialTimeout, as behind a full link, is
// found by an attempt that goes on.
func TestSlowPathIsReached(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	addr := behind(t, d, "c1", 300*time.Millisecond)
	opts := quick()
	opts.DialTimeout = 100 * time.Millisecond
	opts.AttemptTimeout = testLimit
	opts.HeartbeatTimeout = testLimit
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), opts, addr)
	mustAsk(t, c)
	is.Equal(c.Address(), addr)
}

// Servers that are gone cost DialTimeout each, however long an attempt may last.
func TestSilentServersDoNotHoldUpTheNext(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	opts := quick()
	opts.DialTimeout = 50 * time.Millisecond
	opts.AttemptTimeout = 10 * testLimit
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), opts, startSilent(t), startSilent(t), s.Addr().String())
	mustAsk(t, c)
	is.Equal(c.Address(), s.Addr().String())
	is.Equal(count(scope, metricDialFailures, "timeout"), int64(0)) // they were given up, none has failed
	eventually(t, "one connection", func() bool { return s.Connections() == 1 })
}

// A client that is given no server waits until it learns of one.
func TestClientWithoutAddressLearnsOne(t *testing.T) {
	for name, tell := range map[string]func(*Client, string){
		"learned": func(c *Client, addr string) { c.SetLearnedAddresses([]string{addr}) },
		"set":     func(c *Client, addr string) { c.SetAddresses([]string{addr}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
			c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), quick())
			tell(c, s.Addr().String())
			mustAsk(t, c)
			is.Equal(c.Address(), s.Addr().String())
		})
	}
}

// A closed client ends all of its attempts.
func TestClosedClientEndsItsAttempts(t *testing.T) {
	d := newDeployment(t)
	opts := quick()
	opts.DialTimeout = 10 * time.Millisecond
	opts.AttemptTimeout = time.Hour
	var silent []string
	for range 2 * maxAttempts {
		silent = append(silent, startSilent(t))
	}
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), opts, silent...)
	c.Close()
}
