package test

import (
	"testing"

	"github.com/matryer/is"
)

func TestEntryHostsReplaced(t *testing.T) {
	d := deploy(t, 1)
	load := d.startLoad(t)
	d.entries[0].Kill()
	load.progress() // the fabric still sends half of the packets to the killed host
	d.entries[0].RemoveFromFabric()
	d.StartEntry()
	load.progress()
	d.entries[1].Kill()
	d.entries[1].RemoveFromFabric()
	load.progress() // no original entry host is left
	load.stop()
}

func TestEntryHostRestarts(t *testing.T) {
	d := deploy(t, 1)
	load := d.startLoad(t)
	for _, e := range d.entries {
		e.Terminate()
		e.WaitCleanExit()
		load.progress()
		e.Launch()
		e.WaitReady()
		load.progress()
	}
	load.stop()
}

func TestEntryHostsAtDifferentVersions(t *testing.T) {
	is := is.New(t)
	const patches = 200
	d := deploy(t, 1)
	link := d.controls[0].Relay()
	lagging := d.StartEntry(link.Addr())
	load := d.startLoad(t)
	link.Cut()
	var version uint64
	extra := d.NewService("extra")
	for range patches / 2 {
		d.Patch(extra.PutSection())
		version = d.Patch(extra.RemoveSection())
	}
	d.WaitActive(version, d.entries[0].Host, d.entries[1].Host)
	load.progress()
	for _, e := range d.entries {
		e.RemoveFromFabric() // only the host that missed every patch is left
	}
	load.progress()
	d.checkEchoes(t, "old version", 3)
	link.Heal()
	d.WaitActive(version, lagging.Host)
	load.stop()
	is.True(lagging.Running())
}
