package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// Each reply to an opening or request is measured once.
func TestResponseTime(t *testing.T) {
	const port = 40001
	a := newAgent(serving())
	responseTime := func(p flow.Packet, at time.Duration) (time.Duration, bool) {
		v, _ := a.FromTarget(p, at)
		return v.ResponseTime, v.Opening
	}
	is := is.New(t)
	a.FromEntry(open(entryA), syn(port), time.Millisecond)
	took, opening := responseTime(synAck(port, firstA), 4*time.Millisecond)
	is.Equal(took, 3*time.Millisecond)
	is.True(opening)
	took, _ = responseTime(synAck(port, firstA), 5*time.Millisecond)
	is.Equal(took, time.Duration(0)) // a retransmission
	a.FromEntry(data(entryA), request(port, firstA), 10*time.Millisecond)
	empty := response(port, firstA)
	empty.Length = 0
	took, _ = responseTime(empty, 11*time.Millisecond)
	is.Equal(took, time.Duration(0)) // no data yet
	took, opening = responseTime(response(port, firstA), 40*time.Millisecond)
	is.Equal(took, 30*time.Millisecond)
	is.True(!opening)
	took, _ = responseTime(response(port, firstA), 41*time.Millisecond)
	is.Equal(took, time.Duration(0)) // the rest of the response
}
