package subscriber

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

func TestConfirmedVersionIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(3), true)
	c := d.client(d.listen(anyPort, h))
	s, scope, _ := start(t, c, func(o *Options) { o.QueryDelay = testTimeout })
	awaitReady(t, s)
	is.Equal(s.View().Config.GetVersion(), uint64(3))
	is.True(s.View().Connected)
	is.Equal(count(scope, metricQueryRounds, ""), int64(0)) // no other host was queried
	h.set(func() { h.config = configuration(4) })
	eventually(t, "version 4", func() bool { return s.View().Config.GetVersion() == 4 })
	is.Equal(s.View().Config.GetServices()[0].GetSlots(), uint32(4))
	eventually(t, "version 4 reported", func() bool {
		var last uint64
		h.read(func() { last = h.heartbeats[len(h.heartbeats)-1] })
		return last == 4
	})
}

func TestNoConfigurationYet(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(&configpb.Configuration{}, true)
	s, _, _ := start(t, d.client(d.listen(anyPort, h)), nil)
	awaitReady(t, s)
	is.Equal(s.View().Config.GetVersion(), uint64(0))
	h.set(func() { h.config = configuration(1) })
	eventually(t, "version 1", func() bool { return s.View().Config.GetVersion() == 1 })
}

func TestUnconfirmedVersionAfterDelay(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(3), false)
	const wait = 300 * time.Millisecond
	begun := time.Now()
	s, scope, _ := start(t, d.client(d.listen(anyPort, h)), func(o *Options) { o.UnconfirmedDelay = wait })
	awaitReady(t, s)
	is.True(time.Since(begun) >= wait) // it can only be later
	is.Equal(count(scope, metricUnconfirmed, ""), int64(1))
	is.True(count(scope, metricQueryRounds, "") >= 1)
	is.Equal(s.View().Config.GetVersion(), uint64(3))
}

func TestConfirmationEndsDelay(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(3), false)
	s, scope, _ := start(t, d.client(d.listen(anyPort, h)), nil)
	eventually(t, "queried", func() bool { return count(scope, metricQueryRounds, "") >= 2 })
	is.Equal(s.View().Config, nil)
	h.set(func() { h.confirmed = true })
	awaitReady(t, s)
	is.Equal(count(scope, metricUnconfirmed, ""), int64(0))
}

// A restarted process must not use the old version of a stale control host if another
// one has a newer version.
func TestStartUsesNewestVersion(t *testing.T) {
	for _, first := range []int{0, 1} {
		is := is.New(t)
		d := newDeployment(t)
		stale := newControlHost(configuration(5), false)
		fresh := newControlHost(configuration(9), false)
		a, b := d.listen(anyPort, stale), d.listen(anyPort, fresh)
		c := d.client(a, b)
		if first == 1 {
			c.Move(a.Addr().String())
		}
		s, scope, rec := start(t, c, func(o *Options) { o.UnconfirmedDelay = 100 * time.Millisecond })
		awaitReady(t, s)
		is.Equal(s.View().Config.GetVersion(), uint64(9))
		is.Equal(count(scope, metricUnconfirmed, ""), int64(1))
		rec.requireMonotonic(t)
	}
}

// If the control host with the newer version becomes unreachable, neither the delay nor
// a confirmation activates an older version.
func TestStartWaitsForKnownNewerVersion(t *testing.T) {
	is := is.New(t)
	var v versions
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	_, err := v.receive(&controlpb.ConfigUpdate{Snapshot: configuration(5), Version: 5}, at(0))
	is.NoErr(err)
	changed, newer := v.recordVersions([]hostVersion{{address: "a", version: 5}, {address: "b", version: 9}})
	is.True(!changed)
	is.Equal(newer, "b")
	is.True(!v.activateUnconfirmed(at(3600), time.Second))
	changed, err = v.receive(&controlpb.ConfigUpdate{Snapshot: configuration(5), Version: 5, Confirmed: true}, at(3601))
	is.NoErr(err)
	is.True(!changed)
	changed, err = v.receive(&controlpb.ConfigUpdate{Snapshot: configuration(9), Version: 9, Confirmed: true}, at(3602))
	is.NoErr(err)
	is.True(changed)
	is.Equal(v.active.GetVersion(), uint64(9))
}

// A control host that restarts with an older state must not revert the active version.
func TestStaleControlHostNeverReverts(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(9), true)
	server := d.listen(anyPort, h)
	c := d.client(server)
	s, scope, rec := start(t, c, func(o *Options) { o.Freshness.Limit = testTimeout })
	awaitReady(t, s)
	is.NoErr(server.Close())
	eventually(t, "disconnected", func() bool { return !s.View().Connected })

	stale := newControlHost(configuration(5), true)
	d.listen(server.Addr().String(), stale)
	eventually(t, "older update refused", func() bool { return count(scope, metricRefusedUpdates, "older") > 0 })
	is.Equal(s.View().Config.GetVersion(), uint64(9))
	var requested uint64
	stale.read(func() { requested = stale.subscribes[0].GetVersion() })
	is.Equal(requested, uint64(9)) // the request has the active version

	stale.set(func() { stale.config = configuration(10) })
	eventually(t, "version 10", func() bool { return s.View().Config.GetVersion() == 10 })
	rec.requireMonotonic(t)
}

