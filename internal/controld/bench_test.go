package controld_test

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// BenchmarkPatchToSubscribers measures the time from submitting a patch until all
// subscribers of three hosts have its version.
func BenchmarkPatchToSubscribers(b *testing.B) {
	const links, streams = 10, 10 // per host
	d := newDeployment(b, "c1", "c2", "c3")
	d.startAll("c1", "c2", "c3")
	ops := d.operator("c1")
	d.accept(ops, patch("p0", 0, put("lodgement", "192.0.2.1:443")))
	var all []*recorder
	for _, host := range []string{"c1", "c2", "c3"} {
		for i := range links {
			c := d.link(keys.RoleEntry, fmt.Sprintf("e%d-%s", i, host), "", host)
			for range streams {
				w := d.subscribe(c, &controlpb.Subscribe{})
				w.awaitVersion(1)
				all = append(all, w)
			}
		}
	}
	b.ResetTimer()
	for i := range b.N {
		version := uint64(i) + 1
		d.accept(ops, patch(fmt.Sprintf("p%d", version), version, put("lodgement", "192.0.2.1:443")))
		var wg conc.WaitGroup
		for _, w := range all {
			wg.Go(func() { w.awaitVersion(version + 1) })
		}
		wg.Wait()
	}
	b.ReportMetric(float64(len(all)), "subscribers")
}

// BenchmarkGrant measures concurrent grants requested at one host.
func BenchmarkGrant(b *testing.B) {
	d := newDeployment(b, "c1", "c2", "c3")
	d.startAll("c1", "c2", "c3")
	d.accept(d.operator("c1"), patch("p0", 0, put("lodgement", "192.0.2.1:443")))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	ctx := testContext(b)
	eventually(b, "a first grant", func() bool {
		res, err := agent.Call(ctx, acquireRequest(1, "first", "one"))
		return err == nil && res.GetGrant() != nil
	})
	const agents = 32
	b.ResetTimer()
	var wg conc.WaitGroup
	for a := range agents {
		wg.Go(func() {
			for i := a; i < b.N; i += agents {
				res, err := agent.Call(ctx, acquireRequest(1, fmt.Sprint(i), "one"))
				if err != nil || res.GetGrant() == nil {
					b.Error("no decision", err, res)
					return
				}
			}
		})
	}
	wg.Wait()
}
