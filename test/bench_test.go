package test

import (
	"testing"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// BenchmarkPatches measures sequential patches of one operator on three control hosts.
func BenchmarkPatches(b *testing.B) {
	d := &deployment{Cluster: processtest.New(b)}
	d.controls = d.StartControls(3)
	d.lodgement = d.NewService("lodgement")
	base := d.Patch(d.lodgement.PutSection())
	d.Leader()
	b.ResetTimer()
	s := d.startStream(base, d.controls...)
	for s.version.Load() < base+uint64(b.N) {
		s.waitNext()
	}
	b.StopTimer()
	s.end()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "patches/s")
}
