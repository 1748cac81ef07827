package test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// missedVersions is the number of versions that a stale host misses.
const missedVersions = 300

// Log messages of a subscriber that moves from a stale host, because another host has
// a newer version or because the stale one cannot confirm its own.
const (
	movingMessage  = "moving to a control host with a newer version"
	leavingMessage = "leaving a control host without a confirmed version"
)

// createVersions creates versions after base through the hosts and returns the last
// one.
func (d *deployment) createVersions(t *testing.T, base uint64, through ...*processtest.Control) uint64 {
	t.Helper()
	s := d.startStream(base, through...)
	processtest.Eventually(t, "hundreds of versions", func() bool {
		return s.version.Load() >= base+missedVersions
	})
	version, _ := s.end()
	return version
}

// deployWithStaleHost starts a deployment with a control host that missed hundreds of
// versions.
func deployWithStaleHost(t *testing.T) (d *deployment, stale *processtest.Control, heal func(), newest uint64) {
	t.Helper()
	d = deployRelayed(t)
	stale = d.Leader().Others()[0]
	d.waitVersion(t, stale, 1)
	heal = cutPeerLinks(stale, faultproxy.ToHost, faultproxy.ToCaller)
	processtest.Eventually(t, "the cut-off host has no leader", func() bool {
		s := stale.Status()
		return s != nil && s.Groups[0].Leader == ""
	})
	newest = d.createVersions(t, 1, stale.Others()...)
	return d, stale, heal, newest
}

// TestStaleControlHostRejoins partitions a control host for hundreds of versions and
// heals it. It forces no election, marks its reads as unconfirmed, and its subscriber
// goes to the newest version in one step.
func TestStaleControlHostRejoins(t *testing.T) {
	is := is.New(t)
	d, stale, heal, newest := deployWithStaleHost(t)
	entry := d.StartEntry(stale.Link) // activates the unconfirmed version after a delay
	is.Equal(entry.ActiveVersions(), []uint64{1})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	cfg, confirmed, err := d.Client(stale.Operator).Config(ctx, 0)
	is.NoErr(err)
	is.Equal(cfg.GetVersion(), uint64(1))
	is.Equal(confirmed, false) // the version may be old
	// Only a higher term could depose the leader.
	is.True(stale.Status().Groups[0].Term <= stale.Others()[0].Status().Groups[0].Term)

	heal()
	d.WaitActive(newest, entry.Host)
	d.waitVersion(t, stale, newest)
	is.Equal(entry.ActiveVersions(), []uint64{1, newest}) // no version in between
	for _, e := range d.entries {
		checkMonotonic(t, e.ActiveVersions(), newest)
	}
}

// TestEntryHostRestartWithStaleControlHost restarts an entry host that reaches a stale
// and a current control host, until it connected to the stale one first several times.
// It never activates the old version.
func TestEntryHostRestartWithStaleControlHost(t *testing.T) {
	is := is.New(t)
	const moves, maxStarts = 3, 40
	d, stale, _, newest := deployWithStaleHost(t)
	e := d.LaunchEntry(stale.Link, stale.Others()[0].Link)
	moved, starts := 0, 0
	for ; moved < moves && starts < maxStarts; starts++ {
		e.WaitReady()
		d.WaitActive(newest, e.Host)
		is.Equal(e.ActiveVersions(), []uint64{newest})
		moved += min(e.LogCount(movingMessage)+e.LogCount(leavingMessage), 1)
		e.Kill()
		e.Launch()
	}
	t.Logf("%d of %d starts connected to the stale host first", moved, starts)
	is.True(moved >= moves)
}

// TestEntryHostCatchesUpInOneStep cuts the control link of an entry host for hundreds
// of versions. After healing it may activate one version that was in flight, then the
// newest.
func TestEntryHostCatchesUpInOneStep(t *testing.T) {
	is := is.New(t)
	d := deployRelayed(t)
	link := d.controls[0].Relay()
	e := d.StartEntry(link.Addr())
	link.Cut()
	newest := d.createVersions(t, 1, d.controls...)
	link.Heal()
	d.WaitActive(newest, e.Host)
	acted := e.ActiveVersions()
	checkMonotonic(t, acted, newest)
	is.Equal(acted[0], uint64(1))
	is.True(len(acted) <= 3)
}
