package test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// operatorAddresses returns the operator addresses of control hosts.
func operatorAddresses(hosts []*processtest.Control) []netip.AddrPort {
	var all []netip.AddrPort
	for _, host := range hosts {
		all = append(all, host.Operator)
	}
	return all
}

// TestLeaderKilledDuringPatches kills the leader during a sequence of patches and
// resends each one until its outcome is known. Each applies exactly once, in order.
func TestLeaderKilledDuringPatches(t *testing.T) {
	is := is.New(t)
	const rounds, patches = 4, 6
	d := deploy(t, 3)
	load := d.startLoad(t)
	version := uint64(1)
	for range rounds {
		leader := d.Leader()
		var loss conc.WaitGroup
		for i := range patches {
			known := d.SubmitUntilKnown(version, fmt.Sprint("to-", version+1), d.lodgement.PutSection())
			is.Equal(known.Verdict, processtest.Accepted)
			is.Equal(known.Version, version+1)
			version++
			if i == 1 {
				loss.Go(leader.Kill)
			}
		}
		loss.Wait()
		leader.Launch()
		leader.WaitReady()
	}
	d.WaitActive(version, d.entryNames()...)
	for v := uint64(2); v <= version; v++ {
		is.Equal(d.Show(fmt.Sprint("to-", v)).Version, v) // no outcome was lost
	}
	load.progress()
	load.stop()
}

// TestControlHostsRollingRestart stops each control host gracefully while
// non-repeatable requests run. None is interrupted and none runs twice.
func TestControlHostsRollingRestart(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	target := d.targets[d.lodgement][0]
	for _, host := range d.controls {
		inFlight := d.startRequests(t, target, 2)
		host.Terminate()
		host.WaitCleanExit()
		for _, result := range inFlight.wait() {
			is.Equal(result, completed)
		}
		host.Launch()
		host.WaitReady()
	}
	for i := range d.inFlight {
		is.Equal(d.runs(fmt.Sprint("in flight ", i+1)), 1)
	}
	d.WaitActive(d.Patch(d.lodgement.PutSection()), d.entryNames()...)
	load.progress()
	load.stop()
}

// TestControlHostDiskLoss replaces a host with an empty data directory and then kills
// another one. No accepted patch may be lost.
func TestControlHostDiskLoss(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	lost := d.Leader()
	lost.Kill()
	lost.RemoveDataDir()
	is.Equal(d.SubmitUntilKnown(1, "without-the-host", d.lodgement.PutSection()).Version, uint64(2))
	lost.Launch()
	lost.WaitReady()
	lost.Replace()
	is.Equal(d.SubmitUntilKnown(2, "with-the-new-replica", d.lodgement.PutSection()).Version, uint64(3))
	lost.Others()[0].Kill()
	is.Equal(d.SubmitUntilKnown(3, "after-the-second-loss", d.lodgement.PutSection()).Version, uint64(4))
	is.Equal(d.Show("without-the-host").Version, uint64(2))
	is.Equal(d.Show("with-the-new-replica").Version, uint64(3))
	d.WaitActive(4, d.entryNames()...)
	load.progress()
	load.stop()
}

// TestConcurrentOperators submits patches against one version through all control
// hosts at once. Exactly one is accepted; the others learn which one.
func TestConcurrentOperators(t *testing.T) {
	is := is.New(t)
	const rounds, submitters = 4, 6
	d := deploy(t, 3)
	base := uint64(1)
	for round := range rounds {
		outcomes := make([]processtest.Outcome, submitters)
		var submissions conc.WaitGroup
		for i := range submitters {
			host := d.controls[i%len(d.controls)]
			submissions.Go(func() {
				id := fmt.Sprintf("round-%d-racer-%d", round, i)
				outcomes[i] = d.Submit(base, id, []string{d.lodgement.PutSection()}, host.Operator)
			})
		}
		submissions.Wait()
		winner := ""
		for i, o := range outcomes {
			if o.Verdict == processtest.Accepted {
				is.Equal(winner, "") // one winner only
				winner = fmt.Sprintf("round-%d-racer-%d", round, i)
			}
		}
		is.True(winner != "")
		for _, o := range outcomes {
			is.Equal(o.Version, base+1)
			if o.Verdict != processtest.Accepted {
				is.Equal(o.Verdict, processtest.RefusedBase)
				is.Equal(o.VersionPatch, winner)
			}
		}
		base++
	}
	d.WaitActive(base, d.entryNames()...)
}

// TestMinorityRefusesPatches leaves one of three control hosts. It accepts nothing,
// established flows go on, and the refused patch leaves no trace when the others
// return.
func TestMinorityRefusesPatches(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	last := d.controls[0]
	for _, host := range last.Others() {
		host.Kill()
	}
	o := d.Submit(1, "minority", []string{d.lodgement.PutSection()}, last.Operator)
	is.True(o.Verdict == processtest.NotApplied || o.Verdict == processtest.Unknown)
	is.Equal(d.Show("minority", last.Operator).Verdict, processtest.Unknown)
	answer := d.lodgement.NewCaller().MustDo(http.MethodPost,
		processtest.RunPath(0), processtest.KeyHeader("minority"), nil)
	checkUnknownWithRetryAfter(t, answer)
	is.Equal(answer.Reason, "grant-unavailable") // no attempt holds the key
	is.Equal(d.runs("minority"), 0)
	load.progress()
	for _, host := range last.Others() {
		host.Launch()
		host.WaitReady()
	}
	is.Equal(d.SubmitUntilKnown(1, "minority", d.lodgement.PutSection()).Version, uint64(2)) // exactly once, whatever the first reply was
	d.WaitActive(2, d.entryNames()...)
	load.stop()
}

// TestFrozenLeaderResumes thaws a leader after the others have elected a new one. It
// must not accept a patch against the old version.
func TestFrozenLeaderResumes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	frozen := d.Leader()
	frozen.Freeze()
	others := operatorAddresses(frozen.Others())
	var o processtest.Outcome
	processtest.Eventually(t, "the others accept a patch", func() bool {
		o = d.Submit(1, "without-the-frozen", []string{d.lodgement.PutSection()}, others...)
		return o.Verdict == processtest.Accepted
	})
	is.Equal(o.Version, uint64(2))
	frozen.Thaw()
	stale := d.Submit(1, "stale", []string{d.certificates.PutSection()}, frozen.Operator)
	is.True(stale.Verdict != processtest.Accepted)
	processtest.Eventually(t, "the thawed host returns the outcome", func() bool {
		o = d.Show("without-the-frozen", frozen.Operator)
		return o.Verdict != processtest.Unknown
	})
	is.Equal(o.Version, uint64(2))
	is.Equal(d.SubmitUntilKnown(1, "stale", d.certificates.PutSection()).Verdict, processtest.RefusedBase)
	d.WaitActive(2, d.entryNames()...)
	load.progress()
	load.stop()
}
