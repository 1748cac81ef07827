package test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// missedVersions is how many versions a stale host misses.
const missedVersions = 300

// Log messages of a subscriber that leaves a stale host: because another one is known
// to have a newer version, or because the host says that it knows no leader. Which one
// comes first depends on how long the host has been cut off.
const (
	movingMessage  = "moving to a control host with a newer version"
	leavingMessage = "leaving an isolated control host"
)

// createVersions makes versions after base through the hosts and returns the
// last one.
func (d *deployment) createVersions(t *testing.T, base uint64, through ...*processtest.Control) uint64 {
	t.Helper()
	s := d.startStream(base, through...)
	processtest.Eventually(t, "hundreds of versions", func() bool {
		return s.version.Load() >= base+missedVersions
	})
	version, _ := s.end()
	return version
}

// deployWithStaleHost has a control host that missed hundreds of versions.
func deployWithStaleHost(t *testing.T) (d *deployment, stale *processtest.Control, undo func(), newest uint64) {
	t.Helper()
	d = deployRelayed(t)
	stale = d.Leader().Others()[0]
	d.waitVersion(t, stale, 1)
	undo = cutPeerLinks(stale, faultproxy.ToHost, faultproxy.ToCaller)
	processtest.Eventually(t, "the host knows that it is cut off", func() bool {
		s := stale.Status()
		return s != nil && s.Groups[0].Leader == ""
	})
	newest = d.createVersions(t, 1, stale.Others()...)
	return d, stale, undo, newest
}

// TestStaleControlHostRejoins cuts a control host off through hundreds of versions and
// lets it return: it unseats nobody and serves no old read, and the entry host
// beside it, which nothing else told more, goes to the newest version in one
// step.
func TestStaleControlHostRejoins(t *testing.T) {
	is := is.New(t)
	d, stale, undo, newest := deployWithStaleHost(t)
	beside := d.StartEntry(stale.Link) // acts on what no quorum confirmed, after a while
	is.Equal(beside.ActedOn(), []uint64{1})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	cfg, confirmed, err := d.Client(stale.Operator).Config(ctx, 0)
	is.NoErr(err)
	is.Equal(cfg.GetVersion(), uint64(1))
	is.Equal(confirmed, false) // it says that it may be old
	// Only a higher term could unseat a leader.
	is.True(stale.Status().Groups[0].Term <= stale.Others()[0].Status().Groups[0].Term)

	undo()
	d.InForce(newest, beside.Host)
	d.waitVersion(t, stale, newest)
	is.Equal(beside.ActedOn(), []uint64{1, newest}) // no version in between
	for _, e := range d.entries {
		checkMonotonic(t, e.ActedOn(), newest)
	}
}

// TestEntryHostRestartWithStaleControlHost restarts an entry host that reaches the stale
// control host and one that knows more, until it began beside the stale one
// several times: it never acts on the old version.
func TestEntryHostRestartWithStaleControlHost(t *testing.T) {
	is := is.New(t)
	const moves, most = 3, 40
	d, stale, _, newest := deployWithStaleHost(t)
	e := d.LaunchEntry(stale.Link, stale.Others()[0].Link)
	moved, starts := 0, 0
	for ; moved < moves && starts < most; starts++ {
		e.WaitReady()
		d.InForce(newest, e.Host)
		is.Equal(e.ActedOn(), []uint64{newest})
		moved += min(e.Logged(movingMessage)+e.Logged(leavingMessage), 1)
		e.Kill()
		e.Launch()
	}
	t.Logf("%d of %d starts began beside the stale host", moved, starts)
	is.True(moved >= moves)
}

// TestEntryHostCatchesUpInOneStep cuts an entry host off through hundreds of
// versions. When the path works again it may still get the one version that was
// on its way when the cut came, and then goes to the newest.
func TestEntryHostCatchesUpInOneStep(t *testing.T) {
	is := is.New(t)
	d := deployRelayed(t)
	link := d.controls[0].Relay()
	e := d.StartEntry(link.Addr())
	link.Cut()
	newest := d.createVersions(t, 1, d.controls...)
	link.Heal()
	d.InForce(newest, e.Host)
	acted := e.ActedOn()
	checkMonotonic(t, acted, newest)
	is.Equal(acted[0], uint64(1))
	is.True(len(acted) <= 3)
}
