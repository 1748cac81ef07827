package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// keyHolders returns the processes that hold keys.
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
// certificates by the steps of the operators' page, beside traffic and an open
// session. Afterwards links, flows and the operators' API work by the new one
// alone.
func TestAuthorityRotationKeepsSessions(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	folder := d.KeyFolder()
	d.Renew(func() error { return keys.AddAuthority(folder) }, d.keyHolders()...)
	load.progress()
	is.NoErr(keys.PreferAuthority(folder))
	d.RenewCallerCertificate(func() error {
		d.Renew(d.IssueAgain, d.keyHolders()...)
		return nil
	}, d.agents()...)
	load.progress()
	d.Renew(func() error { return keys.RemoveAuthority(folder) }, d.keyHolders()...)
	load.progress()

	d.controls[0].Terminate() // its links are made anew
	d.controls[0].WaitExit()
	d.controls[0].Relaunch()
	d.StartEntry()
	d.Patch(d.lodgement.Put())
	d.checkEchoes(t, "by the new authority", 3)
	load.stop()
}

// TestDataSecretRotationKeepsSessions replaces the data secret beside traffic and
// an open session. Flows that began once the new secret was preferred outlive
// the removal of the former one.
func TestDataSecretRotationKeepsSessions(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	former := d.startLoad(t)
	folder := d.KeyFolder()
	var added uint8
	d.Renew(func() (err error) {
		added, err = keys.AddDataSecret(folder)
		return err
	}, d.keyHolders()...)
	former.progress()
	is.True(added != 0)
	d.Renew(func() error { return keys.PreferDataSecret(folder, added) }, d.keyHolders()...)
	former.progress()
	later := d.startLoad(t)
	former.stop()
	d.Renew(func() error { return keys.RemoveDataSecret(folder, 0) }, d.keyHolders()...)
	later.progress()
	d.checkEchoes(t, "by the new secret", 3)
	later.stop()
}
