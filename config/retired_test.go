package config_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

func release(address string) *configpb.Operation {
	return &configpb.Operation{Body: &configpb.Operation_ReleaseAddress{ReleaseAddress: address}}
}

func TestUnusedAddressesAreRetiredUntilReleased(t *testing.T) {
	const one, two, three = "192.0.2.1:443", "192.0.2.2:443", "192.0.2.3:443"
	steps := []struct {
		name    string
		ops     []*configpb.Operation
		retired []string
	}{
		{"begin", []*configpb.Operation{put(service("a", one, two))}, nil},
		{"replaced", []*configpb.Operation{put(service("a", three))}, []string{one, two}},
		{"unrelated", []*configpb.Operation{put(service("b", "192.0.2.9:443"))}, []string{one, two}},
		{"assigned to another service", []*configpb.Operation{put(service("b", "192.0.2.9:443", two))}, []string{one}},
		{"moved within one patch", []*configpb.Operation{put(service("a", one)), put(service("b", three))}, []string{two, "192.0.2.9:443"}},
		{"service removed", []*configpb.Operation{remove("b")}, []string{two, three, "192.0.2.9:443"}},
		{"released", []*configpb.Operation{release(three), release(two)}, []string{"192.0.2.9:443"}},
	}
	is := is.New(t)
	m := config.New()
	for i, step := range steps {
		before := m.Current()
		out := submit(t, m, patch(step.name, uint64(i), step.ops...))
		is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_ACCEPTED)
		is.Equal(m.Current().GetRetired(), step.retired) // step.name
		merged, err := config.Merge(before, config.Diff(before, m.Current()))
		is.NoErr(err)
		is.True(proto.Equal(merged, m.Current()))
	}
}

func TestReleaseFindings(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	submit(t, m, patch("p2", 1, put(service("a", "192.0.2.2:443"))))
	out := submit(t, m, patch("p3", 2,
		release("192.0.2.2:443"), release("x"), release("192.0.2.1:443"), release("192.0.2.1:443")))
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_FINDINGS)
	var texts []string
	for _, f := range out.GetFindings() {
		texts = append(texts, f.GetPlace()+": "+f.GetText())
	}
	is.Equal(texts, []string{
		`operation 1, release: "192.0.2.2:443": the address is not a retired one`,
		`operation 2, release: "x": not an address of the form ip:port`,
		`operation 4, release: "192.0.2.1:443": the address is released a second time, first by operation 3`,
	})
}
