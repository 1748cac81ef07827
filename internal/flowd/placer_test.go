package flowd

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

const lodgement = 1

// newTestView returns a view with two targets of a service in each failure domain, some of
// which are evacuated.
func newTestView(domains []string, evacuated ...string) *subscriber.View {
	c := &configpb.Configuration{
		Version:  1,
		Services: []*configpb.Service{{Number: lodgement, Name: "lodgement"}},
		Table: &configpb.RouteTable{Revision: 1, Routes: []*configpb.Route{{
			Address: "198.18.0.1:443", Services: []*configpb.WeightedService{{Service: "lodgement", Weight: 1}},
		}}},
	}
	for _, name := range evacuated {
		c.Evacuations = append(c.Evacuations, &configpb.Evacuation{FailureDomain: name})
	}
	var targets []*controlpb.TargetRecord
	for _, domain := range domains {
		for range 2 {
			number := uint32(len(targets) + 1)
			targets = append(targets, &controlpb.TargetRecord{
				Service: lodgement, Number: number, Incarnation: 1, FailureDomain: domain,
				Address: fmt.Sprintf("10.0.0.%d:7000", number), AgeMs: 60_000,
			})
		}
	}
	return subscriber.NewView(c, targets, time.Now())
}

func newTestPlacer(v *subscriber.View) *placer {
	p := newPlacer(zap.NewNop(), tally.NoopScope, time.Minute)
	p.apply(v, 0)
	return p
}

func callerKey(port int) flow.Key {
	return flow.Key{
		Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: uint16(port)},
		Public: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

// placeFlows counts the flows placed on each agent.
func placeFlows(t *testing.T, p *placer, flows int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for i := range flows {
		got, reason := p.Place(callerKey(i+1), flow.Endpoint{}, 0)
		if got.Agent.IsZero() {
			t.Fatalf("flow %d: %s", i, reason)
		}
		counts[got.Agent.String()]++
	}
	return counts
}

// Evacuated targets get no new flows, the others share them. Open flows of the evacuated
// targets are still found.
func TestEvacuatedTargetsGetNoNewFlows(t *testing.T) {
	is := is.New(t)
	domains := []string{"a", "b", "c", "d"}
	p := newTestPlacer(newTestView(domains, "b"))
	counts := placeFlows(t, p, 6000)
	is.Equal(counts["10.0.0.3:7000"]+counts["10.0.0.4:7000"], 0)
	is.Equal(len(counts), 6)
	for _, n := range counts {
		is.True(n > 800 && n < 1200) // a sixth each
	}
	public := callerKey(1).Public
	holders := p.Holders(nil, public, 100)
	is.Equal(len(holders), 8)
	is.Equal(len(p.Holders(nil, public, 3)), 3)
	is.True(p.HeldElsewhere(public, holders[1:], nil))
	is.True(!p.HeldElsewhere(public, holders, nil))
	is.True(!p.HeldElsewhere(public, nil, []flow.ServiceDenial{{Service: lodgement, Digest: flow.Digest(holders)}})) // the only service

	p.apply(newTestView(domains), 0)
	is.Equal(len(placeFlows(t, p, 6000)), 8)
}

// A flow is refused at once if all targets of its route are evacuated.
func TestAllTargetsEvacuated(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(newTestView([]string{"a", "b"}, "a", "b"))
	_, reason := p.Place(callerKey(1), flow.Endpoint{}, 0)
	is.Equal(reason, flow.ReasonEvacuated)
	_, reason = newTestPlacer(newTestView(nil, "a")).Place(callerKey(1), flow.Endpoint{}, 0)
	is.Equal(reason, flow.ReasonNoTarget)
}

// A host that knows only the flow and the list of agents finds nearly all flows among the
// preferred agents, also after nearly half of the targets were replaced.
func TestFlowsArePlacedOnPreferredAgents(t *testing.T) {
	const targets, flows = 544, 4000
	p := newTestPlacer(largeView(targets))
	holders := map[flow.Key]flow.Endpoint{}
	for i := range flows {
		key := callerKey(i + 1)
		avoid := flow.Endpoint{}
		if i%10 == 0 { // a retransmission goes to another target
			first, _ := p.Place(key, flow.Endpoint{}, 0)
			avoid = first.Agent
		}
		placed, reason := p.Place(key, avoid, time.Duration(i)*time.Millisecond)
		if placed.Agent.IsZero() || placed.Agent == avoid {
			t.Fatalf("flow %d: %s", i, reason)
		}
		holders[key] = placed.Agent
	}
	found := func(p *placer) (found, all int) {
		for key, holder := range holders {
			if known, _ := p.HasTarget(holder); !known {
				continue
			}
			all++
			if slices.Contains(p.Preferred(nil, key), holder) {
				found++
			}
		}
		return found, all
	}
	if n, all := found(p); n != all || all != flows {
		t.Fatalf("%d of %d flows are on preferred agents", n, all)
	}
	view := largeView(targets * 145 / 100)
	replaced := withRecords(view, view.Targets[targets*45/100:])
	p.apply(replaced, 0)
	if n, all := found(p); n < all*98/100 || all < flows/3 {
		t.Fatalf("%d of %d flows are on preferred agents after the release", n, all)
	}
}

// Guards against a reset by a host that missed the version in which a route led to another service:
// flows of that time stay with the targets of that service.
func TestHostThatMissedVersionAsksFormerService(t *testing.T) {
	is := is.New(t)
	m := config.New()
	leadTo := func(revision uint64, service string) *configpb.Configuration {
		command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Replacement{Replacement: &configpb.Replacement{
			Services: []string{"lodgement", "certificates"},
			Table: &configpb.RouteTable{Revision: revision, Routes: []*configpb.Route{{
				Address: "198.18.0.1:443", TimeoutMs: 1, Services: []*configpb.WeightedService{{Service: service, Weight: 1}},
			}}},
		}}})
		is.NoErr(err)
		m.Apply(revision, command)
		return m.Current()
	}
	targets := newTestView([]string{"a"}).Targets
	targets[1].Service = 2
	view := func(c *configpb.Configuration) *subscriber.View { return subscriber.NewView(c, targets, time.Now()) }

	p := newTestPlacer(view(leadTo(1, "lodgement")))
	p.startedAt = p.startedAt.Add(-time.Hour)
	lodgementAgent, certificatesAgent := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}, flow.Endpoint{IP: [4]byte{10, 0, 0, 2}, Port: 7000}
	public := callerKey(1).Public
	is.True(!p.HeldElsewhere(public, []flow.Endpoint{lodgementAgent}, nil)) // it led nowhere else

	leadTo(2, "certificates")
	p.apply(view(leadTo(3, "lodgement")), 0)
	is.True(p.HeldElsewhere(public, []flow.Endpoint{lodgementAgent}, nil))
	is.Equal(len(p.Holders(nil, public, 9)), 2)
	is.True(!p.HeldElsewhere(public, []flow.Endpoint{lodgementAgent, certificatesAgent}, nil))
}
