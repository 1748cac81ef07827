package loadgen

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestFirstFlowsEndAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	const slots, perFlow = 50, 15
	d := &dialer{opts: Options{RequestsPerFlow: perFlow}}
	ends := make([]int, perFlow+1) // by the number of requests of the first flow
	for i := range slots {
		ends[perFlow-newSlot(d, i).initialUses]++
	}
	is.Equal(ends[0], 0)              // no flow without a request
	is.Equal(slices.Min(ends[1:]), 3) // spread evenly over all lengths
	is.True(slices.Max(ends[1:]) <= 4)
	is.Equal(newSlot(&dialer{}, 3).initialUses, 0)
}
