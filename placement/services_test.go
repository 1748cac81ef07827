package placement_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/placement"
)

// A service of weight 0 must not take openings that others have no room for.
func TestServices(t *testing.T) {
	is := is.New(t)
	services := route().Services()
	is.Equal(len(services), 2)
	is.Equal(services[0].Hash, uint64(101))
	is.Equal(services[1].Hash, uint64(102))
}

// The selected service must be the one that Choose takes while it has a target that is not
// full.
func TestSelect(t *testing.T) {
	is := is.New(t)
	for hash := range uint64(200) {
		placed, _ := route().Choose(hash, loads(0, 0, 0))
		s, ok := route().Select(hash)
		is.True(ok)
		is.Equal(s.Hash, placed.Service)
	}
	_, ok := placement.NewRoute([]placement.WeightedService{{Service: 1}}, placement.Former{}, nil).Select(7)
	is.True(!ok)
}
