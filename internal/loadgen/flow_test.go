package loadgen

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestFirstFlowsEndOneByOne(t *testing.T) {
	is := is.New(t)
	const slots, perFlow = 50, 15
	d := &dialer{opts: Options{RequestsPerFlow: perFlow}}
	ends := make([]int, perFlow+1) // by the number of requests of the first flow
	for i := range slots {
		ends[perFlow-newSlot(d, i).spent]++
	}
	is.Equal(ends[0], 0)               // each carries one request at least
	is.Equal(slices.Min(ends[1:]), 3)  // some end in each round
	is.True(slices.Max(ends[1:]) <= 4) // and hardly more than in another
	is.Equal(newSlot(&dialer{}, 3).spent, 0)
}
