package config_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

// services is the number of services, each with one public address.
const services = 5_500

func newFilledMachine(b *testing.B) *config.Machine {
	b.Helper()
	m := config.New()
	p := patch("first", 0)
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		p.Operations = append(p.Operations, put(service(name, fmt.Sprintf("10.0.%d.%d:443", i/250, i%250+1))))
	}
	applyPatch(b, m, p)
	return m
}

func applyPatch(b *testing.B, m *config.Machine, p *configpb.Patch) {
	b.Helper()
	data, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Patch{Patch: p}})
	must(b, err)
	m.Apply(1, data)
}

// BenchmarkPatch measures a patch of one service among many, and the sizes of the
// configuration and of the delta, in bytes.
func BenchmarkPatch(b *testing.B) {
	m := newFilledMachine(b)
	b.ResetTimer()
	for i := range b.N {
		version := m.Current().GetVersion()
		applyPatch(b, m, patch(fmt.Sprintf("p%d", i), version, put(service("service-7", fmt.Sprintf("10.0.0.8:%d", 1000+i%2)))))
	}
	b.StopTimer()
	current := m.Current()
	previous := m.Version(current.GetVersion() - 1)
	b.ReportMetric(float64(proto.Size(current))/services, "config-B/service")
	b.ReportMetric(float64(proto.Size(config.Diff(previous, current))), "delta-B")
}

// BenchmarkDiff measures the delta between two versions that differ in one service.
func BenchmarkDiff(b *testing.B) {
	m := newFilledMachine(b)
	applyPatch(b, m, patch("second", 1, put(service("service-7", "10.0.0.8:444"))))
	from, to := m.Version(1), m.Version(2)
	b.ResetTimer()
	for range b.N {
		config.Diff(from, to)
	}
}
