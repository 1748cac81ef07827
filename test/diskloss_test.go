package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// loseDisk kills the host and restarts it with an empty data directory.
func loseDisk(host *processtest.Control) {
	host.Kill()
	host.RemoveDataDir()
	host.Launch()
	host.WaitReady()
}

// checkOutcomes expects an outcome for every patch up to the newest version.
func (d *deployment) checkOutcomes(t *testing.T, newest uint64) {
	t.Helper()
	is := is.New(t)
	for v := uint64(1); v <= newest; v++ {
		var o processtest.Outcome
		processtest.Eventually(t, fmt.Sprint("the outcome of patch ", v), func() bool {
			o = d.Show(fmt.Sprint("patch-", v))
			return o.Verdict == processtest.Accepted
		})
		is.Equal(o.Version, v)
	}
}

// TestDisksLostOneAfterAnother loses the data directory of each host in turn, right
// after the previous one was replaced. Nothing accepted is lost.
func TestDisksLostOneAfterAnother(t *testing.T) {
	d := deployControls(t)
	hosts := append([]*processtest.Control{d.Leader()}, d.Leader().Others()...)
	version := uint64(0)
	for _, host := range hosts {
		loseDisk(host)
		host.Replace()
		version = d.Patch(d.lodgement.PutSection())
		d.checkOutcomes(t, version)
	}
	for _, host := range d.controls {
		d.waitVersion(t, host, version)
	}
}

// TestEmptyReplicaDoesNotCountForQuorum loses a data directory and stops another host
// before the repair. Nothing is accepted until the other host is back, and nothing is
// lost.
func TestEmptyReplicaDoesNotCountForQuorum(t *testing.T) {
	is := is.New(t)
	d := deployControls(t)
	empty := d.Leader()
	second := empty.Others()[0]
	last := empty.Others()[1]
	loseDisk(empty)
	version := d.Patch(d.lodgement.PutSection()) // the other two go on
	second.Kill()
	processtest.Eventually(t, "the last host has no leader", func() bool {
		s := last.Status()
		return s != nil && s.Groups[0].Leader == ""
	})
	o := d.Submit(version, "in-between", []string{d.lodgement.PutSection()}, last.Operator, empty.Operator)
	is.True(o.Verdict == processtest.NotApplied || o.Verdict == processtest.Unknown)
	second.Launch()
	second.WaitReady()
	d.checkOutcomes(t, version)
	empty.Replace()
	version = d.SubmitUntilKnown(version, "in-between", d.lodgement.PutSection()).Version
	for _, host := range d.controls {
		d.waitVersion(t, host, version)
	}
}
