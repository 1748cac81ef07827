package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/retry"
)

const (
	breakerAfter = 2 * time.Second
	breakerEvery = 500 * time.Millisecond
)

func newBreaker() *retry.CircuitBreaker {
	return &retry.CircuitBreaker{OpenAfter: breakerAfter, ProbeInterval: breakerEvery}
}

func TestBreakerOpensAndCloses(t *testing.T) {
	is := is.New(t)
	b := newBreaker()
	is.Equal(b.Allow(0), retry.Full)
	for at := time.Duration(0); at < breakerAfter; at += breakerEvery {
		b.RecordFailure(at, at)
		is.Equal(b.Allow(at), retry.Full) // an election takes as long
	}
	b.RecordFailure(breakerAfter, breakerAfter)
	is.True(b.Open())
	is.Equal(b.Allow(breakerAfter), retry.Probe)
	is.Equal(b.Allow(breakerAfter+1), retry.Refuse)
	is.Equal(b.Allow(breakerAfter+breakerEvery), retry.Probe)
	is.Equal(b.Allow(breakerAfter+breakerEvery), retry.Refuse)
	b.ProbeNow(breakerAfter + breakerEvery)
	is.Equal(b.Allow(breakerAfter+breakerEvery), retry.Probe)
	b.RecordSuccess()
	is.Equal(b.Allow(breakerAfter+breakerEvery), retry.Full)
}

// Two failures a long time apart do not show what was between them.
func TestBreakerTakesFailuresInARow(t *testing.T) {
	is := is.New(t)
	b := newBreaker()
	b.RecordFailure(0, 0)
	b.RecordFailure(time.Hour, time.Hour)
	is.True(!b.Open())
	b.RecordFailure(time.Hour, time.Hour+breakerAfter) // one call that hung
	is.True(b.Open())
}

// However calls fail and succeed: what is refused follows failures that lasted
// for After with no answer between them, and nobody is kept from trying for
// longer than Every.
func TestBreakerRefusesOnlyWhatIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBreaker()
		now, answered, failed, tried := time.Duration(0), time.Duration(-1), time.Duration(-1), time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(breakerAfter)).Draw(t, "pause"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.RecordSuccess()
				answered, failed = now, -1
			case 1:
				began := max(now-time.Duration(rapid.Int64Range(0, int64(breakerEvery)).Draw(t, "lasted")), answered, 0)
				b.RecordFailure(began, now)
				if failed < 0 {
					failed = began
				}
			default:
				permit := b.Allow(now)
				if permit == retry.Refuse && (failed < 0 || now-failed < breakerAfter || now-tried >= breakerEvery) {
					t.Fatalf("refused at %v: answered %v, failing since %v, last try %v", now, answered, failed, tried)
				}
				if permit != retry.Refuse {
					tried = now
				}
			}
		}
	})
}