func TestMovesFromLaggingControlHost(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	one, two := newControlHost(configuration(9), true), newControlHost(configuration(9), true)
	a, b := d.listen(anyPort, one), d.listen(anyPort, two)
	hosts := map[string]*controlHost{a.Addr().String(): one, b.Addr().String(): two}
	c := d.client(a, b)
	s, scope, rec := start(t, c, func(o *Options) { o.Freshness.Limit = time.Second })
	awaitReady(t, s)
	first := c.Address()
	hosts[first].set(func() { hosts[first].config = configuration(7) })
	eventually(t, "subscription ended", func() bool { return count(scope, metricEndedSubscriptions, "behind") == 1 })
	eventually(t, "connected to the other host", func() bool { return s.View().Connected && c.Address() != first })
	is.Equal(s.View().Config.GetVersion(), uint64(9))
	rec.requireMonotonic(t)
}

// Subscribers move away from a control host that is partitioned from the others, but do
// not cycle among hosts that all are.
func TestMovesFromIsolatedControlHost(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	one, two := newControlHost(configuration(9), true), newControlHost(configuration(9), true)
	a, b := d.listen(anyPort, one), d.listen(anyPort, two)
	hosts := map[string]*controlHost{a.Addr().String(): one, b.Addr().String(): two}
	c := d.client(a, b)
	s, scope, _ := start(t, c, func(o *Options) { o.Freshness.BackoffMin, o.Freshness.BackoffMax = testTimeout, testTimeout })
	awaitReady(t, s)
	isolated := &controlpb.SubscribeUpdate{Heartbeat: &controlpb.Heartbeat{Version: 9, Isolated: true}}
	first := c.Address()
	hosts[first].raw <- isolated
	eventually(t, "subscription ended", func() bool { return count(scope, metricEndedSubscriptions, "isolated") == 1 })
	eventually(t, "connected to the other host", func() bool { return s.View().Connected && c.Address() != first })
	second := c.Address()
	hosts[second].raw <- isolated
	hosts[second].raw <- isolated // received on a subscription that was kept
	is.Equal(c.Address(), second)
}

// Guards against staying on an old version with an isolated control host that was reached
// right after another one was left, and that says only once that it is isolated.
func TestLeavesIsolatedHostReachedByMove(t *testing.T) {
	d := newDeployment(t)
	one, two := newControlHost(configuration(9), true), newControlHost(configuration(9), true)
	a, b := d.listen(anyPort, one), d.listen(anyPort, two)
	hosts := map[string]*controlHost{a.Addr().String(): one, b.Addr().String(): two}
	c := d.client(a, b)
	s, _, _ := start(t, c, nil)
	awaitReady(t, s)
	first := c.Address()
	for address, h := range hosts {
		if address != first {
			h.set(func() { h.isolated = true })
		}
	}
	hosts[first].set(func() { hosts[first].isolated = true })
	eventually(t, "the first host was left", func() bool { return s.View().Connected && c.Address() != first })
	hosts[first].set(func() { hosts[first].isolated, hosts[first].config = false, configuration(10) })
	eventually(t, "version 10", func() bool { return s.View().Config.GetVersion() == 10 })
}

func TestSnapshotAfterDeltaGap(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(3), true)
	s, scope, rec := start(t, d.client(d.listen(anyPort, h)), nil)
	awaitReady(t, s)
	h.raw <- &controlpb.SubscribeUpdate{Config: &controlpb.ConfigUpdate{BaseVersion: 7, Version: 8}}
	eventually(t, "ended", func() bool { return count(scope, metricEndedSubscriptions, "gap") == 1 })
	h.set(func() { h.config = configuration(300) })
	eventually(t, "version 300", func() bool { return s.View().Config.GetVersion() == 300 })
	var again uint64
	h.read(func() { again = h.subscribes[1].GetVersion() })
	is.Equal(again, uint64(0)) // requests a full configuration
	// No version in between was active.
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, v := range rec.versions {
		is.True(v == 3 || v == 300)
	}
}

func TestDirectoryIsKeptWhileDisconnected(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	h.directory = &controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1, Full: true, Put: []*controlpb.TargetRecord{record(1, 1, 1)}}
	server := d.listen(anyPort, h)
	s, _, _ := start(t, d.client(server), nil)
	awaitReady(t, s)
	eventually(t, "directory", func() bool { return len(s.View().Targets) == 1 })
	is.NoErr(server.Close())
	eventually(t, "disconnected", func() bool { return !s.View().Connected })
	is.Equal(len(s.View().Targets), 1)
	is.Equal(s.View().Config.GetVersion(), uint64(1))
	is.True(s.View().Age(0, time.Now()) >= time.Second) // the record is a second old
}

func TestInactiveSubscriptionIsEnded(t *testing.T) {
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	s, scope, _ := start(t, d.client(d.listen(anyPort, h)), func(o *Options) { o.ReceiveTimeout = time.Millisecond })
	eventually(t, "receive timeout", func() bool { return count(scope, metricEndedSubscriptions, "silent") > 0 })
	s.Close()
}
