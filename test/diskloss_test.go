package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// loseDisk kills the host and brings it back with an empty data folder.
func loseDisk(host *processtest.Control) {
	host.Kill()
	host.LoseDisk()
	host.Launch()
	host.WaitReady()
}

// checkOutcomes expects every patch so far to have its outcome.
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

// TestDisksLostOneAfterAnother loses the data folder of one host after the
// other, each right after the one before was replaced, until none of the first
// replicas is left: nothing that was accepted is lost.
func TestDisksLostOneAfterAnother(t *testing.T) {
	d := deployControls(t)
	hosts := append([]*processtest.Control{d.Leader()}, d.Leader().Others()...)
	version := uint64(0)
	for _, host := range hosts {
		loseDisk(host)
		host.Replace()
		version = d.Patch(d.lodgement.Put())
		d.checkOutcomes(t, version)
	}
	for _, host := range d.controls {
		d.waitVersion(t, host, version)
	}
}

// TestEmptyReplicaDoesNotCountForQuorum loses a data folder and then stops another host
// before the repair. The empty replica may not stand in for a quorum: nothing
// is accepted until the other host is back, and then nothing is lost.
func TestEmptyReplicaDoesNotCountForQuorum(t *testing.T) {
	is := is.New(t)
	d := deployControls(t)
	empty := d.Leader()
	second := empty.Others()[0]
	last := empty.Others()[1]
	loseDisk(empty)
	version := d.Patch(d.lodgement.Put()) // the two others go on
	second.Kill()
	processtest.Eventually(t, "the last host knows that it is alone", func() bool {
		s := last.Status()
		return s != nil && s.Groups[0].Leader == ""
	})
	o := d.Submit(version, "in-between", []string{d.lodgement.Put()}, last.Operator, empty.Operator)
	is.True(o.Verdict == processtest.NotDone || o.Verdict == processtest.Unknown)
	second.Launch()
	second.WaitReady()
	d.checkOutcomes(t, version)
	empty.Replace()
	version = d.Settle(version, "in-between", d.lodgement.Put()).Version
	for _, host := range d.controls {
		d.waitVersion(t, host, version)
	}
}
