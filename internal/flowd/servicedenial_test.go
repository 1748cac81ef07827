package flowd

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// reusedView returns a view in which targets of lodgement are lost whose addresses are those of
// targets of certificates now, and in which the route has led to both.
func reusedView(all, reused int) *subscriber.View {
	v := newTestView(nil)
	v.Config.Services = append(v.Config.Services, &configpb.Service{Number: certificates, Name: "certificates"})
	v.Config.Table.History = configpb.RouteHistory_ROUTE_HISTORY_COMPLETE
	v.Config.Table.Routes[0].FormerServices = []uint32{certificates}
	var records []*controlpb.TargetRecord
	for i := range all {
		records = append(records, &controlpb.TargetRecord{
			Service: lodgement, Number: uint32(i + 1), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Lost: i < reused,
		})
	}
	for i := range reused {
		records = append(records, &controlpb.TargetRecord{
			Service: certificates, Number: uint32(all + i + 1), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:7000", i+1),
		})
	}
	return subscriber.NewView(v.Config, records, time.Now())
}

// Guards against a reset of flows of a service by the denial of another one, from an agent at an
// address that is listed for both.
func TestServiceDenialCountsForItsServiceOnly(t *testing.T) {
	is := is.New(t)
	const all, reused = 18, 4
	v := reusedView(all, reused)
	p := newTestPlacer(v)
	public := callerKey(1).Public
	var agents []flow.Endpoint
	for i := range all {
		agents = append(agents, flow.Endpoint{IP: [4]byte{10, 0, 0, byte(i + 1)}, Port: 7000})
	}
	ofCertificates := flow.ServiceDenial{Service: certificates, Digest: flow.Digest(agents[:reused])}
	ofLodgement := flow.ServiceDenial{Service: lodgement, Digest: flow.Digest(agents)}
	is.True(p.HeldElsewhere(public, agents[:reused], []flow.ServiceDenial{ofCertificates}))
	is.True(p.HeldElsewhere(public, nil, []flow.ServiceDenial{ofLodgement}))
	is.True(!p.HeldElsewhere(public, nil, []flow.ServiceDenial{ofCertificates, ofLodgement}))
	is.True(p.HeldElsewhere(public, nil, []flow.ServiceDenial{ofCertificates, {Service: lodgement, Digest: ofCertificates.Digest}}))

	// The same after the record of a lost target was sent again.
	changed := slices.Clone(v.Targets)
	changed[0] = &controlpb.TargetRecord{Service: lodgement, Number: 1, Incarnation: 1, Address: "10.0.0.1:7000", Lost: true, AgeMs: 5}
	p.apply(withRecords(v, changed), 0)
	is.True(p.HeldElsewhere(public, agents[:reused], []flow.ServiceDenial{ofCertificates}))
	service, _ := p.reporter(flow.Frame{Number: all + 1, Incarnation: 1}, 0)
	is.Equal(service, uint32(certificates)) // its target, whatever else is listed at the address
}

// Guards against a reset of a flow that a listed target holds: whichever services follow one another
// at an address, the other agents' denials and the denials of the other services do not cover it.
func TestHolderIsNeverCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := reusedView(0, 0)
		last := map[string]*controlpb.TargetRecord{}
		var records []*controlpb.TargetRecord
		for number := range rapid.IntRange(1, 12).Draw(t, "targets") {
			r := &controlpb.TargetRecord{
				Number: uint32(number + 1), Service: uint32(rapid.IntRange(lodgement, certificates).Draw(t, "service")),
				Address: fmt.Sprintf("10.0.0.%d:7000", rapid.IntRange(1, 5).Draw(t, "address")),
			}
			records = append(records, r)
			last[r.GetAddress()] = r
		}
		for _, r := range records {
			r.Lost = last[r.GetAddress()] != r
		}
		order := rapid.Permutation(records).Draw(t, "order of arrival")
		p := newTestPlacer(withRecords(v, nil))
		for i := range order {
			sorted := slices.SortedFunc(slices.Values(order[:i+1]), func(a, b *controlpb.TargetRecord) int { return int(a.GetNumber()) - int(b.GetNumber()) })
			p.apply(withRecords(v, sorted), 0)
		}
		holder := last[rapid.SampledFrom(slices.Sorted(maps.Keys(last))).Draw(t, "holder")]
		var denied []flow.Endpoint
		var deniedServices []flow.ServiceDenial
		for service, l := range p.agents.services {
			for _, agent := range l.agents {
				if agent.String() != holder.GetAddress() {
					denied = append(denied, agent)
				}
			}
			if service != holder.GetService() {
				deniedServices = append(deniedServices, flow.ServiceDenial{Service: service, Digest: flow.Digest(l.agents)})
			}
		}
		if !p.HeldElsewhere(callerKey(1).Public, denied, deniedServices) {
			t.Fatalf("the flow of target %d is reset", holder.GetNumber())
		}
	})
}
