package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// TestWaited follows one flow: its opening and its requests are measured, once each.
func TestWaited(t *testing.T) {
	const port = 40001
	a := newAgent(serving())
	waited := func(p flow.Packet, at time.Duration) (time.Duration, bool) {
		v, _ := a.FromTarget(p, at)
		return v.ResponseTime, v.Opening
	}
	is := is.New(t)
	a.FromEntry(open(entryA), syn(port), time.Millisecond)
	took, began := waited(synAck(port, firstA), 4*time.Millisecond)
	is.Equal(took, 3*time.Millisecond)
	is.True(began)
	took, _ = waited(synAck(port, firstA), 5*time.Millisecond)
	is.Equal(took, time.Duration(0)) // a copy
	a.FromEntry(data(entryA), request(port, firstA), 10*time.Millisecond)
	empty := response(port, firstA)
	empty.Length = 0
	took, _ = waited(empty, 11*time.Millisecond)
	is.Equal(took, time.Duration(0)) // no data yet
	took, began = waited(response(port, firstA), 40*time.Millisecond)
	is.Equal(took, 30*time.Millisecond)
	is.True(!began)
	took, _ = waited(response(port, firstA), 41*time.Millisecond)
	is.Equal(took, time.Duration(0)) // the rest of the answer
}
