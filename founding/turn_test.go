package founding_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/founding"
)

// Guards against a group of two of three initial voters, founded while the third is only slow, that
// stands still since one of the two is lost at that moment.
func TestTurn(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	var first founding.Turn
	is.True(first.Due("a", []string{"a", "b", "c"}, 0, 0)) // all answer
	var second founding.Turn
	is.True(!second.Due("b", []string{"a", "b", "c"}, 0, 0))
	is.True(second.Due("b", []string{"a", "b", "c"}, 0, 500*ms)) // the first has not proposed

	var turn founding.Turn
	is.True(!turn.Due("b", []string{"a", "b"}, 1, 6000*ms)) // long after the start, but a is new
	is.True(!turn.Due("b", []string{"b"}, 2, 6300*ms))      // a is lost
	is.True(!turn.Due("b", []string{"b", "c"}, 1, 6400*ms)) // c was slow
	is.True(!turn.Due("b", []string{"b", "c"}, 1, 8399*ms))
	is.True(turn.Due("b", []string{"b", "c"}, 1, 8400*ms))
	var last founding.Turn
	is.True(!last.Due("c", []string{"b", "c"}, 1, 0))
	is.True(!last.Due("c", []string{"b", "c"}, 1, 2499*ms))
	is.True(last.Due("c", []string{"b", "c"}, 1, 2500*ms))
}
