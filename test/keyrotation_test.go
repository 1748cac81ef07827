package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// keyHolders returns the processes that have keys.
func (d *deployment) keyHolders() []*processtest.Process {
	var all []*processtest.Process
	for _, host := range d.controls {
		all = append(all, host.Process)
	}
	for _, e := range d.entries {
		all = append(all, e.Process)
	}
	return append(all, d.agents()...)
}

func (d *deployment) agents() []*processtest.Process {
	var all []*processtest.Process
	for _, target := range d.all() {
		all = append(all, target.Agent)
	}
	return all
}

// TestAuthorityRotationKeepsSessions replaces the certificate authority and all
// certificates under traffic and an open session. Afterwards links, flows and the
// operators' API work with the new authority alone.
func TestAuthorityRotationKeepsSessions(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	keyDir := d.KeyDir()
	d.RenewKeys(func() error { return keys.AddAuthority(keyDir) }, d.keyHolders()...)
	load.progress()
	is.NoErr(keys.PreferAuthority(keyDir))
	d.RenewCallerCertificate(func() error {
		d.RenewKeys(d.ReissueCertificates, d.keyHolders()...)
		return nil
	}, d.agents()...)
	load.progress()
	d.RenewKeys(func() error { return keys.RemoveAuthority(keyDir) }, d.keyHolders()...)
	load.progress()

	d.controls[0].Terminate() // forces new links
	d.controls[0].WaitCleanExit()
	d.controls[0].Relaunch()
	d.StartEntry()
	d.Patch(d.lodgement.PutSection())
	d.checkEchoes(t, "with the new authority", 3)
	load.stop()
}

// TestDataSecretRotationKeepsSessions replaces the data secret under traffic and an
// open session. Flows opened with the new secret survive the removal of the previous
// one.
func TestDataSecretRotationKeepsSessions(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	oldLoad := d.startLoad(t)
	keyDir := d.KeyDir()
	var added uint8
	d.RenewKeys(func() (err error) {
		added, err = keys.AddDataSecret(keyDir)
		return err
	}, d.keyHolders()...)
	oldLoad.progress()
	is.True(added != 0)
	d.RenewKeys(func() error { return keys.PreferDataSecret(keyDir, added) }, d.keyHolders()...)
	oldLoad.progress()
	newLoad := d.startLoad(t)
	oldLoad.stop()
	d.RenewKeys(func() error { return keys.RemoveDataSecret(keyDir, 0) }, d.keyHolders()...)
	newLoad.progress()
	d.checkEchoes(t, "with the new secret", 3)
	newLoad.stop()
}
