package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestLyingEndpointsKeepTheServiceUp lets every backend server lie in the same
// way. All of them work, so every request is answered.
func TestLyingEndpointsKeepTheServiceUp(t *testing.T) {
	for name, faults := range map[string][]string{
		"always ill":                 {"--fault-health=ill"},
		"frozen":                     {"--fault-health=frozen", "--fault-load=stale"},
		"ill and idle":               {"--fault-health=ill", "--fault-load=idle"},
		"well and full":              {"--fault-health=well", "--fault-load=full"},
		"frozen health, always full": {"--fault-health=frozen", "--fault-load=full"},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployWith(t, 1, processtest.TargetOptions{Faults: faults})
			load := d.startLoad(t)
			for i := range 10 {
				d.checkEchoes(t, fmt.Sprint("lying ", i), 2)
			}
			load.progress()
			load.stop()
		})
	}
}

// TestOneLiarAmongHonest lets one of three backend servers lie. A broken one
// that claims to be well is avoided by what its agent sees; a working one that
// claims to be ill and full takes flows again for the same reason.
func TestOneLiarAmongHonest(t *testing.T) {
	t.Run("broken, claims to be well and idle", func(t *testing.T) {
		d := deploy(t, 1)
		liar := d.lodgement.StartTargetWith("liar", processtest.TargetOptions{
			Faults: []string{"--fault-broken", "--fault-health=well", "--fault-load=idle"},
		})
		d.avoidsLiar(t, liar)
	})
	t.Run("working, claims to be ill and full", func(t *testing.T) {
		d := deploy(t, 1)
		liar := d.lodgement.StartTargetWith("liar", processtest.TargetOptions{
			Faults: []string{"--fault-health=ill", "--fault-load=full"},
		})
		load := d.startLoad(t)
		d.callerOf(t, liar)
		load.progress()
		load.stop()
	})
}

// avoidsLiar sends new flows until the liar takes none of them.
func (d *deployment) avoidsLiar(t *testing.T, liar *processtest.Target) {
	t.Helper()
	const flows = 20
	broken := func() int {
		n := 0
		for i := range flows {
			if liar.Answered(d.lodgement.NewCaller().Echo(fmt.Sprint(i))) {
				n++
			}
		}
		return n
	}
	processtest.Eventually(t, "a flow reaches the liar", func() bool { return broken() > 0 })
	processtest.Eventually(t, "the liar takes no new flow", func() bool { return broken() == 0 })
	is.New(t).True(liar.Backend.Running())
}
