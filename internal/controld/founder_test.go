package controld_test

import (
	"testing"

	"github.com/matryer/is"
)

// If no initial voter has a durable log, one of the joining hosts bootstraps the groups,
// and only durable hosts vote.
func TestBootstrapWithTransientSeeds(t *testing.T) {
	for name, startOrder := range map[string][]string{
		"seeds first": {"s1", "s2", "s3", "d1", "d2", "d3"},
		"seeds last":  {"d3", "d2", "d1", "s3", "s2", "s1"},
		"mixed":       {"d2", "s2", "d1", "s1", "d3", "s3"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, "s1", "s2", "s3", "d1", "d2", "d3")
			d.removeAfterMs = 30_000
			d.voters = d.voters[:3]
			d.transient = map[string]bool{"s1": true, "s2": true, "s3": true}
			for _, host := range startOrder {
				d.start(host, "", !d.transient[host])
			}
			for _, host := range startOrder {
				d.awaitVoters(host, 3, host, !d.transient[host])
			}
			d.accept(d.operator("s2"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
			for _, host := range startOrder {
				eventually(t, "the version on the host", func() bool { return d.status(host).Version == 1 })
			}
			names, _ := d.votersSeenBy("s3")
			is.Equal(names, map[string]bool{"d1": true, "d2": true, "d3": true})
		})
	}
}

// The founder restarts before any other host has joined.
func TestBootstrapWithOneTransientSeed(t *testing.T) {
	d := newDeployment(t, "s1", "d1", "d2", "d3")
	d.removeAfterMs = 30_000
	d.voters = d.voters[:1]
	d.transient = map[string]bool{"s1": true}
	d.start("s1", "", false)
	d.start("d1", "", true)
	d.awaitVoters("s1", 1, "d1", true)
	data := d.stop("d1").data
	d.start("d2", "", true)
	d.start("d1", data, true)
	d.start("d3", "", true)
	d.awaitVoters("s1", 3, "d3", true)
	d.accept(d.operator("d2"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
}
