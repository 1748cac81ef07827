package link

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

const anyPort = "127.0.0.1:0"

func update(version uint64) *controlpb.SubscribeUpdate {
	return &controlpb.SubscribeUpdate{Heartbeat: &controlpb.Heartbeat{Version: version}}
}

func TestCallAndSubscribe(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{})
	c, _ := startClient(t, d.credentials(keys.RoleAgent, "a1"), fastOptions(), s.Addr().String())

	res, err := c.Call(timeoutContext(t), versionQuery())
	is.NoErr(err)
	is.Equal(res.GetVersion().GetVersion(), uint64(7))
	is.Equal(h.firstPeer(), Peer{Role: keys.RoleAgent, Name: "a1", Service: "lodgement", Newcomer: true})

	sub, err := c.Subscribe(timeoutContext(t), &controlpb.Subscribe{})
	is.NoErr(err)
	defer sub.Close()
	h.updates <- update(3)
	u, err := sub.Receive()
	is.NoErr(err)
	is.Equal(u.GetHeartbeat().GetVersion(), uint64(3))
	is.NoErr(sub.Send(&controlpb.Heartbeat{Version: 3}))
	eventually(t, "heartbeat received", func() bool { return h.lastHeartbeat() == 3 })
}

func TestSubscribeFault(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	sub, err := c.Subscribe(timeoutContext(t), &controlpb.Subscribe{Version: 999})
	is.NoErr(err)
	defer sub.Close()
	_, err = sub.Receive()
	var fault *FaultError
	is.True(errors.As(err, &fault))
	is.Equal(fault.RetryAfter, time.Second)
	is.Equal(fault.Kind, controlpb.FaultKind_FAULT_NOT_DONE)
}

func TestNotSentWithoutServer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{})
	addr := s.Addr().String()
	is.NoErr(s.Close())
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), addr)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Call(ctx, versionQuery())
	is.True(errors.Is(err, ErrNotSent))
	is.True(!errors.Is(err, ErrOutcomeUnknown))
	is.Equal(h.calls(), 0)
}

func TestOutcomeUnknownAfterContextEnds(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	cancelled := make(chan struct{})
	h.call = func(ctx context.Context, _ Peer, _ *controlpb.Request) *controlpb.Response {
		<-ctx.Done()
		close(cancelled)
		return nil
	}
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{})
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	_, err := c.Call(timeoutContext(t), &controlpb.Request{Body: &controlpb.Request_Heartbeat{}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Call(ctx, versionQuery())
	is.True(errors.Is(err, ErrOutcomeUnknown))
	is.Equal(count(scope, metricCallFailures, "unknown"), int64(1))
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the handler's context was not cancelled")
	}
}

func TestPanicEndsOneRequestOnly(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	h.call = func(_ context.Context, _ Peer, req *controlpb.Request) *controlpb.Response {
		if req.GetVersion() == nil {
			panic("test")
		}
		return versionReply(1)
	}
	s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{})
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	_, err := c.Call(timeoutContext(t), &controlpb.Request{Body: &controlpb.Request_Announce{Announce: &controlpb.Announce{}}})
	is.True(errors.Is(err, ErrOutcomeUnknown))
	mustCall(t, c)
	is.Equal(count(scope, "link_server_panics", ""), int64(1))
}

func TestCloseLetsCallsFinish(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	running, finish := make(chan struct{}), make(chan struct{})
	h.call = func(context.Context, Peer, *controlpb.Request) *controlpb.Response {
		close(running)
		<-finish
		return versionReply(42)
	}
	s, scope := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{DrainTimeout: testTimeout})
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), s.Addr().String())
	results := make(chan CallResult, 1)
	ctx := timeoutContext(t)
	go func() {
		res, err := c.Call(ctx, versionQuery())
		results <- CallResult{Response: res, Err: err}
	}()
	<-running
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	eventually(t, "server closing", s.isClosing)
	_, err := c.Call(ctx, versionQuery())
	is.True(errors.Is(err, ErrNotSent)) // refused before it is read
	is.Equal(count(scope, metricRefusedConnections, "closing") > 0, true)
	close(finish)
	got := <-results
	is.NoErr(got.Err)
	is.Equal(got.Response.GetVersion().GetVersion(), uint64(42))
	is.NoErr(<-closed)
	is.Equal(count(scope, "link_server_drains_cut", ""), int64(0))
}

