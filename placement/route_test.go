package placement_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/placement"
)

// route maps hashes 0 to 89 to service 1, 90 to 99 to service 2 and none to service 3.
func route() *placement.Route {
	return placement.NewRoute([]placement.WeightedService{
		{Service: 1, Hash: 101, Weight: 90},
		{Service: 2, Hash: 102, Weight: 10},
		{Service: 3, Hash: 103, Weight: 0},
	}, placement.Former{}, nil)
}

// loads returns a function that returns the candidate of a service with the load listed for
// it, none if that is negative.
func loads(of ...int) func(placement.WeightedService) (placement.Candidate, bool) {
	return func(s placement.WeightedService) (placement.Candidate, bool) {
		load := of[s.Service-1]
		if load < 0 {
			return placement.Candidate{}, false
		}
		return placement.Candidate{Placement: flow.Placement{Service: s.Hash}, Load: uint16(load)}, true
	}
}

func TestChoose(t *testing.T) {
	const hashFirst, hashSecond = 89, 90
	for name, tt := range map[string]struct {
		hash    uint64
		loads   []int
		service uint64
		reason  flow.Reason
	}{
		"first by weight":                  {hashFirst, []int{500, 0, 0}, 101, flow.ReasonPlaced},
		"second by weight":                 {hashSecond, []int{0, 500, 0}, 102, flow.ReasonPlaced},
		"loaded but not full":              {hashFirst, []int{1999, 0, 0}, 101, flow.ReasonPlaced},
		"full":                             {hashFirst, []int{2000, 1000, 0}, 102, flow.ReasonOverflow},
		"second one full":                  {hashSecond, []int{100, 6000, 0}, 101, flow.ReasonOverflow},
		"full, the other above half":       {hashFirst, []int{2000, 1001, 0}, 101, flow.ReasonPlaced},
		"both overloaded":                  {hashFirst, []int{6000, 2900, 0}, 102, flow.ReasonOverflow},
		"full, the only one with a target": {hashFirst, []int{6000, -1, 0}, 101, flow.ReasonPlaced},
		"without a target":                 {hashFirst, []int{-1, 6000, 0}, 102, flow.ReasonPlaced},
		"weight 0 gets nothing":            {hashFirst, []int{-1, -1, 0}, 0, flow.ReasonNoTarget},
		"weight 0 takes no overflow":       {hashFirst, []int{6000, 6000, 0}, 101, flow.ReasonPlaced},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			placed, reason := route().Choose(tt.hash, loads(tt.loads...))
			is.Equal(placed.Service, tt.service)
			is.Equal(reason, tt.reason)
		})
	}
}

// Open flows stay with the former services of a route.
func TestEverHad(t *testing.T) {
	is := is.New(t)
	r := placement.NewRoute([]placement.WeightedService{{Service: 4, Weight: 1}}, placement.Former{Services: []uint32{6}}, route())
	is.True(r.EverHad(6)) // listed by the configuration
	is.True(r.EverHad(1))
	is.True(r.EverHad(4))
	is.True(!r.EverHad(5))
	is.True(r.MayHold(6, true))
	is.True(!r.MayHold(5, true))
	is.True(r.MayHold(5, false))
	r = placement.NewRoute(nil, placement.Former{Omitted: true}, r)
	is.True(r.MayHold(5, true)) // not all are listed
}

func TestRouteWithoutWeights(t *testing.T) {
	is := is.New(t)
	r := placement.NewRoute([]placement.WeightedService{{Service: 1}}, placement.Former{}, nil)
	_, reason := r.Choose(7, loads(0))
	is.Equal(reason, flow.ReasonNoTarget)
}

// The weights hold if no target is full.
func TestWeights(t *testing.T) {
	is := is.New(t)
	counts := map[uint64]int{}
	for hash := range uint64(1000) {
		placed, _ := route().Choose(hash, loads(0, 0, 0))
		counts[placed.Service]++
	}
	is.Equal(counts, map[uint64]int{101: 900, 102: 100})
}
