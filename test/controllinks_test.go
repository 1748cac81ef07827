package test

import (
	"testing"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestUnresponsiveControlLinks drops all packets of every open control link, in one
// direction or both, while new links work.
func TestUnresponsiveControlLinks(t *testing.T) {
	for name, directions := range map[string][]faultproxy.Direction{
		"both ways":    {faultproxy.ToHost, faultproxy.ToCaller},
		"to control":   {faultproxy.ToHost},
		"from control": {faultproxy.ToCaller},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // each deployment has its own addresses
			d := &deployment{Cluster: processtest.New(t)}
			d.controls = d.StartControls(1)
			link := d.controls[0].Relay()
			d.lodgement = d.NewService("lodgement")
			d.certificates = d.NewService("certificates")
			d.Patch(d.lodgement.PutSection(), d.certificates.PutSection())
			entry := d.StartEntry(link.Addr())
			for _, s := range d.services() {
				s.StartTarget("a", link.Addr())
			}
			load := d.startLoad(t)
			link.CutFlows(directions...)
			version := d.Patch(d.lodgement.PutSection())
			d.WaitActive(version, entry.Host, "lodgement-a", "certificates-a")
			load.progress()
			load.stop()
		})
	}
}