// Guards against a client that aborts calls in progress when it changes servers.
func TestClientSwitchesWithoutAbortingCalls(t *testing.T) {
	for _, how := range []string{"shutdown", "move"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			slow := newFakeHandler()
			running, finish := make(chan struct{}), make(chan struct{})
			slow.call = func(context.Context, Peer, *controlpb.Request) *controlpb.Response {
				close(running)
				<-finish
				return versionReply(42)
			}
			a, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), slow, ServerOptions{DrainTimeout: testTimeout})
			b, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c2"), newFakeHandler(), ServerOptions{})
			c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), a.Addr().String(), b.Addr().String())
			eventually(t, "connected", func() bool { return c.Address() != "" })
			if c.Address() != a.Addr().String() {
				c.Move(a.Addr().String())
			}
			eventually(t, "connected to the slow server", func() bool { return c.Address() == a.Addr().String() })
			ctx := timeoutContext(t)
			results := make(chan CallResult, 1)
			go func() {
				res, err := c.Call(ctx, versionQuery())
				results <- CallResult{Response: res, Err: err}
			}()
			<-running
			closed := make(chan error, 1)
			if how == "shutdown" {
				go func() { closed <- a.Close() }()
			} else {
				closed <- nil
				c.Move("")
			}
			eventually(t, "connected to the other server", func() bool { return c.Address() == b.Addr().String() })
			res, err := c.Call(ctx, versionQuery())
			is.NoErr(err)
			is.Equal(res.GetVersion().GetVersion(), uint64(7))
			close(finish)
			got := <-results
			is.NoErr(got.Err)
			is.Equal(got.Response.GetVersion().GetVersion(), uint64(42))
			is.NoErr(<-closed)
			if how == "shutdown" {
				is.Equal(count(scope, metricLostConnections, reasonShutdown), int64(1))
			}
			is.Equal(count(scope, metricLostConnections, reasonUnresponsive), int64(0))
		})
	}
}

func TestCallEachReachesEveryServer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	var addrs []string
	for i := range 3 {
		h := newFakeHandler()
		h.call = func(context.Context, Peer, *controlpb.Request) *controlpb.Response {
			return versionReply(uint64(i + 1))
		}
		s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c"), h, ServerOptions{})
		addrs = append(addrs, s.Addr().String())
		if i == 2 {
			is.NoErr(s.Close())
		}
	}
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), addrs...)
	results := c.CallEach(timeoutContext(t), versionQuery())
	is.Equal(len(results), 3)
	versions := make(map[string]uint64)
	for _, result := range results {
		if result.Err == nil {
			versions[result.Address] = result.Response.GetVersion().GetVersion()
		} else {
			is.True(errors.Is(result.Err, ErrNotSent))
		}
	}
	is.Equal(versions, map[string]uint64{addrs[0]: 1, addrs[1]: 2})
}

func TestMoveChangesServer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	a, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), newFakeHandler(), ServerOptions{})
	b, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c2"), newFakeHandler(), ServerOptions{})
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), a.Addr().String(), b.Addr().String())
	mustCall(t, c)
	first := c.Address()
	c.Move("")
	eventually(t, "connected to another server", func() bool { return c.Address() != "" && c.Address() != first })
	c.Move(first)
	eventually(t, "connected to the named server", func() bool { return c.Address() == first })
	is.Equal(count(scope, metricLostConnections, reasonMoved), int64(2))
}

// Guards against a move that ends at the server that was left, after servers have named the
// same addresses again.
func TestMoveDoesNotReturnToServerJustLeft(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	var addrs []string
	for range 3 {
		s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c"), newFakeHandler(), ServerOptions{})
		addrs = append(addrs, s.Addr().String())
	}
	c, _ := startClient(t, d.credentials(keys.RoleEntry, "e1"), fastOptions(), addrs...)
	mustCall(t, c)
	const moves = 30
	for range moves {
		left, reconnected := c.Address(), c.Reconnected()
		c.SetLearnedAddresses(addrs)
		c.Move("")
		<-reconnected
		is.True(c.Address() != left)
	}
}

// Guards against a move that loses the only server that replies, and what it is subscribed to.
func TestMoveKeepsConnectionIfNoOtherServerReplies(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newFakeHandler()
	s, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c1"), h, ServerOptions{})
	gone, _ := startServer(t, anyPort, d.credentials(keys.RoleControl, "c2"), newFakeHandler(), ServerOptions{})
	is.NoErr(gone.Close())
	opts := fastOptions()
	opts.DialTimeout = 50 * time.Millisecond
	c, scope := startClient(t, d.credentials(keys.RoleEntry, "e1"), opts, s.Addr().String(), gone.Addr().String(), startUnresponsive(t))
	sub, err := c.Subscribe(timeoutContext(t), &controlpb.Subscribe{})
	is.NoErr(err)
	defer sub.Close()
	const attempts = 4
	for i := range attempts {
		before := count(scope, metricDialFailures, "timeout")
		c.Move("")
		eventually(t, "another server tried", func() bool { return count(scope, metricDialFailures, "timeout") > before })
		is.Equal(c.Address(), s.Addr().String())
		h.updates <- update(uint64(i))
		u, err := sub.Receive()
		is.NoErr(err)
		is.Equal(u.GetHeartbeat().GetVersion(), uint64(i))
	}
	is.Equal(count(scope, metricLostConnections, ""), int64(0))
}

func TestClosedClient(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	c := NewClient(nil, d.credentials(keys.RoleEntry, "e1"), fastOptions())
	c.Close()
	_, err := c.Call(timeoutContext(t), versionQuery())
	is.True(errors.Is(err, ErrClosed))
}
